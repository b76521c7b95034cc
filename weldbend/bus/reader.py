"""Reads the event bus without end: connects again after every loss, from the last event seen."""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Protocol as Connection
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from weldbend.bus.events import BadEvent, Numbered, read_event
from weldbend.bus.sse import BadStream, Parser

SHORTEST, LONGEST = 0.05, 1.0  # seconds before connecting again
SILENCE = 2.5  # a comment comes each second: after so long without a byte the bus is lost


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
        return TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=LONGEST)


class Stream(Connection):
    """The body of one answer of the bus."""

    def __init__(self, reader: "BusReader") -> None:
        self.reader, self.parser = reader, Parser()

    def dataReceived(self, data: bytes) -> None:
        self.reader.heard()
        try:
            for message in self.parser.feed(data):
                self.reader.message(message.id, message.data)
        except BadStream as wrong:
            self.reader.drop(str(wrong))

    def connectionLost(self, reason: Failure = Failure(Exception())) -> None:  # noqa: B008
        self.reader.lost(self, "it ended the stream")


class BusReader:
    def __init__(
        self, reactor: Any, timers: Timers, address: str, last: int, told: Callable[[Numbered], None]
    ) -> None:
        self.agent = Agent.usingEndpointFactory(reactor, Endpoints(reactor))
        self.timers, self.url, self.last, self.told = (
            timers,
            f"http://{address}/bus/read".encode(),
            last,
            told,
        )
        self.delay, self.stopped, self.away, self.losses = SHORTEST, False, False, 0
        self.stream: Stream | None = None
        self.asking: Deferred[Any] | None = None
        self.silence: Timer | None = None

    def start(self) -> None:
        if self.stopped:
            return
        headers = Headers({"Last-Event-ID": [str(self.last)], "Accept": ["text/event-stream"]})
        self.watch()
        self.asking = self.agent.request(b"GET", self.url, headers)
        self.asking.addCallbacks(self.answered, lambda failure: self.lost(None, failure.getErrorMessage()))

    def stop(self) -> None:
        self.stopped = True
        self.drop()

    def answered(self, response: Any) -> None:
        self.asking = None
        self.stream = Stream(self)
        response.deliverBody(self.stream)
        if response.code != 200:
            self.drop(f"it answers {response.code}")

    def watch(self) -> None:
        if self.silence:
            self.silence.cancel()
        self.silence = self.timers.after(SILENCE, self.drop)

    def heard(self) -> None:
        if self.away:
            logger.info("bus read again from event {}, lost {} times so far", self.last, self.losses)
        self.delay, self.away = SHORTEST, False
        self.watch()

    def drop(self, why: str = "silent") -> None:
        """Let go of a bus that is silent, or talks nonsense."""
        if self.asking:
            self.asking.cancel()
        elif self.stream and self.stream.transport:
            stream, self.stream = self.stream, None
            stream.transport.loseConnection()
            self.again(why)

    def lost(self, stream: Stream | None, why: str) -> None:
        self.asking = None
        if stream is self.stream:
            self.stream = None
            self.again(why)

    def again(self, why: str) -> None:
        if self.silence:
            self.silence.cancel()
        if self.stopped:
            return
        self.losses += 1
        if not self.away:  # one line a loss, however long it lasts
            logger.warning("bus lost after event {}: {}; trying again without end", self.last, why)
        self.away = True
        self.timers.after(self.delay, self.start)
        self.delay = min(2 * self.delay, LONGEST)

    def message(self, number: str, data: str) -> None:
        """One event; what is no event is passed over, what was seen before too."""
        try:
            numbered = read_event(data)
        except BadEvent as wrong:
            logger.warning("bus: event {} passed over: {}", number[:20], wrong)
            if number.isascii() and number.isdigit() and len(number) < 19:
                self.last = max(self.last, int(number))
            return
        if numbered.offset > self.last:
            self.last = numbered.offset
            self.told(numbered)
