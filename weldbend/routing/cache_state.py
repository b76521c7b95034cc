"""The state and health of one cache as seen by this front, and its exclusion as an outlier."""

import math

from weldbend.routing import events
from weldbend.routing.concurrency import OVERLOAD_LATE_FRACTION, ConcurrencyLimit
from weldbend.routing.connection_breaks import ConnectionBreaks
from weldbend.routing.context import Context
from weldbend.routing.messages import CacheMessage, Outcome
from weldbend.routing.records import Attempt, CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.slow_start import RECONNECT_GRACE, RECONNECT_WINDOW, SlowStart

HEALTH_WINDOW = 10.0  # seconds of answers from which the health of a cache is determined
# Weight of a late answer relative to a failure; exact in binary, so that `WindowedSum.merge` can subtract it
# without a remainder.
LATE_WEIGHT = 0.5
# A cache is trusted if the success rate drawn for it exceeds this fraction of the success rate of the caches
# with which it is compared.
OUTLIER_THRESHOLD = 0.8
MIN_PRIOR = 0.1  # lower bound of the success rate that is the mean of the prior distribution
MAX_PRIOR = 0.95  # upper bound of that success rate


class Cache(CacheRecord):
    """An edge, parent or origin in the endpoint list."""

    def __init__(self, context: Context, endpoint: events.Endpoint) -> None:
        super().__init__(context, endpoint)
        self.restart(endpoint.started)

    def restart(self, started: float | None) -> None:
        """Reset everything that was learned about the cache, because it was added or has restarted."""
        group = self.group
        if group is not None:
            group.leave_sums(self)
        self.started = started
        self.clear(HEALTH_WINDOW, ConnectionBreaks(RECONNECT_GRACE, RECONNECT_WINDOW))
        self.concurrency = ConcurrencyLimit(self)
        self.slow_start = SlowStart(self)
        if group is not None:
            group.join_sums(self)

    def handle(self, message: CacheMessage) -> None:
        """Process a message from the endpoint list, peers, settings or attempts."""
        match message:
            case events.Endpoint():
                if message.started != self.started:
                    self.restart(message.started)
                self.state = message.state
                self.weight = message.weight
                self.context.changed[self] = None
            case events.PeerKnowledge():
                self.apply_peer_knowledge(message)
            case events.SettingsChanged():
                self.change_settings()
                self.update_warming()
            case Attempt():
                self.track(message)
                if message.result in events.BROKEN:
                    self.update_warming()
            case Outcome():
                self.record_outcome(message)
            case _:
                self.update(message)
                self.update_warming()

    def apply_peer_knowledge(self, known: events.PeerKnowledge) -> None:
        """Apply a later start time, or a state that allows less use, known to peers; ignore anything else."""
        if known.started is not None and known.started > (self.started or -math.inf):
            self.restart(known.started)
        if known.state and known.state.value > self.state.value:
            self.state = known.state
            self.context.changed[self] = None

    def record_outcome(self, outcome: Outcome) -> None:
        """Update the health by the outcome of an attempt.

        Connections lost at the same time count as one failure, because all attempts in flight on a connection
        are lost together.
        """
        now = self.context.now
        if outcome is Outcome.CONNECTION_LOST:
            if now > self.lost_at:
                self.lost_at = now
                self.record_failure(1.0)
            return
        if outcome is Outcome.SUCCESS:
            self.successes.add(now)
            if self.probe_counts:
                self.probe_counts.successes += 1
        else:
            self.record_failure(LATE_WEIGHT if outcome is Outcome.LATE else 1.0)
        self.concurrency.count(outcome)
        if self.role is Role.PARENT:
            self.context.parent_limit.record(outcome)
        self.concurrency.adapt(outcome)

    def update_warming(self) -> None:
        """Update the group's record of whether this cache is warm, as an event may have changed it."""
        if self.group is not None:
            self.group.warming.update_cache(self, self.context.now)

    def record_failure(self, weight: float) -> None:
        """Count a failure, or a late answer with a lower weight."""
        self.failures.add(self.context.now, weight)
        if self.probe_counts:
            self.probe_counts.failures += weight

    def is_warm(self) -> bool:
        """Return whether the cache has its full capacity, that is, is not warming up."""
        return self.slow_start.capacity_fraction() >= 1

    def failure_rate(self) -> float:
        """Return the fraction of failures among the outcomes of attempts at this front.

        One more outcome is assumed that is 0.1 of a failure, so the rate is 0.1 if there are no outcomes.
        """
        successes = self.successes.total(self.context.now)
        failures = self.failures.total(self.context.now)
        return (failures + 0.1) / (successes + failures + 1)

    def is_trusted(self, peer_success: float) -> bool:
        """Return whether the cache performs about as well as others, by a random draw of its success rate.

        Guards against caches that fail, completely or partly, or become slow. `peer_success` is the success
        rate of the caches with which this one is compared. The prior and the threshold are derived from it,
        so a fault that affects all caches alike does not redistribute requests. A cache without failures is
        trusted without a draw. Side effect: after a short fault, a healthy cache may be skipped for up to
        HEALTH_WINDOW. If the fleet restricts the work of a cache, at most the fraction `admitted_fraction`
        of the calls for it return True. A probe marked as mandatory (`must_probe`) is sent regardless of
        remembered failures.
        """
        if self.admitted_fraction < 1 and self.context.random.random() >= self.admitted_fraction:
            return False
        if self.must_probe:
            return True
        failures = self.failures.total(self.context.now) + self.peer_failures
        return failures == 0 or self.draw_success(peer_success) > OUTLIER_THRESHOLD * peer_success

    def draw_success(self, peer_success: float = 0.5) -> float:
        """Return a random draw from the posterior of the success rate (Thompson sampling, with a beta prior).

        The prior weighs as much as two outcomes; its mean is `peer_success`, limited to the
        range from MIN_PRIOR to MAX_PRIOR.
        """
        now = self.context.now
        prior = 2 * min(max(peer_success, MIN_PRIOR), MAX_PRIOR)
        successes = self.peer_successes + self.successes.total(now)
        failures = self.peer_failures + self.failures.total(now)
        return self.context.random.betavariate(prior + successes, 2 - prior + failures)


def responsible_cache(attempt: Attempt) -> Cache:
    """Return the cache that a slow or failed attempt counts against: usually the one that does the work.

    A fetch from the origin through a parent counts against the parent instead of the origin if the failure
    rate of the parent exceeds both OVERLOAD_LATE_FRACTION and the failure rate of the origin.
    """
    parent = attempt.source
    origin = attempt.origin
    if origin and parent and parent.failure_rate() > max(OVERLOAD_LATE_FRACTION, origin.failure_rate()):
        return parent
    return attempt.limited_by()
