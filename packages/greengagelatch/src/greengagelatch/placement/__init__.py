"""Placement of models and adapters on the engines of a data centre."""
