"""How control hosts find one another and keep their group whole."""
