"""Operator configuration: objects, selectors, policies and versioned snapshots."""
