"""Request counts of objects in a bounded table, which evicts the least recently requested object."""

from collections import OrderedDict


class ObjectCounts:
    """Counts of at most `size` objects by name, ordered by the last request."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.counts: OrderedDict[str, int] = OrderedDict()

    def count(self, name: str, step: int, highest: int) -> int:
        """Add `step` to the count of an object, and return the count, limited to the range 1 to `highest`."""
        count = min(max(self.counts.pop(name, 0) + step, 1), highest)
        self.counts[name] = count
        if len(self.counts) > self.size:
            self.counts.popitem(last=False)
        return count

    def free_fraction(self) -> float:
        """Return the unused fraction of the table."""
        return 1 - len(self.counts) / self.size
