"""Emulated caches, parents and origin: what they hold, how long a transfer takes, what they answer. No I/O.

Time is given in (seconds); every answer comes as a delay and a message, so the same world runs on sockets and
on a virtual clock. Links are FIFO pipes: a transfer begins when the one before it is through.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from weldbend.testbed.emulator.objects import Sizes, body

REMEMBERED = 8  # seconds for which a marked write is known to have run


@dataclass(slots=True)
class Link:
    """A pipe of so many bytes a second and a delay in seconds."""

    rate: float
    delay: float = 0.0
    free: float = 0.0

    def carry(self, now: float, size: int) -> float:
        """When a transfer begun now has come whole."""
        self.free = max(self.free, now) + size / self.rate
        return self.free + self.delay


@dataclass(frozen=True, slots=True)
class Told:
    """What a cache answers, and when."""

    at: float
    word: str
    fields: dict[str, str]
    body: bytes = b""


@dataclass(slots=True)
class Copy:
    size: int
    born: int  # Unix milliseconds
    rank: int


@dataclass
class Box:
    """A cache, a parent or the origin. `room` in bytes; `service` seconds of its own work an answer."""

    uid: str
    kind: str
    room: int = 64 << 20
    service: float = 0.002
    most: int = 64  # commands under way, beyond which it is full
    up: Link = field(default_factory=lambda: Link(60e6))
    used: int = 0
    held: "OrderedDict[tuple[str, int], Copy]" = field(default_factory=OrderedDict)
    filling: dict[tuple[str, int], tuple[float, Copy]] = field(default_factory=dict)
    ran: dict[str, float] = field(default_factory=dict)  # marked writes and when each ran
    open: int = 0
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, what: str, by: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + by

    def find(self, place: tuple[str, int], oldest: float | None, now: float, unix: float) -> Copy | None:
        """A copy that is here and young enough (`oldest` in milliseconds); one on its way is not here yet."""
        copy = self.held.get(place)
        if place in self.filling and self.filling[place][0] > now:
            return None
        if copy and (oldest is None or unix * 1000 - copy.born <= oldest):
            self.held.move_to_end(place)
            return copy
        return None

    def keep(self, place: tuple[str, int], copy: Copy) -> None:
        """Keep a copy; the least lately used of the lowest rank go where room ends."""
        if old := self.held.pop(place, None):
            self.used -= old.size
        self.held[place] = copy
        self.used += copy.size
        while self.used > self.room:
            last = next((k for k, c in self.held.items() if not c.rank), next(iter(self.held)))
            self.used -= self.held.pop(last).size

    def purge(self, place: str) -> None:
        for key in [key for key in self.held if key[0] == place]:
            self.used -= self.held.pop(key).size


class World:
    """All boxes of a site, and the links between them."""

    def __init__(self, boxes: list[Box], sizes: Sizes, thin: float = 12.5e6, far: float = 0.02) -> None:
        self.boxes = {box.uid: box for box in boxes}
        self.sizes = sizes
        self.links = {box.uid: Link(thin, far) for box in boxes if box.kind == "box"}
        self.hub = Link(4 * thin, far / 2)  # parents to the origin

    def do(self, uid: str, fields: dict[str, str], now: float, unix: float) -> Told:
        """One command; `now` and `unix` are seconds of the steady and the Unix clock. Raises KeyError."""
        box = self.boxes[uid]
        box.count("asked")
        if box.open >= box.most:
            box.count("full")
            return Told(now, "WAIT", {})
        if fields.get("uniq") or fields["queue"] != "photo":
            return self.write(box, fields, now, unix)
        place = fields["path"], int(fields["blk"])
        oldest = float(fields["oldest"]) if "oldest" in fields else None
        if box.kind == "origin":
            box.count("origin")
            size = self.sizes.of(*place)
            return self.done(box, place, Copy(size, int(unix * 1000), 0), box.up.carry(now, size), "o", now)
        if copy := box.find(place, oldest, now, unix):
            box.count("hits")
            return self.done(box, place, copy, box.up.carry(now, copy.size), "h", now)
        source = self.boxes.get(fields.get("from", ""))
        if source is None or source is box:
            box.count("misses")
            return Told(now + box.service, "LACK", {})
        return self.fill(box, source, place, fields, oldest, now, unix)

    def write(self, box: Box, fields: dict[str, str], now: float, unix: float) -> Told:
        mark = fields.get("uniq")
        self.forget(box, now)
        if mark is None or mark not in box.ran:
            box.count("effects")
            if mark:
                box.ran[mark] = now
        else:
            box.count("repeats dropped")
        return Told(now + 5 * box.service, "DONE", {"ver": "w", "born": str(int(unix * 1000))}, b"ok")

    def forget(self, box: Box, now: float) -> None:
        while box.ran and (mark := next(iter(box.ran))) and box.ran[mark] < now - REMEMBERED:
            del box.ran[mark]

    def fill(
        self,
        box: Box,
        source: Box,
        place: tuple[str, int],
        fields: dict[str, str],
        oldest: float | None,
        now: float,
        unix: float,
    ) -> Told:
        """Fill a miss from its source, or join a fill of the same part that is under way."""
        modes = fields.get("mode", "").split("+")
        if "j" in modes and place in box.filling and box.filling[place][0] > now:
            come, copy = box.filling[place]
            box.count("joined")
            return self.done(box, place, copy, box.up.carry(come, copy.size), "j", now)
        found = source.find(place, oldest, now, unix) if source.kind != "origin" else None
        come, note = now, "f"
        if found is None and source.kind != "origin" and "h" in modes:
            source.count("lacked")
            return Told(now + self.links[box.uid].delay, "LACK", {"detail": "l"})
        if found is None:
            found = Copy(self.sizes.of(*place), int(unix * 1000), 0)
            self.boxes[next(uid for uid, b in self.boxes.items() if b.kind == "origin")].count("fills")
            come, note = self.hub.carry(now, found.size), "o"
            if source.kind != "origin" and "n" not in modes:
                source.keep(place, Copy(found.size, found.born, 0))
        else:
            source.count("fills")
        source.count("bytes", found.size)
        come = self.links[box.uid].carry(come, found.size) if box.uid in self.links else come
        copy = Copy(found.size, found.born, int(fields.get("rank", "0")))
        box.filling[place] = come, copy
        if len(box.filling) > 1024:
            box.filling = {where: one for where, one in box.filling.items() if one[0] > now}
        if copy.rank:
            box.keep(place, copy)
        box.count("filled from origin" if note == "o" else "filled")
        return self.done(box, place, copy, box.up.carry(come, copy.size), note, now)

    def done(self, box: Box, place: tuple[str, int], copy: Copy, at: float, note: str, now: float) -> Told:
        fields = {"ver": f"{copy.born:x}", "born": str(copy.born), "detail": note}
        if at > now + box.service:
            fields["waited"] = str(int((at - now) * 1000))
        fields["use"] = f"inflight:{box.open};util:{min(box.open / box.most, 1.0):.2f}"
        return Told(max(at, now + box.service), "DONE", fields, body(*place, copy.size))
