"""Spreads the numbered configuration over all hosts."""
