"""Decisions on memory: how much of it requests may hold, and which requests are rejected. No I/O."""

from collections.abc import Callable
from typing import Protocol

MEBIBYTE = 1 << 20  # bytes
PROCESS_MEMORY = 32 * MEBIBYTE  # bytes that a front takes without a request, if that is not known
# Fraction of the rest of the limit for requests. Answers, buffers of connections, and the overhead of the
# allocator take the other half.
REQUEST_FRACTION = 0.5
MIN_REQUEST_FRACTION = 0.0625  # fraction of the whole limit that requests may hold, however low the limit is
# Fraction of the limit on descriptors that regular clients use. REQUEST_FRACTION leaves memory for their
# connections; further ones count as CONNECTION_SIZE each.
REGULAR_CLIENTS_FRACTION = 1 / 3
CONNECTION_SIZE = 12 << 10  # bytes that a live connection takes, with a short incomplete call
REQUEST_SIZE = 8 << 10  # bytes that an open request takes in addition to its body
MAX_SMALL_SIZE = 12 << 10  # bytes of a request, up to which it may use the whole budget
MAX_UNCOUNTED_CALL = 4 << 10  # bytes of a call that is buffered without a reservation while it arrives
LARGE_FRACTION = 0.75  # fraction of the budget up to which larger requests are admitted


def max_request_memory(memory_limit: int, process_memory: int = PROCESS_MEMORY) -> int:
    """Return how many bytes requests may hold.

    Args:
        memory_limit: memory limit of the process in bytes.
        process_memory: bytes that the process takes without a request.
    """
    remaining = (memory_limit - max(process_memory, PROCESS_MEMORY)) * REQUEST_FRACTION
    return int(max(remaining, memory_limit * MIN_REQUEST_FRACTION))


def connection_memory(live_connections: int, max_descriptors: int) -> int:
    """Return how many bytes of the budget for large requests the connections of clients take.

    Guards the process against being killed for exceeding its memory limit while hundreds of clients that
    are no regular ones have stopped in the middle of a call. Side effect: large requests are rejected
    earlier then, small ones are not.

    Args:
        live_connections: number of connections that are not in the idle pool.
        max_descriptors: maximum number of file descriptors of the process.
    """
    irregular = live_connections - int(max_descriptors * REGULAR_CLIENTS_FRACTION)
    return max(irregular, 0) * CONNECTION_SIZE


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
        connection_memory: function that returns how many bytes connections take from large requests.
        used: number of bytes that they hold.
        max_used: highest `used` so far.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.connection_memory: Callable[[], int] = lambda: 0
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
        is_small = size <= MAX_SMALL_SIZE
        limit = self.limit if is_small else self.limit * LARGE_FRACTION - self.connection_memory()
        if holder.reserved_memory + size > limit - self.used:
            return None
        return MemoryReservation(self, holder, size)
