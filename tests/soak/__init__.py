"""Soak test of real processes under overlapping injected faults."""
