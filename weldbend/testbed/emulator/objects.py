"""The objects of an emulated site: how large each part is, and which bytes it holds. No I/O.

Both sides work it out by themselves from key and part, so that a client can tell whether what it received is
complete and the object that it requested.
"""

import math
import zlib
from dataclasses import dataclass

LARGEST = 200_000  # bytes of one part
SMALLEST = 64  # bytes of one part
LOGISTIC_SCALE = 1.702  # makes the logistic distribution nearest to the standard normal one (Haley, 1952)


@dataclass(frozen=True, slots=True)
class Sizes:
    """Bytes of one part: log-normal around a median; `scale` is KB of the settings for each of them."""

    median: int = 12_000
    spread: float = 0.6
    scale: float = 0.05

    def of(self, key: str, part: int) -> int:
        """Bytes of a part."""
        uniform = (zlib.crc32(f"{key}/{part}".encode()) + 0.5) / 2**32
        size = self.median * math.exp(self.spread * normal(uniform))
        return max(SMALLEST, min(int(size), LARGEST))

    def kb(self, key: str, part: int) -> float:
        """The size of a part as a request states it, in KB."""
        return round(self.of(key, part) * self.scale, 1)


def normal(uniform: float) -> float:
    """A standard normal figure from a uniform one, by the logistic approximation (enough for sizes)."""
    return math.log(uniform / (1 - uniform)) / LOGISTIC_SCALE


def body(key: str, part: int, size: int) -> bytes:
    """The bytes of a part: its name, repeated."""
    name = f"{key}/{part};".encode()
    return (name * (size // len(name) + 1))[:size]


def zipf_weights(count: int, skew: float = 0.9) -> list[float]:
    """Cumulative weights of `count` objects by Zipf's law, to draw from."""
    total = 0.0
    weights = []
    for rank in range(1, count + 1):
        total += rank**-skew
        weights.append(total)
    return weights


def key_of(rank: int) -> str:
    """The 16 hex digits of an object."""
    return f"{zlib.crc32(b'a%d' % rank):08x}{zlib.crc32(b'b%d' % rank):08x}"
