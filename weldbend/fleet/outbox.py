"""A bounded priority queue of the messages to one peer. No I/O.

A peer that reads slowly or not at all costs this front a bounded number of bytes and nothing else. When the
bound is reached, messages that are superseded or can be requested again are dropped first, and critical
changes last. A later comparison of summaries finds the changes that were dropped.
"""

from collections import Counter, deque
from enum import IntEnum


class Priority(IntEnum):
    """The priority of a message; a full outbox drops lower priorities first."""

    COMPARISON = 0  # summaries; the next one supersedes it
    SNAPSHOT = 1  # snapshot messages; a lost chunk is requested again
    CHANGE = 2  # changes; a comparison of summaries finds a lost one
    CRITICAL = 3  # changes to items on which a rule depends (`ItemKind.is_critical`), and hellos


class Outbox:
    """A bounded priority queue of messages.

    Attributes:
        size: total size of the queued messages, in bytes.
        dropped: number of dropped messages by the name of their priority.
    """

    def __init__(self, capacity: int) -> None:
        """Create an empty outbox; `capacity` is in bytes."""
        self.size = 0
        self.dropped: Counter[str] = Counter()
        self._capacity = capacity
        self._queues: dict[Priority, deque[bytes]] = {priority: deque() for priority in Priority}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def put(self, data: bytes, priority: Priority) -> bool:
        """Queue a message, dropping others if needed; return False if the message itself was dropped.

        A message is dropped if the outbox is full of messages with the same or a higher priority. A critical
        message replaces older critical ones.
        """
        if priority is Priority.COMPARISON:  # a new summary supersedes all queued ones
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
        """Return the priority whose oldest message is dropped for a new message; None if none may be."""
        lower = next((one for one in Priority if one < priority and self._queues[one]), None)
        if lower is None and priority is Priority.CRITICAL and self._queues[priority]:
            return priority  # the newest critical message is more useful than the oldest
        return lower

    def _drop(self, priority: Priority, count: int) -> None:
        for _ in range(count):
            self.size -= len(self._queues[priority].popleft())
            self.dropped[priority.name] += 1

    def pop(self) -> bytes | None:
        """Remove and return the oldest message of the highest priority; None if the outbox is empty."""
        for priority in reversed(Priority):
            if self._queues[priority]:
                data = self._queues[priority].popleft()
                self.size -= len(data)
                return data
        return None
