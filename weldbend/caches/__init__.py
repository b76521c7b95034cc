"""Connections to caches, parents and the origin, and the pool that keeps them."""
