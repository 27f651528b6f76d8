"""Load of targets and services: reports, weights and their distribution."""
