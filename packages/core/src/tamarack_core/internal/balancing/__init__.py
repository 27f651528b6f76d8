"""Choice of a target from the work in flight and the health seen."""
