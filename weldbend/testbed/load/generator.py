"""The open-loop load tool: arrivals drawn ahead from a seed, latency counted from the intended start.

A client that waits for its answers before it asks again hides what a slow front costs (coordinated
omission); here each download is due at its moment, whatever became of those before.
"""

import random
import time
from bisect import bisect
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.objects import Sizes
from weldbend.testbed.load import client_calls

OPEN = 32  # the protocol's bound on open downloads of a connection
HIGHEST = 60_000_000  # microseconds that a histogram counts
WAIT = {"photo": 6.0, "order": 9.0}  # seconds that a client waits


@dataclass(frozen=True, slots=True)
class Arrival:
    at: float  # seconds after the start
    type: str
    key: str
    part: int


@dataclass(frozen=True, slots=True)
class Plan:
    """What is asked: downloads a second for so many seconds, over so many objects and connections."""

    rate: float = 86.0
    seconds: float = 10.0
    objects: int = 2000
    orders: float = 0.02  # share of downloads that are orders
    connections: int = 16
    seed: int = 1

    def arrivals(self) -> list[Arrival]:
        """The whole schedule: the same seed gives the same."""
        rng, at, found = random.Random(self.seed), 0.0, []
        weights = objects.popular(rng, self.objects)
        while (at := at + rng.expovariate(self.rate)) < self.seconds:
            rank = bisect(weights, rng.random() * weights[-1]) + 1
            kind = "order" if rng.random() < self.orders else "photo"
            found.append(Arrival(at, kind, objects.key_of(min(rank, self.objects)), rng.randrange(3)))
        return found


def histogram() -> Any:
    return HdrHistogram(1, HIGHEST, 3)


@dataclass
class Tally:
    """What became of a load. Latencies in microseconds, of fulfilled downloads, from the intended start."""

    counts: Counter[str] = field(default_factory=Counter)
    latency: Any = field(default_factory=histogram)
    late: Any = field(default_factory=histogram)  # by how much the tool itself started one late

    def report(self) -> dict[str, Any]:
        shares = (50, 90, 99, 99.9, 100)
        value = self.latency.get_value_at_percentile
        return {
            "counts": dict(self.counts),
            "latency_ms": {f"p{share:g}": value(share) / 1000 for share in shares},
            "tool_late_ms": {"p99": self.late.get_value_at_percentile(99) / 1000},
            "histogram": self.latency.encode().decode(),
        }


@dataclass(slots=True)
class Asked:
    arrival: Arrival
    due: float


class LoadClient(Connection):
    def __init__(self, load: "Load") -> None:
        self.load, self.ring = load, Ring(1 << 21)
        self.open: dict[int, Asked] = {}
        self.seqid, self.up = 0, False

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self.up = True
        self.load.came(self)

    def ask(self, asked: Asked, name: str) -> None:
        self.seqid += 1
        self.open[self.seqid] = asked
        one, sizes = asked.arrival, self.load.sizes
        fields = {
            "class": one.type, "id": name, "wait": str(int(WAIT[one.type] * 1000)), "key": one.key,
            "nth": str(one.part), "batch": str(int(one.key[:2], 16)), "kb": str(sizes.kb(one.key, one.part)),
        }  # fmt: skip
        if one.type == "order":
            fields["once"] = name
        if self.transport:
            self.transport.write(
                client_calls.process(self.seqid, fields, b"x" * 200 if one.type == "order" else b"")
            )

    def dataReceived(self, data: bytes) -> None:
        for heard in client_calls.feed(self.ring, data):
            self.load.answered(self.open.pop(heard.seqid, None), heard)

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.up = False
        self.load.went(self)


class Load(ClientFactory):
    """Plays one plan against fronts (addresses), and calls `done` when all is answered or lost."""

    noisy = False

    def __init__(
        self, reactor: Any, plan: Plan, fronts: list[str], sizes: Sizes, done: Callable[["Load"], None]
    ) -> None:
        self.reactor, self.plan, self.sizes, self.done = reactor, plan, sizes, done
        self.fronts, self.tally = fronts, Tally()
        self.clients: list[LoadClient] = []
        self.coming, self.next, self.turns, self.begun = plan.arrivals(), 0, 0, 0.0
        self.over = False

    def start(self) -> None:
        for number in range(self.plan.connections):
            self.dial(self.fronts[number % len(self.fronts)])

    def dial(self, front: str) -> None:
        host, _, port = front.rpartition(":")
        self.reactor.connectTCP(host, int(port), self, timeout=5)

    def buildProtocol(self, addr: IAddress | None) -> LoadClient:
        return LoadClient(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """A front that is down: the next one in a moment."""
        if not self.over:
            self.turns += 1
            self.reactor.callLater(0.2, self.dial, self.fronts[self.turns % len(self.fronts)])

    def came(self, client: LoadClient) -> None:
        self.clients.append(client)
        if len(self.clients) == self.plan.connections and not self.begun:
            self.begun = time.monotonic() + 0.05
            self.reactor.callLater(0.05, self.step)
            self.reactor.callLater(self.plan.seconds + max(WAIT.values()) + 1, self.finish)

    def went(self, client: LoadClient) -> None:
        """A connection ended: what was open on it is lost, and another takes its place."""
        self.tally.counts["lost"] += len(client.open)
        client.open.clear()
        if client in self.clients:
            self.clients.remove(client)
        if not self.over:
            self.tally.counts["connections lost"] += 1
            self.dial(self.fronts[self.turns % len(self.fronts)])

    def step(self) -> None:
        """Ask all that is due, and come back for the next."""
        now = time.monotonic() - self.begun
        while self.next < len(self.coming) and self.coming[self.next].at <= now:
            arrival = self.coming[self.next]
            self.next += 1
            self.tally.late.record_value(max(int((now - arrival.at) * 1e6), 1))
            self.ask(arrival)
        if self.next < len(self.coming):
            self.reactor.callLater(max(self.coming[self.next].at - now, 0.0), self.step)
        else:
            self.look()

    def ask(self, arrival: Arrival) -> None:
        self.tally.counts["asked"] += 1
        for _ in self.clients:
            self.turns += 1
            client = self.clients[self.turns % len(self.clients)]
            if client.up and len(client.open) < OPEN:
                name = f"{self.plan.seed & 0xFFFFFFFF:08x}{self.next:08x}"
                client.ask(Asked(arrival, self.begun + arrival.at), name)
                return
        self.tally.counts["not asked"] += 1  # every connection is full

    def answered(self, asked: Asked | None, heard: client_calls.Heard) -> None:
        if asked is None:
            self.tally.counts["answers to nothing asked"] += 1
            return
        took, one = time.monotonic() - asked.due, asked.arrival
        self.tally.counts[heard.outcome] += 1
        if heard.outcome == "fulfilled":
            self.tally.latency.record_value(max(int(took * 1e6), 1))
            whole = objects.body(one.key, one.part, self.sizes.of(one.key, one.part))
            if one.type == "photo" and heard.body != whole:
                self.tally.counts["spoilt"] += 1
        if took > WAIT[one.type]:
            self.tally.counts["after the expiry"] += 1
        self.look()

    def look(self) -> None:
        if self.next == len(self.coming) and not any(client.open for client in self.clients):
            self.finish()

    def finish(self) -> None:
        if not self.over:
            self.over = True
            self.tally.counts["unanswered"] += sum(len(client.open) for client in self.clients)
            for client in list(self.clients):
                client.open.clear()
                if client.transport:
                    client.transport.loseConnection()
            self.done(self)
