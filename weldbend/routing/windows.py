"""Sums over the last seconds, in constant memory. They decide nothing."""


class WindowedSum:
    """A sum over about the last `span` seconds, in fixed buckets that are used again in a ring.

    Args:
        span: seconds that the sum covers.
        buckets: parts that it is divided into; the sum covers up to one part more than `span`.

    Attributes:
        width: seconds of a bucket.
        bucket: number of the newest one; bucket 0 begins at moment 0.
        bucket_end: moment at which the next one begins.
        sum: of all buckets.
        sums: of each bucket, at its number modulo their count; None where all are 0.
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
        """Add an amount at the moment `now`, which never goes back."""
        if now >= self.bucket_end:
            self._advance(now)
        if self.sums is None:
            self.sums = [0.0] * self.buckets
        self.sums[self.bucket % self.buckets] += amount
        self.sum += amount

    def total(self, now: float) -> float:
        """The sum as of the moment `now`."""
        if now >= self.bucket_end:
            self._advance(now)
        return self.sum

    def merge(self, other: "WindowedSum", now: float, sign: int) -> None:
        """Add what another sum of the same span holds (`sign` 1), or take it off again (-1).

        Sums of one span change buckets at the same moments. What is taken off leaves nothing behind where
        the amounts are exact in binary, as whole numbers and halves are.
        """
        self.total(now)
        other.total(now)
        if other.sums is not None:
            own_sums = self.sums or [0.0] * self.buckets
            self.sums = [own + sign * added for own, added in zip(own_sums, other.sums, strict=True)]
            self.sum = sum(self.sums)

    def _advance(self, now: float) -> None:
        """Go on to the bucket of `now`, and empty those that were passed over."""
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
        """The bucket of a moment: the one whose start, as computed here, is the last one not after it."""
        bucket = int(now / self.width)
        while bucket * self.width > now:
            bucket -= 1
        while (bucket + 1) * self.width <= now:
            bucket += 1
        return bucket


class PooledSum(WindowedSum):
    """A windowed sum that may also count in a pool: a sum of the same span over several of its kind."""

    __slots__ = ("pool",)

    def __init__(self, span: float, buckets: int = 10) -> None:
        super().__init__(span, buckets)
        self.pool: WindowedSum | None = None

    def add(self, now: float, amount: float = 1.0) -> None:
        """Add an amount at the moment `now`, here and in the pool."""
        super().add(now, amount)
        if self.pool is not None:
            self.pool.add(now, amount)

    def join(self, pool: WindowedSum, now: float) -> None:
        """Count in a pool from now on, with all that was counted before; it must be in none."""
        pool.merge(self, now, 1)
        self.pool = pool

    def leave(self, now: float) -> None:
        """Count in no pool any more; what was counted here leaves it as well."""
        if self.pool is not None:
            self.pool.merge(self, now, -1)
            self.pool = None


class DecayingAverage:
    """A smoothed measurement that is forgotten linearly when no new one comes.

    Args:
        smoothing: weight of the newest measurement, in (0, 1].
        memory: seconds after which the last value counts for nothing.
    """

    def __init__(self, smoothing: float, memory: float) -> None:
        self.smoothing = smoothing
        self.memory = memory
        self.last = 0.0
        self.measured_at = 0.0

    def add(self, now: float, measured: float) -> None:
        """Take in a measurement of the moment `now`."""
        self.last = (1 - self.smoothing) * self.value(now) + self.smoothing * measured
        self.measured_at = now

    def value(self, now: float) -> float:
        """What is left of it at the moment `now`."""
        return self.last * max(1 - (now - self.measured_at) / self.memory, 0.0)
