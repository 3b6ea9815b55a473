"""Reads, replicates and changes the operator configuration."""
