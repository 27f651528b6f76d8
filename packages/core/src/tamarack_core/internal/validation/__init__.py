"""Checks that a configuration must pass before it is accepted.

Whatever passes can be put in force by every entry host: its lookup tables
build, and no address or port in them means two things.
"""
