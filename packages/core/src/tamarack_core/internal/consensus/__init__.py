"""Replicated log: Raft among 3 to 7 control hosts, without I/O."""
