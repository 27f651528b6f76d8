"""Replicated state machine for numbered documents."""
