"""A small TCP for stand-ins: sans I/O, over whole IP packets."""
