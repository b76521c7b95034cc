"""Connections of clients, and the downloads they bring."""
