"""Leases that give one instance the exclusive right to act for a group of targets."""
