"""Overload: sheds openings before their handshake completes."""
