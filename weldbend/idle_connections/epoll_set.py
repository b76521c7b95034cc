"""The rim of parking: a second epoll set, and descriptors that leave Twisted's transports and come back.

All that touches the system or the inside of a transport is here, so that a stand-in can take its place.
"""

import errno
import os
import select
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import tcp
from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

CHUNK = 1 << 14  # bytes of the first read after a wake; what is left comes through the transport
READY = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLONESHOT
NOTHING = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR)


@implementer(IReadDescriptor)
class Hangups:
    """Hears of the end of connections that are not read for now: behind what lies unread it would be hidden.

    Guards caches against pulls for clients that have gone. Harm: one descriptor more, and none where no
    connection rests.
    """

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.poll: select.epoll | None = None
        self.held: dict[int, Callable[[], None]] = {}  # by descriptor: whom to tell

    def fileno(self) -> int:
        return self.poll.fileno() if self.poll else -1

    def logPrefix(self) -> str:
        return "connections that are not read"

    def heed(self, transport: Any, told: Callable[[], None]) -> None:
        if type(transport) is not tcp.Server or not transport.connected:
            return
        if self.poll is None:
            self.poll = select.epoll()
            self.reactor.addReader(self)
        self.poll.register(transport.fileno(), select.EPOLLRDHUP | select.EPOLLONESHOT)
        self.held[transport.fileno()] = told

    def drop(self, told: Callable[[], None]) -> None:
        """Hear no more of it. A descriptor that was closed meanwhile has left the set by itself."""
        for fd in [fd for fd, held in self.held.items() if held == told]:
            del self.held[fd]
            with suppress(OSError):
                if self.poll:
                    self.poll.unregister(fd)

    def doRead(self) -> None:
        for fd, _ in self.poll.poll(0) if self.poll else ():
            if told := self.held.get(fd):
                self.drop(told)
                told()

    def connectionLost(self, reason: Failure) -> None:
        if self.poll:
            self.reactor.removeReader(self)
            self.poll.close()
            self.poll = None


class Descriptors:
    """Parked sockets as the system knows them; a descriptor is the number of a connection."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.poll = select.epoll()

    def fileno(self) -> int:
        """The set itself is one descriptor, readable as soon as any of those in it is."""
        return self.poll.fileno()

    def release(self, transport: Any) -> int | None:
        """Take a connection out of the reactor and keep its descriptor; None where it cannot be taken.

        One whose transport still has bytes to write stays, and so does one of another kind (a transport in
        memory). The transport is dead afterwards: its protocol hears nothing more from it.
        """
        if type(transport) is not tcp.Server or not transport.connected or transport.disconnecting:
            return None
        if transport.dataBuffer or transport._tempDataBuffer:
            return None
        transport.stopReading()
        transport.stopWriting()
        transport.unregisterProducer()
        fd: int = transport.socket.detach()
        transport.connected, transport.disconnected = 0, 1
        del transport.protocol, transport.socket, transport.fileno  # no circles: freed at once
        self.poll.register(fd, READY)
        return fd

    def adopt(self, fd: int, protocol: Any) -> Any:
        """Give a descriptor a transport again, with its options as they were; it is read from now on."""
        self.poll.unregister(fd)
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
        transport = tcp.Server(held, protocol, ("", 0), None, 0, self.reactor)  # type: ignore[arg-type]
        transport.repstr = f"<woken connection {fd}>"
        return transport

    def ready(self, most: int) -> list[int]:
        """Descriptors with something to read or at their end, each told once until `again` is said."""
        return [fd for fd, _ in self.poll.poll(0, most)]

    def again(self, fd: int) -> None:
        """Tell of it anew when something comes."""
        self.poll.modify(fd, READY)

    def read(self, fd: int) -> bytes | None:
        """The first bytes that wait; none if nothing does, empty at the end, raises OSError if it broke."""
        try:
            return os.read(fd, CHUNK)
        except OSError as wrong:
            if wrong.errno in NOTHING:
                return None
            raise

    def close(self, fd: int) -> None:
        """End a connection; the set forgets it by itself, since nobody else holds the descriptor."""
        os.close(fd)

    def shut(self) -> None:
        self.poll.close()
