"""Simulation of distributed quotas over many instances, without a network."""
