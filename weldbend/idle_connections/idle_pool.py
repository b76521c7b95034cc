"""Pool of idle connections, which the reactor sees as a single reader: the epoll set that contains them.

Connections that become readable are queued immediately, in the order in which the epoll set reports them.
They are woken in batches, one batch in each event-loop iteration. To wake a connection is to read its first
bytes and pass it to `on_woken`, which makes it live again. The longest time from readable to woken is
recorded. A connection that ends while idle is closed without creating a protocol object for it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from twisted.internet.interfaces import IReadDescriptor
from twisted.python.failure import Failure
from zope.interface import implementer

from weldbend.idle_connections.connection_table import IDLE, ConnectionRecord, ConnectionTable
from weldbend.idle_connections.epoll_set import Reactor
from weldbend.idle_connections.policy import ConnectionSettings, WakeBatchSizer
from weldbend.invariants import anomalies

if TYPE_CHECKING:
    from twisted.internet import tcp
    from twisted.internet.protocol import Protocol as ConnectionProtocol

# Name of the anomaly counter, as it appears in the log.
FAILED_IDLE_CONNECTIONS = "idle connections that failed"
POLL_BATCH = 1024  # largest number of descriptors queued as readable in one poll


class DescriptorSet(Protocol):
    """The system calls that the pool needs; see `weldbend.idle_connections.epoll_set.EpollSet`."""

    def fileno(self) -> int:
        """Return the set's own descriptor."""
        ...

    def detach(self, transport: object) -> int | None:
        """Remove a connection from the reactor; None if that is not possible now."""
        ...

    def attach(self, fd: int, protocol: "ConnectionProtocol") -> "tcp.Server":
        """Return a new transport for a descriptor; raises OSError if it cannot be watched."""
        ...

    def poll_readable(self, limit: int) -> list[int]:
        """Return descriptors that have become readable."""
        ...

    def rearm(self, fd: int) -> None:
        """Enable the next report that a descriptor is readable; raises OSError on failure."""

    def read(self, fd: int) -> bytes | None:
        """Read bytes; empty at the end, None if there is nothing to read, raises OSError on failure."""
        ...

    def close(self, fd: int) -> None:
        """Close a connection."""

    def close_set(self) -> None:
        """Close the set."""


