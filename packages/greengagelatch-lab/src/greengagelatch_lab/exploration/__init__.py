"""Random schedules of disturbances against the decision code of a whole fleet."""
