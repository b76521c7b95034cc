"""Topology of the connections between fronts. No I/O."""

from collections.abc import Iterable
from hashlib import blake2b

FULL_MESH_SIZE = 12  # number of fronts up to which each is connected to all others


def neighbours(name: str, fronts: Iterable[str]) -> list[str]:
    """Return the fronts that a front is connected to.

    In a small fleet these are all other fronts; in a larger one, the fronts at distances 1, 2, 4, ... in both
    directions on a ring ordered by hash. With N fronts, each has up to 2 log2 N connections (14 with 200:
    7 distances from 1 to 64, in both directions), and a change passes over at most log2 N of them. A full
    mesh of 200 fronts would take 199 of the few hundred descriptors of each front.
    """
    ring = sorted({*fronts, name}, key=lambda front: blake2b(front.encode(), digest_size=8).digest())
    if len(ring) <= FULL_MESH_SIZE:
        return [front for front in ring if front != name]
    position = ring.index(name)
    step = 1
    connected: dict[str, None] = {}  # a dict without values keeps the order
    while step <= len(ring) // 2:
        for other in (ring[(position + step) % len(ring)], ring[position - step]):
            connected[other] = None
        step *= 2
    connected.pop(name, None)
    return list(connected)
