"""Parts of the node package; not for use outside it."""
