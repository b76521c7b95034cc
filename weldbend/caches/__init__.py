"""Connections to caches, parents and origins, and the attempts and health checks that go over them."""
