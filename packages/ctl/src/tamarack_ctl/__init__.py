"""Command line `tamarack` for operators."""
