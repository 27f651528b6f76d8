"""Soak of real processes under overlapping faults from outside."""
