"""The parked connections: out of the reactor's table, in one epoll set that is itself one reader of it.

What becomes readable is noted at once and in order, and woken a batch a turn; how long it waited for that is
known for each. What ends while parked is closed without ever becoming an object again.
"""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.idle_connections.connection_table import PARKED, Memory, Table
from weldbend.idle_connections.policy import Pace, Terms
from weldbend.invariants import anomalies

NOTED = 1024  # descriptors noted as ready in one go


class EpollSet(Protocol):
    """What `weldbend.idle_connections.epoll_set` does for the lot; see there."""

    def fileno(self) -> int: ...
    def release(self, transport: Any) -> int | None: ...
    def adopt(self, fd: int, protocol: Any) -> Any: ...
    def ready(self, most: int) -> list[int]: ...
    def again(self, fd: int) -> None: ...
    def read(self, fd: int) -> bytes | None: ...
    def close(self, fd: int) -> None: ...
    def shut(self) -> None: ...


@implementer(IReadDescriptor)
class IdlePool:
    """Parks connections and wakes them.

    `woken(fd, memory, data)` is told of each that brought bytes: it adopts the descriptor. `ended()` is told
    after some have closed. `now` gives the front's time in seconds.
    """

    def __init__(
        self,
        reactor: Any,
        rim: EpollSet,
        terms: Terms,
        now: Callable[[], float],
        woken: Callable[[int, Memory, bytes], None],
        ended: Callable[[], None],
    ) -> None:
        self.reactor, self.rim, self.now, self.woken, self.ended = reactor, rim, now, woken, ended
        self.table, self.pace = Table(terms), Pace(terms.wakes)
        self.planned = self.reading = False
        self.most = self.wakes = 0
        self.latest = 0.0  # seconds that one waited to be woken, at most

    def count(self) -> int:
        return len(self.table)

    # What the reactor asks of a reader.

    def fileno(self) -> int:
        return self.rim.fileno()

    def logPrefix(self) -> str:
        return "parked connections"

    def doRead(self) -> None:
        self.note()
        if not self.planned:
            self.wake()

    def connectionLost(self, reason: Failure) -> None:
        self.stop()

    # Parking and waking.

    def park(self, transport: Any, memory: Memory) -> bool:
        """Take a connection in; false where its transport cannot let go of it now."""
        fd = self.rim.release(transport)
        if fd is None:
            return False
        if not self.reading:
            self.reading = True
            self.reactor.addReader(self)
        self.table.enter(fd, memory, self.now())
        self.most = max(self.most, len(self.table))
        return True

    def note(self) -> int:
        """Note what has become readable since; how many that is."""
        now, found = self.now(), self.rim.ready(NOTED)
        for fd in found:
            self.table.ready(fd, now)
        return len(found)

    def plan(self) -> None:
        if not self.planned:
            self.planned = True
            self.reactor.callLater(0, self.wake)

    def wake(self) -> None:
        """Wake one batch; the rest in turns to come, so that the reactor gets round to the busy between."""
        self.planned = False
        for _ in range(self.pace.batch(self.now(), self.table.waking)):
            if (fd := self.table.wake()) is None:
                break
            self.rouse(fd)
        if self.table.waking:
            self.plan()

    def rouse(self, fd: int) -> None:
        """One that was noted: bytes make it a connection again, an end closes it."""
        try:
            data = self.rim.read(fd)
        except OSError:
            data = b""
            anomalies["parked connections that broke"] += 1
        if data:
            memory = self.table.leave(fd)
            self.wakes += 1
            self.latest = max(self.latest, self.now() - memory.heard)
            self.woken(fd, memory, data)
        elif data is None:
            self.table.back(fd, self.now())
            self.rim.again(fd)
        else:
            self.shed(fd)
            self.ended()

    def shed(self, fd: int) -> Memory:
        memory = self.table.leave(fd)
        self.rim.close(fd)
        return memory

    def dismiss(self, fd: int) -> bool:
        """Close one as idle, unless something has come on it in this very moment: that wakes it instead."""
        if self.table.state[fd] != PARKED:
            return False
        try:
            data = self.rim.read(fd)
        except OSError:
            data = b""
        if not data:
            self.shed(fd)
            return True
        self.table.ready(fd, self.now())
        self.woken(fd, self.table.leave(fd), data)
        return False

    def expire(self, most: int) -> tuple[int, int]:
        """Close at most so many idle for too long: how many were due, and how many of those never spoke."""
        self.note()
        due, mute = self.table.due(self.now(), most), 0
        for fd in due:
            silent = not self.table.calls[fd]
            mute += self.dismiss(fd) and silent
        return len(due), mute

    def still(self) -> bool:
        """Whether nothing waits to be read on any parked connection."""
        self.note()
        return not self.table.waking

    def close_some(self, most: int) -> int:
        """Close so many, whoever they are: the front ends."""
        count = 0
        for fd in list(self.table.longest(most))[:most]:
            count += self.dismiss(fd)
        return count

    def stop(self) -> None:
        if self.reading:
            self.reading = False
            self.reactor.removeReader(self)
            self.rim.shut()
