"""Application of bus events (endpoint lists and purges) to the router and the connection pool."""

import math

from weldbend.caches.pool import CachePool
from weldbend.event_bus.endpoint_registry import EndpointRegistry
from weldbend.event_bus.events import EndpointListUpdate, EndpointRecord, Purge, SequencedEvent
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.front.context import FrontContext
from weldbend.front.event_queue import EventQueue
from weldbend.invariants import anomalies
from weldbend.routing.events import Endpoint, EndpointsListed, EndpointState, ListScope, ObjectsPurged

MILLISECONDS = 1000  # per second
# Fraction of `edge_overload_window`, counted from the first unconfirmed record, in which all cautious
# estimates are repeated. A new estimate resets the count of work sent to a cache in slow start. A front that
# has just started has sent at most this fraction of its quota by then, since its quota grows over one window.
# All quotas take 0.75 of the cache's budget (`slow_start.BUDGET_FRACTION`), so this fraction of them and the
# whole quotas after the reset take 0.75 * (0.25 + 1) = 0.9375 of the budget together.
EARLY_FRACTION = 0.25


class EndpointUpdates:
    """Handler of bus events.

    Attributes:
        listed: numbers of the caches in the endpoint list, except those in the state "removed".
        started: numbers of the listed caches with a start time, which may be in slow start.
    """

    def __init__(
        self, context: FrontContext, queue: EventQueue, names: EndpointRegistry, pool: CachePool
    ) -> None:
        self.context = context
        self.queue = queue
        self.names = names
        self.pool = pool
        self.listed: set[int] = set()
        self.started: set[int] = set()
        # Records by uid, from the configuration or the first read of the bus, whose start times were
        # estimated while this front's Unix clock was not confirmed.
        self._unconfirmed_starts: dict[str, EndpointRecord] = {}
        self._first_unconfirmed: float | None = None  # arrival time of the first of these records
        # Removed caches that stay registered, since the router may still refer to them in this iteration.
        self._removed: set[int] = set()

    def handle(self, sequenced: SequencedEvent, receipt: Receipt) -> None:
        """Post an event for the router, then cancel the queued attempts that the event makes obsolete.

        In the reverse order, the router would handle the cancellation before the event, and send the same
        attempt again.

        Args:
            sequenced: event and its offset.
            receipt: circumstances in which the event was received.
        """
        try:
            match sequenced.event:
                case EndpointListUpdate(is_complete, records):
                    known = [record for record in records if record.kind in self.context.site.roles]
                    anomalies["endpoints of unknown kind"] += len(records) - len(known)
                    self.update_list(is_complete, known, receipt)
                case Purge(key, group, issued):
                    self.observe_stamp(issued)
                    age = receipt.arrived - self.context.timestamps.estimate_purge_time(issued, receipt)
                    self.queue.post(ObjectsPurged(key, group, age))
                    self.pool.cancel_purged(key, group)
        except Exception:  # noqa: BLE001 - an event that cannot be applied must not stop the bus
            self.context.counters.record_error(sequenced)

    def update_list(self, is_complete: bool, records: list[EndpointRecord], receipt: Receipt) -> None:
        """Apply an endpoint list, or changes to it.

        Args:
            is_complete: whether caches that are not in `records` are removed.
            records: endpoint records of the update.
            receipt: circumstances in which the update was received.
        """
        for record in records:
            self._track_unconfirmed_start(record, receipt)
        endpoints = tuple(self.names.endpoint(record, receipt) for record in records)
        named = {endpoint.id for endpoint in endpoints}
        present = {endpoint.id for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED}
        removed = self.listed - named if is_complete else named - present
        self.queue.post(EndpointsListed(ListScope.COMPLETE if is_complete else ListScope.CHANGES, endpoints))
        self.started -= named
        self.started |= {endpoint.id for endpoint in endpoints if endpoint.started is not None}
        for record, endpoint in zip(records, endpoints, strict=True):
            self._update_pool(record, endpoint)
        for cache in removed - named:
            self.pool.remove_endpoint(cache)
        self.listed = (set() if is_complete else self.listed - removed) | present
        self.started &= self.listed
        self._removed |= named - present | removed

    def _update_pool(self, record: EndpointRecord, endpoint: Endpoint) -> None:
        if endpoint.state is EndpointState.REMOVED:
            self.pool.remove_endpoint(endpoint.id)
            return
        known = self.names.starts.get(record.uid)
        started = known.interval.earliest if known else -math.inf
        is_usable = endpoint.state is EndpointState.READY
        self.pool.update_endpoint(endpoint.id, record.host, record.port, started, is_usable)

    # Estimated start times.

    def _track_unconfirmed_start(self, record: EndpointRecord, receipt: Receipt) -> None:
        previous = self._unconfirmed_starts.pop(record.uid, None)
        if previous is not None:
            is_unconfirmed = previous.started_at == record.started_at
        else:
            is_unconfirmed = receipt.is_first_read and not self.context.timestamps.is_confirmed
        if is_unconfirmed and record.started_at and record.state != "removed":
            self._unconfirmed_starts[record.uid] = record
            self._first_unconfirmed = (
                receipt.arrived if self._first_unconfirmed is None else self._first_unconfirmed
            )

    def observe_copy(self, born: str) -> None:
        """Compare this front's Unix clock with the creation time of a copy (Unix milliseconds, as text).

        A cache sends the creation time with its answer. A text that is not a number is ignored.
        """
        if not self.context.timestamps.is_confirmed and born.isascii() and born.isdigit():
            self.observe_stamp(int(born) / MILLISECONDS)

    def observe_stamp(self, stamp: float) -> None:
        """Compare this front's Unix clock with a Unix timestamp of another machine."""
        if self.context.timestamps.confirm(stamp, self.context.clock.now()):
            self._estimate_starts_again()

    def _estimate_starts_again(self) -> None:
        """Repeat the cautious estimates of start times that were made before the clock was confirmed.

        A new estimate resets the router's count of work sent to the cache, so that its quota could be used
        twice. The estimate is therefore repeated only for caches that are warm by now, or for all caches
        while little of the quota can have been used (`EARLY_FRACTION`).
        """
        now = self.context.clock.now()
        records = list(self._unconfirmed_starts.values())
        self._unconfirmed_starts.clear()
        chosen = [record for record in records if self._is_early(now) or self._is_warm(record, now)]
        for record in chosen:
            self.names.discard_start(record.uid)
        if chosen:
            endpoints = tuple(self.names.endpoint(record, Receipt(now)) for record in chosen)
            self.queue.post(EndpointsListed(ListScope.CHANGES, endpoints))

    def _is_early(self, now: float) -> bool:
        window = self.context.site.settings.edge_overload_window
        return (
            self._first_unconfirmed is not None and now - self._first_unconfirmed <= window * EARLY_FRACTION
        )

    def _is_warm(self, record: EndpointRecord, now: float) -> bool:
        warm_up = self.context.site.settings.warm_up(self.names.roles[record.kind])
        return now - self.context.timestamps.to_monotonic(record.started_at) >= warm_up.seconds

    def remove_unlisted(self) -> None:
        """Remove the registrations of removed caches at the end of an iteration.

        A cache that is in the list again keeps its registration.
        """
        for cache in self._removed - self.listed:
            self._unconfirmed_starts.pop(self.names.uids.get(cache, ""), None)
            self.names.remove(cache)
        self._removed.clear()
