"""Limits of the openings that cold targets get from all entry hosts."""
