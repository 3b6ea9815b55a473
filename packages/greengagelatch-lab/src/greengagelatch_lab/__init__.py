"""Stand-ins, load tool and experiments."""
