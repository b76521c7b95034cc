"""Fronts for tests: the decisions alone, and the whole door with stand-ins for client, cache and bus."""

import re
from dataclasses import replace

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.event_bus.events import parse_event as bus_event
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.front.configuration import read_site
from weldbend.front.server import Front as Door
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


def content(name="photo", **changes):
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
    classes={"photo": content()},
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


def entry(number, role=Role.EDGE, zone="z", state=EndpointState.READY, started=None, cell=0):
    return Endpoint(number, 10.0, zone, cell, role, state, started)


CACHES = (
    entry(1),
    entry(2),
    entry(11, Role.PARENT, "h"),
    entry(12, Role.PARENT, "far"),
    entry(21, Role.ORIGIN, "h"),
)


class Front:
    """Feeds a Router and keeps a printed line for each pull and each final answer."""

    def __init__(self, caches=CACHES, **site):
        self.router, self.now, self.trace, self.attempts = Router(7, replace(SITE, **site)), 0.0, [], {}
        self.listed(*caches, scale=ListScope.COMPLETE)

    def at(self, now, *events):
        self.now = now
        for action in self.router.handle(now, events):
            line = self.line(action)
            if line:
                self.trace.append(f"{now:.2f} {line}")

    def line(self, action):
        match action:
            case SendAttempt():
                self.attempts[action.id] = self.attempts.get(action.id, 0) + 1
                fill = "look" if action.source in (None, action.cache) else f"fill from {action.source}"
                fill += " if held" * action.only_if_cached
                age = f" age {action.max_age:.3f}" if action.max_age else ""
                leave = " leave-no-copy" if action.leave_no_copy else ""
                return f"{action.id}: {action.cache} {fill} rank {action.rank}{leave}{age}"
            case CancelAttempt(name, attempt):
                return f"{name}: call off {attempt}"
            case RejectRequest(name, wait):
                return f"{name}: throttled, wait {wait}"
            case FailRequest(name):
                return f"{name}: abandoned"
            case WatchEndpoints():
                return "watch"

    def listed(self, *entries, scale=ListScope.CHANGES, now=None):
        self.at(self.now if now is None else now, EndpointsListed(scale, entries))

    def ask(self, name, key="k", now=None, type="photo", until=None, repeat=False):
        now = self.now if now is None else now
        self.at(now, RequestReceived(name, key, 0, 3, type, 0.0, repeat, until or now + 6.0))

    def end(self, name, result, now=None, hint=FillHint.NONE, attempt=None, took=0.01):
        attempt = self.attempts[name] - 1 if attempt is None else attempt
        closed = result is AttemptResult.SERVED
        now = self.now if now is None else now
        self.at(now, AttemptEnded(name, attempt, result, took, closed, hint, 0.0, None))

    def wake(self, name, why="slow", attempt=0, now=None):
        token = f"slow:{name}:{attempt}" if why == "slow" else f"end:{name}"
        self.at(self.now if now is None else now, TimerFired(token))

    def fill(self, name, key="k", now=None):
        """A download that misses at its edge, and at a parent asked for what it holds, and is then filled."""
        self.ask(name, key, now)
        self.end(name, AttemptResult.MISS)
        if "held" in self.trace[-1]:
            self.end(name, AttemptResult.MISS)
        self.end(name, AttemptResult.SERVED)

    def shows(self, kept):
        lines = [line.strip() for line in kept.strip().splitlines()]
        assert self.trace == lines, "\n" + "\n".join(self.trace)


KEY = "7f3a9c21e0b4d655"


TARGETS = (target("e1"), target("e2", port=2), target("p1", "parent", "h", 3), target("o1", "origin", "h", 4))


def configuration(targets=TARGETS, **held):
    return emulated_configuration.configuration(targets, settings=SETTINGS | {"unknown": 1}, **held)


def process(seqid, body=b"", **fields):
    number = f"{seqid:016x}"
    held = {"class": "photo", "id": number, "wait": "6000", "key": KEY, "nth": "0", "batch": "3", "kb": "640"}
    return client_calls.process(seqid, {k: v for k, v in (held | fields).items() if v is not None}, body)


def answer_text(data):
    """One answer as a client reads it, in a line."""
    heard = client_calls.read_answer(data)
    match heard.outcome:
        case "exception":
            return f"{heard.seqid} exception {heard.fields['kind']}: {heard.body.decode()}"
        case "probe":
            return f"{heard.seqid} probe: good {heard.good}"
        case "fulfilled":
            shown = heard.body.decode() if len(heard.body) < 20 else f"{len(heard.body)} bytes"
            return f"{heard.seqid} process: {shown!r} {heard.fields or ''}".rstrip()
        case outcome:
            return f"{heard.seqid} {outcome} {heard.fields or ''}".rstrip()


class Transport(StringTransport):
    """A connection kept in memory; paused, it takes no more, as a full socket does."""

    full = False
    left = 0  # bytes that had left when the reactor had not yet come to them

    def doWrite(self):
        self.left = len(self.value())

    def setTcpNoDelay(self, on):
        self.no_delay = on

    def loseConnection(self):
        super().loseConnection()
        self.protocol.connectionLost(Failure(ConnectionDone()))

    abortConnection = loseConnection
    loseWriteConnection = loseConnection  # a client in memory closes as soon as it hears of the end

    def taken(self):
        data = self.value()
        self.clear()
        return data


