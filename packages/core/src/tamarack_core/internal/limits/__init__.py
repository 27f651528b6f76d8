"""Limits over all hosts, held by leased shares."""
