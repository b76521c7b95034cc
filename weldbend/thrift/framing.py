"""Thrift's framed transport: four bytes of length, most significant first, then so many bytes."""

import struct

from weldbend.buffers.ring import Ring
from weldbend.thrift.errors import InvalidFrameError

LENGTH = struct.Struct(">i")
LENGTH_SIZE = LENGTH.size  # bytes


def frame(message: bytes) -> bytes:
    """A message with its length before it."""
    return LENGTH.pack(len(message)) + message


def peek_small_frame(ring: Ring, start: int, max_length: int) -> tuple[int, bytes | None] | None:
    """Read the frame that begins `start` bytes into the ring, and leave it there.

    Args:
        ring: The bytes that came.
        start: Where the frame begins, in bytes from the ring's first.
        max_length: The longest content (bytes) that is worth a copy.

    Returns:
        Where the frame ends, and its content, or None for that where it is longer. None where the frame is
        not complete, or cannot be one: `next_frame` raises for that.
    """
    if len(ring) < start + LENGTH_SIZE:
        return None
    (length,) = LENGTH.unpack(ring.peek(LENGTH_SIZE, start))
    end = start + LENGTH_SIZE + length
    if length <= 0 or len(ring) < end:
        return None
    return end, ring.peek(length, start + LENGTH_SIZE) if length <= max_length else None


def next_frame(ring: Ring, max_length: int) -> bytes | None:
    """Read the content of the next frame from the ring; None where it is not complete yet.

    Raises:
        InvalidFrameError: It has no content, or one longer than `max_length` bytes.
    """
    if len(ring) < LENGTH_SIZE:
        return None
    (length,) = LENGTH.unpack(ring.peek(LENGTH_SIZE))
    if not 0 < length <= max_length:
        raise InvalidFrameError(length)
    if len(ring) < LENGTH_SIZE + length:
        return None
    ring.skip(LENGTH_SIZE)
    return ring.read(length)
