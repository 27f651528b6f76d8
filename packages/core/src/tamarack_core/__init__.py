"""Decisions of the tamarackford load balancer, free of I/O.

A driver feeds events to `reducer.reduce` and carries out the effects that it
returns. No module of this package opens a socket or a file, reads a clock, or
draws from a generator that its caller did not seed.

Public modules: `events`, `effects`, `messages`, `requests`, `configuration`,
`peers`, `verdict`, `failure`, `timeline` and `reducer`.
"""
