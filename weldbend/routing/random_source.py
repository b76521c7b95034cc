"""Random numbers from a seed and a counter: the same at every run."""

import random
import zlib

RANGE = 2**32
WORD_MASK = RANGE - 1


class RandomSource(random.Random):
    """Draws from a checksum of seed and counter; distributions are those of `random.Random`.

    A checksum is linear: those of two counters differ by the same bits whatever the seed, so that one draw
    would give away the next. Two rounds of shift and multiplication (the finalizer `lowbias32`) undo that.

    Attributes:
        seed_number: what all draws follow from.
        count: how many were made.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(0)
        self.seed_number = seed
        self.count = 0

    def random(self) -> float:
        """The next number, in [0, 1)."""
        self.count += 1
        drawn = zlib.crc32(b"%d:%d" % (self.seed_number, self.count))
        drawn = (drawn ^ drawn >> 16) * 0x7FEB352D & WORD_MASK
        drawn = (drawn ^ drawn >> 15) * 0x846CA68B & WORD_MASK
        return (drawn ^ drawn >> 16) / RANGE
