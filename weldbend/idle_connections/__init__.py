"""Idle client connections: each is kept as a descriptor and a small record, and woken in bounded batches."""
