"""Internal modules of the node package; not for use outside it."""
