"""Time buckets over small numbers: who is due costs what is due, not what waits. No I/O.

Each bucket is a ring of doubly linked slots held in flat arrays, twelve bytes a slot; a slot is any small
number, such as a descriptor. Within a bucket, slots keep the order in which they came (hashed timing wheel,
Varghese and Lauck 1987, with one turn of the wheel only: nothing is put further ahead than its span).
"""

from array import array
from collections.abc import Iterator

from weldbend.invariants import check_invariant

FREE = -1


class TimerWheel:
    """Slots in buckets of `width` seconds, at most `span` seconds ahead."""

    def __init__(self, span: float, width: float) -> None:
        self.width = width
        self.size = int(span / width) + 3
        self.next = array("i", range(self.size))  # the first entries are the buckets' own, then the slots
        self.prev = array("i", range(self.size))
        self.bucket = array("i", [FREE]) * self.size
        self.tick = 0  # of the first bucket that may hold anything
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def __contains__(self, slot: int) -> bool:
        at = slot + self.size
        return at < len(self.bucket) and self.bucket[at] != FREE

    def reach(self, slot: int) -> int:
        """The entry of a slot; the arrays grow to hold it."""
        at = slot + self.size
        if at >= len(self.next):
            more = max(at + 1 - len(self.next), 256)
            self.next.extend([FREE] * more)
            self.prev.extend([FREE] * more)
            self.bucket.extend([FREE] * more)
        return at

    def put(self, slot: int, due: float, now: float) -> None:
        """Have a slot fall due in the bucket of a moment (seconds); one in the past falls due at once.

        Where `due` was not asked for long, what is far ahead may fall due early; none falls due late.
        """
        at, tick = self.reach(slot), int(due / self.width)
        check_invariant(self.bucket[at] == FREE, "a slot waits in one bucket")
        if not self.count:
            self.tick = int(now / self.width)
        tick = min(max(tick, self.tick), self.tick + self.size - 1)  # beyond the span: with the last bucket
        bucket = tick % self.size
        last = self.prev[bucket]
        self.next[last] = self.prev[bucket] = at
        self.prev[at], self.next[at], self.bucket[at] = last, bucket, bucket
        self.count += 1

    def remove(self, slot: int) -> bool:
        """Take a slot out of its bucket; false if it was in none."""
        if slot not in self:
            return False
        at = slot + self.size
        before, after = self.prev[at], self.next[at]
        self.next[before], self.prev[after] = after, before
        self.bucket[at] = FREE
        self.count -= 1
        return True

    def due(self, now: float, most: int) -> list[int]:
        """Take out at most so many slots whose buckets are over."""
        found: list[int] = []
        end = int(now / self.width)
        while self.tick < end:
            bucket = self.tick % self.size
            while (at := self.next[bucket]) != bucket:
                if len(found) >= most:
                    return found
                found.append(at - self.size)
                self.remove(at - self.size)
            if not self.count:
                self.tick = end
                break
            self.tick += 1
        return found

    def first(self) -> Iterator[int]:
        """All slots, those that fall due first coming first, left where they are."""
        for tick in range(self.tick, self.tick + self.size):
            bucket = tick % self.size
            at = self.next[bucket]
            while at != bucket:
                yield at - self.size
                at = self.next[at]
