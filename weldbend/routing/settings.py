"""What a site says of itself, as the decisions go by it: request classes, limits and warm-up times.

Times are float seconds. `weldbend.site_settings` reads these types from a configuration.
"""

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = auto()
    """No harm: it may be repeated at any time."""
    DEDUPLICATED = auto()
    """None within a window and a group of caches, which recognise its idempotency key."""
    NON_IDEMPOTENT = auto()
    """Harm: it must not be repeated where an earlier attempt may have been executed."""


class DeduplicationScope(Enum):
    """Which caches recognise a repeated idempotency key."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class Role(Enum):
    """What a listed cache is for."""

    EDGE = auto()
    PARENT = auto()
    ORIGIN = auto()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What a site says of one class of requests.

    Attributes:
        name: as the site's settings spell it.
        idempotency: whether, and under what conditions, a request may be repeated.
        deduplication_scope: the caches that share their memory of idempotency keys.
        deduplication_window: seconds from the first attempt for which a key is remembered.
        deadline_after: seconds after its arrival by which a request needs its final answer.
        latency_objective: seconds within which an answer earns its full worth.
        objective_stretch: what each second of sending adds to that objective.
        priority_weight: worth of one answer, in units that are the same for all classes.
        fresh_for: age in seconds up to which a copy is fresh; 0 where it is until it is purged.
        origin_only: whether the request is for the origin and no cache keeps an answer to it.
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
    """What a cache bears after its start.

    Attributes:
        start_capacity: part of its full capacity that it bears at first.
        seconds: until it bears all of it; the part grows evenly meanwhile.
        overload_factor: times its present capacity at which it fails.
    """

    start_capacity: float
    seconds: float
    overload_factor: float


@dataclass(frozen=True, slots=True)
class SiteSettings:
    """What a front is given when it starts, or reads anew while it runs.

    Attributes:
        zone: where this front stands.
        hub: the zone of the hub that its zone is tied to.
        fronts: fronts of the whole site.
        zone_fronts: fronts of this zone.
        hub_fronts: fronts of all zones tied to the same hub.
        classes: request classes by name.
        tick: seconds that pass at most between two batches of events.
        list_refresh: seconds within which the endpoint list has to be asked for again.
        subscribes: whether changes of the endpoint list are pushed.
        weighted: whether the list tells how large each cache's link is.
        allows_hedging: whether two attempts of one request may be in flight at once.
        allows_cancel: whether an attempt in flight can be cancelled.
        max_attempts: attempts that one request may take.
        max_retry_after: longest Retry-After in seconds; 0 where none can be told.
        allows_bypass: whether requests may go to parents and origin past the edges.
        joins_fills: whether a request may join a fill that is under way.
        edge_start_capacity: part of its full capacity that an edge bears when it starts.
        edge_warmup: seconds until an edge that started bears all of it.
        edge_overload_factor: times its present capacity at which a starting edge fails.
        edge_overload_window: seconds of such load after which it fails.
        parent_start_capacity: the same part of a parent's.
        parent_warmup: seconds until a parent that started bears all.
        parent_overload_factor: times its present capacity at which a starting parent fails.
        purge_grace: seconds after a front learns of a purge from which no older copy may answer.
        purge_complete_after: seconds after which a purge has reached every cache.
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

    def warm_up(self, role: Role) -> WarmUp:
        """How a cache of this role warms up."""
        if role is Role.PARENT:
            return WarmUp(self.parent_start_capacity, self.parent_warmup, self.parent_overload_factor)
        return WarmUp(self.edge_start_capacity, self.edge_warmup, self.edge_overload_factor)

    def sharing_fronts(self, role: Role) -> int:
        """Fronts among which a cache of this role is shared."""
        return {Role.EDGE: self.zone_fronts, Role.PARENT: self.hub_fronts}.get(role, self.fronts)

    def purge_lifetime(self) -> float:
        """Seconds for which a copy older than a purge may be met."""
        return self.purge_complete_after + 2 * self.purge_grace
