"""A bounded ring of bytes: no memory before its first byte, growth towards its bound, and back when empty.

What it may keep of that memory is for the busiest connections, which would ask for it again at once.
"""

from weldbend.invariants import check_invariant

SMALL = 480  # bytes that a ring begins with: a short call, and small enough for Python's own allocator
KEEP = 4096


class Ring:
    __slots__ = ("bound", "data", "head", "keep", "size")

    def __init__(self, bound: int, keep: int = KEEP) -> None:
        self.bound, self.keep, self.head, self.size = bound, keep, 0, 0
        self.data = bytearray()

    def __len__(self) -> int:
        return self.size

    def free(self) -> int:
        return self.bound - self.size

    def write(self, data: bytes | memoryview) -> int:
        """Take as much as fits; returns how much that was."""
        count = min(len(data), self.free())
        if not count:
            return 0
        if self.size + count > len(self.data):
            self.grow(self.size + count)
        tail = (self.head + self.size) % len(self.data)
        first = min(count, len(self.data) - tail)
        with memoryview(data) as given:
            self.data[tail : tail + first] = given[:first]
            if first < count:
                self.data[: count - first] = given[first:count]
        self.size += count
        return count

    def grow(self, need: int) -> None:
        room = len(self.data) or min(SMALL, self.bound)
        while room < need:
            room *= 2
        kept = self.peek(self.size)
        self.data = bytearray(min(room, self.bound))
        self.data[: len(kept)] = kept
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
        check_invariant(count <= self.size, "a ring is emptied only as far as it is filled")
        if not count:
            return
        self.head = (self.head + count) % len(self.data)
        self.size -= count
        if not self.size:
            self.head = 0
            if len(self.data) > self.keep:
                self.data = bytearray()

    def read(self, count: int) -> bytes:
        data = self.peek(count)
        self.skip(count)
        return data

    def find(self, mark: bytes, start: int, limit: int) -> int:
        """Where `mark` begins, looked for from `start` in the first `limit` bytes; -1 if it is not there."""
        end = min(self.size, limit)
        if end <= start:
            return -1
        straight = len(self.data) - self.head
        if end <= straight:
            at = self.data.find(mark, self.head + start, self.head + end)
            return at - self.head if at >= 0 else -1
        at = self.peek(end - start, start).find(mark)
        return at + start if at >= 0 else -1
