"""Adapters: the parts of the daemon that touch sockets."""
