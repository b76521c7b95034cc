"""Model of emulated caches, parents and origin: stored copies, durations of transfers, and answers. No I/O.

Times are passed in as arguments, in seconds. Every answer states when it is due, so the same model runs on
sockets and on a virtual clock. Links are FIFO: a transfer begins when the previous one is complete.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from weldbend.testbed.emulator.objects import PartSizes, body

DEDUPLICATION_WINDOW = 8  # seconds for which the idempotency key of an executed write is remembered
WRITE_FACTOR = 5  # ratio of the service time of a write to that of a read
MILLISECONDS = 1000  # per second
MAX_FILLS = 1024  # number of recorded fills above which completed ones are removed

PartKey = tuple[str, int]  # key of an object and number of one of its parts


@dataclass(slots=True)
class Link:
    """A FIFO link.

    Attributes:
        rate: Throughput in bytes per second.
        delay: Propagation delay in seconds.
        free_at: Time at which all transfers so far have been sent.
    """

    rate: float
    delay: float = 0.0
    free_at: float = 0.0

    def transfer(self, now: float, size: int) -> float:
        """Begin a transfer of `size` bytes, and return the time at which it is complete at the receiver."""
        self.free_at = max(self.free_at, now) + size / self.rate
        return self.free_at + self.delay


@dataclass(frozen=True, slots=True)
class TimedAnswer:
    """An answer of a cache and the time at which it is sent.

    Attributes:
        due_at: Time at which the answer is sent, in seconds of the steady clock.
        word: Status of the answer, such as DONE.
        fields: Fields of the answer by name.
        body: Body of the answer.
        made_ms: `Copy.made_ms` of the copy that the answer carries; None if it carries none.
    """

    due_at: float
    word: str
    fields: dict[str, str]
    body: bytes = b""
    made_ms: int | None = None


@dataclass(slots=True)
class Copy:
    """One cached part of an object.

    Attributes:
        size: Size in bytes.
        born: Unix time in milliseconds at which the origin sent it, as the Unix clock read then.
        made_ms: The same time in milliseconds of the steady clock, by which the age of the copy is measured.
        rank: Priority in the cache; copies of rank 0 are evicted first.
    """

    size: int
    born: int
    made_ms: int
    rank: int


@dataclass(frozen=True, slots=True)
class Lookup:
    """A read command.

    Attributes:
        part_key: Requested part.
        max_age: Maximum age of a copy in milliseconds; None for any age.
        now: Time of the command in seconds of the steady clock.
        unix: Time of the command in seconds of the Unix clock.
    """

    part_key: PartKey
    max_age: float | None
    now: float
    unix: float


@dataclass
class EmulatedCache:
    """An edge cache, a parent or the origin.

    Attributes:
        uid: Uid in the endpoint list.
        kind: Kind in the endpoint list: box, parent or origin.
        capacity: Capacity in bytes.
        service_time: Processing time of an answer in seconds, without transfers.
        max_open: Maximum number of commands that are executed at a time.
        uplink: Link to the fronts.
        used: Size of all copies in bytes.
        copies: Copies by part, least recently used first.
        filling: Time at which a fill is complete, and its copy, by part.
        executed: Time at which a write was executed, by idempotency key.
        open_commands: Number of commands that are being executed.
        counts: Counters by name.
    """

    uid: str
    kind: str
    capacity: int = 64 << 20
    service_time: float = 0.002
    max_open: int = 64
    uplink: Link = field(default_factory=lambda: Link(60e6))
    used: int = 0
    copies: "OrderedDict[PartKey, Copy]" = field(default_factory=OrderedDict)
    filling: dict[PartKey, tuple[float, Copy]] = field(default_factory=dict)
    executed: dict[str, float] = field(default_factory=dict)
    open_commands: int = 0
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        self.counts[name] = self.counts.get(name, 0) + by

    def is_filling(self, part_key: PartKey, now: float) -> bool:
        """Return whether a fill of this part is in progress."""
        return part_key in self.filling and self.filling[part_key][0] > now

    def find(self, lookup: Lookup) -> Copy | None:
        """Return a copy that satisfies the lookup, or None.

        A copy whose fill is in progress does not count, nor does one older than the maximum age.
        """
        copy = self.copies.get(lookup.part_key)
        if self.is_filling(lookup.part_key, lookup.now):
            return None
        if copy and (lookup.max_age is None or lookup.now * 1000 - copy.made_ms <= lookup.max_age):
            self.copies.move_to_end(lookup.part_key)
            return copy
        return None

    def store(self, part_key: PartKey, copy: Copy) -> None:
        """Store a copy, and evict others while the capacity is exceeded.

        The least recently used copy of rank 0 is evicted; without any, the least recently used copy.
        """
        if old := self.copies.pop(part_key, None):
            self.used -= old.size
        self.copies[part_key] = copy
        self.used += copy.size
        while self.used > self.capacity:
            evicted = next((k for k, c in self.copies.items() if not c.rank), next(iter(self.copies)))
            self.used -= self.copies.pop(evicted).size

    def purge(self, key: str) -> None:
        """Remove all parts of an object."""
        for part_key in [part_key for part_key in self.copies if part_key[0] == key]:
            self.used -= self.copies.pop(part_key).size

    def execute_write(self, idempotency_key: str | None, now: float, unix: float) -> TimedAnswer:
        """Execute a write, unless a write with the same key was executed within DEDUPLICATION_WINDOW."""
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
        """Return the answer that carries a copy.

        Args:
            part_key: Requested part.
            copy: Copy of that part.
            ready: Time at which the transfer of the copy is complete.
            detail: Code of the source of the copy, for the answer's field of this name.
            now: Time of the command.
        """
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

    Each edge has one link to the parents, of `edge_rate` bytes per second and `edge_delay` seconds of delay.
    All parents share one link to the origin, of `origin_rate` bytes per second (by default four times
    `edge_rate`) and half the delay.

    Attributes:
        by_uid: Caches by uid.
        origin: The origin; None if the site has none.
        sizes: Sizes of the objects' parts.
        links: Links from the parents to an edge, by the edge's uid.
        origin_link: Link from the origin to the parents.
        fresh_time: Maximum age in seconds of a copy for a command that names none; 0 for any age.
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
        self.origin_link = Link(origin_rate or 4 * edge_rate, edge_delay / 2)
        self.fresh_time = 0.0

    def execute(self, uid: str, fields: dict[str, str], now: float, unix: float) -> TimedAnswer:
        """Execute one command.

        Args:
            uid: Uid of the cache that received it.
            fields: Fields of the command.
            now: Time in seconds of the steady clock.
            unix: Time in seconds of the Unix clock.

        Raises:
            KeyError: A field is missing.
            ValueError: A field is malformed.
        """
        cache = self.by_uid[uid]
        cache.count("asked")
        if cache.open_commands >= cache.max_open:
            cache.count("full")
            return TimedAnswer(now, "WAIT", {})
        if fields.get("uniq") or fields["queue"] != "photo":
            return cache.execute_write(fields.get("uniq"), now, unix)
        part_key = fields["path"], int(fields["blk"])
        max_age = float(fields.get("oldest", 0)) or self.fresh_time * MILLISECONDS or None
        lookup = Lookup(part_key, max_age, now, unix)
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
        """Fill a miss from its source, or join a fill of the same part that is in progress."""
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
