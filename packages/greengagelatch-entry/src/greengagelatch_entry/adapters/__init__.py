"""Adapters: network servers and clients of the daemon."""
