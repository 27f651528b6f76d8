"""Caller stand-in: opens connections and checks the answers."""
