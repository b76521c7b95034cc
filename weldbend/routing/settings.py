"""Settings of a site that the routing decisions use: request classes, limits and warm-up times.

Times are float seconds. `weldbend.site_settings` reads these types from a configuration.
"""

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """Effect of executing a request a second time."""

    IDEMPOTENT = auto()
    """No effect: the request may be repeated at any time."""
    DEDUPLICATED = auto()
    """No effect within a time window and a group of caches that recognise its idempotency key."""
    NON_IDEMPOTENT = auto()
    """A second effect: the request must not be repeated if an earlier attempt may have been executed."""


class DeduplicationScope(Enum):
    """Set of caches that recognise a repeated idempotency key."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Role(Enum):
    """Role of a cache in the endpoint list."""

    EDGE = auto()
    PARENT = auto()
    ORIGIN = auto()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings of one class of requests.

    Attributes:
        name: name of the class in the site's settings.
        idempotency: whether, and under what conditions, a request may be repeated.
        deduplication_scope: set of caches that recognise a key that one of them has received.
        deduplication_window: seconds after the first attempt for which a key is remembered.
        deadline_after: seconds after its arrival by which a request needs its final answer.
        latency_objective: seconds within which an answer counts with its full priority weight.
        objective_stretch: seconds added to that objective for each second of sending.
        priority_weight: value of one answer, in the same units for all classes.
        fresh_for: age in seconds up to which a copy is fresh; 0 if it is fresh until purged.
        origin_only: whether requests are answered by the origin and never cached.
    """

    name: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: float
    deadline_after: float
    latency_objective: float
    objective_stretch: float
    priority_weight: float
    fresh_for: float
    origin_only: bool


@dataclass(frozen=True, slots=True)
class WarmUp:
    """Capacity of a cache after its start.

    Attributes:
        start_capacity: initial fraction of the full capacity.
        seconds: time until the full capacity is reached; the fraction grows linearly until then.
        overload_factor: load at which the cache fails, as a multiple of its current capacity.
    """

    start_capacity: float
    seconds: float
    overload_factor: float


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """Settings that a front receives at its start, or when they are reloaded.

    Attributes:
        zone: zone of this front.
        hub: zone of the hub that serves this zone.
        fronts: number of fronts in the whole site.
        zone_fronts: number of fronts in this zone.
        hub_fronts: number of fronts in all zones served by the same hub.
        classes: request classes by name.
        tick: maximum number of seconds between two batches of events.
        list_refresh: seconds within which the endpoint list has to be requested again.
        subscribes: whether changes of the endpoint list are pushed to the front.
        weighted: whether the endpoint list contains the size of each cache's link.
        allows_hedging: whether two attempts of one request may be in flight at once.
        allows_cancel: whether an attempt in flight can be cancelled.
        max_attempts: maximum number of attempts for one request.
        max_retry_after: maximum Retry-After in seconds; 0 if it cannot be sent.
        allows_bypass: whether requests may be sent to parents and the origin without passing an edge.
        joins_fills: whether a request may join a fill that is under way.
        edge_start_capacity: fraction of its full capacity that an edge has at its start.
        edge_warmup: seconds until an edge reaches its full capacity after its start.
        edge_overload_factor: load at which an edge fails during its warm-up, as a multiple of its current
            capacity.
        edge_overload_window: seconds of such a load after which the edge fails.
        parent_start_capacity: fraction of its full capacity that a parent has at its start.
        parent_warmup: seconds until a parent reaches its full capacity after its start.
        parent_overload_factor: load at which a parent fails during its warm-up, as a multiple of its current
            capacity.
        purge_grace: seconds, counted from the time at which a front learns of a purge, after which no copy
            older than the purge may be used in an answer.
        purge_complete_after: seconds after which a purge has reached every cache.
        marks_retries: whether clients mark their retries; if not, every request may be a retry.
    """

    zone: str
    hub: str
    fronts: int
    zone_fronts: int
    hub_fronts: int
    classes: dict[str, RequestClass]
    tick: float
    list_refresh: float
    subscribes: bool
    weighted: bool
    allows_hedging: bool
    allows_cancel: bool
    max_attempts: int
    max_retry_after: float
    allows_bypass: bool
    joins_fills: bool
    edge_start_capacity: float
    edge_warmup: float
    edge_overload_factor: float
    edge_overload_window: float
    parent_start_capacity: float
    parent_warmup: float
    parent_overload_factor: float
    purge_grace: float
    purge_complete_after: float
    marks_retries: bool = True

    def warm_up(self, role: Role) -> WarmUp:
        """Return the warm-up parameters of caches of a role."""
        if role is Role.PARENT:
            return WarmUp(self.parent_start_capacity, self.parent_warmup, self.parent_overload_factor)
        return WarmUp(self.edge_start_capacity, self.edge_warmup, self.edge_overload_factor)

    def sharing_fronts(self, role: Role) -> int:
        """Return the number of fronts that share a cache of a role."""
        return {Role.EDGE: self.zone_fronts, Role.PARENT: self.hub_fronts}.get(role, self.fronts)

    def purge_lifetime(self) -> float:
        """Return the seconds after a purge during which older copies may still exist."""
        return self.purge_complete_after + 2 * self.purge_grace
