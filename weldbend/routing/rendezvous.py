"""Weighted rendezvous hashing in two levels: all fronts rank the caches for an object in the same order.

Each cache belongs to one of `BUCKETS` buckets, by a hash of its number. For each object, an exponentially
distributed time is drawn for each bucket, with the total weight of its caches as the rate, and then one for
each cache of the first bucket: `BUCKETS` + n / `BUCKETS` draws instead of n. The order has the distribution
of plain weighted rendezvous hashing: each of the remaining caches comes next with a probability in proportion
to its weight. docs/scale-design.md compares the alternatives.
"""

import math
from collections.abc import Iterator
from hashlib import blake2b, shake_128
from heapq import heapify, heappop, heapreplace
from itertools import compress, islice
from struct import Struct

BUCKETS = 256  # a power of two, at most 256, so that one byte of a hash determines the bucket
DIGEST_BYTES = 7
DIGEST_RANGE = 2 ** (8 * DIGEST_BYTES)
NUMBERS = Struct(f"<{BUCKETS}I")
NUMBER_RANGE = 2**32
NUMBER_BYTES = 4
LOWEST_BYTES = b"\x80" * BUCKETS  # lowest byte of each number that is drawn, so that none is 0
MAX_WEIGHT = 1e100  # upper bound of a cache's weight, so that sums stay finite
ROUNDING = 1e-9  # relative tolerance when buckets are compared, far above the rounding error of a logarithm


def arrival_time(object_name: str, cache: int, weight: float) -> float:
    """Return the time drawn for a cache and an object; the lowest time marks the first choice.

    The probability that a cache is the first choice is proportional to its weight. The time is the negative
    logarithm of a number that a hash draws from (0, 1], divided by the weight (Schindelhauer and Schomaker
    2005).

    `Bucket.interarrival_time` draws an interval in the same way. It passes the names of the object and the
    bucket as `object_name`, the number of caches that have not arrived as `cache`, and the sum of their
    weights as `weight`.
    """
    digest = blake2b(f"{object_name} {cache}".encode(), digest_size=DIGEST_BYTES).digest()
    return -math.log((int.from_bytes(digest) + 1) / (DIGEST_RANGE + 1)) / weight


def bucket_numbers(object_name: str) -> tuple[int, ...]:
    """Return the number that an object draws for each bucket, from (0, `NUMBER_RANGE`)."""
    digest = bytearray(shake_128(object_name.encode()).digest(NUMBER_BYTES * BUCKETS))
    digest[::NUMBER_BYTES] = LOWEST_BYTES
    return NUMBERS.unpack(digest)


class Bucket:
    """The caches of one bucket, with their weights.

    Attributes:
        number: index of the bucket, from 0 to `BUCKETS` - 1.
        weights: weights by cache.
        weight: sum of the weights, rounded once, so that it does not depend on the order of changes.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.weights: dict[int, float] = {}
        self.weight = 0.0

    def change(self, cache: int, weight: float | None) -> None:
        """Set the weight of a cache; None removes the cache."""
        self.weights.pop(cache, None)
        if weight is not None:
            self.weights[cache] = min(weight, MAX_WEIGHT)
        self.weight = math.fsum(self.weights.values())

    def first_arrival(self, numbers: tuple[int, ...]) -> float:
        """Return the arrival time of the bucket's first cache, given the numbers drawn for all buckets."""
        return -math.log(numbers[self.number] / NUMBER_RANGE) / self.weight

    def ranked(self, object_name: str) -> list[int]:
        """Return the caches of the bucket, starting with the last choice."""
        if len(self.weights) == 1:
            return list(self.weights)
        times = {cache: arrival_time(object_name, cache, weight) for cache, weight in self.weights.items()}
        return sorted(times, key=lambda cache: (times[cache], cache), reverse=True)

    def interarrival_time(self, object_name: str, remaining: list[int]) -> float:
        """Return the time between the arrival of the previous cache of the bucket and that of the next one.

        `remaining` contains the caches that have not arrived; the total of their weights is the rate.
        """
        weight = math.fsum(self.weights[cache] for cache in remaining)
        return arrival_time(f"{object_name} bucket {self.number}", len(remaining), weight)


class Ranking:
    """A ranking of caches by weight for any object; changing a cache costs about as much as a ranking.

    Attributes:
        buckets: buckets that contain caches, by index.
        occupied: flag for each bucket index, set if the bucket contains caches.
    """

    def __init__(self) -> None:
        self.buckets: dict[int, Bucket] = {}
        self.occupied = bytearray(BUCKETS)
        self._weight_ratio: float | None = None

    def change(self, cache: int, weight: float | None) -> None:
        """Set the weight of a cache, which must be greater than 0; None removes the cache."""
        number = blake2b(b"%d" % cache, digest_size=1).digest()[0] % BUCKETS
        bucket = self.buckets.setdefault(number, Bucket(number))
        bucket.change(cache, weight)
        if not bucket.weights:
            del self.buckets[number]
        self.occupied[number] = bool(bucket.weights)
        self._weight_ratio = None

    def weight_ratio(self) -> float:
        """Return the weight of the heaviest bucket divided by that of the lightest one.

        The ranking must not be empty.
        """
        if self._weight_ratio is None:
            weights = [bucket.weight for bucket in self.buckets.values()]
            self._weight_ratio = max(weights) / min(weights)
        return self._weight_ratio

    def weight(self) -> float:
        """Return the sum of the weights of all caches."""
        return math.fsum(bucket.weight for bucket in self.buckets.values())

    def ranked(self, object_name: str) -> Iterator[int]:
        """Yield all caches lazily, starting with the first choice."""
        if self.buckets:
            numbers = bucket_numbers(object_name)
            yield self.first_bucket(numbers).ranked(object_name)[-1]
            yield from islice(self.in_order(object_name, numbers), 1, None)

    def first_bucket(self, numbers: tuple[int, ...]) -> Bucket:
        """Return the bucket whose first cache arrives first.

        `numbers` are the numbers drawn for the buckets, by index. The first cache of a bucket arrives at
        -log(drawn number / NUMBER_RANGE) / weight of the bucket. That of the bucket with the highest drawn
        number arrives no later than if this bucket were the lightest one. Another bucket's can only arrive
        earlier, even if that bucket is the heaviest one, if its drawn number is at least `least`; only those
        buckets are compared.
        """
        highest = max(compress(numbers, self.occupied)) / NUMBER_RANGE
        least = highest ** self.weight_ratio() * NUMBER_RANGE * (1 - ROUNDING)
        candidates = [bucket for bucket in self.buckets.values() if numbers[bucket.number] >= least]
        return min(candidates, key=lambda bucket: (bucket.first_arrival(numbers), bucket.number))

    def in_order(self, object_name: str, numbers: tuple[int, ...]) -> Iterator[int]:
        """Yield all caches in the order of arrival.

        Each cache of a bucket after the first arrives a randomly drawn interval after the one before.
        """
        arrivals = [(bucket.first_arrival(numbers), bucket.number) for bucket in self.buckets.values()]
        heapify(arrivals)
        orders: dict[int, list[int]] = {}  # caches that have not arrived, by bucket, last choice first
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
