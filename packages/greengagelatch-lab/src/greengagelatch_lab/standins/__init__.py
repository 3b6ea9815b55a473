"""Simulated platform services, targets and network links for tests."""
