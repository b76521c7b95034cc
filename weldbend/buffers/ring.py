"""A bounded ring buffer that allocates its memory on demand.

It allocates nothing before its first byte, and grows up to its capacity. When it becomes empty, it frees its
memory if that is larger than a threshold. Smaller memory is kept, since a busy connection would allocate it
again at once.
"""

from weldbend.invariants import check_invariant

INITIAL_SIZE = 480  # bytes; holds a short call, and is served by the allocator for small objects (512 bytes)
MAX_RETAINED_SIZE = 4096  # bytes that an empty ring keeps by default
MAX_TRIMMED_FRACTION = 0.75  # content, as a fraction of the memory, up to which `trim` frees the rest


class Ring:
    """A bounded first-in, first-out buffer of bytes.

    Attributes:
        capacity: Maximum number of bytes in the ring.
        max_retained_size: Largest allocation (bytes) that an empty ring keeps.
        data: Allocated memory; the content wraps around at its end.
        head: Index in `data` of the first byte.
        size: Number of bytes in the ring.
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
        """Return the number of bytes that may still be written."""
        return self.capacity - self.size

    def write(self, data: bytes | memoryview) -> int:
        """Write as many bytes as fit, and return their number."""
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
        """Grow the memory to at least `need` bytes by doubling the initial size, up to the capacity."""
        memory = len(self.data) or min(INITIAL_SIZE, self.capacity)
        while memory < need:
            memory *= 2
        content = self.peek(self.size)
        self.data = bytearray(min(memory, self.capacity))
        self.data[: len(content)] = content
        self.head = 0

    def peek(self, count: int, start: int = 0) -> bytes:
        """Return `count` bytes from offset `start` without removing them."""
        check_invariant(start + count <= self.size, "a ring is read only as far as it is filled")
        if not count:
            return b""
        begin = (self.head + start) % len(self.data)
        with memoryview(self.data) as data:
            if begin + count <= len(data):
                return bytes(data[begin : begin + count])
            return b"".join((data[begin:], data[: begin + count - len(data)]))

    def skip(self, count: int) -> None:
        """Remove the first `count` bytes."""
        check_invariant(count <= self.size, "a ring is emptied only as far as it is filled")
        if not count:
            return
        self.head = (self.head + count) % len(self.data)
        self.size -= count
        if not self.size:
            self.head = 0
            if len(self.data) > self.max_retained_size:
                self.data = bytearray()

    def trim(self) -> None:
        """Free the memory that the content does not need, if that is at least a quarter of a large ring."""
        is_large = len(self.data) > self.max_retained_size
        if is_large and self.size <= MAX_TRIMMED_FRACTION * len(self.data):
            self.data = bytearray(self.peek(self.size))
            self.head = 0

    def read(self, count: int) -> bytes:
        """Remove and return the first `count` bytes."""
        data = self.peek(count)
        self.skip(count)
        return data

    def find(self, pattern: bytes, start: int, limit: int) -> int:
        """Return the offset of `pattern` within the first `limit` bytes, or -1 if it is not found.

        Args:
            pattern: Bytes to search for.
            start: Offset at which the search begins.
            limit: Offset at which the search ends.
        """
        end = min(self.size, limit)
        if end <= start:
            return -1
        contiguous = len(self.data) - self.head
        position = -1
        if start < contiguous:
            position = self.data.find(pattern, self.head + start, self.head + min(end, contiguous))
        if position >= 0:
            return position - self.head
        return self._find_wrapped(pattern, start, end) if end > contiguous else -1

    def _find_wrapped(self, pattern: bytes, start: int, end: int) -> int:
        """Return the offset of `pattern` where the content wraps around or behind that place, or -1.

        Only the bytes next to that place are copied, so that many searches of a long content stay cheap.
        """
        wrap = len(self.data) - self.head
        overlap = len(pattern) - 1
        seam_start = max(start, wrap - overlap)
        seam = self.peek(max(min(end, wrap + overlap) - seam_start, 0), seam_start)
        position = seam.find(pattern)
        if position >= 0:
            return position + seam_start
        position = self.data.find(pattern, max(start - wrap, 0), end - wrap)
        return position + wrap if position >= 0 else -1
