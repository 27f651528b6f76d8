"""The replicated log: Raft over 3 to 7 control hosts, sans I/O."""
