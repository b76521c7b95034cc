"""How often each object was asked for, in a bounded table; the longest unasked one makes room."""

from collections import OrderedDict


class ObjectCounts:
    """Counts by object name, at most `size` of them, in the order in which they were asked for last."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.counts: OrderedDict[str, int] = OrderedDict()

    def count(self, name: str, step: int, highest: int) -> int:
        """Add `step` to an object's count, which stays within 1 and `most`, and return it."""
        count = min(max(self.counts.pop(name, 0) + step, 1), highest)
        self.counts[name] = count
        if len(self.counts) > self.size:
            self.counts.popitem(last=False)
        return count

    def free_fraction(self) -> float:
        """Which part of the table is free."""
        return 1 - len(self.counts) / self.size
