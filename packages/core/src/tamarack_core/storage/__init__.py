"""Formats of the files in the data folder; performs no file access."""
