"""Interfaces that client connections use: those of the front that owns them and of their transports."""

from collections.abc import Callable
from typing import Protocol

from weldbend.clients.incoming_calls import Reservation
from weldbend.clients.request import ClientRequest, RequestSource
from weldbend.thrift.messages import Process


class RequestHandler(Protocol):
    """The handler of client requests."""

    def handle_request(self, request: ClientRequest, call: Process) -> None:
        """Start to process a request; unless it is cancelled, exactly one of its answer methods is called.

        Args:
            request: Handle that takes the answer.
            call: The client's call, with the fields and the body of the request.
        """

    def cancel_request(self, request: ClientRequest) -> None:
        """Stop processing a request whose client no longer waits for an answer."""

    def reject_discarded(self, request: ClientRequest) -> None:
        """Reject a request whose fields and body were discarded because memory was too short."""

    def is_serving(self) -> bool:
        """Return whether the port is open and no shutdown has begun, as health checks of clients ask."""


class BufferAccount(Protocol):
    """The account of bytes that are buffered for slow clients."""

    def buffered_changed(self, change: int) -> None:
        """Record a change in the number of bytes that are buffered for clients."""


class MemoryAccount(Protocol):
    """The account of the memory that requests hold."""

    def reserve_call(self, holder: RequestSource, length: int) -> Reservation | None:
        """Reserve memory for a call of `length` bytes that is being received; None if there is not enough."""


class AccessControl(Protocol):
    """The access control that decides which addresses may connect."""

    def is_admitted(self, host: str) -> bool:
        """Return whether a client at this address may connect."""

    def report_ban(self, host: str) -> None:
        """Record that a client at this address was banned for misbehaviour."""


class Scheduler(Protocol):
    """The front's clock and timers."""

    def now(self) -> float:
        """Return the current time in seconds of the front's monotonic clock."""

    def earliest_arrival(self, moment: float) -> float:
        """Return the earliest time at which bytes that are read now, at `moment`, can have arrived."""

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Run `call` once, after `delay` seconds."""


class Address(Protocol):
    """The part of a peer's address that is used; addresses of some families lack it."""

    host: str


class ClientTransport(Protocol):
    """The part of a Twisted TCP server transport that is used; see `twisted.internet.tcp.Server`."""

    @property
    def disconnecting(self) -> int:
        """Non-zero value once `loseConnection` was called."""

    def write(self, data: bytes) -> None:
        """Send bytes, and buffer those that the socket does not accept."""

    def getPeer(self) -> Address:
        """Return the client's address."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Set TCP_NODELAY; if enabled, Nagle's algorithm is off."""

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Register a producer that is paused and resumed as the transport's buffer fills and drains."""

    def unregisterProducer(self) -> None:
        """Stop pausing and resuming the producer."""

    def pauseProducing(self) -> None:
        """Stop reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""

    def loseConnection(self) -> None:
        """Close the connection once all written bytes have been sent."""

    def loseWriteConnection(self) -> None:
        """Close the sending direction once all written bytes have been sent."""

    def abortConnection(self) -> None:
        """Close the connection at once and discard buffered bytes."""
