"""Ring buffers for the bytes of a connection, one for each direction."""
