"""Events that a router processes: from clients, caches, the endpoint list, timers and other fronts.

The two programs that contain a router, the front on sockets and the simulator's adapter, translate their
protocols into these types. Times, ages and waits are float seconds. Sizes (`work`) are in seconds of sending
at the maximum rate of a client.
"""

from dataclasses import dataclass
from enum import Enum, auto

from weldbend.routing.settings import Role, SiteSettings


class EndpointState(Enum):
    """State of a cache in the endpoint list; each member allows less use of the cache than the one before."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class ListScope(Enum):
    """Relation of an endpoint list to the one known before."""

    CHANGES = auto()
    """Only the entries that have changed since the list known before."""
    COMPLETE = auto()
    """All entries: endpoints that are not listed are removed."""
    REMEMBERED = auto()
    """All entries of a stored list, which may be outdated."""
    FAILED = auto()
    """No entries: the list could not be fetched."""


class AttemptResult(Enum):
    """Outcome of an attempt."""

    SERVED = auto()
    ERROR = auto()
    REJECTED = auto()
    """The cache refused the attempt before executing it."""
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    """No connection could be opened, so the attempt was not sent."""
    RESET = auto()
    """The connection broke while the attempt was in flight; it may have been executed."""
    CANCELLED = auto()
    SUPERSEDED = auto()
    """The attempt was withdrawn before its first byte was sent."""
    MISS = auto()
    """The object is not stored at the cache looked up, or at a source that answers only from its copies."""
    MALFORMED = auto()
    """The connection delivered data that is not a valid answer; the attempt may have been executed."""
    LOCAL_FAULT = auto()
    """This machine could not open a connection: the attempt was not sent, the cache's state is unknown."""


NEVER_EXECUTED = frozenset(
    {
        AttemptResult.REJECTED,
        AttemptResult.UNREACHABLE,
        AttemptResult.SUPERSEDED,
        AttemptResult.MISS,
        AttemptResult.LOCAL_FAULT,
    }
)
"""Results that prove that an attempt was not executed."""
ANSWERED = frozenset({AttemptResult.SERVED, AttemptResult.MISS, AttemptResult.REJECTED, AttemptResult.ERROR})
"""Results of attempts that the cache answered."""
BROKEN = frozenset({AttemptResult.UNREACHABLE, AttemptResult.RESET})
"""Results of attempts whose connection broke or could not be opened."""


