"""Open-loop load generator: arrivals drawn in advance from a seed, latency counted from the intended start.

A client that waits for an answer before it sends its next request hides the delays of a slow front
(coordinated omission). Here each request is sent at its scheduled time, regardless of the previous answers.
"""

import random
import time
from bisect import bisect
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.objects import PartSizes
from weldbend.testbed.load import client_calls
from weldbend.testbed.load.client_calls import ClientAnswer
from weldbend.testbed.reactor import Reactor

MAX_OPEN_REQUESTS = 32  # the protocol's bound on requests of a connection that have no answer yet
HISTOGRAM_MAX_US = 60_000_000  # highest time that a histogram counts, in microseconds
CLIENT_TIMEOUTS = {"photo": 6.0, "order": 9.0}  # seconds that a client waits, by request class
PARTS = 3  # number of parts of each object
ORDER_BODY = b"x" * 200
RING_SIZE = 1 << 21  # bytes of answers that a client buffers
DIAL_TIMEOUT = 5  # seconds
RECONNECT_DELAY = 0.2  # seconds between a failed connection attempt and the next
START_DELAY = 0.05  # seconds from the last established connection to the start of the load
FINISH_MARGIN = 1  # seconds after the longest timeout until the load ends despite unanswered requests
MICROSECONDS_PER_SECOND = 1e6
PERCENTILES = (50, 90, 99, 99.9, 100)


@dataclass(frozen=True, slots=True)
class Arrival:
    """One scheduled request.

    Attributes:
        at: Scheduled time in seconds after the start of the load.
        request_class: Request class, photo or order.
        key: Key of the object.
        part: Number of the part.
    """

    at: float
    request_class: str
    key: str
    part: int


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load.

    Attributes:
        rate: Mean number of requests per second.
        seconds: Duration in seconds.
        objects: Number of objects that are requested, under Zipf's law.
        orders: Fraction of the requests that are orders.
        connections: Number of connections.
        seed: Seed of the random draws.
    """

    rate: float = 86.0
    seconds: float = 10.0
    objects: int = 2000
    orders: float = 0.02
    connections: int = 16
    seed: int = 1

    def arrivals(self) -> list[Arrival]:
        """Draw the complete schedule; the same seed gives the same schedule."""
        rng = random.Random(self.seed)
        at = 0.0
        arrivals = []
        weights = objects.zipf_weights(self.objects)
        while (at := at + rng.expovariate(self.rate)) < self.seconds:
            rank = bisect(weights, rng.random() * weights[-1]) + 1
            request_class = "order" if rng.random() < self.orders else "photo"
            key = objects.object_key(min(rank, self.objects))
            arrivals.append(Arrival(at, request_class, key, rng.randrange(PARTS)))
        return arrivals


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds with three significant digits."""
    return HdrHistogram(1, HISTOGRAM_MAX_US, 3)


def record(histogram: HdrHistogram, seconds: float) -> None:
    """Add a duration to a histogram."""
    histogram.record_value(max(int(seconds * MICROSECONDS_PER_SECOND), 1))


