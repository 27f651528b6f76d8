"""Capacity of each role at a given size, from measured slopes."""
