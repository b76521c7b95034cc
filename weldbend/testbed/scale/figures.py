"""What was measured at one size of a site. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

BUSIEST_FRACTION = 0.1  # of the edges


@dataclass(frozen=True, slots=True)
class ScaleFigures:
    """The mean front of a site, and its caches.

    Attributes:
        caches: Edges and parents.
        requests: Requests to all fronts.
        served: Share of them that was served.
        start_cpu: CPU seconds of a front until it served.
        cpu: CPU seconds of a front in all.
        calls: Calls of functions in a front while it served; 0 where they were not counted.
        memory: Peak resident bytes of a front.
        descriptors: Most descriptors that a front had open, as sampled, in the mean of the fronts.
        connections: Connections that a front made to caches.
        list_bytes: Bytes of events from the bus, for each front.
        lookups: Commands at edges.
        edge_hits: Requests answered from a copy at an edge, as a share of all.
        parent_hits: Fills of an edge from a copy at a parent, as a share of all requests.
        origin_bytes: Bytes that the origin gave, for all fronts.
        edges_used: Share of the edges that got a command.
        busiest_fraction: Share of the commands at edges that the busiest tenth of the edges got.
    """

    caches: int
    requests: int
    served: float
    start_cpu: float
    cpu: float
    calls: float
    memory: int
    descriptors: float
    connections: float
    list_bytes: float
    lookups: int
    edge_hits: float
    parent_hits: float
    origin_bytes: int
    edges_used: float
    busiest_fraction: float


def busiest_fraction(commands: Sequence[int]) -> float:
    """The share of all commands that the busiest tenth of the edges got; 0 where there were none."""
    busiest = max(1, round(BUSIEST_FRACTION * len(commands)))
    return sum(sorted(commands, reverse=True)[:busiest]) / max(sum(commands), 1)


def used_fraction(commands: Sequence[int]) -> float:
    """The share of the edges that got a command."""
    return sum(1 for count in commands if count) / max(len(commands), 1)
