"""Gateway: joins ordinary TCP sockets to connections of the stand-ins."""
