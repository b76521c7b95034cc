"""Events of the bus: the endpoint list and purges, for the router and for the connection pool."""

import math

from weldbend.caches.pool import CachePool
from weldbend.event_bus.endpoint_registry import EndpointRegistry
from weldbend.event_bus.events import EndpointListUpdate, EndpointRecord, Purge, SequencedEvent
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.front.context import FrontContext
from weldbend.front.event_queue import EventQueue
from weldbend.invariants import anomalies
from weldbend.routing.events import Endpoint, EndpointsListed, EndpointState, ListScope, ObjectsPurged

MILLISECONDS = 1000  # in a second
EARLY_FRACTION = (
    0.25  # of the window of the overload rule: what may be sent by then fits beside a whole quota
)


class EndpointUpdates:
    """Applies events of the bus.

    Attributes:
        listed: caches that the list names and that are not removed.
        started: caches for which the list gives a start time: they may be warming up.
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
        self._unconfirmed_starts: dict[str, EndpointRecord] = {}  # starts of the first reading, by uid
        self._first_unconfirmed: float | None = None  # when the first of them came
        self._removed: set[int] = set()  # the router may still name them in this iteration

    def handle(self, sequenced: SequencedEvent, receipt: Receipt) -> None:
        """Post an event for the router first, then withdraw the queued attempts that it makes stale.

        The other way round the router would see the withdrawal alone, and send the same attempt again.

        Args:
            sequenced: the event.
            receipt: how it came.
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
            is_complete: whether what it does not name is removed.
            records: its lines.
            receipt: how it came.
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

    # Dates of starts.

    def _track_unconfirmed_start(self, record: EndpointRecord, receipt: Receipt) -> None:
        previous = self._unconfirmed_starts.pop(record.uid, None)
        if previous is not None:
            is_cautious = previous.started_at == record.started_at
        else:
            is_cautious = receipt.is_first_read and not self.context.timestamps.is_confirmed
        if is_cautious and record.started_at and record.state != "removed":
            self._unconfirmed_starts[record.uid] = record
            self._first_unconfirmed = (
                receipt.arrived if self._first_unconfirmed is None else self._first_unconfirmed
            )

    def observe_copy(self, born: str) -> None:
        """Compare clocks by the field of an answer that says when its copy was made (Unix milliseconds)."""
        if not self.context.timestamps.is_confirmed and born.isascii() and born.isdigit():
            self.observe_stamp(int(born) / MILLISECONDS)

    def observe_stamp(self, stamp: float) -> None:
        """Compare this front's Unix clock with a Unix time that another machine stamped."""
        if self.context.timestamps.confirm(stamp, self.context.clock.now()):
            self._estimate_starts_again()

    def _estimate_starts_again(self) -> None:
        """Date starts again that were dated cautiously at the first reading.

        Dating again forgets what was sent to a cache. So it is done for those that are warm, and for all
        within the first part of a window, in which a front that has just started sends little of its quota.
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
        """Forget the names of removed caches at the end of an iteration: names are never used again."""
        for cache in self._removed - self.listed:
            self._unconfirmed_starts.pop(self.names.uids.get(cache, ""), None)
            self.names.remove(cache)
        self._removed.clear()
