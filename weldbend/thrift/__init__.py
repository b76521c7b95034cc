"""Thrift's framed transport, its strict binary protocol, and the messages of the Front service. No I/O."""
