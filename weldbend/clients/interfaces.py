"""What client connections need of the front that owns them, and of the transports below them."""

from collections.abc import Callable
from typing import Protocol

from weldbend.clients.request import ClientRequest


class RequestHandler(Protocol):
    """Handles the requests that clients send."""

    def handle_request(self, request: ClientRequest) -> None:
        """Start work on a request; exactly one answer method of it is called later, or none if cancelled."""

    def cancel_request(self, request: ClientRequest) -> None:
        """Stop work on a request: its client waits for no answer any more."""

    def is_serving(self) -> bool:
        """Whether new requests are welcome; the answer to a client's health check."""


class BufferAccount(Protocol):
    """Adds up the answers that wait for slow readers."""

    def buffered_changed(self, change: int) -> None:
        """Account for a change, in bytes, of what is buffered for clients."""


class AccessControl(Protocol):
    """Decides which addresses may connect."""

    def is_admitted(self, host: str) -> bool:
        """Whether a client at this address may connect."""

    def report_ban(self, host: str) -> None:
        """Record that a client at this address was banned for misbehaviour."""


class Scheduler(Protocol):
    """The front's time and timers."""

    def now(self) -> float:
        """The present moment in seconds of the front's monotonic clock."""

    def earliest_arrival(self, moment: float) -> float:
        """The earliest moment at which bytes that are read at `moment`, the present, can have come."""

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Run `call` once, after `delay` seconds."""


class Address(Protocol):
    """The part of a peer's address that is used here; addresses of other families may lack it."""

    host: str


class ClientTransport(Protocol):
    """What is used of a Twisted TCP server transport; see `twisted.internet.tcp.Server`."""

    @property
    def disconnecting(self) -> int:
        """Not 0 once `loseConnection` was called."""

    def write(self, data: bytes) -> None:
        """Send bytes, buffering what the socket does not accept."""

    def getPeer(self) -> Address:
        """The client's address."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Switch Nagle's algorithm off or on."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Have the transport pause and resume this producer as its buffer fills and drains."""

    def unregisterProducer(self) -> None:
        """Stop pausing and resuming the producer."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Go on reading."""

    def loseConnection(self) -> None:
        """Close when all that was written has left."""

    def loseWriteConnection(self) -> None:
        """Close the sending direction when all that was written has left."""

    def abortConnection(self) -> None:
        """Close at once, dropping what is buffered."""
