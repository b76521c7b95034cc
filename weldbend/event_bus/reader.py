"""A client of the event bus that reconnects after each loss and resumes after the last event received.

Each `StreamAttempt` handles one connection and finishes once. While no response arrives, several attempts may
be pending at once (`call_schedule`); the first response ends the others. The bus may move to another address
at any time; it continues its offsets there.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import NotConnectingError
from twisted.internet.protocol import Protocol as Connection
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from weldbend.event_bus.call_schedule import CallSchedule, surplus_call
from weldbend.event_bus.errors import InvalidEventError, InvalidStreamError
from weldbend.event_bus.events import SequencedEvent, read_event
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.event_bus.sse import Parser
from weldbend.event_bus.stream_progress import StreamProgress

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IReactorTCP
    from twisted.web.iweb import IResponse

MIN_RETRY_DELAY = 0.05  # seconds before the first reconnection; doubled for each next, until bytes arrive
MAX_RETRY_DELAY = 0.5  # seconds
CONNECT_TIMEOUT = 1.8  # seconds until a TCP connection must be established
SILENCE_TIMEOUT = 1.8  # seconds without data until a stream is aborted; it has a comment every second
HTTP_OK = 200
MAX_OFFSET_DIGITS = 18  # digits of a message id that is accepted as an offset
MAX_SHOWN_ID = 20  # characters of a message id in a log line


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call; no effect if it has run or was cancelled."""


class Timers(Protocol):
    """The clock and the timers that the reader uses."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def after(self, delay: float, call: Callable[[], object]) -> Timer:
        """Schedule a call after `delay` seconds."""
        ...


@implementer(IAgentEndpointFactory)
class AddressEndpoints:
    """Factory of endpoints for IPv4 addresses; host names are not resolved."""

    def __init__(self, reactor: "IReactorTCP") -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Return the endpoint for a URI whose host is an IPv4 address."""
        return TCP4ClientEndpoint(self.reactor, uri.host.decode(), uri.port, timeout=CONNECT_TIMEOUT)


