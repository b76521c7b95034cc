"""Test harnesses: a router alone, and a whole front with its clients, caches and event bus in memory."""

import re
from dataclasses import replace

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.event_bus.events import parse_event
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.front.configuration import read_site
from weldbend.front.server import Front
from weldbend.routing.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt, WatchEndpoints
from weldbend.routing.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointsListed,
    EndpointState,
    FillHint,
    ListScope,
    RequestReceived,
    TimerFired,
)
from weldbend.routing.router import Router
from weldbend.routing.settings import DeduplicationScope, Idempotency, RequestClass, Role, SiteSettings
from weldbend.testbed.emulator import configuration as emulated_configuration
from weldbend.testbed.emulator.configuration import SETTINGS, listing, target
from weldbend.testbed.load import client_calls
from weldbend.testbed.load.client_calls import give_up, message, probe
from weldbend.thrift.framing import next_frame

__all__ = ["give_up", "listing", "message", "probe", "target"]


def request_class(name="photo", **changes):
    base = RequestClass(
        name, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 3.0, 6.0, 0.5, 1.6, 2.0, 0.0, False
    )
    return replace(base, **changes)


SITE = SiteSettings(
    zone="z",
    hub="h",
    fronts=2,
    zone_fronts=2,
    hub_fronts=2,
    classes={"photo": request_class()},
    tick=0.002,
    list_refresh=10.0,
    subscribes=False,
    weighted=True,
    allows_hedging=True,
    allows_cancel=True,
    max_attempts=6,
    max_retry_after=1.0,
    allows_bypass=False,
    joins_fills=True,
    edge_start_capacity=0.2,
    edge_warmup=10.0,
    edge_overload_factor=2.0,
    edge_overload_window=2.0,
    parent_start_capacity=0.1,
    parent_warmup=20.0,
    parent_overload_factor=2.0,
    purge_grace=0.3,
    purge_complete_after=6.0,
)


def endpoint(number, role=Role.EDGE, zone="z", state=EndpointState.READY, started=None, cell=0):
    return Endpoint(number, 10.0, zone, cell, role, state, started)


# Numbers, roles and zones of the caches: two edges in this front's zone, a parent in its hub and one in
# another zone, and the origin.
CACHES = (
    endpoint(1),
    endpoint(2),
    endpoint(11, Role.PARENT, "h"),
    endpoint(12, Role.PARENT, "far"),
    endpoint(21, Role.ORIGIN, "h"),
)


class RouterHarness:
    """Passes events to a Router and records a line for each attempt, cancellation and final answer."""

    def __init__(self, caches=CACHES, **site):
        self.router, self.now, self.trace, self.attempts = Router(7, replace(SITE, **site)), 0.0, [], {}
        self.update_endpoints(*caches, scope=ListScope.COMPLETE)

    def handle(self, now, *events):
        self.now = now
        for action in self.router.handle(now, events):
            line = self.describe(action)
            if line:
                self.trace.append(f"{now:.2f} {line}")

    def describe(self, action):
        match action:
            case SendAttempt():
                self.attempts[action.id] = self.attempts.get(action.id, 0) + 1
                source = "lookup" if action.source in (None, action.cache) else f"fill from {action.source}"
                source += " if cached" * action.only_if_cached
                age = f" age {action.max_age:.3f}" if action.max_age else ""
                no_copy = " leave-no-copy" if action.leave_no_copy else ""
                return f"{action.id}: {action.cache} {source} rank {action.rank}{no_copy}{age}"
            case CancelAttempt(name, attempt):
                return f"{name}: cancel attempt {attempt}"
            case RejectRequest(name, wait):
                return f"{name}: throttled, wait {wait}"
            case FailRequest(name):
                return f"{name}: abandoned"
            case WatchEndpoints():
                return "watch endpoints"

    def update_endpoints(self, *endpoints, scope=ListScope.CHANGES, now=None):
        self.handle(self.now if now is None else now, EndpointsListed(scope, endpoints))

    def request(self, name, key="k", now=None, type="photo", deadline=None, repeat=False):
        now = self.now if now is None else now
        self.handle(now, RequestReceived(name, key, 0, 3, type, 0.0, repeat, deadline or now + 6.0))

    def end_attempt(self, name, result, now=None, hint=FillHint.NONE, attempt=None, duration=0.01):
        attempt = self.attempts[name] - 1 if attempt is None else attempt
        closed = result is AttemptResult.SERVED
        now = self.now if now is None else now
        self.handle(now, AttemptEnded(name, attempt, result, duration, closed, hint, 0.0, None))

    def fire_timer(self, name, timer="slow", attempt=0, now=None):
        token = f"slow:{name}:{attempt}" if timer == "slow" else f"end:{name}"
        self.handle(self.now if now is None else now, TimerFired(token))

    def fill(self, name, key="k", now=None):
        """Play a request that misses at its edge and among a parent's copies, and is served by a fill."""
        self.request(name, key, now)
        self.end_attempt(name, AttemptResult.MISS)
        if "if cached" in self.trace[-1]:
            self.end_attempt(name, AttemptResult.MISS)
        self.end_attempt(name, AttemptResult.SERVED)

    def assert_trace(self, expected):
        lines = [line.strip() for line in expected.strip().splitlines()]
        assert self.trace == lines, "\n" + "\n".join(self.trace)


