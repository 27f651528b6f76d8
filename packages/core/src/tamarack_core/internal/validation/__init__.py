"""Checks that a configuration must pass before it is accepted.

Every entry host can apply a configuration that passes: it can build its lookup
tables, and no address or port in them is ambiguous.
"""