@dataclass
class Tally:
    """Results of a load.

    Attributes:
        counts: Number of requests by outcome, and of other events.
        latency: Latencies of the served requests from their intended start.
        send_delay: Delays with which this tool itself sent requests.
    """

    counts: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=histogram)
    send_delay: HdrHistogram = field(default_factory=histogram)

    def report(self) -> dict[str, Any]:
        """Return the results as a JSON object, with latencies in milliseconds."""
        value = self.latency.get_value_at_percentile
        return {
            "counts": dict(self.counts),
            "latency_ms": {f"p{percentile:g}": value(percentile) / 1000 for percentile in PERCENTILES},
            "tool_late_ms": {"p99": self.send_delay.get_value_at_percentile(99) / 1000},
            "histogram": self.latency.encode().decode(),
        }


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that was sent and has no answer yet.

    Attributes:
        arrival: The scheduled request.
        due: Intended start in seconds of the steady clock.
    """

    arrival: Arrival
    due: float


class LoadClient(Connection):
    """One connection of the load."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, load: "Load") -> None:
        self.load = load
        self.ring = Ring(RING_SIZE)
        self.open: dict[int, OpenRequest] = {}  # requests without an answer, by seqid
        self.seqid = 0
        self.is_up = False

    def connectionMade(self) -> None:
        """Add the connection to the load."""
        self.transport.setTcpNoDelay(True)
        self.is_up = True
        self.load.add_client(self)

    def is_ready(self) -> bool:
        """Return whether another request can be sent on this connection."""
        return self.is_up and len(self.open) < MAX_OPEN_REQUESTS

    def send(self, request: OpenRequest, name: str) -> None:
        """Send a request; `name` is its id."""
        self.seqid += 1
        self.open[self.seqid] = request
        arrival = request.arrival
        fields = {
            "class": arrival.request_class,
            "id": name,
            "wait": str(int(CLIENT_TIMEOUTS[arrival.request_class] * 1000)),
            "key": arrival.key,
            "nth": str(arrival.part),
            "batch": str(int(arrival.key[:2], 16)),
            "kb": str(self.load.sizes.part_kb(arrival.key, arrival.part)),
        }
        is_order = arrival.request_class == "order"
        if is_order:
            fields["once"] = name
        if self.transport:
            self.transport.write(client_calls.process(self.seqid, fields, ORDER_BODY if is_order else b""))

    def dataReceived(self, data: bytes) -> None:
        """Parse answers."""
        for answer in client_calls.feed_answers(self.ring, data):
            self.load.on_answer(self.open.pop(answer.seqid, None), answer)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Remove the connection from the load."""
        self.is_up = False
        self.load.remove_client(self)


class Load(ClientFactory):
    """Sends the requests of one plan to fronts.

    Attributes:
        fronts: Addresses of the fronts.
        sizes: Sizes of the objects' parts.
        on_end: Callback, called once all requests are answered or lost, or have timed out.
        tally: Results so far.
        clients: Established connections.
        arrivals: Schedule.
        due_count: Number of arrivals whose scheduled time has passed.
        rotation: Counter for the round-robin choice of connections and fronts.
        started_at: Start of the schedule in seconds of the steady clock; 0 before the start.
        is_over: Whether the load has ended.
    """

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        plan: LoadPlan,
        fronts: list[str],
        sizes: PartSizes,
        on_end: Callable[["Load"], None],
    ) -> None:
        self.reactor = reactor
        self.plan = plan
        self.fronts = fronts
        self.sizes = sizes
        self.on_end = on_end
        self.tally = Tally()
        self.clients: list[LoadClient] = []
        self.arrivals = plan.arrivals()
        self.due_count = 0
        self.rotation = 0
        self.started_at = 0.0
        self.is_over = False

    def start(self) -> None:
        """Open all connections; the schedule begins once they are established."""
        for number in range(self.plan.connections):
            self._dial(self.fronts[number % len(self.fronts)])

    def _dial(self, front: str) -> None:
        host, _, port = front.rpartition(":")
        self.reactor.connectTCP(host, int(port), self, timeout=DIAL_TIMEOUT)

    def _next_front(self) -> str:
        return self.fronts[self.rotation % len(self.fronts)]

    def buildProtocol(self, addr: IAddress | None) -> LoadClient:
        """Return the protocol of an established connection."""
        return LoadClient(self)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Connect to the next front after RECONNECT_DELAY."""
        if not self.is_over:
            self.rotation += 1
            self.reactor.callLater(RECONNECT_DELAY, self._dial, self._next_front())

    def add_client(self, client: LoadClient) -> None:
        """Add an established connection, and start the schedule once all are established."""
        self.clients.append(client)
        if len(self.clients) == self.plan.connections and not self.started_at:
            self.started_at = time.monotonic() + START_DELAY
            self.reactor.callLater(START_DELAY, self._send_due)
            longest = max(CLIENT_TIMEOUTS.values())
            self.reactor.callLater(self.plan.seconds + longest + FINISH_MARGIN, self._finish)

    def remove_client(self, client: LoadClient) -> None:
        """Count the open requests of a closed connection as lost, and open another connection."""
        self.tally.counts["lost"] += len(client.open)
        client.open.clear()
        if client in self.clients:
            self.clients.remove(client)
        if not self.is_over:
            self.tally.counts["connections lost"] += 1
            self._dial(self._next_front())

    def _send_due(self) -> None:
        """Send all requests that are due, and schedule the next call of this method."""
        now = time.monotonic() - self.started_at
        while self.due_count < len(self.arrivals) and self.arrivals[self.due_count].at <= now:
            arrival = self.arrivals[self.due_count]
            self.due_count += 1
            record(self.tally.send_delay, now - arrival.at)
            self._send(arrival)
        if self.due_count < len(self.arrivals):
            self.reactor.callLater(max(self.arrivals[self.due_count].at - now, 0.0), self._send_due)
        else:
            self._finish_if_answered()

    def _send(self, arrival: Arrival) -> None:
        self.tally.counts["asked"] += 1
        for _ in self.clients:
            self.rotation += 1
            client = self.clients[self.rotation % len(self.clients)]
            if client.is_ready():
                name = f"{self.plan.seed & 0xFFFFFFFF:08x}{self.due_count:08x}"
                client.send(OpenRequest(arrival, self.started_at + arrival.at), name)
                return
        self.tally.counts["not asked"] += 1  # no connection can take another request

    def on_answer(self, request: OpenRequest | None, answer: ClientAnswer) -> None:
        """Record an answer, and the latency if the request was served."""
        counts = self.tally.counts
        if request is None:
            counts["answers to nothing asked"] += 1
            return
        seconds = time.monotonic() - request.due
        arrival = request.arrival
        counts[answer.outcome] += 1
        if answer.outcome == "fulfilled":
            record(self.tally.latency, seconds)
            body = objects.body(arrival.key, arrival.part, self.sizes.part_size(arrival.key, arrival.part))
            if arrival.request_class == "photo" and answer.body != body:
                counts["spoilt"] += 1
        if seconds > CLIENT_TIMEOUTS[arrival.request_class]:
            counts["after the expiry"] += 1
        self._finish_if_answered()

    def _finish_if_answered(self) -> None:
        if self.due_count == len(self.arrivals) and not any(client.open for client in self.clients):
            self._finish()

    def _finish(self) -> None:
        if self.is_over:
            return
        self.is_over = True
        self.tally.counts["unanswered"] += sum(len(client.open) for client in self.clients)
        for client in list(self.clients):
            client.open.clear()
            if client.transport:
                client.transport.loseConnection()
        self.on_end(self)
