"""Demonstration of two deployments with a host failure and a drain."""
