"""Ejections and unlisted starts of caches, passed on to the routing decisions. No I/O.

An unlisted start of a cache is one that the endpoint list does not contain; it is inferred from failures of
several fronts to open a connection to the cache.
"""

import math
from collections.abc import Iterable, Mapping

from loguru import logger

from weldbend.fleet.health_reports import HealthReport
from weldbend.fleet.outlier_detection import (
    START_WINDOW,
    CacheBreak,
    OutlierDetector,
    StateChange,
    unlisted_starts,
)
from weldbend.fleet.quota_context import QuotaContext
from weldbend.fleet.replicated_items import CACHE_BREAK
from weldbend.routing.events import EjectionUpdate, PeerKnowledge


class EjectionService:
    """Runs the outlier detector of this front and passes its results to the routing decisions.

    Attributes:
        context: context shared by all limits and ejections.
        detector: outlier detector of this front.
        updates: last update sent to the routing decisions for each cache that may get less than its full
            load, by the cache's number.
        broken_at: time in seconds of the last failure to open a connection to each cache that this front has
            published, by the cache's uid.
    """

    def __init__(self, context: QuotaContext) -> None:
        self.context = context
        self.detector = OutlierDetector(context.name)
        self.updates: dict[int, EjectionUpdate] = {}
        self.broken_at: dict[str, float] = {}

    def update_ejections(
        self, now: float, reports: Mapping[str, list[HealthReport]], alive: Iterable[str]
    ) -> None:
        """Update the ejections of all caches; `reports` are the health reports of all fronts, by cache."""
        names = self.context.loop.names
        caches = self.context.loop.router.caches
        uids = names.uids
        kinds = {uids[n]: f"{c.role.name} {c.zone}" for n, c in caches.items() if n in uids}
        admitted = self.detector.tick(now, reports, kinds, self.context.zones(), alive)
        updates = {}
        for uid, fraction in admitted.items():
            number = names.numbers.get(uid)
            if fraction < 1 and number is not None:
                is_probe = uid in self.detector.probed
                must_probe = is_probe and self.detector.records[uid].must_probe
                updates[number] = EjectionUpdate(number, fraction, is_probe, must_probe)
        for number in {*updates, *self.updates}:
            update = updates.get(number, EjectionUpdate(number, 1.0))
            if update != self.updates.get(number, EjectionUpdate(number, 1.0)):
                self.context.loop.post(update)
        self.updates = updates
        for change in self.detector.pop_changes():
            self._log(change)

    def _log(self, change: StateChange) -> None:
        uid = change.cache
        record = change.record
        self.context.counts[f"ejection state: {change.after.name.lower()}"] += 1
        logger.bind(
            cache=uid, state=change.after.name, reporters=record.reporters, zone=record.zone
        ).info(
            "fleet: ejection state of {} is now {} (was {}), reported as failing by {}{}",
            uid, change.after.name, change.before.name, ", ".join(record.reporters) or "nobody",
            f", in zone {record.zone}" if record.zone else "",
        )  # fmt: skip

    def find_unlisted_starts(self, now: float) -> None:
        """Publish failures to connect to caches, and pass unlisted starts to the routing decisions.

        If two fronts could not open a connection to a cache within `START_WINDOW`, the process of the cache
        has probably restarted. The cache then counts as started, even though no endpoint list contains the
        start, unless its latest known start is at most `START_WINDOW` older.
        """
        self._publish_breaks(now)
        breaks = [CacheBreak(uid, self.context.name, at) for uid, at in self.broken_at.items()]
        breaks += [
            CacheBreak(uid, writer, item.written_at - float(item.value[2]))
            for uid, writer, item in self.context.live_figures(CACHE_BREAK, now)
            if writer != self.context.name
        ]
        for uid, at in unlisted_starts(breaks).items():
            cache = self.context.cache(uid)
            if cache and (cache.started is None or at > cache.started + START_WINDOW):
                self.context.counts["unlisted starts"] += 1
                self.context.loop.post(PeerKnowledge(cache.id, None, at))
        numbers = self.context.loop.names.numbers
        self.broken_at = {uid: at for uid, at in self.broken_at.items() if uid in numbers}

    def _publish_breaks(self, now: float) -> None:
        """Publish the recent failures to open a connection to a cache that are not published yet."""
        caches = self.context.loop.router.caches
        for uid, number in self.context.loop.names.numbers.items():
            cache = caches.get(number)
            at = cache.breaks.unreachable_at if cache else -math.inf
            if at > self.broken_at.get(uid, -math.inf) and now - at < START_WINDOW:
                self.broken_at[uid] = at
                self.context.publish_figure(CACHE_BREAK, uid, round(now - at, 3))

    def _admitted_fraction(self, number: int) -> float:
        update = self.updates.get(number)
        return update.admitted_fraction if update else 1.0

    def status_rows(self, now: float) -> list[dict[str, object]]:
        """Return the caches with an ejection record for the admin question `verdicts`.

        These are the ejected, half-open and recovering ones, and those that were admitted without restriction
        again less than `FORGET_SECONDS` ago.
        """
        numbers = self.context.loop.names.numbers
        return [
            {
                "cache": uid, "stand": record.state.value, "for": round(now - record.since, 1),
                "ends in": round(record.until - now, 1) if record.until < math.inf else None,
                "voices": list(record.reporters), "zone": record.zone or None, "relapses": record.relapses,
                "part": self._admitted_fraction(numbers.get(uid, -1)),
            }
            for uid, record in sorted(self.detector.records.items())
        ]  # fmt: skip
