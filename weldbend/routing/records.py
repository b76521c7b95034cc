"""State records of attempts, requests and caches; what to send where is decided elsewhere."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from weldbend.routing.actions import AnswerReason, SendAttempt
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
    """One attempt to answer a request, planned or sent.

    Attributes:
        request: request that the attempt belongs to.
        cache: cache that the attempt is sent to.
        source: cache that a miss is filled from; None for a lookup, which only checks whether the cache has
            the object, and for an attempt that is sent to the origin.
        rank: rank with which the cache stores a copy; 0 if it stores none.
        leave_no_copy: whether the source stores no copy of what it fetches.
        only_if_cached: whether the source answers only from its stored copies.
        origin: the origin, if the source is known to fetch from there.
        number: index among the request's attempts, starting at 0.
        sent: time at which the attempt was sent.
        result: outcome of the attempt; None while it is in flight.
        ended: event that reported the end of the attempt.
        is_suspected: whether the attempt has taken longer than expected.
        is_silent: whether the connection of the suspected attempt has delivered no data since the attempt was
            sent, although answers were expected on it or the attempt had been suspected before.
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
        """Return the cache that does the work; its concurrency limit counts the attempt."""
        return self.origin or self.source or self.cache

    def caches(self) -> "list[Cache]":
        """Return all caches involved in the attempt, starting with the one that does the work."""
        caches = [self.cache] if self.source in (None, self.cache) else [self.source, self.cache]
        return caches if self.origin is None or self.origin in caches else [self.origin, *caches]

    def timeout_token(self) -> str:
        """Return the token of the timer that marks the attempt as suspected."""
        return f"slow:{self.request.received.id}:{self.number}"

    def is_fill(self) -> bool:
        """Return whether the cache may be filling a copy from another cache."""
        return self.source is not None and not self.only_if_cached

    def action(self, max_age: float, join_fill: bool) -> SendAttempt:
        """Return the action that sends this attempt."""
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
    """Weighted outcomes of attempts since this front started to probe a half-open cache."""

    successes: float = 0.0
    failures: float = 0.0


class RequestRecord(Actor[RequestMessage]):
    """State of one request.

    Attributes:
        received: event that reported the request.
        request_class: request class, as defined by the settings at the time of admission.
        object_name: name of the requested object, used by the prefilter and the hash.
        admitted_at: time at which the router received the request.
        executions: attempts of this request that may have been executed: those of other fronts, and those
            that this front sent before the client's retry.
        unknown_until: time until which caches remember the key of an execution that this front does not
            know; infinite if there can be none.
        attempts: attempts of this front, in the order in which they were sent.
        failed_caches: caches that failed to answer this request.
        ruled_out: caches at which admission blocked an attempt; they are not used again for this request.
        choices: first choices for the object by hash, for each group of caches.
        missed_cache: cache that was looked up and does not have the object, and that the next attempt fills;
            None if there was no lookup or that cache has failed since.
        missed_parent: parent that does not have the object: the source of a fill, or the cache looked up.
        error_suspects: caches that answered with an error for which they may be responsible; the error is
            counted against them once another attempt is served.
        popularity: popularity of the object according to the prefilter.
        answer_reason: reason to report if the request is rejected or fails now.
        is_closed: whether the request has its final answer or was cancelled.
    """

    def __init__(self, context: Context, received: RequestReceived, request_class: RequestClass) -> None:
        self.context = context
        self.received = received
        self.request_class = request_class
        self.object_name = f"{received.key} {received.part}"
        self.admitted_at = context.now
        self.executions = list(received.possible_executions)
        self.unknown_until = math.inf
        self.attempts: list[Attempt] = []
        self.failed_caches: set[Cache] = set()
        self.ruled_out: set[Cache] = set()
        self.choices: dict[CacheGroup, Choices] = {}
        self.missed_cache: Cache | None = None
        self.missed_parent: Cache | None = None
        self.error_suspects: list[Cache] = []
        self.popularity = Popularity(0, 0.0)
        self.answer_reason = AnswerReason.NO_CACHE
        self.is_closed = False

    def record_block(self, reason: AnswerReason) -> None:
        """Store why an attempt was blocked.

        That no cache is left to try follows from the blocks before, whose reason is kept.
        """
        if reason is not AnswerReason.NO_CACHE:
            self.answer_reason = reason

    def in_flight(self) -> list[Attempt]:
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.result is None]

    def possible_executions(self) -> list[Attempt | PossibleExecution]:
        """Return the attempts that may have been executed, those before this request first."""
        elsewhere = sorted(self.executions, key=lambda execution: execution.sent)
        return [*elsewhere, *(a for a in self.attempts if a.result not in NEVER_EXECUTED)]

    def end_attempt(self, ended: AttemptEnded) -> Attempt:
        """Store the result of an attempt and return the attempt."""
        attempt = self.attempts[ended.attempt]
        attempt.result = ended.result
        attempt.ended = ended
        return attempt

    def record_miss(self, attempt: Attempt) -> None:
        """Store that the cache of an attempt, and its source if there is one, does not have the object."""
        self.missed_cache = attempt.cache
        parent = attempt.cache if attempt.cache.role is Role.PARENT else self.missed_parent
        self.missed_parent = attempt.source or parent

    def choices_in(self, group: CacheGroup, max_choices: int) -> Choices:
        """Return at most `max_choices` caches of a group, in the order of the hash of the object."""
        if group not in self.choices:
            self.choices[group] = Choices(group, self.object_name, max_choices)
        return self.choices[group]

    def discard_if_finished(self) -> None:
        """Remove the request from the open requests unless an attempt is in flight.

        Each attempt refers to its request. The list of attempts is cleared, since the request would otherwise
        stay in memory until the garbage collector has found the cycle.
        """
        if not self.in_flight():
            self.context.requests.pop(self.received.id, None)
            self.attempts.clear()


