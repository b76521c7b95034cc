"""Framed transport, strict binary coding and the messages of the Front service; no I/O."""
