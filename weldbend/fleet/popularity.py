"""What the fronts of a zone are requested, counted together. No I/O.

A front's own count of an object stands for its popularity, and with ten fronts in a zone a second request
seldom comes to the same one; a front that has just started has counted nothing at all (the weak spots that
the design names). So each publishes, slot by slot of time, which objects it was requested: a hash of four
bytes each, packed into one text a slot. Slots expire, so counts decay; who reads adds, for each object, the
slots of other fronts that name it. One slot names an object once, and repeats of clients are not counted: no
front raises a level by more elsewhere than it does at home.
"""

import zlib
from array import array
from base64 import b85decode, b85encode
from collections import Counter
from dataclasses import dataclass, field

SLOT_SECONDS = 4.0  # that one slot covers
KEPT_SLOTS = 64  # of one front that are kept: its key is used again after so many
MAX_SLOT_HASHES = 400  # objects in one slot; what comes beyond is omitted
MAX_COUNTED_HASHES = 200_000  # hashes held of all fronts together
HASH_BYTES = 4


class InvalidSlotError(ValueError):
    """A text that is no packed slot; `size` is its length in bytes once decoded."""

    def __init__(self, size: int) -> None:
        super().__init__(f"{size} bytes are no slot of hashes")
        self.size = size


def object_hash(key: str, number: int) -> int:
    """Return the four bytes that stand for an object, a numbered piece of a key, at all fronts."""
    return zlib.crc32(f"{key} {number}".encode())


def pack_slot(hashes: list[int]) -> str:
    """Return the text of a slot."""
    return b85encode(b"".join(hash_value.to_bytes(HASH_BYTES, "big") for hash_value in hashes)).decode()


def unpack_slot(text: str) -> "array[int]":
    """Return the hashes of one slot, each once; raises ValueError for a text that is none."""
    data = b85decode(text)
    if len(data) % HASH_BYTES or len(data) > HASH_BYTES * MAX_SLOT_HASHES:
        raise InvalidSlotError(len(data))
    offsets = range(0, len(data), HASH_BYTES)
    return array(
        "I", sorted({int.from_bytes(data[offset : offset + HASH_BYTES], "big") for offset in offsets})
    )


@dataclass(slots=True)
class PopularitySlots:
    """What this front was requested, until it is published.

    Attributes:
        number: of the last slot.
        began_at: when the current slot began, in seconds; None before the first tick.
        hashes: of objects in it.
        omitted: requests that found it full.
    """

    number: int = 0
    began_at: float | None = None
    hashes: dict[int, None] = field(default_factory=dict)
    omitted: int = 0

    def add(self, object_hash: int) -> None:
        """Note a request for an object."""
        if object_hash in self.hashes:
            return
        if len(self.hashes) < MAX_SLOT_HASHES:
            self.hashes[object_hash] = None
        else:
            self.omitted += 1

    def tick(self, now: float) -> tuple[int, str] | None:
        """Return number and text of a slot that is over; None where none is, or it is empty."""
        if self.began_at is None:
            self.began_at = now
        if now < self.began_at + SLOT_SECONDS:
            return None
        self.began_at = now
        if not self.hashes:
            return None
        hashes = list(self.hashes)
        self.hashes = {}
        self.number += 1
        return self.number, pack_slot(hashes)


@dataclass(slots=True)
class PopularityCounts:
    """What other fronts were requested, counted by object. Every slot is counted as long as its item counts.

    Attributes:
        counts: of slots, by the hash of an object.
        slots: by the key of their item: when it expires, in seconds, and its hashes.
        size: hashes in all slots together.
        rejected: slots that could not be read, or for which there was no capacity.
    """

    counts: Counter[int] = field(default_factory=Counter)
    slots: dict[str, tuple[float, "array[int]"]] = field(default_factory=dict)
    size: int = 0
    rejected: int = 0

    def replace(self, item: str, text: str, until: float) -> None:
        """Count a slot in place of what its item held before; one that cannot be read counts nothing."""
        self.remove(item)
        try:
            hashes = unpack_slot(text)
        except ValueError:
            self.rejected += 1
            return
        if self.size + len(hashes) > MAX_COUNTED_HASHES:
            self.rejected += 1
            return
        self.slots[item] = until, hashes
        self.size += len(hashes)
        self.counts.update(hashes)

    def remove(self, item: str) -> None:
        """Count the slot of an item no more."""
        _, hashes = self.slots.pop(item, (0.0, array("I")))
        self.size -= len(hashes)
        for hash_value in hashes:
            if self.counts[hash_value] <= 1:
                del self.counts[hash_value]
            else:
                self.counts[hash_value] -= 1

    def discard_expired(self, now: float) -> None:
        """Count slots no more whose items have expired."""
        for item in [item for item, (until, _) in self.slots.items() if until <= now]:
            self.remove(item)

    def count_of(self, object_hash: int) -> int:
        """Return how many slots of other fronts name an object."""
        return self.counts.get(object_hash, 0)
