"""Decisions on what the engines of a data centre should hold."""
