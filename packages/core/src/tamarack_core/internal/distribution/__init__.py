"""Distribution of the versioned configuration to all hosts."""
