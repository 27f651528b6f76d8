"""Limits over the hosts of all failure domains, enforced by leased quotas."""
