"""Fault-injecting proxy for UDP and TCP."""
