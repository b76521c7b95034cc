"""System calls for idle connections: a second epoll set, and descriptors detached from Twisted's transports.

All access to the system and to the inside of a transport is here, so that tests can replace it.
"""

import errno
import os
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Protocol

from twisted.internet import tcp
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.invariants import anomalies
from weldbend.socket_errors import WOULD_BLOCK_ERRORS

if TYPE_CHECKING:
    from twisted.internet.protocol import Protocol as ConnectionProtocol

FIRST_READ_BYTES = 1 << 14  # read when a connection wakes; the rest arrives through its transport
READABLE_ONCE = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
HANGUP_ONCE = select.EPOLLRDHUP | select.EPOLLONESHOT
NOTHING_TO_READ = (*WOULD_BLOCK_ERRORS, errno.EINTR)


# Name of the anomaly counter, as it appears in the log.
UNWATCHED_CLIENTS = "clients whose end cannot be watched"


def poll_now(epoll: select.epoll, limit: int = -1) -> list[tuple[int, int]]:
    """Return what is ready, and nothing where a signal came between: it is reported next time.

    Guards the reader that an epoll set is for the reactor, which drops one that raises. Harm: none known.
    """
    try:
        return epoll.poll(0, limit)
    except InterruptedError:
        return []


class Reactor(Protocol):
    """What this package calls on Twisted's reactor."""

    def addReader(self, reader: object) -> object:
        """Watch a descriptor for bytes."""

    def removeReader(self, reader: object) -> object:
        """Stop watching a descriptor."""

    def callLater(self, delay: float, callback: Callable[..., object], *args: object) -> object:
        """Schedule a call in `delay` seconds."""


@implementer(IReadDescriptor)
class HangupWatcher:
    """Notifies of the end of connections that are not read for now; unread bytes would hide it.

    Protects caches against attempts for clients that have disconnected. Cost: one more descriptor, and only
    while some connection is not read.
    """

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.epoll: select.epoll | None = None
        self.callbacks: dict[int, Callable[[], None]] = {}  # by descriptor

    def fileno(self) -> int:
        """Return the descriptor of the epoll set, or -1 before it is needed."""
        return self.epoll.fileno() if self.epoll else -1

    def logPrefix(self) -> str:
        """Return the name under which Twisted logs about this reader."""
        return "connections that are not read"

    def watch(self, transport: object, callback: Callable[[], None]) -> None:
        """Call back once when the peer ends the connection; ignored for other kinds of transports.

        Where the system has no descriptor or memory left for it, the end is noticed when the client is read.
        """
        if type(transport) is not tcp.Server or not transport.connected:
            return
        try:
            self._register(transport.fileno())
        except OSError:
            anomalies[UNWATCHED_CLIENTS] += 1
        else:
            self.callbacks[transport.fileno()] = callback

    def _register(self, fd: int) -> None:
        if self.epoll is None:
            epoll = select.epoll()
            self.epoll = epoll
            self.reactor.addReader(self)
        self.epoll.register(fd, HANGUP_ONCE)

    def unwatch(self, callback: Callable[[], None]) -> None:
        """Stop watching; a descriptor that was closed meanwhile has left the set by itself."""
        for fd in [fd for fd, registered in self.callbacks.items() if registered == callback]:
            del self.callbacks[fd]
            with suppress(OSError):
                if self.epoll:
                    self.epoll.unregister(fd)

    def doRead(self) -> None:
        """Call back for each connection that has ended."""
        for fd, _ in poll_now(self.epoll) if self.epoll else ():
            if callback := self.callbacks.get(fd):
                self.unwatch(callback)
                callback()

    def connectionLost(self, reason: Failure) -> None:
        """Close the epoll set when the reactor ends."""
        if self.epoll:
            self.reactor.removeReader(self)
            self.epoll.close()
            self.epoll = None


class EpollSet:
    """The sockets of idle connections; a connection is identified by its descriptor."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.epoll = select.epoll()

    def fileno(self) -> int:
        """Return the set's own descriptor, which is readable as soon as any connection in it is."""
        return self.epoll.fileno()

    def detach(self, transport: object) -> int | None:
        """Remove a connection from the reactor, and keep its descriptor.

        The transport is dead afterwards: its protocol receives nothing more from it.

        Returns:
            The descriptor; None if the transport has bytes left to send, is closing, or is not a socket's
            (one in memory), or if the system cannot watch one more.
        """
        if type(transport) is not tcp.Server or not transport.connected or transport.disconnecting:
            return None
        # Twisted has no public access to what was written but not sent yet.
        if transport.dataBuffer or transport._tempDataBuffer:  # noqa: SLF001
            return None
        try:
            self.epoll.register(transport.fileno(), READABLE_ONCE)
        except OSError:
            return None
        transport.stopReading()  # type: ignore[no-untyped-call]  # Twisted's method has no hints
        transport.stopWriting()  # type: ignore[no-untyped-call]  # Twisted's method has no hints
        transport.unregisterProducer()  # type: ignore[no-untyped-call]  # Twisted's method has no hints
        fd: int = transport.socket.detach()
        transport.connected = 0
        transport.disconnected = 1
        del transport.protocol, transport.socket, transport.fileno  # no reference cycles: freed at once
        return fd

    def attach(self, fd: int, protocol: "ConnectionProtocol") -> tcp.Server:
        """Return a new transport for a descriptor, with its socket options unchanged; reading starts.

        Raises:
            OSError: The reactor cannot watch it; the connection is closed.
        """
        self.epoll.unregister(fd)
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
        # Twisted's interfaces are nominal to mypy; the port (None) is used for its address only.
        try:
            transport = tcp.Server(connection, protocol, ("", 0), None, 0, self.reactor)  # type: ignore[arg-type]
        except OSError:
            connection.close()
            raise
        transport.repstr = f"<woken connection {fd}>"
        return transport

    def poll_readable(self, limit: int) -> list[int]:
        """Return descriptors with bytes to read or at their end, each once until `rearm`."""
        return [fd for fd, _ in poll_now(self.epoll, limit)]

    def rearm(self, fd: int) -> None:
        """Report a descriptor again when it next becomes readable; raises OSError on failure."""
        self.epoll.modify(fd, READABLE_ONCE)

    def read(self, fd: int) -> bytes | None:
        """Read the first bytes that wait.

        Returns:
            The bytes; empty at the connection's end, None if there is nothing to read.

        Raises:
            OSError: The connection has failed.
        """
        try:
            return os.read(fd, FIRST_READ_BYTES)
        except OSError as error:
            if error.errno in NOTHING_TO_READ:
                return None
            raise

    def close(self, fd: int) -> None:
        """Close a connection; it leaves the set by itself, since nothing else holds the descriptor.

        Linux frees the descriptor also where close(2) reports an error.
        """
        with suppress(OSError):
            os.close(fd)

    def close_set(self) -> None:
        """Close the epoll set."""
        self.epoll.close()
