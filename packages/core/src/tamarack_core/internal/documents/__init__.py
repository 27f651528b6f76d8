"""Numbered documents in the replicated log."""
