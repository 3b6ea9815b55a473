"""Proxying of opaque requests between callers and targets."""
