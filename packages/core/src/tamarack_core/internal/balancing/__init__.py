"""Choice of a target by load and observed health."""
