"""Stand-ins of the users' platform, written from its pages: store and targets."""
