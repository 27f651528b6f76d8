"""Announced targets: their leases and states, replicated in the domain."""
