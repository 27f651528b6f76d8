"""Internal modules of the lab package; not for use outside it."""
