"""Core of the tamarackford load balancer: all decisions, without I/O.

A driver passes events to `reducer.reduce` and carries out the effects that it
returns. No module of this package opens a socket or a file, reads a clock, or
uses a random generator that its caller did not seed.

Public modules: `events`, `effects`, `messages`, `requests`, `configuration`,
`peers`, `verdict`, `failure`, `timeline` and `reducer`.
"""
