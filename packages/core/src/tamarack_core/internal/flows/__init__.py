"""Flows: which host owns them, where they go, and what is known of them."""
