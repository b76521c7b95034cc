"""Sliding-window sums and decaying averages in constant memory."""


class WindowedSum:
    """A sum over about the last `span` seconds, in a fixed number of buckets used as a ring.

    Args:
        span: seconds that the sum covers.
        buckets: number of parts into which the span is divided. One more bucket is stored, so the sum covers
            between `span` and one part more than that.

    Attributes:
        width: seconds covered by a bucket.
        bucket: number of the newest bucket; bucket 0 begins at time 0.
        bucket_end: time at which the next bucket begins.
        sum: sum of all buckets.
        sums: sum of each bucket, at the bucket's number modulo the number of buckets; None if all are 0.
    """

    __slots__ = ("bucket", "bucket_end", "buckets", "sum", "sums", "width")

    def __init__(self, span: float, buckets: int = 10) -> None:
        self.buckets = buckets + 1
        self.width = span / buckets
        self.bucket = 0
        self.bucket_end = self.width
        self.sum = 0.0
        self.sums: list[float] | None = None

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount at the time `now`, which must not decrease."""
        if now >= self.bucket_end:
            self._advance(now)
        if self.sums is None:
            self.sums = [0.0] * self.buckets
        self.sums[self.bucket % self.buckets] += amount
        self.sum += amount

    def total(self, now: float) -> float:
        """Return the sum as of the time `now`."""
        if now >= self.bucket_end:
            self._advance(now)
        return self.sum

    def merge(self, other: "WindowedSum", now: float, sign: int) -> None:
        """Add another sum of the same span (`sign` 1), or subtract it again (-1).

        Sums of the same span change buckets at the same times. Subtraction leaves no remainder if the amounts
        are exactly representable in binary, as integers and halves are.
        """
        if other.sums is None:
            return
        self.total(now)
        other.total(now)
        own_sums = self.sums or [0.0] * self.buckets
        other_sums = other.sums or [0.0] * self.buckets
        self.sums = [own + sign * added for own, added in zip(own_sums, other_sums, strict=True)]
        self.sum = sum(self.sums)

    def _advance(self, now: float) -> None:
        """Move to the bucket of the time `now`, and clear the buckets in between."""
        current = self._bucket_at(now)
        if current - self.bucket >= self.buckets:
            self.sums = None
        if self.sums is not None:
            for passed in range(self.bucket + 1, current + 1):
                self.sums[passed % self.buckets] = 0.0
        self.bucket = current
        self.sum = sum(self.sums) if self.sums else 0.0
        self.bucket_end = (current + 1) * self.width

    def _bucket_at(self, now: float) -> int:
        """Return the last bucket whose start is not after the time `now`.

        The start is compared as `bucket * width` in floating point, because the division alone may round to a
        neighbouring bucket.
        """
        bucket = int(now / self.width)
        while bucket * self.width > now:
            bucket -= 1
        while (bucket + 1) * self.width <= now:
            bucket += 1
        return bucket


class PooledSum(WindowedSum):
    """A windowed sum that may be a member of a pool: another sum, of the same span, over all its members."""

    __slots__ = ("pool",)

    def __init__(self, span: float, buckets: int = 10) -> None:
        super().__init__(span, buckets)
        self.pool: WindowedSum | None = None

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount at the time `now`, here and in the pool."""
        super().add(now, amount)
        if self.pool is not None:
            self.pool.add(now, amount)

    def join(self, pool: WindowedSum, now: float) -> None:
        """Add this sum, and all amounts added from now on, to a pool; the sum must not be in a pool yet."""
        pool.merge(self, now, 1)
        self.pool = pool

    def leave(self, now: float) -> None:
        """Remove this sum from its pool, if it is in one."""
        if self.pool is not None:
            self.pool.merge(self, now, -1)
            self.pool = None


class DecayingAverage:
    """An exponentially smoothed measurement that decays linearly to 0 while there is no new one.

    Args:
        smoothing: weight of the newest measurement, in (0, 1]; the decayed value has the rest.
        memory: seconds after which the last value has decayed to 0.
    """

    def __init__(self, smoothing: float, memory: float) -> None:
        self.smoothing = smoothing
        self.memory = memory
        self.last = 0.0
        self.measured_at = 0.0

    def add(self, now: float, measured: float) -> None:
        """Add a measurement made at the time `now`."""
        self.last = (1 - self.smoothing) * self.value(now) + self.smoothing * measured
        self.measured_at = now

    def value(self, now: float) -> float:
        """Return the decayed value at the time `now`."""
        return self.last * max(1 - (now - self.measured_at) / self.memory, 0.0)
