"""Demonstration: both users' deployments through a kill and a drain."""
