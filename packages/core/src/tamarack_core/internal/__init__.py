"""Parts behind the reducer; not for use outside this package."""
