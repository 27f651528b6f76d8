"""Stand-ins, fault proxy, naive version and experiments."""
