"""Simulated store and targets that speak the users' platform's protocols."""
