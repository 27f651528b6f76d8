"""Measurements behind the slopes, each over several sizes."""
