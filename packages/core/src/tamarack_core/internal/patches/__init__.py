"""Replicated state machine for the configuration, its patches and verdicts.

Every voter applies the same commands in the same order and reaches the same
verdicts; nothing in this package depends on a clock, on a random generator or
on the host.
"""
