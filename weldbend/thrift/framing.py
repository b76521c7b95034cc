"""Frames: four bytes of length, big end first, then so many bytes."""

import struct

from weldbend.buffers.ring import Ring

HEAD = struct.Struct(">i")


class BadFrame(Exception):
    """A length that no message of ours can have."""


def frame(message: bytes) -> bytes:
    return HEAD.pack(len(message)) + message


def next_frame(ring: Ring, most: int) -> bytes | None:
    """Take one whole frame from the ring; none if it is not all there yet."""
    if len(ring) < HEAD.size:
        return None
    (length,) = HEAD.unpack(ring.peek(HEAD.size))
    if not 0 < length <= most:
        raise BadFrame(f"frame of {length} bytes")
    if len(ring) < HEAD.size + length:
        return None
    ring.skip(HEAD.size)
    return ring.read(length)
