"""Opaque requests: the way from a caller to a target and back."""
