"""Decisions on leases: who may act for a group of targets, and until when."""
