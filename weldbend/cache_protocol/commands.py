"""Encoding of commands to caches."""

from collections.abc import Mapping


def format_fields(fields: Mapping[str, str]) -> str:
    """Format fields as comma-separated `name=value` pairs, or as `-` if there are none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def do(name: str, fields: Mapping[str, str], body: bytes) -> bytes:
    """Return the command that starts an attempt; its answers carry its name."""
    return b"do %b %b %d\r\n%b\r\n" % (name.encode(), format_fields(fields).encode(), len(body), body)


def undo(name: str) -> bytes:
    """Return the command that cancels an attempt; the attempt's answer may still arrive."""
    return b"undo %b\r\n" % name.encode()


def ping(tag: str) -> bytes:
    """Return the command that checks a cache's health; the answer carries the tag."""
    return b"ping %b\r\n" % tag.encode()


def top(tag: str) -> bytes:
    """Return the command that checks a cache's health and asks for its load report."""
    return b"top %b\r\n" % tag.encode()
