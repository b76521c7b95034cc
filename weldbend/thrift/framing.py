"""Thrift's framed transport: each message is preceded by its length, four bytes in big-endian order."""

import struct

from weldbend.buffers.ring import Ring
from weldbend.thrift.errors import InvalidFrameError

LENGTH = struct.Struct(">i")
LENGTH_SIZE = LENGTH.size  # bytes


def frame(message: bytes) -> bytes:
    """Return a message preceded by its length."""
    return LENGTH.pack(len(message)) + message


def peek_small_frame(ring: Ring, start: int, max_length: int) -> tuple[int, bytes | None] | None:
    """Return the frame at the offset `start` of the ring without consuming it.

    Args:
        ring: Received bytes.
        start: Offset of the frame from the first byte of the ring (bytes).
        max_length: Longest content that is returned (bytes).

    Returns:
        The offset of the frame's end, and its content, or None as the content if it is longer than
        `max_length`. None alone if the frame is incomplete or its length is invalid; `next_frame` raises an
        error for an invalid length.
    """
    if len(ring) < start + LENGTH_SIZE:
        return None
    (length,) = LENGTH.unpack(ring.peek(LENGTH_SIZE, start))
    end = start + LENGTH_SIZE + length
    if length <= 0 or len(ring) < end:
        return None
    return end, ring.peek(length, start + LENGTH_SIZE) if length <= max_length else None


def frame_length(ring: Ring) -> int | None:
    """Return the stated length of the next frame's content in bytes; None if it has not arrived."""
    if len(ring) < LENGTH_SIZE:
        return None
    length: int = LENGTH.unpack(ring.peek(LENGTH_SIZE))[0]
    return length


def next_frame(ring: Ring, max_length: int) -> bytes | None:
    """Consume the next frame of the ring and return its content; None if it is not complete yet.

    Raises:
        InvalidFrameError: The frame has no content, or more than `max_length` bytes.
    """
    length = frame_length(ring)
    if length is None:
        return None
    if not 0 < length <= max_length:
        raise InvalidFrameError(length)
    if len(ring) < LENGTH_SIZE + length:
        return None
    ring.skip(LENGTH_SIZE)
    return ring.read(length)
