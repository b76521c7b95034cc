"""Which fronts are connected to each other. No I/O."""

from collections.abc import Iterable
from hashlib import blake2b

FULL_MESH_SIZE = 12  # fronts up to which each is connected to all others


def neighbours(name: str, fronts: Iterable[str]) -> list[str]:
    """Return whom a front is connected to: all of few, else those 1, 2, 4, ... places round a ring of hashes.

    Of N fronts each has up to 2 log2 N connections (15 at 200) and a change crosses log2 N of them at most; a
    full mesh of 200 would cost each front 199 connections of its few hundred descriptors.
    """
    ring = sorted({*fronts, name}, key=lambda front: blake2b(front.encode(), digest_size=8).digest())
    if len(ring) <= FULL_MESH_SIZE:
        return [front for front in ring if front != name]
    position = ring.index(name)
    step = 1
    connected: dict[str, None] = {}  # in this order
    while step <= len(ring) // 2:
        for other in (ring[(position + step) % len(ring)], ring[position - step]):
            connected[other] = None
        step *= 2
    connected.pop(name, None)
    return list(connected)
