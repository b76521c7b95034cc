"""Decisions on memory: how much of it requests may hold, and which requests are rejected. No I/O."""

from typing import Protocol

MEBIBYTE = 1 << 20  # bytes
PROCESS_MEMORY = 32 * MEBIBYTE  # bytes that a front takes without a request
# Fraction of the rest of the limit for requests. Answers, buffers of connections, and the overhead of the
# allocator take the other half.
REQUEST_FRACTION = 0.5
MIN_REQUEST_FRACTION = 0.125  # fraction of the whole limit that requests may hold, however low the limit is
REQUEST_SIZE = 8 << 10  # bytes that an open request takes in addition to its body
MAX_SMALL_SIZE = 12 << 10  # bytes of a request, up to which it may use the whole budget
MAX_UNCOUNTED_CALL = 4 << 10  # bytes of a call that is buffered without a reservation while it arrives
LARGE_FRACTION = 0.75  # fraction of the budget up to which larger requests are admitted


def max_request_memory(memory_limit: int) -> int:
    """Return how many bytes requests may hold in a process with this memory limit in bytes."""
    remaining = (memory_limit - PROCESS_MEMORY) * REQUEST_FRACTION
    return int(max(remaining, memory_limit * MIN_REQUEST_FRACTION))


class MemoryHolder(Protocol):
    """The client connection whose requests hold memory.

    Attributes:
        reserved_memory: bytes that its requests hold.
    """

    reserved_memory: int


class MemoryReservation:
    """Bytes of the budget that one request holds until they are released.

    Attributes:
        size: number of these bytes.
    """

    __slots__ = ("_budget", "_holder", "size")

    def __init__(self, budget: "MemoryBudget", holder: MemoryHolder, size: int) -> None:
        self._budget = budget
        self._holder = holder
        self.size = 0
        self.resize(size)

    def resize(self, size: int) -> None:
        """Change the number of bytes."""
        change = size - self.size
        self.size = size
        self._holder.reserved_memory += change
        self._budget.add(change)

    def release(self) -> None:
        """Return all bytes to the budget."""
        self.resize(0)


class MemoryBudget:
    """The bytes that the requests of all clients hold together, open ones and those being received.

    Attributes:
        limit: number of bytes that they may hold.
        used: number of bytes that they hold.
        max_used: highest `used` so far.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.max_used = 0

    def add(self, change: int) -> None:
        """Record a change of the number of bytes held."""
        self.used += change
        self.max_used = max(self.max_used, self.used)

    def reserve_call(self, holder: MemoryHolder, length: int) -> MemoryReservation | None:
        """Reserve memory for a call of `length` bytes while it arrives, or return None as `reserve` does."""
        if length <= MAX_UNCOUNTED_CALL:
            return MemoryReservation(self, holder, 0)
        return self.reserve(holder, length)

    def reserve(self, holder: MemoryHolder, size: int) -> MemoryReservation | None:
        """Reserve memory for a request, or return None if its client must not hold so much now.

        The bytes that one connection holds may not exceed those that are free (the dynamic threshold that
        switches with shared memory apply to their queues), and large requests leave a part of the budget to
        small ones. This guards the process against being killed for exceeding its memory limit, and other
        clients against rejection while some send without limit. Side effect: a connection gets at most half
        of the budget, even if no other one needs the rest.
        """
        limit = self.limit if size <= MAX_SMALL_SIZE else self.limit * LARGE_FRACTION
        if holder.reserved_memory + size > limit - self.used:
            return None
        return MemoryReservation(self, holder, size)