KEY = "7f3a9c21e0b4d655"  # key of the object that `process` requests by default


TARGETS = (target("e1"), target("e2", port=2), target("p1", "parent", "h", 3), target("o1", "origin", "h", 4))


def configuration(targets=TARGETS, **options):
    return emulated_configuration.configuration(targets, settings=SETTINGS | {"unknown": 1}, **options)


def process(seqid, body=b"", **fields):
    number = f"{seqid:016x}"
    defaults = {
        "class": "photo",
        "id": number,
        "wait": "6000",
        "key": KEY,
        "nth": "0",
        "batch": "3",
        "kb": "640",
    }
    return client_calls.process(seqid, {k: v for k, v in (defaults | fields).items() if v is not None}, body)


def answer_text(data):
    """Return the line that a trace shows for an answer to a client."""
    answer = client_calls.read_answer(data)
    match answer.outcome:
        case "exception":
            return f"{answer.seqid} exception {answer.fields['kind']}: {answer.body.decode()}"
        case "probe":
            return f"{answer.seqid} probe: good {answer.good}"
        case "fulfilled":
            body = answer.body.decode() if len(answer.body) < 20 else f"{len(answer.body)} bytes"
            return f"{answer.seqid} process: {body!r} {answer.fields or ''}".rstrip()
        case outcome:
            return f"{answer.seqid} {outcome} {answer.fields or ''}".rstrip()


class Transport(StringTransport):
    """A connection in memory. A paused one models a full socket: it accepts no more data."""

    full = False
    left = 0  # bytes waiting when the front last called doWrite itself, before the reactor would have

    def doWrite(self):
        self.left = len(self.value())

    def setTcpNoDelay(self, on):
        self.no_delay = on

    def loseConnection(self):
        super().loseConnection()
        self.protocol.connectionLost(Failure(ConnectionDone()))

    abortConnection = loseConnection
    loseWriteConnection = loseConnection  # a client in memory closes at once when the front closes its side

    def take_written(self):
        data = self.value()
        self.clear()
        return data


class InMemoryEpollSet:
    """An epoll set in memory for parked connections.

    A new connection gets the lowest free number as its descriptor, as in the operating system.
    """

    def __init__(self, harness):
        self.harness, self.client_indexes, self.pending, self.reported, self.closed = (
            harness,
            {},
            {},
            set(),
            [],
        )
        self.most_read = 0

    def fileno(self):
        return 1000

    def detach(self, transport):
        fd = next(n for n in range(5, 1 << 20) if n not in self.client_indexes)
        self.client_indexes[fd] = transport.client_index
        self.harness.record_answers(transport.client_index, transport)
        transport.protocol = None
        return fd

    def attach(self, fd, protocol):
        self.reported.discard(fd)
        client_index = self.client_indexes.pop(fd)
        transport = self.harness.attach_transport(protocol, client_index)
        transport.reading = True
        return transport

    def deliver(self, client_index, data):
        """Make bytes, an end of stream (empty) or an error available on a parked connection."""
        fd = next(fd for fd, index in self.client_indexes.items() if index == client_index)
        self.pending.setdefault(fd, []).append(data)
        return fd

    def poll_readable(self, limit):
        readable = [fd for fd in self.pending if fd not in self.reported][:limit]
        self.reported.update(readable)
        return readable

    def rearm(self, fd):
        self.reported.discard(fd)

    def read(self, fd):
        chunks = self.pending.get(fd)
        if not chunks:
            return None
        data = chunks.pop(0)
        if not chunks:
            del self.pending[fd]
        if isinstance(data, OSError):
            raise data
        return data

    def close(self, fd):
        self.closed.append(self.client_indexes.pop(fd))
        self.pending.pop(fd, None)
        self.reported.discard(fd)

    def close_set(self):
        pass


