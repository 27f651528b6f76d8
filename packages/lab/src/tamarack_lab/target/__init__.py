"""Target stand-in: serves requests and announces itself to entry hosts."""
