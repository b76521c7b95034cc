"""Objects of an emulated site: size and content of each part. No I/O.

Clients and caches both compute them from the key and the part number, so a client can verify that a received
body is complete and belongs to the requested object.
"""

import math
import zlib
from dataclasses import dataclass

MAX_PART_SIZE = 200_000  # bytes of one part
MIN_PART_SIZE = 64  # bytes of one part
LOGISTIC_SCALE = 1.702  # scale at which the logistic approximates the standard normal best (Haley, 1952)


@dataclass(frozen=True, slots=True)
class PartSizes:
    """Log-normal distribution of the sizes of parts.

    Attributes:
        median: Median size in bytes.
        spread: Standard deviation of the logarithm of the size.
        kb_per_byte: KB that a request states for each byte of a part.
    """

    median: int = 12_000
    spread: float = 0.6
    kb_per_byte: float = 0.05

    def part_size(self, key: str, part: int) -> int:
        """Return the size of a part in bytes."""
        uniform = (zlib.crc32(f"{key}/{part}".encode()) + 0.5) / 2**32
        size = self.median * math.exp(self.spread * normal_quantile(uniform))
        return max(MIN_PART_SIZE, min(int(size), MAX_PART_SIZE))

    def part_kb(self, key: str, part: int) -> float:
        """Return the size of a part as a request states it, in KB."""
        return round(self.part_size(key, part) * self.kb_per_byte, 1)


def normal_quantile(uniform: float) -> float:
    """Return the standard normal quantile of `uniform`, by the logistic approximation.

    The approximation is accurate enough for sizes.
    """
    return math.log(uniform / (1 - uniform)) / LOGISTIC_SCALE


def body(key: str, part: int, size: int) -> bytes:
    """Return the content of a part: its name, repeated up to the size."""
    name = f"{key}/{part};".encode()
    return (name * (size // len(name) + 1))[:size]


def zipf_weights(count: int, skew: float = 0.9) -> list[float]:
    """Return the cumulative weights of `count` objects under Zipf's law, for random draws."""
    total = 0.0
    weights = []
    for rank in range(1, count + 1):
        total += rank**-skew
        weights.append(total)
    return weights


def object_key(rank: int) -> str:
    """Return the key of the object of a popularity rank: 16 hex digits."""
    return f"{zlib.crc32(b'a%d' % rank):08x}{zlib.crc32(b'b%d' % rank):08x}"
