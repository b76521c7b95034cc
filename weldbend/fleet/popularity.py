"""Popularity of objects, counted over all fronts of a zone. No I/O.

The popularity level of an object depends on the number of requests that a front has counted for it. With ten
fronts in a zone, a second request seldom reaches the same front, and a front that has just started has
counted nothing. Each front therefore publishes the objects requested from it in each time slot of
`SLOT_SECONDS`: a hash of four bytes for each object, packed into one text for each slot. The other fronts of
the zone count, for each object, the published slots that contain it; slots expire, so the counts decay. A
slot contains an object only once, and retries of clients are not counted, so no front raises a popularity
level elsewhere by more than its own.
"""

import zlib
from array import array
from base64 import b85decode, b85encode
from collections import Counter
from dataclasses import dataclass, field

SLOT_SECONDS = 4.0  # duration of a slot
KEPT_SLOTS = 64  # published slots of each front; a later slot replaces the one published so many slots before
MAX_SLOT_HASHES = 400  # hashes in one slot; further objects are omitted
MAX_COUNTED_HASHES = 200_000  # hashes in the counted slots of all fronts together; further slots are rejected
HASH_BYTES = 4


class InvalidSlotError(ValueError):
    """A text that is not a valid packed slot.

    Attributes:
        size: length of the decoded text in bytes.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"{size} bytes are not a valid popularity slot")
        self.size = size


def object_hash(key: str, number: int) -> int:
    """Return the four-byte hash of an object, which is a numbered part of a key; equal at all fronts."""
    return zlib.crc32(f"{key} {number}".encode())


def pack_slot(hashes: list[int]) -> str:
    """Return the text of a slot with the given hashes."""
    return b85encode(b"".join(hash_value.to_bytes(HASH_BYTES, "big") for hash_value in hashes)).decode()


def unpack_slot(text: str) -> "array[int]":
    """Return the distinct hashes of a slot; raises ValueError for a text that is not a valid slot."""
    data = b85decode(text)
    if len(data) % HASH_BYTES or len(data) > HASH_BYTES * MAX_SLOT_HASHES:
        raise InvalidSlotError(len(data))
    offsets = range(0, len(data), HASH_BYTES)
    return array(
        "I", sorted({int.from_bytes(data[offset : offset + HASH_BYTES], "big") for offset in offsets})
    )


@dataclass(slots=True)
class PopularitySlots:
    """Objects requested from this front in the current slot, until they are published.

    Attributes:
        number: number of the last published slot.
        began_at: time when the current slot began, in seconds; None before the first tick.
        hashes: hashes of the objects in the current slot, in order of their first request.
        omitted: number of requests that were omitted because the slot was full.
    """

    number: int = 0
    began_at: float | None = None
    hashes: dict[int, None] = field(default_factory=dict)
    omitted: int = 0

    def add(self, object_hash: int) -> None:
        """Add an object that was requested to the current slot."""
        if object_hash in self.hashes:
            return
        if len(self.hashes) < MAX_SLOT_HASHES:
            self.hashes[object_hash] = None
        else:
            self.omitted += 1

    def tick(self, now: float) -> tuple[int, str] | None:
        """Return number and text of the current slot if its time is over; None before, or if it is empty."""
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
    """Counts of the slots of other fronts that contain an object; a slot counts until its item expires.

    Attributes:
        counts: number of slots that contain an object, by the object's hash.
        slots: expiry time in seconds and hashes of each slot, by the key of its replicated item.
        size: total number of hashes in all slots.
        rejected: number of slots that were invalid or exceeded `MAX_COUNTED_HASHES`.
    """

    counts: Counter[int] = field(default_factory=Counter)
    slots: dict[str, tuple[float, "array[int]"]] = field(default_factory=dict)
    size: int = 0
    rejected: int = 0

    def replace(self, item: str, text: str, until: float) -> None:
        """Replace the slot of an item by a new text; an invalid one only removes the old slot."""
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
        """Remove the slot of an item from the counts."""
        _, hashes = self.slots.pop(item, (0.0, array("I")))
        self.size -= len(hashes)
        for hash_value in hashes:
            if self.counts[hash_value] <= 1:
                del self.counts[hash_value]
            else:
                self.counts[hash_value] -= 1

    def discard_expired(self, now: float) -> None:
        """Remove the slots of expired items from the counts."""
        for item in [item for item, (until, _) in self.slots.items() if until <= now]:
            self.remove(item)

    def count_of(self, object_hash: int) -> int:
        """Return the number of slots of other fronts that contain an object."""
        return self.counts.get(object_hash, 0)
