"""Suspension of this host: its event loop did not run for a while."""

SUSPENSION_S = 0.8
"""Time without a run of the event loop, in seconds, after which this host
counts as suspended. The silence of others until then proves nothing about them:
what they have sent may not be read yet."""
