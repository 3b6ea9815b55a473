"""The fault matrix: injects each fault at each step of a simulated fleet."""