class FillHint(Enum):
    """Information about the fill that produced an answer; NONE if the site does not provide any."""

    NONE = auto()
    HIT = auto()
    FILLED = auto()
    FROM_ORIGIN = auto()
    JOINED = auto()
    STALE = auto()
    SOURCE_REFUSED = auto()
    SOURCE_BROKE = auto()
    SOURCE_MISSED = auto()
    NO_PLACE = auto()
    ORIGIN_FAILED = auto()


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        id: number of the cache, never reused for another cache.
        weight: number of flows at the maximum rate of a client that its link carries at once.
        zone: zone of the cache.
        cell: group of caches within the zone that share their idempotency keys.
        role: role of the cache.
        state: state of the cache, which determines whether requests may be sent to it.
        started: start time of the cache, on the clock of `Router.handle`; None if it started long ago.
    """

    id: int
    weight: float
    zone: str
    cell: int
    role: Role
    state: EndpointState
    started: float | None


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The endpoint list, or a change of it, was received."""

    scope: ListScope
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """An earlier attempt with the same idempotency key, by any front, that may have been executed."""

    zone: str
    cell: int
    sent: float

    @property
    def cache(self) -> "PossibleExecution":
        """This object, used in place of a cache: it has a zone and a cell as an attempt's `cache` has."""
        return self


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request of a client was received completely.

    Attributes:
        id: identifier, unique among the open requests.
        key: key of the object.
        part: number of the requested part of the object.
        group: group of objects that may be purged together.
        class_name: name of the request class.
        work: size in seconds of sending; 0 if it is unknown.
        is_retry: whether the client marked the request as a retry.
        deadline: time by which the request needs its final answer.
        queued_for: seconds for which the request was queued unread behind earlier ones.
        possible_executions: earlier attempts of this request that may have been executed: by other fronts,
            and by this front before the client's retry.
        includes_first_attempt: whether the first attempt that any front made is among them.
        received_at: earliest time at which the request can have arrived; None if it has just arrived.
        requested_elsewhere: number of recent requests for the object at other fronts.
        over_limit: whether the request exceeds a fleet-wide limit.
    """

    id: str
    key: str
    part: int
    group: int
    class_name: str
    work: float
    is_retry: bool
    deadline: float
    queued_for: float = 0.0
    possible_executions: tuple[PossibleExecution, ...] = ()
    requested_elsewhere: int = 0
    over_limit: bool = False
    includes_first_attempt: bool = False
    received_at: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first bytes of an answer were forwarded to the client."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        id: identifier of the request.
        attempt: number of the attempt, counted from 0 in each request.
        result: outcome of the attempt.
        duration: seconds since the attempt was sent.
        request_closed: whether the request already has its final answer or was cancelled.
        fill_hint: information in the answer about its fill.
        waited: seconds for which the attempt was queued at the cache, if reported.
        load: load report of the answer, by the name of each figure; None if there is none.
    """

    id: str
    attempt: int
    result: AttemptResult
    duration: float
    request_closed: bool
    fill_hint: FillHint
    waited: float
    load: dict[str, float] | None


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The client no longer waits for a request."""

    id: str


@dataclass(frozen=True, slots=True)
class ObjectsPurged:
    """Copies of an object (`key`), or of a group of objects (key None), made before the purge are stale.

    `age` is the number of seconds since the purge was issued.
    """

    key: str | None
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by the action `SetTimer` has expired.

    `connection_silent`: whether the connection of the timer's attempt has delivered no data since the attempt
    was sent.
    """

    token: str
    connection_silent: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to a cache was opened."""

    cache: int


@dataclass(frozen=True, slots=True)
class PeerKnowledge:
    """Information from other fronts about a cache.

    A router applies only a start time later than the one it knows, and a state that allows less use of the
    cache; None means that the other fronts know nothing.
    """

    cache: int
    state: EndpointState | None
    started: float | None


@dataclass(frozen=True, slots=True)
class ExecutedElsewhere:
    """An attempt by another front may have executed a request that is open at this front."""

    id: str
    execution: PossibleExecution


@dataclass(frozen=True, slots=True)
class PeerHealthReport:
    """Recent outcomes of attempts at a cache by other fronts, as weighted counts."""

    cache: int
    successes: float
    failures: float


@dataclass(frozen=True, slots=True)
class SlowStartQuota:
    """This front's fraction of the work that all fronts may send to a cache during its warm-up.

    Attributes:
        cache: number of the cache.
        is_leased: whether fronts share the budget by leases; False if each front has a fixed share.
        owned: fraction of the whole budget that this front owns.
        leased: fraction that this front holds on leases from others.
        lease_end: time at which those leases end.
    """

    cache: int
    is_leased: bool = False
    owned: float = 0.0
    leased: float = 0.0
    lease_end: float = 0.0

    def fraction(self, now: float) -> float:
        """Return the fraction that this front holds at the time `now`, without expired leases."""
        return self.owned + self.leased * (now < self.lease_end)


@dataclass(frozen=True, slots=True)
class ParentQuota:
    """This front's fraction of the attempts that all fronts may have in flight at the parents.

    The share of a front depends on the demand there and at the other fronts.
    """

    fraction: float


@dataclass(frozen=True, slots=True)
class EjectionUpdate:
    """The fraction of its attempts at a cache that this front may send: 0 for none, 1 for all.

    The outlier detection of the fleet, which may eject a cache, determines it.

    Attributes:
        is_probe: whether the cache is half-open and this front sends the probe.
        must_probe: whether this front sends the probe regardless of the failures that it remembers, because
            an earlier probe produced no result.
    """

    cache: int
    admitted_fraction: float
    is_probe: bool = False
    must_probe: bool = False


@dataclass(frozen=True, slots=True)
class HealthCheckDone:
    """A health check has ended after `duration` seconds."""

    cache: int
    result: AttemptResult
    duration: float
    load: dict[str, float] | None


@dataclass(frozen=True, slots=True)
class LoopLagMeasured:
    """The lag of this front's event loop: seconds for which events wait before they are processed."""

    lag: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings apply from now on; open requests keep the request class that they were admitted with."""

    settings: SiteSettings


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another front was received."""

    front: int
    text: bytes


CacheEvent = ConnectionOpened | PeerKnowledge | PeerHealthReport | SlowStartQuota | EjectionUpdate
"""Events that concern one cache and are delivered to it."""

Event = (
    EndpointsListed
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | RequestCancelled
    | ObjectsPurged
    | TimerFired
    | CacheEvent
    | ExecutedElsewhere
    | ParentQuota
    | HealthCheckDone
    | LoopLagMeasured
    | SettingsChanged
    | MessageReceived
)
