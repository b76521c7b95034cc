"""Reads the event bus without end: asks again after every loss, from the last whole event seen.

One `Reading` is one go at it, over once; only the newest tells anything. The bus may move to another
address at any time: the numbers go on.
"""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from weldbend.event_bus.events import InvalidEventError, Numbered, read_event
from weldbend.event_bus.sse import InvalidStreamError, Parser

SHORTEST, LONGEST = 0.05, 0.5  # seconds before asking again
SILENCE = 1.8  # a comment comes each second: after so long without a byte the bus is lost


class Timer(Protocol):
    def cancel(self) -> None: ...


class Timers(Protocol):
    def after(self, delay: float, call: Callable[[], object]) -> Timer: ...


@implementer(IAgentEndpointFactory)
class Endpoints:
    """Connects to plain addresses; no names are looked up."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        return TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=SILENCE)


class Reading(Connection):
    """One go at the bus: a request, and the stream that answers it."""

    def __init__(self, reader: "BusReader") -> None:
        self.reader, self.parser, self.over = reader, Parser(), False
        headers = Headers({"Last-Event-ID": [str(reader.last)], "Accept": ["text/event-stream"]})
        self.asking: Any = reader.agent.request(b"GET", reader.url, headers)
        self.asking.addCallbacks(self.answered, lambda failure: self.end(failure.getErrorMessage()))

    def answered(self, response: Any) -> None:
        self.asking = None
        if response.code != 200:
            self.end(f"it answers {response.code}")
        elif not self.over:
            self.reader.answered()
        response.deliverBody(self)
        if self.over and self.transport:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.over:
            return
        self.reader.heard()
        try:
            for message in self.parser.feed(data):
                self.reader.message(message.id, message.data)
        except InvalidStreamError as wrong:
            self.end(str(wrong))

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.end("it ended the stream")

    def end(self, why: str) -> None:
        """Let go of it, once: whatever the old connection still brings counts no more."""
        if not self.over:
            self.over = True
            if self.asking:
                self.asking.cancel()
            elif self.transport:
                self.transport.loseConnection()
            self.reader.lost(self, why)


class BusReader:
    """`asked` is called at each answer, right before what it holds of the past comes."""

    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        address: str,
        last: int,
        told: Callable[[Numbered], None],
        asked: Callable[[], None] = lambda: None,
    ) -> None:
        self.agent, self.answered = Agent.usingEndpointFactory(reactor, Endpoints(reactor)), asked
        self.timers, self.address, self.last, self.told = timers, address, last, told
        self.delay, self.stopped, self.away, self.losses = SHORTEST, False, False, 0
        self.hearings = 0  # times that anything came
        self.reading: Reading | None = None
        self.silence: Timer | None = None  # until the bus is held to be lost
        self.next: Timer | None = None  # until it is asked again

    @property
    def url(self) -> bytes:
        return f"http://{self.address}/bus/read".encode()

    def start(self) -> None:
        self.next = None
        if not self.stopped:
            self.watch()
            self.reading = Reading(self)
            if self.reading.over:  # it failed before it had a name
                self.lost(self.reading, "it cannot be asked")

    def stop(self) -> None:
        self.stopped = True
        self.drop("stopped")

    def move(self, address: str) -> None:
        """Read on at another address, at once: the old one tells nothing more, though it stays open."""
        if address == self.address:
            return
        logger.info("bus moves from {} to {}, after event {}", self.address, address, self.last)
        self.address, self.delay = address, SHORTEST
        reading, self.reading = self.reading, None
        if reading:
            reading.end("moved")
        if self.next:
            self.next.cancel()
        self.start()

    def watch(self) -> None:
        if self.silence:
            self.silence.cancel()
        self.silence = self.timers.after(SILENCE, lambda: self.drop("silent"))

    def heard(self) -> None:
        if self.away:
            logger.info("bus read again from event {}, lost {} times so far", self.last, self.losses)
        self.delay, self.away = SHORTEST, False
        self.hearings += 1
        self.watch()

    def drop(self, why: str) -> None:
        if self.reading:
            self.reading.end(why)

    def lost(self, reading: Reading, why: str) -> None:
        if reading is not self.reading:
            return
        self.reading = None
        if self.silence:
            self.silence.cancel()
        if self.stopped:
            return
        self.losses += 1
        if not self.away:  # one line a loss, however long it lasts
            logger.warning("bus lost after event {}: {}; trying again without end", self.last, why)
        self.away = True
        self.next = self.timers.after(self.delay, self.start)
        self.delay = min(2 * self.delay, LONGEST)

    def message(self, number: str, data: str) -> None:
        """One event; what is no event is passed over, what was seen before too."""
        try:
            numbered = read_event(data)
        except InvalidEventError as wrong:
            logger.warning("bus: event {} passed over: {}", number[:20], wrong)
            if number.isascii() and number.isdigit() and len(number) < 19:
                self.last = max(self.last, int(number))
            return
        if numbered.offset > self.last:
            self.last = numbered.offset
            self.told(numbered)
