"""Hashed timing wheel of slots (small integers); the cost of expiry is independent of slots not yet due.

Each bucket covers a short interval of time, and is a circular doubly linked list of slots in flat arrays,
with twelve bytes for each slot. A slot is any small integer, such as a file descriptor. Slots of one bucket
keep the order of insertion. Source: Varghese and Lauck 1987, hashed timing wheel. Unlike theirs, this wheel
has one revolution only: no slot is scheduled further ahead than the wheel's span.
"""

from array import array
from collections.abc import Iterator

from weldbend.invariants import check_invariant

NO_BUCKET = -1
MIN_GROWTH = 256  # smallest number of entries by which the arrays grow


class TimerWheel:
    """Timer wheel whose slots are scheduled at most `span` seconds ahead.

    Attributes:
        bucket_seconds: Length of time that a bucket covers (seconds).
        bucket_count: Number of buckets.
        next: For each entry, the index of the next one in its list. The entries of the arrays are first the
            heads of the buckets' lists, then those of the slots.
        previous: For each entry, the index of the previous one in its list.
        bucket: For each entry, the index of the bucket that contains it, or `NO_BUCKET`.
        tick: Number of the first bucket that may contain a slot, counted from time 0 of the clock.
        count: Number of scheduled slots.
    """

    def __init__(self, span: float, bucket_seconds: float) -> None:
        self.bucket_seconds = bucket_seconds
        # A slot due after the whole span is at most int(span / bucket_seconds) + 1 buckets after the present
        # one, for which + 2 buckets suffice. One more allows `tick` to be one bucket behind the time.
        self.bucket_count = int(span / bucket_seconds) + 3
        # The first entries are the heads of the buckets' lists; the entries of slots follow.
        self.next = array("i", range(self.bucket_count))
        self.previous = array("i", range(self.bucket_count))
        self.bucket = array("i", [NO_BUCKET]) * self.bucket_count
        self.tick = 0
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def __contains__(self, slot: int) -> bool:
        entry = slot + self.bucket_count
        return entry < len(self.bucket) and self.bucket[entry] != NO_BUCKET

    def reserve(self, slot: int) -> int:
        """Extend the arrays so that they contain a slot, and return the index of its entry."""
        entry = slot + self.bucket_count
        if entry >= len(self.next):
            growth = max(entry + 1 - len(self.next), MIN_GROWTH)
            self.next.extend([NO_BUCKET] * growth)
            self.previous.extend([NO_BUCKET] * growth)
            self.bucket.extend([NO_BUCKET] * growth)
        return entry

    def schedule(self, slot: int, due: float, now: float) -> None:
        """Add a slot to the bucket of the time `due` (seconds), or to the first bucket if that time is past.

        If `pop_due` has not been called for a long time, a slot far ahead may become due early, never late.
        """
        entry = self.reserve(slot)
        check_invariant(self.bucket[entry] == NO_BUCKET, "a slot waits in one bucket")
        if not self.count:
            self.tick = int(now / self.bucket_seconds)
        # A time beyond the span goes into the last bucket.
        tick = min(max(int(due / self.bucket_seconds), self.tick), self.tick + self.bucket_count - 1)
        bucket = tick % self.bucket_count
        last = self.previous[bucket]
        self.next[last] = self.previous[bucket] = entry
        self.previous[entry] = last
        self.next[entry] = self.bucket[entry] = bucket
        self.count += 1

    def remove(self, slot: int) -> bool:
        """Remove a slot from its bucket, and return whether it was in one."""
        if slot not in self:
            return False
        entry = slot + self.bucket_count
        before = self.previous[entry]
        after = self.next[entry]
        self.next[before] = after
        self.previous[after] = before
        self.bucket[entry] = NO_BUCKET
        self.count -= 1
        return True

    def pop_due(self, now: float, limit: int) -> list[int]:
        """Remove and return at most `limit` slots from buckets whose time has passed."""
        due: list[int] = []
        end = int(now / self.bucket_seconds)
        while self.tick < end:
            bucket = self.tick % self.bucket_count
            while (entry := self.next[bucket]) != bucket:
                if len(due) >= limit:
                    return due
                due.append(entry - self.bucket_count)
                self.remove(entry - self.bucket_count)
            if not self.count:
                self.tick = end
                break
            self.tick += 1
        return due

    def in_order(self) -> Iterator[int]:
        """Yield all slots in the order in which `pop_due` returns them, without removing them."""
        for tick in range(self.tick, self.tick + self.bucket_count):
            bucket = tick % self.bucket_count
            entry = self.next[bucket]
            while entry != bucket:
                yield entry - self.bucket_count
                entry = self.next[entry]
