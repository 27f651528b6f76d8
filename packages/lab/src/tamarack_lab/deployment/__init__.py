"""Complete deployments of real processes on loopback addresses."""
