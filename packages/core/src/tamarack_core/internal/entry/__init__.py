"""Entry role: carries packets between callers and targets."""
