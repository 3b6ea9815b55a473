"""Membership of entry instances: failure detection, gossip and overlay links."""
