"""Registry of announced targets at control hosts, and its publication."""
