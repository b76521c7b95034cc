"""Connections of clients, and the requests that arrive on them."""
