"""Commands to caches, as bytes."""

from collections.abc import Mapping


def format_fields(fields: Mapping[str, str]) -> str:
    """Fields as `name=value` pairs with commas between, or `-` where there are none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def do(name: str, fields: Mapping[str, str], body: bytes) -> bytes:
    """Start an attempt; answers carry its name."""
    return b"do %b %b %d\r\n%b\r\n" % (name.encode(), format_fields(fields).encode(), len(body), body)


def undo(name: str) -> bytes:
    """Cancel an attempt; an answer may still come."""
    return b"undo %b\r\n" % name.encode()


def ping(tag: str) -> bytes:
    """Check a cache's health; the answer carries the tag."""
    return b"ping %b\r\n" % tag.encode()


def top(tag: str) -> bytes:
    """Check a cache's health, and ask for its load report."""
    return b"top %b\r\n" % tag.encode()