class DescriptorSetInMemory:
    """Parked connections in memory; numbers stand for descriptors, the lowest free one as the system does."""

    def __init__(self, stage):
        self.stage, self.places, self.came, self.told, self.closed = stage, {}, {}, set(), []
        self.most_read = 0

    def fileno(self):
        return 1000

    def detach(self, transport):
        fd = next(n for n in range(5, 1 << 20) if n not in self.places)
        self.places[fd] = transport.place
        self.stage.read(transport.place, transport)
        transport.protocol = None
        return fd

    def attach(self, fd, protocol):
        self.told.discard(fd)
        place = self.places.pop(fd)
        transport = self.stage.attach(protocol, place)
        transport.reading = True
        return transport

    def bring(self, place, data):
        """Something comes on a parked connection: bytes, an end (empty) or an error."""
        fd = next(fd for fd, held in self.places.items() if held == place)
        self.came.setdefault(fd, []).append(data)
        return fd

    def poll_readable(self, limit):
        found = [fd for fd in self.came if fd not in self.told][:limit]
        self.told.update(found)
        return found

    def rearm(self, fd):
        self.told.discard(fd)

    def read(self, fd):
        waiting = self.came.get(fd)
        if not waiting:
            return None
        data = waiting.pop(0)
        if not waiting:
            del self.came[fd]
        if isinstance(data, OSError):
            raise data
        return data

    def close(self, fd):
        self.closed.append(self.places.pop(fd))
        self.came.pop(fd, None)
        self.told.discard(fd)

    def close_set(self):
        pass


class Stage:
    """A whole front in memory, with its clock in the test's hands, and a printed line for each message.

    With `parks`, idle clients are parked as in service, on a stand-in for their descriptors.
    """

    transport = Transport

    def __init__(self, parks=False, terms=None, **caps):
        self.reactor = MemoryReactorClock()
        held = read_site(configuration(**caps))
        self.door = Door(self.reactor, replace(held, client_settings=terms or held.client_settings))
        self.rim = DescriptorSetInMemory(self)
        if parks:
            self.door.listener.epoll_set_factory = lambda reactor: self.rim
        self.door.clock.now = lambda: self.reactor.seconds() + 1.0
        self.door.clock.unix = self.unix
        self.trace, self.clients, self.caches = [], [], {}
        self.door.listener.set_keepalive = lambda: None  # a port in memory has no socket
        self.door.start()
        self.door.context.timestamps.confirm(self.unix(), self.door.clock.now())
        self.door.open()
        self.door.listener.port.doRead = lambda: None  # nobody waits to be accepted
        self.turn()

    @property
    def dispatcher(self):
        return self.door.dispatcher

    @property
    def counts(self):
        return self.door.context.counters.counts

    def unix(self):
        return 1000.0 + self.reactor.seconds()

    def receipt(self):
        """How events of the bus come: after an hour out of touch, so that each may be old."""
        now = self.door.clock.now()
        return Receipt(now, caught_up_at=now - 3600.0)

    def turn(self, seconds=0.0):
        self.reactor.advance(seconds)
        for _ in range(4):
            self.reactor.advance(0)
        self.note()

    def note(self):
        """Print what the front has written since."""
        for number, (client, _) in enumerate(self.clients):
            if client.transport:
                self.read(number, client.transport)
        for (uid, number), connection in self.caches.items():
            for line in re.findall(rb"[^\r]*\r\n", connection.transport.taken()):
                if line.strip():
                    self.trace.append(f"{uid}/{number} < {line.strip().decode()}")

    def read(self, number, transport):
        ring = self.clients[number][1]
        ring.write(transport.taken())
        while data := next_frame(ring, 1 << 20):
            self.trace.append(f"client {number} < {answer_text(data)}")

    def client(self):
        client = self.door.listener.buildProtocol(None)
        self.clients.append((client, Ring(1 << 22)))
        client.transport = self.attach(client, len(self.clients) - 1)
        client.connectionMade()
        return client

    def attach(self, client, place):
        """A transport for a client, which from now on is the one at this place."""
        transport = Transport()
        transport.protocol, transport.place = client, place
        self.clients[place] = client, self.clients[place][1]
        return transport

    def bring(self, place, *frames):
        """Bytes for a parked client; they are noted at once, and woken in their turn."""
        fd = self.rim.bring(place, b"".join(frames))
        self.door.listener.idle_pool.doRead()
        return fd

    def say(self, client, *frames):
        client.dataReceived(b"".join(frames))
        self.turn()

    def dials(self):
        """Dials to caches that wait to come up, with the names of the caches."""
        dispatcher = self.dispatcher
        return [
            (dispatcher.names.uids[n], dial)
            for n, lane in dispatcher.pool.endpoints.items()
            for dial in lane.connecting
        ]

    def connect(self):
        """Let every dial come up."""
        for uid, dial in self.dials():
            connection = dial.buildProtocol(None)
            connection.transport = Transport()
            connection.transport.protocol = connection
            self.caches[uid, sum(key[0] == uid for key in self.caches)] = connection
            connection.connectionMade()
        self.turn()

    def refuse(self):
        for _, dial in self.dials():
            dial.clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        self.turn()

    def answer(self, uid, seqid, word, fields="-", body=b"", number=0):
        line = b"%016x %b %b %d\r\n%b\r\n" % (seqid, word.encode(), fields.encode(), len(body), body)
        self.caches[uid, number].dataReceived(line)
        self.turn()

    def bus(self, raw):
        self.dispatcher.endpoints.handle(bus_event(raw), self.receipt())
        self.turn()

    def shows(self, kept):
        lines = [line.strip() for line in kept.strip().splitlines()]
        assert self.trace == lines, "\n" + "\n".join(self.trace)
        self.trace.clear()
