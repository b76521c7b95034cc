"""Messages that wait for one peer: bounded, and by priority. No I/O.

A peer that reads slowly or not at all costs this front a bounded number of bytes and nothing else. Where
that bound is met, what is superseded or can be requested again is dropped first, critical changes last; a
comparison later finds whatever was dropped.
"""

from collections import Counter, deque
from enum import IntEnum


class Priority(IntEnum):
    """What is dropped first where an outbox is full: lower ones before higher ones."""

    COMPARISON = 0  # superseded by the next one
    SNAPSHOT = 1  # requested again
    CHANGE = 2  # found missing by a comparison
    CRITICAL = 3  # purges, drains, starts, ejections: dropped last


class Outbox:
    """A bounded queue of messages.

    Attributes:
        size: bytes that wait.
        dropped: messages that were dropped, by the name of their priority.
    """

    def __init__(self, capacity: int) -> None:
        """Make an empty outbox for so many bytes."""
        self.size = 0
        self.dropped: Counter[str] = Counter()
        self._capacity = capacity
        self._queues: dict[Priority, deque[bytes]] = {priority: deque() for priority in Priority}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def put(self, data: bytes, priority: Priority) -> bool:
        """Queue a message; False where it was dropped, because all that waits has its priority or more."""
        if priority is Priority.COMPARISON:  # only the newest is worth anything
            self._drop(priority, len(self._queues[priority]))
        while self.size + len(data) > self._capacity:
            victim = self._victim(priority)
            if victim is None:
                self.dropped[priority.name] += 1
                return False
            self._drop(victim, 1)
        self._queues[priority].append(data)
        self.size += len(data)
        return True

    def _victim(self, priority: Priority) -> Priority | None:
        """The priority of which the oldest message is to make place for a new one; None for no place."""
        lower = next((one for one in Priority if one < priority and self._queues[one]), None)
        if lower is None and priority is Priority.CRITICAL and self._queues[priority]:
            return priority  # the newest of its kind holds more than the oldest
        return lower

    def _drop(self, priority: Priority, count: int) -> None:
        for _ in range(count):
            self.size -= len(self._queues[priority].popleft())
            self.dropped[priority.name] += 1

    def pop(self) -> bytes | None:
        """Return the next message: the highest priority first, in their order; None where none waits."""
        for priority in reversed(Priority):
            if self._queues[priority]:
                data = self._queues[priority].popleft()
                self.size -= len(data)
                return data
        return None
