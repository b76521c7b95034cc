"""Reproducible random numbers, generated from a seed and a counter."""

import random
import zlib

RANGE = 2**32
WORD_MASK = RANGE - 1


class RandomSource(random.Random):
    """Generates numbers from a checksum of seed and counter, with the distributions of `random.Random`.

    A checksum is linear: the checksums of two counters differ by the same bits for every seed, so one number
    would reveal the next. Two rounds of shift and multiplication (the finalizer `lowbias32`) remove that
    relation.

    Attributes:
        seed_number: seed of all numbers.
        count: number of values generated so far.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self.seed_number = seed
        self.count = 0

    def random(self) -> float:
        """Return the next number, in [0, 1)."""
        self.count += 1
        drawn = zlib.crc32(b"%d:%d" % (self.seed_number, self.count))
        drawn = (drawn ^ drawn >> 16) * 0x7FEB352D & WORD_MASK
        drawn = (drawn ^ drawn >> 15) * 0x846CA68B & WORD_MASK
        return (drawn ^ drawn >> 16) / RANGE
