"""Measures how the cost of an instance's components grows with the fleet."""
