"""System calls for idle connections: an epoll set beside the reactor's, and descriptors without a transport.

This module contains all system calls of this package and all its access to internals of a transport, so that
tests can replace them.
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

FIRST_READ_BYTES = 1 << 14  # bytes read at most when a connection is woken; its new transport reads the rest
READABLE_ONCE = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
HANGUP_ONCE = select.EPOLLRDHUP | select.EPOLLONESHOT
NOTHING_TO_READ = (*WOULD_BLOCK_ERRORS, errno.EINTR)

# Name of the anomaly counter, as it appears in the log. It counts clients whose disconnect would not be
# noticed while reading from them is paused.
UNWATCHED_CLIENTS = "clients whose end cannot be watched"


def poll_now(epoll: select.epoll, limit: int = -1) -> list[tuple[int, int]]:
    """Return the events that are ready, or none if a signal interrupts the call; the next call reports them.

    An exception here would stop the watching of all connections in the set: the set is a reader of the
    reactor, which removes a reader that raises an exception. Returning none has no known drawback.
    """
    try:
        return epoll.poll(0, limit)
    except InterruptedError:
        return []


class Reactor(Protocol):
    """The methods of Twisted's reactor that this package calls."""

    def addReader(self, reader: object) -> object:
        """Start watching a descriptor for bytes to read."""

    def removeReader(self, reader: object) -> object:
        """Stop watching a descriptor."""

    def callLater(self, delay: float, callback: Callable[..., object], *args: object) -> object:
        """Schedule a call after `delay` seconds."""


@implementer(IReadDescriptor)
class HangupWatcher:
    """Detects that clients disconnect while reading from them is paused.

    Without it, unread bytes would hide the end of the connection, and caches would receive attempts for
    clients that have disconnected. Side effect: one more descriptor, which is opened when it is first needed.

    Attributes:
        reactor: Reactor to which the epoll set is added.
        epoll: The epoll set; None before it is needed.
        callbacks: Function to call at the end of each watched connection, by descriptor.
    """

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.epoll: select.epoll | None = None
        self.callbacks: dict[int, Callable[[], None]] = {}

    def fileno(self) -> int:
        """Return the descriptor of the epoll set, or -1 if there is none yet."""
        return self.epoll.fileno() if self.epoll else -1

    def logPrefix(self) -> str:
        """Return the name under which Twisted logs about this reader."""
        return "connections that are not read"

    def watch(self, transport: object, callback: Callable[[], None]) -> None:
        """Call `callback` once when the peer ends the connection; transports without a socket are ignored.

        If the system has no descriptor or memory left for this, the end is detected only when the connection
        is read again.
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
        """Stop watching the connection that was registered with this callback.

        The kernel removes a descriptor from the epoll set when it is closed; the error of `unregister` is
        then ignored.
        """
        for fd in [fd for fd, registered in self.callbacks.items() if registered == callback]:
            del self.callbacks[fd]
            with suppress(OSError):
                if self.epoll:
                    self.epoll.unregister(fd)

    def doRead(self) -> None:
        """Call the callback of each connection that its peer has ended or that has failed."""
        for fd, _ in poll_now(self.epoll) if self.epoll else ():
            if callback := self.callbacks.get(fd):
                self.unwatch(callback)
                callback()

    def connectionLost(self, reason: Failure) -> None:
        """Close the epoll set when the reactor stops."""
        if self.epoll:
            self.reactor.removeReader(self)
            self.epoll.close()
            self.epoll = None


class EpollSet:
    """The epoll set of idle connections; a connection is identified by its descriptor."""

    def __init__(self, reactor: Reactor) -> None:
        self.reactor = reactor
        self.epoll = select.epoll()

    def fileno(self) -> int:
        """Return the set's own descriptor.

        It is readable while a connection has bytes or an end to read that the set has not reported since the
        connection was added or last passed to `rearm`.
        """
        return self.epoll.fileno()

    def detach(self, transport: object) -> int | None:
        """Remove a connection from the reactor, and keep its descriptor open.

        The transport cannot be used afterwards, and its protocol receives no more calls from it.

        Returns:
            The descriptor; None if the transport has bytes left to send, is disconnecting or disconnected, or
            has no socket (in tests, a transport in memory), or if its descriptor cannot be added to the epoll
            set.
        """
        if type(transport) is not tcp.Server or not transport.connected or transport.disconnecting:
            return None
        # Twisted has no public access to bytes that were written but not sent yet.
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
        # Deleting the references avoids a cycle, so that the memory is freed immediately.
        del transport.protocol, transport.socket, transport.fileno
        return fd

    def attach(self, fd: int, protocol: "ConnectionProtocol") -> tcp.Server:
        """Return a new transport that reads from a descriptor; its socket options are unchanged.

        Raises:
            OSError: The reactor cannot watch the descriptor; the connection has been closed.
        """
        self.epoll.unregister(fd)
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
        # mypy treats Twisted's interfaces as nominal types. The arguments after the protocol are the peer's
        # address, the listening port and the connection's serial number. Twisted uses the port only to build
        # `repstr`, the transport's name in logs, which is set below; None makes it skip that.
        try:
            transport = tcp.Server(connection, protocol, ("", 0), None, 0, self.reactor)  # type: ignore[arg-type]
        except OSError:
            connection.close()
            raise
        transport.repstr = f"<woken connection {fd}>"
        return transport

    def poll_readable(self, limit: int) -> list[int]:
        """Return at most `limit` descriptors with bytes or an end to read, each only once until `rearm`."""
        return [fd for fd, _ in poll_now(self.epoll, limit)]

    def rearm(self, fd: int) -> None:
        """Enable the next report that a descriptor is readable; raises OSError on failure."""
        self.epoll.modify(fd, READABLE_ONCE)

    def read(self, fd: int) -> bytes | None:
        """Read bytes that have arrived, at most `FIRST_READ_BYTES`.

        Returns:
            The bytes; empty at the end of the connection, None if there is nothing to read.

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
        """Close a connection.

        The kernel removes it from the set, since no other descriptor refers to the socket. Errors are
        ignored: Linux frees the descriptor even if close(2) reports one.
        """
        with suppress(OSError):
            os.close(fd)

    def close_set(self) -> None:
        """Close the epoll set."""
        self.epoll.close()
