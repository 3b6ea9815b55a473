"""Opaque requests: passed to a target and answered byte for byte."""
