"""Codecs and rewriting of the packets that the system carries."""
