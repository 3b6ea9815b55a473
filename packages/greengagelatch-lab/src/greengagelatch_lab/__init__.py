"""Simulated dependencies, load generator and experiments."""
