"""Trials of quotas over many instances, at the level of decisions."""
