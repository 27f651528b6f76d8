"""Announced targets at control hosts, and their copy at entry hosts."""
