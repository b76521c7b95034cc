"""A bounded ring of bytes: no memory before its first byte, growth towards its bound, and back when empty.

What it may retain of that memory is for the busiest connections, which would ask for it again at once.
"""

from weldbend.invariants import check_invariant

INITIAL_SIZE = 480  # bytes that a ring begins with: a short call, and within Python's own small allocator
MAX_RETAINED_SIZE = 4096  # bytes


class Ring:
    """Bytes that are written at one end and read at the other.

    Attributes:
        capacity: How many bytes it may hold.
        max_retained_size: The most memory (bytes) that it keeps when it is empty.
        data: The memory; bytes wrap round its end.
        head: Where in `data` the first byte is.
        size: How many bytes it holds.
    """

    __slots__ = ("capacity", "data", "head", "max_retained_size", "size")

    def __init__(self, capacity: int, max_retained_size: int = MAX_RETAINED_SIZE) -> None:
        self.capacity = capacity
        self.max_retained_size = max_retained_size
        self.head = 0
        self.size = 0
        self.data = bytearray()

    def __len__(self) -> int:
        return self.size

    def free(self) -> int:
        """How many bytes may still be written."""
        return self.capacity - self.size

    def write(self, data: bytes | memoryview) -> int:
        """Write as much as fits; returns how many bytes that was."""
        count = min(len(data), self.free())
        if not count:
            return 0
        if self.size + count > len(self.data):
            self._grow(self.size + count)
        tail = (self.head + self.size) % len(self.data)
        first = min(count, len(self.data) - tail)
        with memoryview(data) as given:
            self.data[tail : tail + first] = given[:first]
            if first < count:
                self.data[: count - first] = given[first:count]
        self.size += count
        return count

    def _grow(self, need: int) -> None:
        """Have memory for `need` bytes, in powers of two of the initial size."""
        memory = len(self.data) or min(INITIAL_SIZE, self.capacity)
        while memory < need:
            memory *= 2
        content = self.peek(self.size)
        self.data = bytearray(min(memory, self.capacity))
        self.data[: len(content)] = content
        self.head = 0

    def peek(self, count: int, start: int = 0) -> bytes:
        """`count` bytes from `start`, left where they are."""
        check_invariant(start + count <= self.size, "a ring is read only as far as it is filled")
        if not count:
            return b""
        begin = (self.head + start) % len(self.data)
        with memoryview(self.data) as data:
            if begin + count <= len(data):
                return bytes(data[begin : begin + count])
            return b"".join((data[begin:], data[: begin + count - len(data)]))

    def skip(self, count: int) -> None:
        """Drop the first `count` bytes."""
        check_invariant(count <= self.size, "a ring is emptied only as far as it is filled")
        if not count:
            return
        self.head = (self.head + count) % len(self.data)
        self.size -= count
        if not self.size:
            self.head = 0
            if len(self.data) > self.max_retained_size:
                self.data = bytearray()

    def read(self, count: int) -> bytes:
        """The first `count` bytes, which leave the ring."""
        data = self.peek(count)
        self.skip(count)
        return data

    def find(self, pattern: bytes, start: int, limit: int) -> int:
        """Where `pattern` begins, searched from `start` in the first `limit` bytes; -1 where it is not."""
        end = min(self.size, limit)
        if end <= start:
            return -1
        contiguous = len(self.data) - self.head
        if end <= contiguous:
            position = self.data.find(pattern, self.head + start, self.head + end)
            return position - self.head if position >= 0 else -1
        position = self.peek(end - start, start).find(pattern)
        return position + start if position >= 0 else -1
