"""The fault matrix: real entry instances in one process, and faults at each step."""
