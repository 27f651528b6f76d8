"""The tamarackd daemon: carries out the effects of the core."""
