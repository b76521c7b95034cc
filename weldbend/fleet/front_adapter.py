"""The interface between a front's dispatcher and its fleet.

The adapter publishes this front's knowledge to the fleet, and applies the knowledge of its peers. Information
from a peer may only restrict this front's decisions, never relax a rule: a purge bounds the age of copies, a
drain or removal in a newer endpoint list than this front has read excludes a cache, a later start makes a
cache warm up again, and a request that may have been executed elsewhere is bound to its group and window.
Health reports and popularity counts are not rules: the decisions weigh them together with this front's own
observations.
"""

from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING

from loguru import logger

from weldbend.event_bus.events import EndpointListUpdate, Purge, SequencedEvent
from weldbend.fleet import replicated_items
from weldbend.fleet.admin_server import AdminServer
from weldbend.fleet.cache_states import CacheStates
from weldbend.fleet.execution_exchange import ExecutionExchange
from weldbend.fleet.health_exchange import HealthExchange
from weldbend.fleet.pause_hold import PauseHold
from weldbend.fleet.popularity_exchange import PopularityExchange
from weldbend.fleet.purges import PurgeExchange
from weldbend.fleet.quota_service import QuotaService
from weldbend.fleet.replicated_store import Change
from weldbend.fleet.runtime import Runtime
from weldbend.fleet.service import Fleet, FleetConfigurationError
from weldbend.fleet.settings import FleetSettings
from weldbend.routing.events import PossibleExecution
from weldbend.routing.random_source import RandomSource

if TYPE_CHECKING:
    from weldbend.front.dispatcher import Dispatcher

TICK_INTERVAL = 1.0  # seconds between two exchanges of health reports, popularity and quotas


class FleetAdapter:
    """The fleet of a front, with the services that exchange data between the two.

    Attributes:
        fleet: membership, replicated store and transports.
        quota_service: limits and ejections shared with other fronts.
        counts: counters of information from peers that was applied or rejected.
    """

    def __init__(
        self, dispatcher: "Dispatcher", name: str, settings: FleetSettings, runtime: Runtime, bus_offset: int
    ) -> None:
        """Create the fleet and its services; nothing is sent or received before `start`.

        Args:
            dispatcher: the event loop that runs the front's decisions.
            name: the front's name.
            settings: the fleet's settings.
            runtime: the reactor, timers and source of random bytes.
            bus_offset: number of the last bus event that the front's configuration includes.

        Raises:
            FleetConfigurationError: the key file cannot be read or is invalid.
        """
        self.runtime = runtime
        self.counts: Counter[str] = Counter()
        epoch = int(dispatcher.clock.unix() * 1000)
        self.fleet = Fleet(runtime, name, settings, self.apply_change, epoch)
        dispatcher.join_fleet(self)
        random_source = RandomSource(int.from_bytes(runtime.random_bytes(4), "big"))
        self.quota_service = QuotaService(dispatcher, self.fleet, random_source)
        self.cache_states = CacheStates(dispatcher, self.fleet, self.quota_service, bus_offset, self.counts)
        self.purges = PurgeExchange(dispatcher, self.fleet, self.counts)
        self.executions = ExecutionExchange(dispatcher, self.fleet, self.counts)
        self.popularity = PopularityExchange(dispatcher, self.fleet)
        self.health = HealthExchange(dispatcher, self.fleet)
        self.hold = PauseHold(self.fleet)
        self.admin_server = AdminServer(self.fleet, self.quota_service.admin_handlers())

    # Start, stop, reload.

    def start(self, known: Iterable[SequencedEvent]) -> None:
        """Join the fleet and publish `known`, the bus events that the configuration includes."""
        self.fleet.start()
        if self.fleet.settings.admin_address:
            self.admin_server.listen(self.runtime.reactor)
        for sequenced in known:
            self.publish_bus_event(sequenced)
        self.runtime.timers.after(TICK_INTERVAL, self.tick)

    def stop(self) -> None:
        """Leave the fleet and close the admin port."""
        self.fleet.stop()
        self.admin_server.stop()

    def reload(self, settings: FleetSettings) -> None:
        """Apply new settings, members and keys; invalid settings are logged and change nothing."""
        try:
            self.fleet.reload(settings)
            self.quota_service.members_changed()
        except FleetConfigurationError as error:
            logger.error("fleet: new installation rejected, the previous one remains in effect: {}", error)

    # Publishing this front's knowledge.

    def publish_bus_event(self, sequenced: SequencedEvent) -> None:
        """Publish an event from this front's own bus connection, after the decisions have applied it."""
        self.cache_states.bus_offset = max(self.cache_states.bus_offset, sequenced.offset)
        match sequenced.event:
            case EndpointListUpdate(_, records):
                for record in records:
                    self.cache_states.publish(record, sequenced.offset)
            case Purge() as purge:
                self.purges.publish(purge)
        self.fleet.publish(replicated_items.BUS_POSITION, self.fleet.name, self.cache_states.bus_offset)

    def attempt_sent(self, class_name: str, idempotency_key: str, cache: int) -> None:
        """Publish that an attempt of a request with an idempotency key is being sent."""
        self.executions.publish_attempt(class_name, idempotency_key, cache)

    def report_ban(self, client: str) -> None:
        """Publish that this front has banned a client."""
        self.quota_service.publish_ban(client)

    # Queries by the dispatcher.

    def count_request(self, class_name: str, key: str, part: int, is_retry: bool) -> int:
        """Count a client's request, and return the recent count of that object at the zone's other fronts."""
        return self.popularity.count_request(class_name, key, part, is_retry)

    def possible_executions(
        self, class_name: str, idempotency_key: str, is_retry: bool
    ) -> tuple[PossibleExecution, ...]:
        """Return earlier attempts of a request, by any front, that may have been executed."""
        return self.executions.possible_executions(class_name, idempotency_key, is_retry)

    def is_over_limit(self, class_name: str, client: str) -> bool:
        """Count a request; return whether it must be rejected because it exceeds a limit of the fleet."""
        return self.quota_service.exceeds_limit(class_name, client)

    def is_banned(self, client: str) -> bool:
        """Return whether the fleet or an operator has banned a client."""
        return self.quota_service.is_banned(client)

    def holds_decisions(self, now: float) -> bool:
        """Return whether decisions are on hold because this process was paused and its data may be stale."""
        return self.hold.is_active(now)

    # Applying peers' knowledge.

    def apply_change(self, change: Change) -> None:
        """Apply a replicated item whose value has become more restrictive."""
        match change.kind:
            case replicated_items.PURGE:
                self.purges.apply(change)
            case replicated_items.DRAIN | replicated_items.START:
                self.cache_states.apply(change.key)
            case replicated_items.FIRST_ATTEMPT:
                self.executions.apply(change)
            case replicated_items.POPULARITY:
                self.popularity.apply(change)

    # Time.

    def tick(self) -> None:
        """Exchange the data that is sent periodically: popularity, health reports and quotas."""
        if self.fleet.is_stopped:
            return
        self.runtime.timers.after(TICK_INTERVAL, self.tick)
        now = self.runtime.timers.now()
        self.popularity.tick(now)
        reports = self.health.tick(now, self.quota_service.ejections.detector.recovering_caches())
        self.quota_service.tick(now, reports)
