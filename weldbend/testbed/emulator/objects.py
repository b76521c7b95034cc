"""The objects of an emulated site: how large each part is, and which bytes it holds. No I/O.

Both sides work it out by themselves from key and part, so a client can tell whether what it was given is
whole and its own.
"""

import math
import random
import zlib
from dataclasses import dataclass

LARGEST = 200_000  # bytes of one part


@dataclass(frozen=True, slots=True)
class Sizes:
    """Bytes of one part: log-normal around a median; `scale` is KB of the settings for each of them."""

    median: int = 12_000
    spread: float = 0.6
    scale: float = 0.05

    def of(self, key: str, part: int) -> int:
        drawn = (zlib.crc32(f"{key}/{part}".encode()) + 0.5) / 2**32
        size = self.median * math.exp(self.spread * normal(drawn))
        return max(64, min(int(size), LARGEST))

    def kb(self, key: str, part: int) -> float:
        return round(self.of(key, part) * self.scale, 1)


def normal(drawn: float) -> float:
    """A standard normal figure from a uniform one, by the logistic approximation (enough for sizes)."""
    return math.log(drawn / (1 - drawn)) / 1.702


def body(key: str, part: int, size: int) -> bytes:
    mark = f"{key}/{part};".encode()
    return (mark * (size // len(mark) + 1))[:size]


def popular(rng: random.Random, count: int, skew: float = 0.9) -> list[float]:
    """Cumulative weights of `count` objects by Zipf's law, to draw from."""
    total, found = 0.0, []
    for rank in range(1, count + 1):
        total += rank**-skew
        found.append(total)
    return found


def key_of(rank: int) -> str:
    """The 16 hex digits of an object."""
    return f"{zlib.crc32(b'a%d' % rank):08x}{zlib.crc32(b'b%d' % rank):08x}"
