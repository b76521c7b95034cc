"""What the fleet needs of the process that it runs in: time, randomness and sockets.

The reactor's interfaces (zope) give mypy no types of arguments, so those that are used are written down here.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.protocol import ClientFactory, DatagramProtocol, ServerFactory


class Timers(Protocol):
    """Steady time in seconds, and calls after a delay."""

    def now(self) -> float:
        """The present moment."""

    def after(self, delay: float, call: Callable[[], object]) -> object:
        """Call it once, `delay` seconds from now."""


class ListeningPort(Protocol):
    """An open port."""

    def stopListening(self) -> object:
        """Close it."""


class Reactor(Protocol):
    """The part of Twisted's reactor that opens sockets."""

    def listenTCP(self, port: int, factory: ServerFactory, *, interface: str) -> ListeningPort:
        """Accept connections."""

    def connectTCP(self, host: str, port: int, factory: ClientFactory, timeout: float) -> object:
        """Open one connection; `timeout` in seconds."""

    def listenUDP(
        self, port: int, protocol: DatagramProtocol, *, interface: str, maxPacketSize: int
    ) -> ListeningPort:
        """Receive datagrams."""


class StreamTransport(Protocol):
    """What a protocol calls on its TCP connection."""

    def write(self, data: bytes) -> object:
        """Queue bytes."""

    def setTcpNoDelay(self, enabled: bool) -> object:
        """Send small segments at once."""

    def registerProducer(self, producer: object, streaming: bool) -> object:
        """Have the transport pause and resume who writes to it."""

    def loseConnection(self) -> object:
        """Close it once all is written."""

    def abortConnection(self) -> object:
        """Close it at once."""


class DatagramTransport(Protocol):
    """What a protocol calls on its UDP port."""

    def write(self, datagram: bytes, address: tuple[str, int]) -> object:
        """Send one datagram."""


@dataclass(frozen=True, slots=True)
class Runtime:
    """What a fleet runs on; `random_bytes` gives as many unforeseeable bytes as it is asked for."""

    reactor: Reactor
    timers: Timers
    random_bytes: Callable[[int], bytes] = os.urandom
