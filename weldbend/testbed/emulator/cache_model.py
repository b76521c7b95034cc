"""Emulated caches, parents and origin: what they hold, how long a transfer takes, what they answer. No I/O.

Times are passed in, in seconds; every answer states when it is due, so the same model runs on sockets and on
a virtual clock. Links are FIFO pipes: a transfer begins when the one before it is through.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from weldbend.testbed.emulator.objects import PartSizes, body

DEDUPLICATION_WINDOW = 8  # seconds for which a write with an idempotency key is known to have been executed
WRITE_FACTOR = 5  # times the service time of a read
MAX_FILLS = 1024  # fills that are kept track of before those that ended are dropped

PartKey = tuple[str, int]  # an object's key, and the number of a part of it


@dataclass(slots=True)
class Link:
    """A pipe of so many bytes a second and a delay in seconds."""

    rate: float
    delay: float = 0.0
    free_at: float = 0.0  # when all transfers so far are through

    def transfer(self, now: float, size: int) -> float:
        """Begin a transfer of `size` bytes; returns when it is complete at the other end."""
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at + self.delay


@dataclass(frozen=True, slots=True)
class TimedAnswer:
    """What a cache answers, and when."""

    due_at: float
    word: str
    fields: dict[str, str]
    body: bytes = b""
    made_ms: int | None = None  # when the origin gave out the copy, as `Copy.made_ms`; None without one


@dataclass(slots=True)
class Copy:
    """One cached part of an object."""

    size: int
    born: int  # Unix milliseconds at which the origin gave it out, by the clock of that moment
    made_ms: int  # the same in milliseconds of the steady clock, by which its age is measured
    rank: int  # 0 is evicted first


@dataclass(frozen=True, slots=True)
class Lookup:
    """What a read command asks for, and when: seconds of the steady clock and of the Unix clock."""

    part_key: PartKey
    max_age: float | None  # milliseconds; None for any
    now: float
    unix: float


@dataclass
class EmulatedCache:
    """A cache, a parent or the origin."""

    uid: str
    kind: str  # box, parent or origin, as the endpoint list names them
    capacity: int = 64 << 20  # bytes
    service_time: float = 0.002  # seconds of its own work for an answer
    max_open: int = 64  # commands that it executes at a time
    uplink: Link = field(default_factory=lambda: Link(60e6))  # to the fronts
    used: int = 0  # bytes
    copies: "OrderedDict[PartKey, Copy]" = field(default_factory=OrderedDict)
    filling: dict[PartKey, tuple[float, Copy]] = field(default_factory=dict)  # (complete at, copy)
    executed: dict[str, float] = field(default_factory=dict)  # idempotency keys of writes, and when
    open_commands: int = 0  # commands that are executed now
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, name: str, by: int = 1) -> None:
        """Add to one of the counters."""
        self.counts[name] = self.counts.get(name, 0) + by

    def is_filling(self, part_key: PartKey, now: float) -> bool:
        """Whether a fill of this part is under way."""
        return part_key in self.filling and self.filling[part_key][0] > now

    def find(self, lookup: Lookup) -> Copy | None:
        """A copy that is here and young enough; one whose fill is under way is not here yet."""
        copy = self.copies.get(lookup.part_key)
        if self.is_filling(lookup.part_key, lookup.now):
            return None
        if copy and (lookup.max_age is None or lookup.now * 1000 - copy.made_ms <= lookup.max_age):
            self.copies.move_to_end(lookup.part_key)
            return copy
        return None

    def store(self, part_key: PartKey, copy: Copy) -> None:
        """Keep a copy; beyond the capacity the least recently used of the lowest rank are evicted."""
        if old := self.copies.pop(part_key, None):
            self.used -= old.size
        self.copies[part_key] = copy
        self.used += copy.size
        while self.used > self.capacity:
            last = next((k for k, c in self.copies.items() if not c.rank), next(iter(self.copies)))
            self.used -= self.copies.pop(last).size

    def purge(self, key: str) -> None:
        """Drop all parts of an object."""
        for part_key in [part_key for part_key in self.copies if part_key[0] == key]:
            self.used -= self.copies.pop(part_key).size

    def execute_write(self, idempotency_key: str | None, now: float, unix: float) -> TimedAnswer:
        """Execute a write, unless one with its key was executed within the window."""
        self._drop_expired_writes(now)
        if idempotency_key is None or idempotency_key not in self.executed:
            self.count("effects")
            if idempotency_key:
                self.executed[idempotency_key] = now
        else:
            self.count("repeats dropped")
        fields = {"ver": "w", "born": str(int(unix * 1000))}
        done = now + WRITE_FACTOR * self.service_time
        return TimedAnswer(done, "DONE", fields, b"ok", int(now * 1000))

    def _drop_expired_writes(self, now: float) -> None:
        while self.executed:
            oldest = next(iter(self.executed))
            if not oldest or self.executed[oldest] >= now - DEDUPLICATION_WINDOW:
                return
            del self.executed[oldest]

    def answer_with(
        self, part_key: PartKey, copy: Copy, ready: float, detail: str, now: float
    ) -> TimedAnswer:
        """The answer that carries a copy which is complete at `ready`; `detail` says where it came from."""
        fields = {"ver": f"{copy.born:x}", "born": str(copy.born), "detail": detail}
        if ready > now + self.service_time:
            fields["waited"] = str(int((ready - now) * 1000))
        fields["use"] = (
            f"inflight:{self.open_commands};util:{min(self.open_commands / self.max_open, 1.0):.2f}"
        )
        done = max(ready, now + self.service_time)
        return TimedAnswer(done, "DONE", fields, body(*part_key, copy.size), copy.made_ms)


class EmulatedCaches:
    """All caches of a site, and the links between them.

    An edge is linked to its parents by `edge_rate` bytes a second with `edge_delay` seconds of delay, all
    parents to the origin by `origin_rate` bytes a second; None for four times an edge's rate.
    """

    def __init__(
        self,
        caches: list[EmulatedCache],
        sizes: PartSizes,
        edge_rate: float = 12.5e6,
        edge_delay: float = 0.02,
        origin_rate: float | None = None,
    ) -> None:
        self.by_uid = {cache.uid: cache for cache in caches}
        self.origin = next((cache for cache in caches if cache.kind == "origin"), None)
        self.sizes = sizes
        self.links = {cache.uid: Link(edge_rate, edge_delay) for cache in caches if cache.kind == "box"}
        self.origin_link = Link(origin_rate or 4 * edge_rate, edge_delay / 2)  # from it to the parents

    def execute(self, uid: str, fields: dict[str, str], now: float, unix: float) -> TimedAnswer:
        """Execute one command; `now` and `unix` are seconds of the steady and the Unix clock.

        Raises KeyError or ValueError where a field is missing or malformed.
        """
        cache = self.by_uid[uid]
        cache.count("asked")
        if cache.open_commands >= cache.max_open:
            cache.count("full")
            return TimedAnswer(now, "WAIT", {})
        if fields.get("uniq") or fields["queue"] != "photo":
            return cache.execute_write(fields.get("uniq"), now, unix)
        part_key = fields["path"], int(fields["blk"])
        lookup = Lookup(part_key, float(fields["oldest"]) if "oldest" in fields else None, now, unix)
        if cache.kind == "origin":
            cache.count("origin")
            size = self.sizes.part_size(*part_key)
            cache.count("bytes read", size)
            ready = cache.uplink.transfer(now, size)
            return cache.answer_with(
                part_key, Copy(size, int(unix * 1000), int(now * 1000), 0), ready, "o", now
            )
        if copy := cache.find(lookup):
            cache.count("hits")
            return cache.answer_with(part_key, copy, cache.uplink.transfer(now, copy.size), "h", now)
        source = self.by_uid.get(fields.get("from", ""))
        if source is None or source is cache:
            cache.count("misses")
            return TimedAnswer(now + cache.service_time, "LACK", {})
        return self._fill(cache, source, lookup, fields)

    def _fill(
        self, cache: EmulatedCache, source: EmulatedCache, lookup: Lookup, fields: dict[str, str]
    ) -> TimedAnswer:
        """Fill a miss from its source, or join a fill of the same part that is under way."""
        part_key = lookup.part_key
        now = lookup.now
        modes = fields.get("mode", "").split("+")
        if "j" in modes and cache.is_filling(part_key, now):
            complete, copy = cache.filling[part_key]
            cache.count("joined")
            return cache.answer_with(part_key, copy, cache.uplink.transfer(complete, copy.size), "j", now)
        found = source.find(lookup) if source.kind != "origin" else None
        if found is None and source.kind != "origin" and "h" in modes:
            source.count("lacked")
            return TimedAnswer(now + self.links[cache.uid].delay, "LACK", {"detail": "l"})
        complete = now
        detail = "f"
        if found is None:
            found = Copy(self.sizes.part_size(*part_key), int(lookup.unix * 1000), int(now * 1000), 0)
            if self.origin:
                self.origin.count("fills")
                self.origin.count("bytes read", found.size)
            complete = self.origin_link.transfer(now, found.size)
            detail = "o"
            if source.kind != "origin" and "n" not in modes:
                source.store(part_key, Copy(found.size, found.born, found.made_ms, 0))
        else:
            source.count("fills")
        source.count("bytes", found.size)
        if cache.uid in self.links:
            complete = self.links[cache.uid].transfer(complete, found.size)
        copy = Copy(found.size, found.born, found.made_ms, int(fields.get("rank", "0")))
        self._store_filled(cache, part_key, complete, copy, now)
        cache.count("filled from origin" if detail == "o" else "filled")
        return cache.answer_with(part_key, copy, cache.uplink.transfer(complete, copy.size), detail, now)

    @staticmethod
    def _store_filled(
        cache: EmulatedCache, part_key: PartKey, complete: float, copy: Copy, now: float
    ) -> None:
        cache.filling[part_key] = complete, copy
        if len(cache.filling) > MAX_FILLS:
            cache.filling = {filled_key: fill for filled_key, fill in cache.filling.items() if fill[0] > now}
        if copy.rank:
            cache.store(part_key, copy)
