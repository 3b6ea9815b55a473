"""Seeded soak of the platform program under overlapping disturbances."""
