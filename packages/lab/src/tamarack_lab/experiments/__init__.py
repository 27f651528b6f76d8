"""Experiments: scripted runs of the decisions by small fakes."""
