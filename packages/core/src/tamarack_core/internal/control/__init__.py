"""Control role: decides on patches of the configuration."""
