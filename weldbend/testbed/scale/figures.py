"""Figures measured at one size of a site. No I/O."""

from collections.abc import Sequence
from dataclasses import dataclass

BUSIEST_FRACTION = 0.1  # fraction of the edges that count as the busiest


@dataclass(frozen=True, slots=True)
class ScaleFigures:
    """Figures of one site; those of a front are means over all fronts.

    Attributes:
        caches: Number of edges and parents.
        requests: Number of requests to all fronts.
        served: Share of the requests that were served.
        start_cpu: CPU time of a front until it served, in seconds.
        cpu: CPU time of a front in total, in seconds.
        calls: Number of function calls in a front while it served; 0 if they were not counted.
        memory: Peak resident memory of a front in bytes.
        descriptors: Highest sampled number of open descriptors of a front.
        connections: Number of connections that a front opened to caches.
        list_bytes: Bytes of events that the bus sent to a front.
        lookups: Number of commands at edges.
        edge_hits: Number of requests answered from a copy at an edge, as a share of all requests.
        parent_hits: Number of fills of an edge from a copy at a parent, as a share of all requests.
        origin_bytes: Bytes that the origin sent, for all fronts together.
        edges_used: Share of the edges that received a command.
        busiest_fraction: Share of the commands at edges that the busiest tenth of the edges received.
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
    """Return the share of all commands that the busiest tenth of the edges received; 0 without commands."""
    busiest = max(1, round(BUSIEST_FRACTION * len(commands)))
    return sum(sorted(commands, reverse=True)[:busiest]) / max(sum(commands), 1)


def used_fraction(commands: Sequence[int]) -> float:
    """Return the share of the edges that received a command."""
    return sum(1 for count in commands if count) / max(len(commands), 1)
