"""Routing decisions: the cache that answers a request, the source of a fill, and where copies are stored."""
