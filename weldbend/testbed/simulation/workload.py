"""Load of a simulated run: clients that send requests at random times and retry rejected ones.

Some clients cancel requests or close connections before they get the answers, see `leaving_clients`.
"""

from bisect import bisect
from typing import Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.objects import PartSizes
from weldbend.testbed.load import client_calls
from weldbend.testbed.simulation.leaving_clients import LeavingClients
from weldbend.testbed.simulation.machine import Machine
from weldbend.testbed.simulation.settings import (
    CLIENT_HOST,
    CLIENT_TIMEOUTS,
    FRONT_PORT,
    PURGE_GROUPS,
    front_host,
)
from weldbend.testbed.simulation.site import RunContext

CONNECTIONS_PER_FRONT = 3
MAX_OPEN_REQUESTS = 30  # unanswered requests on one connection
RECONNECT_AFTER = 0.2  # seconds
FIRST_ARRIVAL = 0.3  # seconds after the start of the run
# Seconds before the end of a connection within which its last request may not have been read, and is resent.
CLOSE_CROSSING_WINDOW = 0.05
RING_SIZE = 1 << 21  # bytes of answers that a client buffers
BODY = b"x" * 100

Fields = dict[str, str]


class ClientConnection(Connection):
    """Connection of a client: sends requests, and retries rejected ones after the time in the rejection."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, workload: "Workload", front: int) -> None:
        self.workload = workload
        self.front = front
        self.ring = Ring(RING_SIZE)
        self.open: dict[int, Fields] = {}  # requests without an answer, by seqid
        self.seqid = 0
        self.is_connected = False
        self.last_sent = 0.0

    def connectionMade(self) -> None:
        """Register the new connection."""
        self.is_connected = True
        self.workload.connections[self.front].append(self)

    def is_ready(self) -> bool:
        """Return whether another request may be sent on this connection."""
        return self.is_connected and len(self.open) < MAX_OPEN_REQUESTS

    def send(self, fields: Fields) -> int:
        """Send a request and return its sequence id."""
        self.seqid += 1
        self.open[self.seqid] = fields
        self.last_sent = self.workload.events.now
        if self.transport:
            self.transport.write(client_calls.process(self.seqid, fields, BODY))
        return self.seqid

    def cancel(self, seqid: int) -> None:
        """Cancel a request, unless it is already answered."""
        if self.is_connected and seqid in self.open:
            del self.open[seqid]
            self.transport.write(client_calls.give_up(seqid))

    def disconnect(self, is_reset: bool) -> None:
        """Close or reset the connection and abandon its open requests."""
        if self.is_connected:
            self.is_connected = False
            self.open.clear()
            (self.transport.abortConnection if is_reset else self.transport.loseConnection)()

    def dataReceived(self, data: bytes) -> None:
        """Process answers; schedule retries of rejected requests."""
        for answer in client_calls.feed_answers(self.ring, data):
            fields = self.open.pop(answer.seqid, None)
            if fields and answer.outcome == "throttled" and "after" in answer.fields:
                self.workload.retry(fields, int(answer.fields["after"]) / 1000)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Resend the last request if the front may not have read it, and reconnect."""
        workload = self.workload
        self.is_connected = False
        if self.seqid in self.open and workload.events.now < self.last_sent + CLOSE_CROSSING_WINDOW:
            workload.machine.callLater(0.0, workload.send_to, self.front, self.open[self.seqid])
        self.open.clear()
        if self in workload.connections[self.front]:
            workload.connections[self.front].remove(self)
        workload.machine.callLater(RECONNECT_AFTER, workload.connect, self.front)


class ClientConnectionFactory(ClientFactory):
    """Connects to one front, and retries failed attempts."""

    def __init__(self, workload: "Workload", front: int) -> None:
        self.workload = workload
        self.front = front

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection:
        """Create the protocol for a new connection."""
        return ClientConnection(self.workload, self.front)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Retry after a delay."""
        self.workload.machine.callLater(RECONNECT_AFTER, self.workload.connect, self.front)


class Workload:
    """All clients of a run, on one machine."""

    def __init__(self, context: RunContext, sizes: PartSizes) -> None:
        self.context = context
        self.events = context.network.events
        self.sizes = sizes
        self.machine = Machine(context.network, "clients", CLIENT_HOST)
        self.connections: dict[int, list[ClientConnection]] = {
            number: [] for number in range(1, context.settings.fronts + 1)
        }
        self.request_count = 0
        self.leaving_clients = LeavingClients(self, context.seed)

    def connect(self, front: int) -> None:
        """Open a connection to a front."""
        self.machine.connectTCP(front_host(front), FRONT_PORT, ClientConnectionFactory(self, front))

    def schedule(self) -> None:
        """Schedule all requests of the run."""
        settings = self.context.settings
        rng = self.context.rng
        at = FIRST_ARRIVAL
        weights = objects.zipf_weights(settings.objects)
        while (at := at + rng.expovariate(settings.rate)) < settings.seconds:
            rank = bisect(weights, rng.random() * weights[-1]) + 1
            drawn = rng.random()
            if drawn < settings.edits:
                request_class = "edit"
            elif drawn < settings.edits + settings.orders:
                request_class = "order"
            else:
                request_class = "photo"
            self._schedule_request(at, request_class, rank)
        self.leaving_clients.schedule()

    def _schedule_request(self, at: float, request_class: str, rank: int) -> None:
        self.events.schedule(at, lambda: self.send(self.request_fields(request_class, rank)))

    def next_id(self) -> str:
        """Return the id of the next request."""
        self.request_count += 1
        return f"{self.request_count:016x}"

    def request_fields(self, request_class: str, rank: int) -> Fields:
        """Return the fields of a new request for an object, as they are sent."""
        key = objects.object_key(rank)
        part = self.context.rng.randrange(2)
        fields = {
            "class": request_class,
            "id": self.next_id(),
            "wait": str(int(CLIENT_TIMEOUTS[request_class] * 1000)),
            "key": key,
            "nth": str(part),
            "batch": str(rank % PURGE_GROUPS),
            "kb": str(self.sizes.part_kb(key, part)),
        }
        return fields | ({"once": f"{self.request_count:032x}"} if request_class == "order" else {})

    def ready_connections(self) -> list[ClientConnection]:
        """Return all connections on which a request may be sent."""
        return [c for n in sorted(self.connections) for c in self.connections[n] if c.is_ready()]

    def send(self, fields: Fields) -> None:
        """Send a request on a random connection; it is dropped if no connection is ready."""
        ready = self.ready_connections()
        if not ready:
            return
        connection = self.context.rng.choice(ready)
        seqid = connection.send(fields)
        cancel_after = self.leaving_clients.draw_cancellation()
        if cancel_after is not None:
            self.machine.callLater(cancel_after, connection.cancel, seqid)

    def send_to(self, front: int, fields: Fields) -> None:
        """Send a request to one front; it is dropped if no connection to it is ready."""
        ready = [connection for connection in self.connections[front] if connection.is_ready()]
        if ready:
            ready[0].send(fields)

    def retry(self, fields: Fields, after: float) -> None:
        """Resend a rejected request after some seconds under a new id, unless it is already a retry."""
        if fields.get("retry") is None:
            self.machine.callLater(after, self.send, fields | {"id": self.next_id(), "retry": "1"})
