"""Interfaces to the process that a fleet runs in: time, random bytes and sockets.

The reactor's own interfaces (zope) have no argument types for mypy, so the methods used are declared here.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.protocol import ClientFactory, DatagramProtocol, ServerFactory


class Timers(Protocol):
    """Monotonic time in seconds, and delayed calls."""

    def now(self) -> float:
        """Return the current monotonic time in seconds."""

    def after(self, delay: float, call: Callable[[], object]) -> object:
        """Schedule one call of a function in `delay` seconds."""


class ListeningPort(Protocol):
    """An open listening port."""

    def stopListening(self) -> object:
        """Close the port."""


class Reactor(Protocol):
    """The methods of Twisted's reactor that open sockets."""

    def listenTCP(self, port: int, factory: ServerFactory, *, interface: str) -> ListeningPort:
        """Accept connections on a port."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Open a connection; `timeout` is in seconds."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, *, interface: str, maxPacketSize: int
    ) -> ListeningPort:
        """Receive datagrams on a port."""


class StreamTransport(Protocol):
    """The methods that a protocol calls on its TCP transport."""

    def write(self, data: bytes) -> object:
        """Queue bytes."""

    def setTcpNoDelay(self, enabled: bool) -> object:
        """Enable or disable TCP_NODELAY, which sends small segments at once."""

    def registerProducer(self, producer: object, streaming: bool) -> object:
        """Register a producer that the transport pauses and resumes."""

    def loseConnection(self) -> object:
        """Close the connection after all queued bytes are written."""

    def abortConnection(self) -> object:
        """Close the connection at once."""


class DatagramTransport(Protocol):
    """The methods that a protocol calls on its UDP transport."""

    def write(self, datagram: bytes, address: tuple[str, int]) -> object:
        """Send a datagram."""


@dataclass(frozen=True, slots=True)
class Runtime:
    """The runtime environment of a fleet.

    Attributes:
        reactor: source of sockets.
        timers: monotonic time and delayed calls.
        random_bytes: function that returns a number of cryptographically secure random bytes.
    """

    reactor: Reactor
    timers: Timers
    random_bytes: Callable[[int], bytes] = os.urandom
