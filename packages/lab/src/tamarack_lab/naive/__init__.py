"""Naive load balancer, the baseline of the experiments.

It chooses targets by hash modulo the local target list and enforces limits
per host.
"""
