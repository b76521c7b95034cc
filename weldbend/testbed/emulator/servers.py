"""The emulated site on sockets: caches, parents and origin, and the event bus. Loopback only."""

import json
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure

from weldbend.buffers.ring import Ring
from weldbend.cache_protocol.answers import InvalidAnswerError
from weldbend.testbed.emulator.cache_commands import Command, InvalidCommandError, Parser, encode_answer
from weldbend.testbed.emulator.cache_model import EmulatedCache, EmulatedCaches, TimedAnswer
from weldbend.testbed.emulator.configuration import listing
from weldbend.testbed.reactor import DelayedCall, Reactor

RING_SIZE = 1 << 18  # bytes of commands that a cache buffers
MAX_REQUEST_CHUNK = 1 << 14  # bytes of an HTTP request that are read at a time
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
LAST_EVENT_ID = "last-event-id:"
HEARTBEAT = 1.0  # seconds between two comments of the event bus

Event = dict[str, Any]  # as it is published, in JSON


class CacheConnection(Connection):
    """One connection of a front to an emulated cache."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, server: "CacheServer") -> None:
        self.server = server
        self.ring = Ring(RING_SIZE)
        self.parser = Parser(self.ring)
        self.pending: dict[str, DelayedCall] = {}  # answers that are not due yet, by the request's id

    def connectionMade(self) -> None:
        """A front has connected."""
        self.transport.setTcpNoDelay(True)
        self.server.cache.count("connections made")

    def dataReceived(self, data: bytes) -> None:
        """Execute the commands that are complete; what is no command closes the connection."""
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.ring.write(rest) :]
                for command in self.parser.all():
                    self.handle(command)
        except (InvalidCommandError, InvalidAnswerError):
            self.close()

    def handle(self, command: Command) -> None:
        """Execute, cancel or answer one command."""
        cache = self.server.cache
        match command.word:
            case "do":
                self._execute(command, cache)
            case "undo":
                if delayed := self.pending.pop(command.name, None):
                    delayed.cancel()
                    cache.open_commands -= 1
                    cache.count("undone")
            case _:
                fields = {"use": f"inflight:{cache.open_commands};util:0.1"}
                self.write(encode_answer(command.name, "FIT", fields))

    def _execute(self, command: Command, cache: EmulatedCache) -> None:
        now = self.server.now()
        try:
            answer = self.server.caches.execute(cache.uid, command.fields, now, self.server.unix())
        except (KeyError, ValueError):
            self.write(encode_answer(command.name, "BROKE", {}))
            return
        self.server.on_executed(command.name, answer)
        cache.open_commands += 1

        def send() -> None:
            cache.open_commands -= 1
            self.pending.pop(command.name, None)
            self.write(encode_answer(command.name, answer.word, answer.fields, answer.body))

        self.pending[command.name] = self.server.reactor.callLater(max(answer.due_at - now, 0.0), send)

    def write(self, data: bytes) -> None:
        """Send bytes, if the connection is open."""
        if self.transport:
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection, if it is open."""
        if self.transport:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Nobody waits for the answers any more."""
        for delayed in self.pending.values():
            delayed.cancel()
            self.server.cache.open_commands -= 1
        self.pending.clear()


class CacheServer(Factory):
    """Serves one emulated cache; `now` and `unix` are its clocks, in seconds.

    Attributes:
        on_executed: called with a request's id and its answer, before that is sent and any fault changes it.
    """

    noisy = False

    def __init__(
        self,
        reactor: Reactor,
        caches: EmulatedCaches,
        cache: EmulatedCache,
        now: Callable[[], float] = time.monotonic,
        unix: Callable[[], float] = time.time,
        on_executed: Callable[[str, TimedAnswer], None] = lambda name, answer: None,
    ) -> None:
        self.reactor = reactor
        self.on_executed = on_executed
        self.caches = caches
        self.cache = cache
        self.now = now
        self.unix = unix

    def buildProtocol(self, addr: IAddress | None) -> CacheConnection:
        """A connection of a front."""
        return CacheConnection(self)


class EventBusConnection(Connection):
    """One reader of the bus: it gets what it has not read, then what comes, and a comment each second."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, bus: "EventBusServer") -> None:
        self.bus = bus
        self.request = b""
        self.is_served = False

    def dataReceived(self, data: bytes) -> None:
        """Read the HTTP request, and answer with the events that the reader has not read."""
        if self.is_served:
            return
        self.request += data[:MAX_REQUEST_CHUNK]
        if b"\r\n\r\n" not in self.request or not self.transport:
            return
        self.is_served = True
        self.transport.write(RESPONSE_HEAD)
        last = self._last_event_id()
        for event in self.bus.events:
            if event["offset"] > last:
                self.send(event)
        self.bus.readers[self] = None

    def _last_event_id(self) -> int:
        """The id of the last event that the reader has read; 0 where it states none."""
        for line in self.request.decode("latin-1").split("\r\n"):
            if line.lower().startswith(LAST_EVENT_ID):
                text = line[len(LAST_EVENT_ID) :].strip()
                return int(text) if text.isdigit() else 0
        return 0

    def send(self, event: Event) -> None:
        """Send one event, if the connection is open."""
        if self.transport:
            data = f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode()
            self.bus.event_bytes += len(data)
            self.transport.write(data)

    def send_comment(self) -> None:
        """Send a comment, as a heartbeat."""
        if self.transport:
            self.transport.write(b": here\n")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The reader has gone."""
        self.bus.readers.pop(self, None)


class EventBusServer(Factory):
    """The event bus: all events so far, and who reads them."""

    noisy = False

    def __init__(self, reactor: Reactor, targets: list[Event]) -> None:
        self.reactor = reactor
        self.event_bytes = 0  # sent to all readers, without comments
        self.readers = dict[EventBusConnection, None]()
        self.events = [listing(1, *targets, whole=True)]
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        for reader in list(self.readers):
            reader.send_comment()
        self.reactor.callLater(HEARTBEAT, self._send_heartbeat)

    def publish(self, **event: object) -> None:
        """Publish one event, numbered after the last: `topology={...}` or `ban={...}`."""
        numbered = {"offset": self.events[-1]["offset"] + 1} | event
        self.events.append(numbered)
        for reader in list(self.readers):
            reader.send(numbered)

    def buildProtocol(self, addr: IAddress | None) -> EventBusConnection:
        """A connection of a reader."""
        return EventBusConnection(self)
