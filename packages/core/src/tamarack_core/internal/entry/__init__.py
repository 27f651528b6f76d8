"""Entry role: forwards packets between callers and targets."""
