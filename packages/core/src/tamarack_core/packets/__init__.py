"""Parsing, encapsulation and rewriting of packets."""
