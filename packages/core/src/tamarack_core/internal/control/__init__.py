"""Control role: replicates the configuration and decides on patches."""
