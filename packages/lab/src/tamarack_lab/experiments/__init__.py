"""Experiments: scripted simulations that compare two versions of the core."""
