"""Small stand-ins for the platform, for targets and for links between processes."""
