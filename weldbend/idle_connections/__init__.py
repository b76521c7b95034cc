"""Idle client connections, each kept as a descriptor and a few numbers and woken in bounded batches."""
