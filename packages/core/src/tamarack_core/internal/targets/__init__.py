"""Announced targets: leases, states and their spread in the domain."""
