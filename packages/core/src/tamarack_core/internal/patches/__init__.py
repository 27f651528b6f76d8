"""The replicated state machine: numbered configuration, patches, verdicts.

Every voter applies the same commands in the same order and reaches the same
verdicts; nothing here depends on a clock, on chance or on the host.
"""
