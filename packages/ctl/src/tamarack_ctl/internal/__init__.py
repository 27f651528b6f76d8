"""Internal modules of the ctl package; not for use outside it."""
