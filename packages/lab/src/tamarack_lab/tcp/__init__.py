"""User-space TCP of the stand-ins: sans I/O, on whole IP packets."""