class FrontHarness:
    """A whole front in memory whose clock the test controls; `trace` has a line for each message sent.

    With `parking`, idle clients are parked in an epoll set in memory.
    """

    transport = Transport

    def __init__(self, parking=False, client_settings=None, **settings):
        self.reactor = MemoryReactorClock()
        site = read_site(configuration(**settings))
        self.front = Front(
            self.reactor, replace(site, client_settings=client_settings or site.client_settings)
        )
        self.epoll_set = InMemoryEpollSet(self)
        if parking:
            self.front.listener.epoll_set_factory = lambda reactor: self.epoll_set
        self.front.clock.now = lambda: self.reactor.seconds() + 1.0
        self.front.clock.unix = self.unix
        self.trace, self.clients, self.caches = [], [], {}
        self.front.listener.set_keepalive = lambda: None  # a port in memory has no socket
        self.front.start()
        self.front.context.timestamps.confirm(self.unix(), self.front.clock.now())
        self.front.open()
        self.front.listener.port.doRead = lambda: None  # no connection waits to be accepted
        self.advance()

    @property
    def dispatcher(self):
        return self.front.dispatcher

    @property
    def counts(self):
        return self.front.context.counters.counts

    def unix(self):
        return 1000.0 + self.reactor.seconds()

    def bus_receipt(self):
        """Return the receipt of a bus event after an outage of an hour, so that the event may be old."""
        now = self.front.clock.now()
        return Receipt(now, caught_up_at=now - 3600.0)

    def advance(self, seconds=0.0):
        self.reactor.advance(seconds)
        for _ in range(4):
            self.reactor.advance(0)
        self.record_output()

    def record_output(self):
        """Add what the front has written since the last call to the trace."""
        for number, (client, _) in enumerate(self.clients):
            if client.transport:
                self.record_answers(number, client.transport)
        for (uid, number), connection in self.caches.items():
            for line in re.findall(rb"[^\r]*\r\n", connection.transport.take_written()):
                if line.strip():
                    self.trace.append(f"{uid}/{number} < {line.strip().decode()}")

    def record_answers(self, number, transport):
        ring = self.clients[number][1]
        ring.write(transport.take_written())
        while data := next_frame(ring, 1 << 20):
            self.trace.append(f"client {number} < {answer_text(data)}")

    def connect_client(self):
        client = self.front.listener.buildProtocol(None)
        self.clients.append((client, Ring(1 << 22)))
        client.transport = self.attach_transport(client, len(self.clients) - 1)
        client.connectionMade()
        return client

    def attach_transport(self, client, client_index):
        """Return a new transport for a client, which becomes the client at this index."""
        transport = Transport()
        transport.protocol, transport.client_index = client, client_index
        self.clients[client_index] = client, self.clients[client_index][1]
        return transport

    def deliver(self, client_index, *frames):
        """Make bytes available for a parked client and let the idle pool queue it for waking."""
        fd = self.epoll_set.deliver(client_index, b"".join(frames))
        self.front.listener.idle_pool.doRead()
        return fd

    def send(self, client, *frames):
        client.dataReceived(b"".join(frames))
        self.advance()

    def pending_connects(self):
        """Return the pending connections to caches, each with the name of its cache."""
        dispatcher = self.dispatcher
        return [
            (dispatcher.names.uids[n], connector)
            for n, cache in dispatcher.pool.endpoints.items()
            for connector in cache.connecting
        ]

    def complete_connects(self):
        """Establish all pending connections to caches."""
        for uid, connector in self.pending_connects():
            connection = connector.buildProtocol(None)
            connection.transport = Transport()
            connection.transport.protocol = connection
            self.caches[uid, sum(key[0] == uid for key in self.caches)] = connection
            connection.connectionMade()
        self.advance()

    def fail_connects(self):
        for _, connector in self.pending_connects():
            connector.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.advance()

    def answer(self, uid, seqid, outcome, fields="-", body=b"", number=0):
        line = b"%016x %b %b %d\r\n%b\r\n" % (seqid, outcome.encode(), fields.encode(), len(body), body)
        self.caches[uid, number].dataReceived(line)
        self.advance()

    def deliver_event(self, raw):
        self.dispatcher.endpoints.handle(parse_event(raw), self.bus_receipt())
        self.advance()

    def assert_trace(self, expected):
        lines = [line.strip() for line in expected.strip().splitlines()]
        assert self.trace == lines, "\n" + "\n".join(self.trace)
        self.trace.clear()


def change_class(harness, name, **changes):
    """Replace settings of a request class, as a reload of the configuration does."""
    site = harness.front.site
    classes = site.settings.classes | {name: replace(site.settings.classes[name], **changes)}
    harness.dispatcher.apply_site(replace(site, settings=replace(site.settings, classes=classes)))
    harness.advance()


SSE_HEADER = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def open_bus_connection(harness, port=9092):
    """Complete the newest connect to a bus; return the connection and the Last-Event-Id of its request."""
    factory = [connect[2] for connect in harness.reactor.tcpClients if connect[1] == port][-1]
    connection, transport = factory.buildProtocol(None), Transport()
    connection.makeConnection(transport)
    transport.protocol = connection
    header_fields = dict(line.split(": ") for line in transport.value().decode().splitlines()[1:] if line)
    return connection, header_fields["Last-Event-Id"]


def sse_event(raw):
    return f"id: {raw['offset']}\ndata: {raw}\n\n".replace("'", '"').replace("False", "false").encode()


def endpoint_uids(harness):
    return " ".join(sorted(harness.dispatcher.names.uids[n] for n in harness.dispatcher.pool.endpoints))
