"""Flows: owner and backups, hop option, placement and flow table."""
