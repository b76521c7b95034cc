"""Instruments of the decisions: chance from a seed, and sums over the last seconds. They decide nothing."""

import random
import zlib


class RandomSource(random.Random):
    """Numbers from a seed and a counter: the same at every run.

    A checksum is linear: those of two counters differ by the same bits whatever the seed, so that one draw
    would give away the next. Two rounds of shift and multiplication (the finalizer `lowbias32`) undo that.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self.start, self.count = seed, 0

    def random(self) -> float:
        self.count += 1
        drawn = zlib.crc32(b"%d:%d" % (self.start, self.count))
        drawn = (drawn ^ drawn >> 16) * 0x7FEB352D & 0xFFFFFFFF
        drawn = (drawn ^ drawn >> 15) * 0x846CA68B & 0xFFFFFFFF
        return (drawn ^ drawn >> 16) / 2**32


class WindowedSum:
    """A sum over the last `span` seconds, in fixed buckets used again in a ring."""

    __slots__ = ("at", "edge", "sum", "sums", "width")

    def __init__(self, span: float, parts: int = 10) -> None:
        self.width, self.at, self.sum = span / parts, 0, 0.0
        self.edge = self.width  # when the bucket in use is over
        self.sums = [0.0] * (parts + 1)

    def add(self, now: float, amount: float = 1.0) -> None:
        if now >= self.edge:
            self.roll(now)
        self.sums[self.at % len(self.sums)] += amount
        self.sum += amount

    def total(self, now: float) -> float:
        if now >= self.edge:
            self.roll(now)
        return self.sum

    def roll(self, now: float) -> None:
        current = max(int(now / self.width), self.at + 1)
        for old in range(max(self.at + 1, current - len(self.sums) + 1), current + 1):
            self.sums[old % len(self.sums)] = 0.0
        self.at, self.sum, self.edge = current, sum(self.sums), (current + 1) * self.width
