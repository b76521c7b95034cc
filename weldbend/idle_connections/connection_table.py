"""Records of idle connections: flat arrays indexed by file descriptor, no object per connection. No I/O.

A connection takes about fifty bytes: 15 for its state, the time of its last activity and the counts of its
`ConnectionRecord`, and 12 for its entry in each of the three timer wheels, one per usage class. It is
scheduled only in the wheel of its own usage class, but each wheel may have an entry for every descriptor. The
usage class of a connection depends on its number of requests so far (`policy.usage_class`) and determines its
idle timeout.
"""

from array import array
from collections import deque
from collections.abc import Iterator
from itertools import islice
from typing import NamedTuple

from weldbend.idle_connections.policy import (
    LONG_IDLE_INTERVAL,
    USAGE_CLASSES,
    ConnectionSettings,
    idle_timeout,
    is_short_idle,
    usage_class,
)
from weldbend.idle_connections.timer_wheel import TimerWheel
from weldbend.invariants import check_invariant

# States of a descriptor. They are plain integers rather than an enum since an array holds them as bytes.
ABSENT = 0
IDLE = 1
WAKING = 2

BUCKETS_PER_TIMEOUT = 64  # buckets of a timer wheel in the idle timeout of its usage class
MIN_BUCKET_SECONDS = 0.01
MAX_REQUEST_COUNT = (1 << 32) - 1  # largest value in an array of type "I"
MAX_SMALL_COUNT = 255  # largest value in an array of type "B"
MIN_GROWTH = 256  # smallest number of entries by which the arrays grow


class ConnectionRecord(NamedTuple):
    """Data of a connection that is kept while it is idle, and restored when it wakes.

    Attributes:
        request_count: Number of requests so far.
        rejection_count: Number of requests answered as invalid so far (not those rejected due to overload).
        cancellation_count: Number of consecutive requests that the client cancelled immediately.
        last_active: Time of the last activity; once the connection is queued to be woken, the time at which
            it was found to be readable (seconds of the front's clock).
    """

    request_count: int
    rejection_count: int
    cancellation_count: int
    last_active: float


