"""Flow cookies: entry hosts that forward without a table of flows."""
