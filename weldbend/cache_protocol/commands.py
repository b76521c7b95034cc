"""Commands to caches, as bytes."""

from collections.abc import Mapping


def fields_text(fields: Mapping[str, str]) -> str:
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def do(name: str, fields: Mapping[str, str], body: bytes) -> bytes:
    return b"do %b %b %d\r\n%b\r\n" % (name.encode(), fields_text(fields).encode(), len(body), body)


def undo(name: str) -> bytes:
    return b"undo %b\r\n" % name.encode()


def ping(tag: str) -> bytes:
    return b"ping %b\r\n" % tag.encode()


def top(tag: str) -> bytes:
    return b"top %b\r\n" % tag.encode()
