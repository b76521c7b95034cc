"""Records of attempts, requests and caches: what is known of each. They decide nothing."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from weldbend.routing.actions import SendAttempt
from weldbend.routing.actor import Actor
from weldbend.routing.cache_group import CacheGroup, Choices, RoleGroup
from weldbend.routing.connection_breaks import ConnectionBreaks
from weldbend.routing.context import Context
from weldbend.routing.events import (
    ANSWERED,
    BROKEN,
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptResult,
    CacheEvent,
    ConnectionOpened,
    EjectionUpdate,
    Endpoint,
    PeerHealthReport,
    PossibleExecution,
    RequestReceived,
    SlowStartQuota,
)
from weldbend.routing.messages import CacheMessage, Popularity, RequestMessage
from weldbend.routing.settings import DeduplicationScope, RequestClass, Role
from weldbend.routing.windows import PooledSum, WindowedSum

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache
    from weldbend.routing.requests import Request


@dataclass(eq=False)
class Attempt:
    """One attempt of a request, planned or sent.

    Attributes:
        request: what it is for.
        cache: where it goes.
        source: where a miss is filled from; None where it only looks whether the cache has the object.
        rank: with which the cache keeps a copy; 0 for not at all.
        leave_no_copy: whether the source keeps none of what it fetches.
        only_if_cached: whether the source answers from its copies alone.
        origin: the origin, where the source is known to fetch from there.
        number: its place among the request's attempts, from 0.
        sent: when it was handed over.
        result: how it ended; None while it is in flight.
        ended: the event that told its end.
        is_suspected: it takes longer than expected.
        is_silent: and its connection brought nothing meanwhile though answers were due.
    """

    request: "Request"
    cache: "Cache"
    source: "Cache | None" = None
    rank: int = 0
    leave_no_copy: bool = False
    only_if_cached: bool = False
    origin: "Cache | None" = None
    number: int = 0
    sent: float = 0.0
    result: AttemptResult | None = None
    ended: AttemptEnded | None = None
    is_suspected: bool = False
    is_silent: bool = False

    def limited_by(self) -> "Cache":
        """The cache whose concurrency limit counts it: the one that does the work."""
        return self.origin or self.source or self.cache

    def caches(self) -> "list[Cache]":
        """All caches that it touches, those that do the work first."""
        caches = [self.cache] if self.source in (None, self.cache) else [self.source, self.cache]
        return caches if self.origin is None or self.origin in caches else [self.origin, *caches]

    def timeout_token(self) -> str:
        """Token of the timer after which it is suspected."""
        return f"slow:{self.request.received.id}:{self.number}"

    def is_fill(self) -> bool:
        """Whether its cache may be filling a copy from elsewhere."""
        return self.source is not None and not self.only_if_cached

    def action(self, max_age: float, join_fill: bool) -> SendAttempt:
        """The attempt as an action."""
        source = self.source.id if self.source else None
        if source is None and self.cache.role is not Role.ORIGIN:
            source = self.cache.id
        return SendAttempt(
            id=self.request.received.id,
            cache=self.cache.id,
            source=source,
            rank=self.rank,
            max_age=max_age,
            timeout=0.0,
            join_fill=join_fill,
            only_if_cached=self.only_if_cached,
            leave_no_copy=self.leave_no_copy,
            revalidate=False,
        )


@dataclass(slots=True)
class ProbeCounts:
    """How attempts at a cache ended since this front began to probe it while half-open."""

    successes: float = 0.0
    failures: float = 0.0


class RequestRecord(Actor[RequestMessage]):
    """What is known of one request.

    Attributes:
        received: the event that it came with.
        request_class: its class, by the settings under which it was admitted.
        object_name: names what a copy is of; prefilter and hash go by it.
        executions: attempts of other fronts that may have been executed.
        attempts: this front's, in the order in which they were sent.
        failed_caches: caches that failed it.
        ruled_out: caches that may not be used for it.
        choices: the caches that come first for its object, by the group that they are chosen from.
        missed_cache: the edge that was looked at and lacks the object.
        missed_parent: the parent that was found to lack it.
        error_suspects: caches that answered with an error, and may be at fault for it.
        popularity: what the prefilter says of its object.
        is_closed: whether it has its final answer or was cancelled.
    """

    def __init__(self, context: Context, received: RequestReceived, request_class: RequestClass) -> None:
        self.context = context
        self.received = received
        self.request_class = request_class
        self.object_name = f"{received.key} {received.part}"
        self.executions = list(received.possible_executions)
        self.attempts: list[Attempt] = []
        self.failed_caches: set[Cache] = set()
        self.ruled_out: set[Cache] = set()
        self.choices: dict[CacheGroup, Choices] = {}
        self.missed_cache: Cache | None = None
        self.missed_parent: Cache | None = None
        self.error_suspects: list[Cache] = []
        self.popularity = Popularity(0, 0.0)
        self.is_closed = False

    def in_flight(self) -> list[Attempt]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.result is None]

    def possible_executions(self) -> list[Attempt | PossibleExecution]:
        """Attempts that may have been executed, the first one first: other fronts', and this front's."""
        elsewhere = sorted(self.executions, key=lambda execution: execution.sent)
        return [*elsewhere, *(a for a in self.attempts if a.result not in NEVER_EXECUTED)]

    def end_attempt(self, ended: AttemptEnded) -> Attempt:
        """Write down how an attempt ended, and return it."""
        attempt = self.attempts[ended.attempt]
        attempt.result = ended.result
        attempt.ended = ended
        return attempt

    def record_miss(self, attempt: Attempt) -> None:
        """Remember who was found to lack the object: the cache, and the parent that was asked for it."""
        self.missed_cache = attempt.cache
        parent = attempt.cache if attempt.cache.role is Role.PARENT else self.missed_parent
        self.missed_parent = attempt.source or parent

    def choices_in(self, group: CacheGroup, max_choices: int) -> Choices:
        """The caches of a group that come first for its object, at most so many."""
        if group not in self.choices:
            self.choices[group] = Choices(group, self.object_name, max_choices)
        return self.choices[group]

    def discard_if_finished(self) -> None:
        """Let go of the request, unless an attempt is in flight."""
        if not self.in_flight():
            self.context.requests.pop(self.received.id, None)


class CacheRecord(Actor[CacheMessage]):
    """What is known of one cache.

    Attributes:
        id, role, zone, cell, state, weight, started: as the endpoint list has them, or peers know better.
        sharers: fronts among which it is shared.
        peer_successes, peer_failures: how attempts ended at other fronts, as weighted counts.
        admitted_fraction: of its work that it may have, by the fleet's outlier detection.
        is_probed: whether it is half-open, and this front the one that sends to it.
        must_probe: whether that is due whatever is remembered.
        probe_counts: answers since that began, until the cache has all of its work again; else None.
        quota: this front's quota of what may be sent while it warms up.
        sent_work, wanted_work: seconds of work sent, and asked for, within the overload window.
        successes, failures: how attempts ended here, within the health window; a late one counts in part.
        answers: answers of any kind over its connections.
        lost_at: when the last connection was lost under what was in flight.
        breaks: when its connections broke.
        in_flight: attempts that count against its limit.
        passing_through: fills that pass it.
        group: the ready caches of its role, if it is among them.
    """

    def __init__(self, context: Context, endpoint: Endpoint) -> None:
        self.context = context
        self.id = endpoint.id
        self.role = endpoint.role
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.state = endpoint.state
        self.weight = endpoint.weight
        self.started = endpoint.started
        self.sharing_fronts = self.context.settings.sharing_fronts(self.role)
        self.peer_successes = 0.0
        self.peer_failures = 0.0
        self.admitted_fraction = 1.0
        self.is_probed = False
        self.must_probe = False
        self.probe_counts: ProbeCounts | None = None
        self.sent_work = WindowedSum(context.settings.edge_overload_window)
        self.in_flight: dict[Attempt, None] = {}
        self.group: RoleGroup | None = None

    def clear(self, health_window: float, breaks: ConnectionBreaks) -> None:
        """Forget all that was seen of it here: nothing is in flight there any more, as far as limits go."""
        self.count_in_flight(-len(self.in_flight))
        self.breaks = breaks
        self.health_window = health_window
        self.sharing_fronts = self.context.settings.sharing_fronts(self.role)
        self.quota = SlowStartQuota(self.id)
        self.wanted_work = WindowedSum(self.context.settings.edge_overload_window)
        self.successes = PooledSum(health_window)
        self.failures = PooledSum(health_window)
        self.answers = WindowedSum(health_window)
        self.lost_at = -math.inf
        self.in_flight = {}
        self.passing_through = 0

    def change_settings(self) -> None:
        """Go by the settings as they are: what was sent counts in the new window as if it were sent now."""
        now = self.context.now
        window = self.context.settings.edge_overload_window
        self.sharing_fronts = self.context.settings.sharing_fronts(self.role)
        self.wanted_work = WindowedSum(window)
        sent = self.sent_work.total(now)
        self.sent_work = WindowedSum(window)
        self.sent_work.add(now, sent)

    def update(self, event: CacheEvent) -> None:
        """Take in what the fleet says of it, and that a connection came up."""
        match event:
            case ConnectionOpened():
                self.breaks.record_open(self.context.now)
            case PeerHealthReport():
                self.peer_successes = event.successes
                self.peer_failures = event.failures
            case SlowStartQuota():
                self.quota = event
            case EjectionUpdate():
                self.admitted_fraction = event.admitted_fraction
                if event.is_probe and not self.is_probed:
                    self.probe_counts = ProbeCounts()
                elif event.admitted_fraction >= 1:
                    self.probe_counts = None
                self.is_probed = event.is_probe
                self.must_probe = event.must_probe

    def track(self, attempt: Attempt) -> None:
        """Count an attempt that touches it and was sent, or has ended."""
        if attempt.cache is self and attempt.result in BROKEN:
            self.breaks.record_break(self.context.now, attempt.result is AttemptResult.UNREACHABLE)
        if attempt.cache is self and attempt.result in ANSWERED:
            self.answers.add(self.context.now)
            if self.probe_counts:
                # a miss, and what was filled through it, say that it works again: its copies may be gone
                is_filled = attempt.result is AttemptResult.SERVED and attempt.limited_by() is not self
                self.probe_counts.successes += attempt.result is AttemptResult.MISS or is_filled
        is_start = attempt.result is None
        if attempt.limited_by() is not self:
            self.passing_through = max(0, self.passing_through + (1 if is_start else -1))
        elif is_start:
            self.in_flight[attempt] = None
            self.count_in_flight(1)
        elif attempt in self.in_flight:
            del self.in_flight[attempt]
            self.count_in_flight(-1)

    def answer_rate(self) -> float:
        """Answers a second that came of it, within the health window."""
        return self.answers.total(self.context.now) / self.health_window

    def count_in_flight(self, change: int) -> None:
        """Count what is in flight here with what is in flight at all parents, if this is one."""
        if self.role is Role.PARENT:
            self.context.parents_in_flight += change


def shares_idempotency_keys(
    scope: DeduplicationScope, execution: Attempt | PossibleExecution, attempt: Attempt
) -> bool:
    """Whether the caches of both share their memory of idempotency keys."""
    match scope:
        case DeduplicationScope.ZONE:
            return execution.cache.zone == attempt.cache.zone
        case DeduplicationScope.CELL:
            return execution.cache.cell == attempt.cache.cell
    return True