class CacheRecord(Actor[CacheMessage]):
    """State of one cache.

    Attributes:
        id, role, zone, cell, state, weight, started: values from the endpoint list, or newer ones from peers.
        sharing_fronts: number of fronts that share the capacity of the cache.
        peer_successes, peer_failures: outcomes of attempts at other fronts, as weighted counts.
        admitted_fraction: fraction of its work that the outlier detection of the fleet lets the cache
            receive.
        is_probed: whether the cache is half-open and this front sends the probe.
        must_probe: whether this front sends the probe regardless of the failures that it remembers.
        probe_counts: outcomes since probing started; None unless the cache is being probed or has been probed
            and does not receive all of its work yet.
        quota: this front's quota of what may be sent to the cache during its warm-up.
        sent_work, wanted_work: work in seconds of sending that this front sent, and that it would have sent
            during a warm-up without a quota, within the overload window.
        successes, failures: outcomes of attempts at this front within the health window, as weighted counts;
            a late answer counts as a fraction of a failure.
        answers: number of answers of any kind received on its connections.
        lost_at: time at which a connection with attempts in flight was last lost.
        breaks: record of broken connections.
        in_flight: attempts in flight that count against the concurrency limit of the cache.
        passing_through: number of fills in flight through this cache that count against the limit of another
            one.
        group: group of ready caches of its role; None if it is not a member.
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
        """Reset what this front observed at the cache; its attempts in flight no longer count in limits."""
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
        """Apply changed settings.

        All work sent within the old window counts as sent now in the new one; the wanted work starts at 0.
        """
        now = self.context.now
        window = self.context.settings.edge_overload_window
        self.sharing_fronts = self.context.settings.sharing_fronts(self.role)
        self.wanted_work = WindowedSum(window)
        sent = self.sent_work.total(now)
        self.sent_work = WindowedSum(window)
        self.sent_work.add(now, sent)

    def update(self, event: CacheEvent) -> None:
        """Apply an update from the fleet, or record that a connection was opened."""
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
        """Count the start or end of an attempt that involves this cache."""
        if attempt.cache is self and attempt.result in BROKEN:
            self.breaks.record_break(self.context.now, attempt.result is AttemptResult.UNREACHABLE)
        if attempt.cache is self and attempt.result in ANSWERED:
            self.answers.add(self.context.now)
            if self.probe_counts:
                # a miss or a completed fill shows that the cache works again, even if it has lost its copies
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
        """Return the number of answers per second within the health window."""
        return self.answers.total(self.context.now) / self.health_window

    def count_in_flight(self, change: int) -> None:
        """Add a change to the number of attempts in flight at all parents, if this cache is a parent."""
        if self.role is Role.PARENT:
            self.context.parents_in_flight += change


def shares_idempotency_keys(
    scope: DeduplicationScope, execution: Attempt | PossibleExecution, attempt: Attempt
) -> bool:
    """Return whether the caches of an execution and an attempt share their idempotency keys."""
    match scope:
        case DeduplicationScope.ZONE:
            return execution.cache.zone == attempt.cache.zone
        case DeduplicationScope.CELL:
            return execution.cache.cell == attempt.cache.cell
    return True
