"""Target stand-in."""
