"""Operator configuration: objects, selectors, snapshots and their order."""
