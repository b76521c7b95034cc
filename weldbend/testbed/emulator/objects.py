"""The objects of an emulated site: how large each part is, and which bytes it holds. No I/O.

Both sides work it out by themselves from key and part, so that a client can tell whether what it received is
complete and the object that it requested.
"""

import math
import zlib
from dataclasses import dataclass

MAX_PART_SIZE = 200_000  # bytes of one part
MIN_PART_SIZE = 64  # bytes of one part
LOGISTIC_SCALE = 1.702  # makes the logistic distribution nearest to the standard normal one (Haley, 1952)


@dataclass(frozen=True, slots=True)
class PartSizes:
    """Bytes of one part: log-normal around a median; `scale` is KB of the settings for each of them."""

    median: int = 12_000
    spread: float = 0.6
    kb_per_byte: float = 0.05

    def part_size(self, key: str, part: int) -> int:
        """Bytes of a part."""
        uniform = (zlib.crc32(f"{key}/{part}".encode()) + 0.5) / 2**32
        size = self.median * math.exp(self.spread * normal_quantile(uniform))
        return max(MIN_PART_SIZE, min(int(size), MAX_PART_SIZE))

    def part_kb(self, key: str, part: int) -> float:
        """The size of a part as a request states it, in KB."""
        return round(self.part_size(key, part) * self.kb_per_byte, 1)


def normal_quantile(uniform: float) -> float:
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


def object_key(rank: int) -> str:
    """The 16 hex digits of an object."""
    return f"{zlib.crc32(b'a%d' % rank):08x}{zlib.crc32(b'b%d' % rank):08x}"
