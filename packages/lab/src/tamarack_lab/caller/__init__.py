"""Caller stand-in."""
