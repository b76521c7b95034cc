"""Framed transport, strict binary protocol and the messages of the Front service; no I/O."""
