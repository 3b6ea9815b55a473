"""Differential test of the system and a naive version under equal fault histories."""
