"""Decisions on opaque requests, which are proxied to a target byte for byte."""
