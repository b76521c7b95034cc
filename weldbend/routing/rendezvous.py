"""Weighted rendezvous hashing in two levels: the same ranking of caches for an object at every front.

Each cache belongs to one of `BUCKETS` buckets, by a hash of its number. An object draws an exponential time
for each bucket, whose rate is the weight of the caches in it, and then one for each cache of the bucket that
comes first: `BUCKETS` + n / `BUCKETS` draws instead of n. The order has the distribution of plain weighted
rendezvous hashing: of the caches that are left, each comes next in proportion to its weight.
docs/scale-design.md has the options that were weighed.
"""

import math
from collections.abc import Iterator
from hashlib import blake2b, shake_128
from heapq import heapify, heappop, heapreplace
from itertools import compress, islice
from struct import Struct

BUCKETS = 256  # a power of two, up to 256, so that one byte of a hash tells the bucket
DIGEST_BYTES = 7
DIGEST_RANGE = 2 ** (8 * DIGEST_BYTES)
NUMBERS = Struct(f"<{BUCKETS}I")
NUMBER_RANGE = 2**32
NUMBER_BYTES = 4
LOWEST_BYTES = b"\x80" * BUCKETS  # as the lowest byte of each number: it is never 0
MAX_WEIGHT = 1e100  # a cache counts no more, so that sums stay finite
ROUNDING = 1e-9  # relative slack, far above the error of a logarithm


def arrival_time(object_name: str, cache: int, weight: float) -> float:
    """The time drawn for a cache and an object: the lowest one is chosen, in proportion to the weights.

    The logarithm of a number drawn by a hash from (0, 1], over the weight (Schindelhauer and Schomaker 2005).
    """
    digest = blake2b(f"{object_name} {cache}".encode(), digest_size=DIGEST_BYTES).digest()
    return -math.log((int.from_bytes(digest) + 1) / (DIGEST_RANGE + 1)) / weight


def bucket_numbers(object_name: str) -> tuple[int, ...]:
    """What an object draws for each bucket, from (0, `NUMBER_RANGE`)."""
    digest = bytearray(shake_128(object_name.encode()).digest(NUMBER_BYTES * BUCKETS))
    digest[::NUMBER_BYTES] = LOWEST_BYTES
    return NUMBERS.unpack(digest)


class Bucket:
    """The caches of one bucket, with their weights.

    Attributes:
        number: of the bucket.
        weights: by cache.
        weight: their sum, rounded once, so that it does not depend on the order of changes.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.weights: dict[int, float] = {}
        self.weight = 0.0

    def change(self, cache: int, weight: float | None) -> None:
        """Give a cache another weight; None removes it."""
        self.weights.pop(cache, None)
        if weight is not None:
            self.weights[cache] = min(weight, MAX_WEIGHT)
        self.weight = math.fsum(self.weights.values())

    def first_arrival(self, numbers: tuple[int, ...]) -> float:
        """When its first cache arrives."""
        return -math.log(numbers[self.number] / NUMBER_RANGE) / self.weight

    def ranked(self, object_name: str) -> list[int]:
        """Its caches, the last choice first."""
        if len(self.weights) == 1:
            return list(self.weights)
        times = {cache: arrival_time(object_name, cache, weight) for cache, weight in self.weights.items()}
        return sorted(times, key=lambda cache: (times[cache], cache), reverse=True)

    def interarrival_time(self, object_name: str, remaining: list[int]) -> float:
        """Seconds from one arrival to the next one, where these caches are left."""
        weight = math.fsum(self.weights[cache] for cache in remaining)
        return arrival_time(f"{object_name} bucket {self.number}", len(remaining), weight)


class Ranking:
    """Caches by weight, ranked for any object; a change of one costs about what a ranking costs.

    Attributes:
        buckets: those that hold caches, by number.
        occupied: which numbers these are.
    """

    def __init__(self) -> None:
        self.buckets: dict[int, Bucket] = {}
        self.occupied = bytearray(BUCKETS)
        self._weight_ratio: float | None = None

    def change(self, cache: int, weight: float | None) -> None:
        """Rank a cache by this weight, over 0; None removes it."""
        number = blake2b(b"%d" % cache, digest_size=1).digest()[0] % BUCKETS
        bucket = self.buckets.setdefault(number, Bucket(number))
        bucket.change(cache, weight)
        if not bucket.weights:
            del self.buckets[number]
        self.occupied[number] = bool(bucket.weights)
        self._weight_ratio = None

    def weight_ratio(self) -> float:
        """The weight of the heaviest bucket over that of the lightest one; there must be one."""
        if self._weight_ratio is None:
            weights = [bucket.weight for bucket in self.buckets.values()]
            self._weight_ratio = max(weights) / min(weights)
        return self._weight_ratio

    def weight(self) -> float:
        """The weight of all caches together."""
        return math.fsum(bucket.weight for bucket in self.buckets.values())

    def ranked(self, object_name: str) -> Iterator[int]:
        """All caches, the first choice first; each is found only when it is asked for."""
        if self.buckets:
            numbers = bucket_numbers(object_name)
            yield self.first_bucket(numbers).ranked(object_name)[-1]
            yield from islice(self.in_order(object_name, numbers), 1, None)

    def first_bucket(self, numbers: tuple[int, ...]) -> Bucket:
        """The bucket whose first cache arrives first; it is among those with a number near the highest."""
        highest = max(compress(numbers, self.occupied)) / NUMBER_RANGE
        least = highest ** self.weight_ratio() * NUMBER_RANGE * (1 - ROUNDING)
        candidates = [bucket for bucket in self.buckets.values() if numbers[bucket.number] >= least]
        return min(candidates, key=lambda bucket: (bucket.first_arrival(numbers), bucket.number))

    def in_order(self, object_name: str, numbers: tuple[int, ...]) -> Iterator[int]:
        """All caches in the order of their arrival, with waits drawn for those that share a bucket."""
        arrivals = [(bucket.first_arrival(numbers), bucket.number) for bucket in self.buckets.values()]
        heapify(arrivals)
        orders: dict[int, list[int]] = {}
        while arrivals:
            time, number = arrivals[0]
            bucket = self.buckets[number]
            if number not in orders:
                orders[number] = bucket.ranked(object_name)
            remaining = orders[number]
            yield remaining.pop()
            if remaining:
                heapreplace(arrivals, (time + bucket.interarrival_time(object_name, remaining), number))
            else:
                heappop(arrivals)
