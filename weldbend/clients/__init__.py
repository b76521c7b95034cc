"""Connections of clients, and the requests received on them."""