class StreamAttempt(Connection):
    """One call of the bus: a request, and the event stream in its response."""

    def __init__(self, reader: "BusReader") -> None:
        self.reader = reader
        self.parser = Parser()
        self.started_at = reader.timers.now()
        self.is_finished = False
        # None before the request is sent, and once the response has arrived.
        self.pending_request: Deferred[IResponse] | None = None

    def start(self) -> None:
        """Send the request."""
        reader = self.reader
        headers = Headers({"Last-Event-ID": [str(reader.last_offset)], "Accept": ["text/event-stream"]})
        self.pending_request = reader.agent.request(b"GET", reader.url, headers)
        self.pending_request.addCallbacks(
            self.response_received, lambda failure: self.finish(failure.getErrorMessage())
        )

    def response_received(self, response: "IResponse") -> None:
        """Start to read the body of the response, or finish the attempt if the status is not 200."""
        self.pending_request = None
        if response.code != HTTP_OK:
            self.finish(f"status {response.code}")
        elif not self.is_finished:
            self.reader.response_received(self)
        response.deliverBody(self)  # type: ignore[no-untyped-call, call-arg, misc]  # zope: no self
        if self.is_finished and self.transport:
            self.transport.loseConnection()  # type: ignore[misc]  # zope: no self

    def dataReceived(self, data: bytes) -> None:
        """Pass all complete messages on to the reader; finish the attempt if the stream is invalid."""
        if self.is_finished:
            return
        self.reader.record_activity()
        try:
            for message in self.parser.feed(data):
                self.reader.handle_message(message.id, message.data)
        except InvalidStreamError as error:
            self.finish(str(error))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Finish the attempt, since the bus has ended the stream."""
        self.finish("stream ended")

    def finish(self, reason: str) -> None:
        """Close the connection and report its loss to the reader once.

        Data received afterwards is ignored.
        """
        if not self.is_finished:
            self.is_finished = True
            if self.pending_request:
                # Twisted raises this for a connection whose socket could not be registered with epoll.
                with suppress(NotConnectingError):
                    self.pending_request.cancel()
            elif self.transport:
                self.transport.loseConnection()  # type: ignore[misc]  # zope: no self
            self.reader.attempt_finished(self, reason)


class BusReader:
    """Reader of the bus that runs until it is stopped and retries after each loss.

    It is in one of three phases, each with a timer of its own: it reads a stream, it waits for the response
    to one or more calls, or it waits before the next call.

    Attributes:
        on_event: Callback for each event whose offset is above `last_offset`, so at most one call for each.
        on_connected: Callback for each successful response, called before its missed events are read.
        last_offset: Offset of the last event received.
        loss_count: Number of lost and failed connections.
        receive_count: Number of times that bytes were received.
        max_response_time: Longest time in seconds from a call to its response.
        pending: Attempts without a response, the oldest first.
        stream: Attempt whose stream is being read; None if there is none.
    """

    def __init__(
        self,
        reactor: "IReactorTCP",
        timers: Timers,
        address: str,
        last_offset: int,
        on_event: Callable[[SequencedEvent], None],
        on_connected: Callable[[], None] = lambda: None,
    ) -> None:
        endpoints = AddressEndpoints(reactor)
        self.agent: Agent = Agent.usingEndpointFactory(reactor, endpoints)  # type: ignore[no-untyped-call]
        self.timers = timers
        self.address = address
        self.last_offset = last_offset
        self.on_event = on_event
        self.on_connected = on_connected
        self.retry_delay = MIN_RETRY_DELAY
        self.is_stopped = False
        self.is_lost = False
        self.loss_count = 0
        self.receive_count = 0
        self.max_response_time = 0.0
        self.progress = StreamProgress()
        self.schedule = CallSchedule()
        self.pending: list[StreamAttempt] = []
        self.stream: StreamAttempt | None = None
        self.timer: Timer | None = None  # of the present phase

    @property
    def url(self) -> bytes:
        """The URL of the event stream."""
        return f"http://{self.address}/bus/read".encode()

    @property
    def attempt(self) -> StreamAttempt | None:
        """The latest attempt that has not finished."""
        return self.pending[-1] if self.pending else self.stream

    def start(self) -> None:
        """Call for the first time, or again after a loss or a change of the address."""
        if not self.is_stopped:
            self.progress.connecting()
            self.schedule.reset()
            self._call()

    def stop(self) -> None:
        """Disconnect and do not reconnect."""
        self.is_stopped = True
        self._finish_all("stopped")

    def move(self, address: str) -> None:
        """Reconnect to another address at once; nothing more is read from the old one."""
        if address == self.address:
            return
        logger.info(
            "bus address changed from {} to {}, last event {}", self.address, address, self.last_offset
        )
        self.address = address
        self.retry_delay = MIN_RETRY_DELAY
        self._finish_all("moved")
        self.start()

    # Waiting for a response.

    def _call(self) -> None:
        """Make a call beside those that are pending."""
        attempt = StreamAttempt(self)
        self.pending.append(attempt)
        if surplus := surplus_call(self.pending):
            self.pending.remove(surplus)
            surplus.finish("no response")
        self._set_timer(self.schedule.next_interval(), self._call_again)
        attempt.start()

    def _call_again(self) -> None:
        """Make a further call, since a pending one may have been lost; the slow ones keep their turn."""
        if len(self.pending) == 1:  # one log line for each outage
            waited = self.timers.now() - self.pending[0].started_at
            logger.warning(
                "bus has not responded for {:.1f} s, last event {}; calling again", waited, self.last_offset
            )
        self._call()

    def response_received(self, attempt: StreamAttempt) -> None:
        """Read the stream of an attempt, and finish all others."""
        now = self.timers.now()
        self.max_response_time = max(self.max_response_time, now - attempt.started_at)
        self.pending.remove(attempt)
        self._finish_all("superseded")
        self.stream = attempt
        self.progress.connected(now)
        self._restart_silence_timer()
        self.on_connected()

    # Reading a stream.

    def _restart_silence_timer(self) -> None:
        """Restart the timer that aborts a stream without data."""
        self._set_timer(SILENCE_TIMEOUT, self._abort_silent_stream)

    def _abort_silent_stream(self) -> None:
        if self.stream:
            self.stream.finish("no data received")

    def record_activity(self) -> None:
        """Reset the retry delay and the silence timer after bytes were received."""
        if self.is_lost:
            logger.info(
                "bus reconnected, last event {}, connection losses so far {}",
                self.last_offset,
                self.loss_count,
            )
        self.retry_delay = MIN_RETRY_DELAY
        self.is_lost = False
        self.receive_count += 1
        self.progress.received(self.timers.now())
        self._restart_silence_timer()

    def receipt(self) -> Receipt:
        """Return the receipt of the event for which `on_event` is being called."""
        return self.progress.receipt(self.timers.now())

    # Losses.

    def attempt_finished(self, attempt: StreamAttempt, reason: str) -> None:
        """Schedule the next call if the stream was lost or the last pending attempt has failed."""
        if attempt is self.stream:
            self.stream = None
        elif attempt in self.pending:
            self.pending.remove(attempt)
        else:
            return
        self.loss_count += 1
        if self.pending or self.stream:
            return
        if not self.is_lost:  # one log line for each outage, not for each retry
            logger.warning("bus connection lost after event {}: {}; reconnecting", self.last_offset, reason)
        self.is_lost = True
        self._set_timer(self.retry_delay, self.start)
        self.retry_delay = min(2 * self.retry_delay, MAX_RETRY_DELAY)

    def _finish_all(self, reason: str) -> None:
        """Finish all attempts without scheduling a retry."""
        attempts = [*self.pending, self.stream] if self.stream else self.pending
        self.pending = []
        self.stream = None
        if self.timer:
            self.timer.cancel()
        for attempt in attempts:
            attempt.finish(reason)

    def _set_timer(self, delay: float, call: Callable[[], None]) -> None:
        """Start the timer of the present phase in place of the one before."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.timers.after(delay, call)

    def handle_message(self, message_id: str, data: str) -> None:
        """Call `on_event` for a new event, and ignore one that was received before.

        A malformed event is logged, and not requested again if its message id is an offset.
        """
        try:
            event = read_event(data)
        except InvalidEventError as error:
            logger.warning("malformed bus event {} ignored: {}", message_id[:MAX_SHOWN_ID], error)
            if message_id.isascii() and message_id.isdigit() and len(message_id) <= MAX_OFFSET_DIGITS:
                self.last_offset = max(self.last_offset, int(message_id))
            return
        if event.offset > self.last_offset:
            self.last_offset = event.offset
            self.on_event(event)
