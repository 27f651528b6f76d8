"""The tamarackd daemon: executes the effects of the core."""
