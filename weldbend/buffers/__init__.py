"""The ring that holds a connection's bytes, one for each direction."""
