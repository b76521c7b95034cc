"""Events of the bus: the endpoint list and purges, for the router and for the connection pool."""

import math

from weldbend.caches.pool import CachePool
from weldbend.event_bus.endpoint_registry import EndpointRegistry
from weldbend.event_bus.events import EndpointListUpdate, EndpointRecord, Purge, SequencedEvent
from weldbend.front.context import FrontContext
from weldbend.front.event_queue import EventQueue
from weldbend.invariants import anomalies
from weldbend.routing.events import Endpoint, EndpointsListed, EndpointState, ListScope, ObjectsPurged


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
        self._removed: set[int] = set()  # the router may still name them in this iteration

    def handle(self, sequenced: SequencedEvent) -> None:
        """Post an event for the router first, then withdraw the queued attempts that it makes stale.

        The other way round the router would see the withdrawal alone, and send the same attempt again.
        """
        try:
            match sequenced.event:
                case EndpointListUpdate(is_complete, records):
                    known = [record for record in records if record.kind in self.context.site.roles]
                    anomalies["endpoints of unknown kind"] += len(records) - len(known)
                    self.update_list(is_complete, known)
                case Purge(key, group, issued):
                    self.queue.post(ObjectsPurged(key, group, self.context.clock.age(issued)))
                    self.pool.cancel_purged(key, group)
        except Exception:  # noqa: BLE001 - an event that cannot be applied must not stop the bus
            self.context.counters.record_error(sequenced)

    def update_list(self, is_complete: bool, records: list[EndpointRecord]) -> None:
        """Apply an endpoint list, or changes to it.

        Args:
            is_complete: whether what it does not name is removed.
            records: its lines.
        """
        endpoints = tuple(self.names.endpoint(record) for record in records)
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
        started = -math.inf if endpoint.started is None else endpoint.started
        is_usable = endpoint.state is EndpointState.READY
        self.pool.update_endpoint(endpoint.id, record.host, record.port, started, is_usable)

    def forget_removed(self) -> None:
        """Forget the names of removed caches at the end of an iteration: names are never used again."""
        for cache in self._removed - self.listed:
            self.names.forget(cache)
        self._removed.clear()
