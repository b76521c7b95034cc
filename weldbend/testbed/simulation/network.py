"""Virtual network between machines: latency, loss, blocked paths, and a digest of all bytes sent.

A path is a pair of host addresses, (from, to). All random numbers come from one generator, so that the seed
determines the run.
"""

import hashlib
import itertools
import random
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from twisted.internet.error import UserError

from weldbend.testbed.simulation.event_queue import EventQueue

if TYPE_CHECKING:  # for annotations only: these modules import this one
    from weldbend.testbed.simulation.datagrams import DatagramPort
    from weldbend.testbed.simulation.machine import ListeningPort, Machine
    from weldbend.testbed.simulation.transports import Transport

Address = tuple[str, int]
Path = tuple[str, str]

MIN_LATENCY = 0.0002  # seconds; minimum one-way latency
LATENCY_SPREAD = 0.0008  # seconds; width of the uniform distribution above the minimum
DEFAULT_DUPLICATION = 0.01  # probability that a datagram arrives twice, unless set for its path


class AddressTakenError(UserError):
    """Raised for a port that is already in use; `address` is its host and number."""

    def __init__(self, address: Address) -> None:
        self.address = address
        super().__init__(f"{address} is already in use")  # type: ignore[no-untyped-call]  # Twisted's


class VirtualNetwork:
    """Network that connects the machines of one run, with its current faults."""

    def __init__(self, seed: int) -> None:
        self.events = EventQueue()
        self.random = random.Random(seed)
        self.ports: dict[Address, ListeningPort] = {}
        self.datagram_ports: dict[Address, DatagramPort] = {}
        self.unreachable_hosts: set[str] = set()  # hosts cut off in both directions
        self.blocked_paths: set[Path] = set()
        self.extra_delay: dict[Path, float] = {}  # seconds on top of the latency
        self.datagram_loss: dict[Path, float] = {}  # probability that a datagram is lost
        self.datagram_duplication: dict[Path, float] = {}  # probability that it arrives twice
        self.on_connection: Callable[[Transport, Transport], None] = (
            lambda connecting_end, accepting_end: None
        )
        self.errors: list[str] = []  # exceptions raised by protocols, and stranded attempts
        self.connection_numbers = itertools.count(1)
        self._digest = hashlib.sha256()

    def record_bytes(self, path: str, data: bytes) -> None:
        """Add bytes that are sent now to the digest; it contains no identifiers of the code."""
        self._digest.update(f"{self.events.now!r} {path} {len(data)}\n".encode() + data)

    def byte_digest(self) -> str:
        """Return the digest of all bytes sent so far in connections and datagrams, with their times."""
        return self._digest.hexdigest()

    def draw_latency(self) -> float:
        """Draw a one-way latency in seconds."""
        return MIN_LATENCY + LATENCY_SPREAD * self.random.random()

    def is_open(self, sender: str, receiver: str) -> bool:
        """Return whether the path from one host to another is not blocked."""
        return (sender, receiver) not in self.blocked_paths

    def unblock(self, paths: set[Path], machines: Iterable["Machine"]) -> None:
        """Unblock paths; data delayed on them arrives now, as if retransmitted."""
        self.blocked_paths -= paths
        for machine in machines:
            for transport in list(machine.transports):
                transport.deliver_delayed()
