"""What the fronts of a zone are asked for, counted together. No I/O.

A front's own count of an object stands for its popularity, and with ten fronts in a zone a second wish seldom
comes to the same one; a front that has just started has counted nothing at all (the weak spots that the
design names). So each says, slot by slot, which objects it was asked for: a hash of four bytes each, packed
into one text a slot. Slots go after a while, so counts decay; who reads adds, for each object, the slots of
other fronts that name it. One slot names an object once, and repeats of clients are not counted: no front
raises a level by more elsewhere than it does at home.
"""

import zlib
from array import array
from base64 import b85decode, b85encode
from collections import Counter
from dataclasses import dataclass, field

SLOT = 4.0  # seconds that one slot covers
SLOTS = 64  # of one front that are kept: its key is used again after so many
NAMES = 400  # objects in one slot; what comes beyond is left out
MOST = 200_000  # names held of all fronts together
LONGEST = 5 * NAMES  # characters of one slot


def hash_of(key: str, part: int) -> int:
    """Four bytes that stand for an object at all fronts."""
    return zlib.crc32(f"{key} {part}".encode())


def packed(names: list[int]) -> str:
    return b85encode(b"".join(name.to_bytes(4, "big") for name in names)).decode()


def unpacked(text: str) -> "array[int]":
    """The names of one slot; raises ValueError for what is none."""
    data = b85decode(text)
    if len(data) % 4 or len(data) > 4 * NAMES:
        raise ValueError("no slot")
    return array("I", sorted({int.from_bytes(data[at : at + 4], "big") for at in range(0, len(data), 4)}))


@dataclass(slots=True)
class PopularitySlots:
    """What this front was asked for, until it is said."""

    number: int = 0
    begun: float | None = None
    names: dict[int, None] = field(default_factory=dict)
    left_out: int = 0

    def asked(self, name: int) -> None:
        if name in self.names:
            return
        if len(self.names) < NAMES:
            self.names[name] = None
        else:
            self.left_out += 1

    def turn(self, now: float) -> tuple[int, str] | None:
        """Number and text of a slot that is over and holds something."""
        if self.begun is None:
            self.begun = now
        if now < self.begun + SLOT:
            return None
        self.begun = now
        if not self.names:
            return None
        names, self.names = list(self.names), {}
        self.number += 1
        return self.number, packed(names)


@dataclass(slots=True)
class PopularityCounts:
    """What others were asked for, counted by object. Every slot is held as long as its item counts."""

    counts: Counter[int] = field(default_factory=Counter)
    held: dict[str, tuple[float, "array[int]"]] = field(
        default_factory=dict
    )  # by item: its end, and its names
    names: int = 0
    unread: int = 0

    def take(self, item: str, text: str, until: float) -> None:
        """A slot of another front, in place of what its item held before; one that cannot be read is none."""
        self.drop(item)
        try:
            names = unpacked(text)
        except ValueError:
            self.unread += 1
            return
        if self.names + len(names) > MOST:
            self.unread += 1
            return
        self.held[item] = until, names
        self.names += len(names)
        self.counts.update(names)

    def drop(self, item: str) -> None:
        _, names = self.held.pop(item, (0.0, array("I")))
        self.names -= len(names)
        for name in names:
            if self.counts[name] <= 1:
                del self.counts[name]
            else:
                self.counts[name] -= 1

    def forget(self, now: float) -> None:
        for item in [item for item, (until, _) in self.held.items() if until <= now]:
            self.drop(item)

    def of(self, name: int) -> int:
        """How often other fronts were asked for it lately, by slots."""
        return self.counts.get(name, 0)
