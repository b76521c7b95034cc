"""What the decisions are told: events of clients, caches, the endpoint list, timers and other fronts.

Both programs that hold a router, the front on sockets and the simulator's adapter, translate their protocol
into these types. Times are float seconds, ages and waits too; sizes are in units of one second of sending
at a client's top pace (`work`).
"""

from dataclasses import dataclass
from enum import Enum, auto

from weldbend.routing.settings import Role, SiteSettings


class EndpointState(Enum):
    """The state that the endpoint list gives a cache; a later one is never less strict."""

    READY = auto()
    DRAINING = auto()
    REMOVED = auto()


class ListScope(Enum):
    """How an endpoint list replaces the one known before."""

    CHANGES = auto()
    """Only what has changed."""
    COMPLETE = auto()
    """All there is: what it does not name is removed."""
    REMEMBERED = auto()
    """All there was when it was last written down, which may be old."""
    FAILED = auto()
    """Nothing: the list could not be had."""


class AttemptResult(Enum):
    """How an attempt ended."""

    SERVED = auto()
    ERROR = auto()
    REJECTED = auto()
    """The cache refused it before it ran."""
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    """No connection came up: it never left."""
    RESET = auto()
    """Its connection broke while it was in flight: it may have been executed."""
    CANCELLED = auto()
    SUPERSEDED = auto()
    """Withdrawn before its first byte left."""
    MISS = auto()
    """The cache that was looked at, or the source that answers from its copies alone, lacks the object."""
    MALFORMED = auto()
    """Its connection brought what is no answer: it may have been executed."""
    LOCAL_FAULT = auto()
    """This front's machine could make no connection: it never left, and nothing is known of its cache."""


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
"""Results that an answer brought."""
BROKEN = frozenset({AttemptResult.UNREACHABLE, AttemptResult.RESET})
"""Results that a connection brought which broke, or never came up."""


class FillHint(Enum):
    """What an answer tells of its fill, where a site tells it."""

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
    """One line of the endpoint list.

    Attributes:
        id: number of the cache; never used again for another.
        weight: flows that its link carries at once at a client's top pace.
        zone: where it stands.
        cell: the group within the zone that shares its memory of idempotency keys.
        role: what it is for.
        state: whether it may be sent anything.
        started: when it started, on the clock of `Router.handle`; None for long ago.
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
    """The endpoint list, or a change of it, has come."""

    scope: ListScope
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """An attempt by another front, of a request with the same idempotency key, that may have run."""

    zone: str
    cell: int
    sent: float

    @property
    def cache(self) -> "PossibleExecution":
        """What is known of its cache: the group that recognises the key."""
        return self


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A client's request has come whole.

    Attributes:
        id: names it, uniquely while it is open.
        key: the object.
        part: which part of the object is asked for.
        group: the group of objects that may be purged together.
        class_name: its request class.
        work: its size in seconds of sending; 0 where it is not told.
        is_retry: whether the client says that it asks again.
        deadline: moment by which it needs its final answer.
        queued_for: seconds for which it lay unread while others that came before were read.
        possible_executions: attempts of it by other fronts that may have run.
        requested_elsewhere: how often other fronts were asked for the object lately.
        over_limit: whether it is beyond a limit that holds for all fronts together.
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


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first bytes of an answer have been passed on to the client."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended.

    Attributes:
        id: the request.
        attempt: its number, counted from 0 in each request.
        result: how it ended.
        duration: seconds since it was sent.
        request_closed: whether the request has its final answer, or was cancelled, by then.
        fill_hint: what the answer tells of its fill.
        waited: seconds for which it queued at the cache, where that is told.
        load: the load report in the answer by the name of each figure; None where there is none.
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
    """Nobody waits for a request any more."""

    id: str


@dataclass(frozen=True, slots=True)
class ObjectsPurged:
    """All copies of an object (`key`), or of a group of objects (key None), made until then are stale.

    `age` is how many seconds ago the purge was issued.
    """

    key: str | None
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer of `SetTimer` is due.

    `connection_silent`: the connection of the attempt that it is for has brought nothing since it was sent.
    """

    token: str
    connection_silent: bool = False


@dataclass(frozen=True, slots=True)
class ConnectionOpened:
    """A connection to a cache has come up."""

    cache: int


@dataclass(frozen=True, slots=True)
class PeerKnowledge:
    """What other fronts know of a cache. None says nothing; it can only make this front stricter."""

    cache: int
    state: EndpointState | None
    started: float | None


@dataclass(frozen=True, slots=True)
class ExecutedElsewhere:
    """Another front may have had an open request executed."""

    id: str
    execution: PossibleExecution


@dataclass(frozen=True, slots=True)
class PeerHealthReport:
    """How attempts at a cache ended at other fronts lately, as weighted counts."""

    cache: int
    successes: float
    failures: float


@dataclass(frozen=True, slots=True)
class SlowStartQuota:
    """This front's fraction of what all fronts together may send to a cache that warms up.

    Attributes:
        cache: its number.
        is_leased: whether fronts share the budget by leases; False for the fixed share of each.
        owned: fraction of the whole budget that this front owns.
        leased: fraction that it holds on leases from others.
        lease_end: moment at which those leases end.
    """

    cache: int
    is_leased: bool = False
    owned: float = 0.0
    leased: float = 0.0
    lease_end: float = 0.0

    def fraction(self, now: float) -> float:
        """What this front holds at the moment `now`: leases end."""
        return self.owned + self.leased * (now < self.lease_end)


@dataclass(frozen=True, slots=True)
class ParentQuota:
    """This front's fraction, by its demand, of what all fronts may have in flight at the parents."""

    fraction: float


@dataclass(frozen=True, slots=True)
class EjectionUpdate:
    """What fraction of its work a cache may have from here by the fleet's verdict: 0 none, 1 all.

    Attributes:
        is_probe: whether the cache is half-open, and this front is the one that sends to it.
        must_probe: whether it sends whatever failures it remembers, as an earlier probe has brought
            nothing.
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
    """How many seconds events wait for their turn, since the front has more to do than it has time for."""

    lag: float


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings hold from now on; requests that are open go on under those they began with."""

    settings: SiteSettings


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another front has come."""

    front: int
    text: bytes


CacheEvent = ConnectionOpened | PeerKnowledge | PeerHealthReport | SlowStartQuota | EjectionUpdate
"""Events that concern one cache, and go to it."""

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