@implementer(IReadDescriptor)
class IdlePool:
    """Holds idle connections, wakes them when they become readable, and closes them.

    Attributes:
        reactor: Reactor to which the pool is added as a reader.
        descriptors: Provider of the system calls.
        on_woken: Function called with descriptor, record and first bytes of each connection that received
            bytes; it attaches the descriptor to a transport.
        on_closed: Function called after a connection was closed because its peer ended it.
        now: Function that returns the front's time in seconds.
        table: Records of the idle connections.
        batch_sizer: Source of the size of each batch.
        is_wake_scheduled: Whether a batch is scheduled for the next event-loop iteration.
        is_reading: Whether the pool is a reader of the reactor.
        peak_size: Largest number of idle connections so far.
        wake_count: Number of connections woken by bytes so far.
        max_wake_delay: Longest time so far from readable to woken (seconds).
    """

    def __init__(
        self,
        reactor: Reactor,
        descriptors: DescriptorSet,
        settings: ConnectionSettings,
        now: Callable[[], float],
        on_woken: Callable[[int, ConnectionRecord, bytes], None],
        on_closed: Callable[[], None],
    ) -> None:
        self.reactor = reactor
        self.descriptors = descriptors
        self.now = now
        self.on_woken = on_woken
        self.on_closed = on_closed
        self.table = ConnectionTable(settings)
        self.batch_sizer = WakeBatchSizer(settings.wake_batch)
        self.is_wake_scheduled = False
        self.is_reading = False
        self.peak_size = 0
        self.wake_count = 0
        self.max_wake_delay = 0.0

    def count(self) -> int:
        """Return the number of idle connections."""
        return len(self.table)

    # Twisted's IReadDescriptor.

    def fileno(self) -> int:
        """Return the descriptor of the epoll set."""
        return self.descriptors.fileno()

    def logPrefix(self) -> str:
        """Return the name under which Twisted logs about this reader."""
        return "idle connections"

    def doRead(self) -> None:
        """Queue connections that became readable, and wake a batch unless one is scheduled."""
        self.queue_readable()
        if not self.is_wake_scheduled:
            self.wake_batch()

    def connectionLost(self, reason: Failure) -> None:
        """Close the pool when the reactor stops."""
        self.stop()

    # Adding and waking.

    def add(self, transport: object, record: ConnectionRecord) -> bool:
        """Move a connection into the pool; False if its transport cannot be detached now."""
        fd = self.descriptors.detach(transport)
        if fd is None:
            return False
        if not self.is_reading:
            self.is_reading = True
            self.reactor.addReader(self)
        self.table.add(fd, record, self.now())
        self.peak_size = max(self.peak_size, len(self.table))
        return True

    def queue_readable(self) -> int:
        """Queue connections that have become readable, and return how many were reported."""
        now = self.now()
        readable = self.descriptors.poll_readable(POLL_BATCH)
        for fd in readable:
            self.table.queue_readable(fd, now)
        return len(readable)

    def queue_and_schedule(self) -> None:
        """Queue connections that have become readable, and schedule a batch to wake them.

        Used when the pool polls the set without a call from the reactor. The set reports each descriptor only
        once, so the reactor would not call `doRead` for these connections any more, and their requests would
        stay unread until another descriptor becomes readable. Scheduling the batch has no known drawback.
        """
        if self.queue_readable():
            self.schedule_wake()

    def schedule_wake(self) -> None:
        """Schedule a batch for the next event-loop iteration, unless one is scheduled."""
        if not self.is_wake_scheduled:
            self.is_wake_scheduled = True
            self.reactor.callLater(0, self.wake_batch)

    def wake_batch(self) -> None:
        """Wake one batch; later iterations wake the rest, so that active connections are served between."""
        self.is_wake_scheduled = False
        for _ in range(self.batch_sizer.next_size(self.now(), self.table.waking_count)):
            if (fd := self.table.next_waking()) is None:
                break
            self.wake(fd)
        if self.table.waking_count:
            self.schedule_wake()

    def wake(self, fd: int) -> None:
        """Read from a queued connection, and pass it on with its bytes, or close it at its end or a failure.

        If there is nothing to read, it stays idle.
        """
        try:
            data = self.descriptors.read(fd)
        except OSError:
            data = b""
            anomalies[FAILED_IDLE_CONNECTIONS] += 1
        if data:
            record = self.table.remove(fd)
            self.wake_count += 1
            self.max_wake_delay = max(self.max_wake_delay, self.now() - record.last_active)
            self.on_woken(fd, record, data)
        elif data is None and self._rearm(fd):
            self.table.return_to_idle(fd, self.now())
        else:
            self.close(fd)
            self.on_closed()

    def _rearm(self, fd: int) -> bool:
        """Enable the next report that a descriptor is readable; return False if that fails."""
        try:
            self.descriptors.rearm(fd)
        except OSError:
            anomalies[FAILED_IDLE_CONNECTIONS] += 1
            return False
        return True

    # Closing.

    def close(self, fd: int) -> ConnectionRecord:
        """Close a connection and return its last record."""
        record = self.table.remove(fd)
        self.descriptors.close(fd)
        return record

    def close_if_idle(self, fd: int) -> bool:
        """Close a connection, or wake it if bytes have just arrived on it.

        Returns:
            Whether it was closed.
        """
        if self.table.states[fd] != IDLE:
            return False
        try:
            data = self.descriptors.read(fd)
        except OSError:
            data = b""
        if not data:
            self.close(fd)
            return True
        self.table.queue_readable(fd, self.now())
        self.on_woken(fd, self.table.remove(fd), data)
        return False

    def close_expired(self, limit: int) -> tuple[int, int]:
        """Close at most `limit` connections that are past their idle timeout.

        Returns:
            The number of connections that were due, and the number of those closed that never sent a request.
        """
        self.queue_and_schedule()
        expired = self.table.expired(self.now(), limit)
        silent_count = 0
        for fd in expired:
            is_silent = not self.table.request_counts[fd]
            silent_count += self.close_if_idle(fd) and is_silent
        return len(expired), silent_count

    def has_nothing_to_read(self) -> bool:
        """Return whether no idle connection has bytes or an end to read."""
        self.queue_and_schedule()
        return not self.table.waking_count

    def close_longest_idle(self, limit: int) -> int:
        """Close at most `limit` connections when the front stops, the longest idle of each class first.

        Returns:
            The number of connections that were closed.
        """
        closed = 0
        for fd in list(self.table.longest_idle(limit))[:limit]:
            closed += self.close_if_idle(fd)
        return closed

    def stop(self) -> None:
        """Remove the pool from the reactor and close the epoll set."""
        if self.is_reading:
            self.is_reading = False
            self.reactor.removeReader(self)
            self.descriptors.close_set()
