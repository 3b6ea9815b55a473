"""Decisions on which entry instances there are: failure detection and links."""