class ConnectionTable:
    """All idle connections of a front; a slot is the position of a connection in the arrays.

    The number of the slot is that of the connection's file descriptor.

    Attributes:
        settings: Settings for client connections.
        states: State of each slot.
        rejection_counts: Number of requests of each slot that were answered as invalid.
        cancellation_counts: Number of consecutive cancellations of each slot.
        request_counts: Number of requests of each slot.
        last_active: Time of the last activity of each slot (seconds of the front's clock).
        wheels: Timer wheel of each usage class.
        short_idle_queue: Readable connections with a short idle time, in the order of detection.
        long_idle_queue: Readable connections with a long idle time, in the order of detection.
        waking_count: Number of connections that are queued to be woken, or being woken.
        dequeue_count: Number of slots taken from the queues so far.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self.settings = settings
        self.states = array("B")
        self.rejection_counts = array("B")
        self.cancellation_counts = array("B")
        self.request_counts = array("I")
        self.last_active = array("d")
        timeouts = [idle_timeout(settings, usage) for usage in range(USAGE_CLASSES)]
        self.wheels = [
            TimerWheel(timeout, max(timeout / BUCKETS_PER_TIMEOUT, MIN_BUCKET_SECONDS))
            for timeout in timeouts
        ]
        self.short_idle_queue: deque[int] = deque()
        self.long_idle_queue: deque[int] = deque()
        self.waking_count = 0
        self.dequeue_count = 0

    def __len__(self) -> int:
        """Return the number of connections, including those queued to be woken."""
        return sum(map(len, self.wheels)) + self.waking_count

    def __contains__(self, slot: int) -> bool:
        return slot < len(self.states) and self.states[slot] != ABSENT

    def add(self, slot: int, record: ConnectionRecord, now: float) -> None:
        """Add a connection; its counts are capped at the largest values of their arrays."""
        if slot >= len(self.states):
            self.grow(slot)
        check_invariant(self.states[slot] == ABSENT, "a descriptor is added to the idle table once")
        self.states[slot] = IDLE
        self.request_counts[slot] = min(record.request_count, MAX_REQUEST_COUNT)
        self.rejection_counts[slot] = min(record.rejection_count, MAX_SMALL_COUNT)
        self.cancellation_counts[slot] = min(record.cancellation_count, MAX_SMALL_COUNT)
        self.last_active[slot] = record.last_active
        self.schedule_timeout(slot, now)

    def grow(self, slot: int) -> None:
        """Extend all arrays so that they contain a slot."""
        growth = max(slot + 1 - len(self.states), MIN_GROWTH)
        for column in (
            self.states,
            self.rejection_counts,
            self.cancellation_counts,
            self.request_counts,
            self.last_active,
        ):
            column.extend([0] * growth)

    def schedule_timeout(self, slot: int, now: float) -> None:
        """Schedule a connection in the timer wheel for the end of its idle timeout."""
        usage = usage_class(self.request_counts[slot])
        self.wheels[usage].schedule(slot, self.last_active[slot] + idle_timeout(self.settings, usage), now)

    def queue_readable(self, slot: int, now: float) -> bool:
        """Queue a connection to be woken, because bytes or the end of the stream arrived.

        Returns:
            Whether it was queued; False if it is no longer idle.
        """
        if slot >= len(self.states) or self.states[slot] != IDLE:
            return False
        self.wheels[usage_class(self.request_counts[slot])].remove(slot)
        short = is_short_idle(now - self.last_active[slot])
        (self.short_idle_queue if short else self.long_idle_queue).append(slot)
        self.states[slot] = WAKING
        self.last_active[slot] = now
        self.waking_count += 1
        return True

    def next_waking(self) -> int | None:
        """Take the next connection to be woken from the queues; return None if they are empty.

        The connection remains in the state `WAKING` until `remove` or `return_to_idle` is called for it.
        """
        while self.short_idle_queue or self.long_idle_queue:
            self.dequeue_count += 1
            prefers_long_idle = not self.short_idle_queue or self.dequeue_count % LONG_IDLE_INTERVAL == 0
            use_long_idle = self.long_idle_queue and prefers_long_idle
            slot = (self.long_idle_queue if use_long_idle else self.short_idle_queue).popleft()
            # In any other state, the queued connection has been removed, and another may use the slot now.
            if self.states[slot] == WAKING:
                return slot
        return None

    def return_to_idle(self, slot: int, now: float) -> None:
        """Make a connection idle again, because there was nothing to read."""
        self.waking_count -= 1
        self.states[slot] = IDLE
        self.schedule_timeout(slot, now)

    def remove(self, slot: int) -> ConnectionRecord:
        """Remove a connection and return its record."""
        check_invariant(slot in self, "only idle connections are removed from the idle table")
        if self.states[slot] == WAKING:
            self.waking_count -= 1
        else:
            self.wheels[usage_class(self.request_counts[slot])].remove(slot)
        self.states[slot] = ABSENT
        return ConnectionRecord(
            self.request_counts[slot],
            self.rejection_counts[slot],
            self.cancellation_counts[slot],
            self.last_active[slot],
        )

    def expired(self, now: float, limit: int) -> list[int]:
        """Return at most `limit` connections past their idle timeout, without removing them."""
        expired: list[int] = []
        for usage, wheel in enumerate(self.wheels):
            timeout = idle_timeout(self.settings, usage)
            for slot in wheel.pop_due(now, limit - len(expired)):
                if now > self.last_active[slot] + timeout:
                    expired.append(slot)
                wheel.schedule(slot, self.last_active[slot] + timeout, now)
        return expired

    def longest_idle(self, count: int) -> Iterator[int]:
        """Yield up to `count` connections of each usage class, the longest idle first.

        The order is that of the timer wheels, so it is exact only to the length of a bucket.
        """
        for wheel in self.wheels:
            yield from islice(wheel.in_order(), count)
