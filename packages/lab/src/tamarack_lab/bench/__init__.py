"""Benchmark of one entry process."""
