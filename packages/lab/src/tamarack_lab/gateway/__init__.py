"""Gateway between kernel TCP sockets and connections of the stand-ins."""
