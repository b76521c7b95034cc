"""Socket servers of the emulated site: caches, parents, origin and the event bus. Loopback only."""

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
MAX_REQUEST_CHUNK = 1 << 14  # bytes of an HTTP request that are accepted from one read
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
LAST_EVENT_ID = "last-event-id:"
HEARTBEAT = 1.0  # seconds between two heartbeat comments of the event bus

Event = dict[str, Any]  # event of the bus as a JSON object


class CacheConnection(Connection):
    """One connection of a front to an emulated cache."""

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, server: "CacheServer") -> None:
        self.server = server
        self.ring = Ring(RING_SIZE)
        self.parser = Parser(self.ring)
        self.pending: dict[str, DelayedCall] = {}  # answers that are not due yet, by request id

    def connectionMade(self) -> None:
        """Count the connection."""
        self.transport.setTcpNoDelay(True)
        self.server.cache.count("connections made")

    def dataReceived(self, data: bytes) -> None:
        """Execute the complete commands; invalid bytes close the connection."""
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.ring.write(rest) :]
                for command in self.parser.all():
                    self.handle(command)
        except (InvalidCommandError, InvalidAnswerError):
            self.close()

    def handle(self, command: Command) -> None:
        """Execute a request, cancel one, or answer a health check."""
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
        """Cancel the answers that have not been sent."""
        for delayed in self.pending.values():
            delayed.cancel()
            self.server.cache.open_commands -= 1
        self.pending.clear()


class CacheServer(Factory):
    """Server of one emulated cache.

    Attributes:
        now: Steady clock, in seconds.
        unix: Unix clock, in seconds.
        on_executed: Callback for each executed request, with its id and its answer; called before the answer
            is sent, and therefore before fault injection can change it.
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
        """Return the protocol of a front's connection."""
        return CacheConnection(self)


class EventBusConnection(Connection):
    """Connection of one reader of the bus.

    The reader receives the events after the last one that it has read, then each new event as it is
    published, and a comment every HEARTBEAT seconds.
    """

    transport: Any = None  # Twisted's interfaces have no types here

    def __init__(self, bus: "EventBusServer") -> None:
        self.bus = bus
        self.request = b""
        self.is_served = False

    def dataReceived(self, data: bytes) -> None:
        """Read the HTTP request, and answer it with the events that the reader has not read."""
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
        """Return the id of the last event that the reader has read; 0 if the request states none."""
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
        """Send a comment as a heartbeat."""
        if self.transport:
            self.transport.write(b": here\n")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Remove the reader from the bus."""
        self.bus.readers.pop(self, None)


class EventBusServer(Factory):
    """Server of the event bus.

    Attributes:
        event_bytes: Number of bytes of events sent to all readers, without comments.
        readers: Connections that receive new events, in the order of their requests.
        events: All events so far; the first one is the complete endpoint list.
    """

    noisy = False

    def __init__(self, reactor: Reactor, targets: list[Event]) -> None:
        self.reactor = reactor
        self.event_bytes = 0
        self.readers = dict[EventBusConnection, None]()
        self.events = [listing(1, *targets, whole=True)]
        self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        for reader in list(self.readers):
            reader.send_comment()
        self.reactor.callLater(HEARTBEAT, self._send_heartbeat)

    def publish(self, **event: object) -> None:
        """Publish one event, `topology={...}` or `ban={...}`, under the next offset."""
        numbered = {"offset": self.events[-1]["offset"] + 1} | event
        self.events.append(numbered)
        for reader in list(self.readers):
            reader.send(numbered)

    def buildProtocol(self, addr: IAddress | None) -> EventBusConnection:
        """Return the protocol of a reader's connection."""
        return EventBusConnection(self)
