"""The naive version: hash modulo the local list, with local limits."""
