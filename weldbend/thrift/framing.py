"""Frames: four bytes of length, big end first, then so many bytes."""

import struct

from weldbend.buffers.ring import Ring

HEAD = struct.Struct(">i")


class InvalidFrameError(Exception):
    """A length that no message of ours can have."""


def frame(message: bytes) -> bytes:
    return HEAD.pack(len(message)) + message


def small_frame(ring: Ring, start: int, most: int) -> tuple[int, bytes | None] | None:
    """The whole frame that begins `start` bytes into the ring: where it ends, and what it holds if that is
    little; none if it is not all there."""
    if len(ring) < start + HEAD.size:
        return None
    (length,) = HEAD.unpack(ring.peek(HEAD.size, start))
    end = start + HEAD.size + length
    if length <= 0 or len(ring) < end:
        return None
    return end, ring.peek(length, start + HEAD.size) if length <= most else None


def next_frame(ring: Ring, most: int) -> bytes | None:
    """Take one whole frame from the ring; none if it is not all there yet."""
    if len(ring) < HEAD.size:
        return None
    (length,) = HEAD.unpack(ring.peek(HEAD.size))
    if not 0 < length <= most:
        raise InvalidFrameError(f"frame of {length} bytes")
    if len(ring) < HEAD.size + length:
        return None
    ring.skip(HEAD.size)
    return ring.read(length)
