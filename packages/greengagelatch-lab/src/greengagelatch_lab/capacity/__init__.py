"""Cost of the parts of an instance by the size of the fleet."""
