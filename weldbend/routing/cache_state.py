"""What this front makes of one cache: its state, its health, and when it is passed by as an outlier."""

import math

from weldbend.routing import events
from weldbend.routing.concurrency import OVERLOAD_LATE_FRACTION, ConcurrencyLimit
from weldbend.routing.connection_breaks import ConnectionBreaks
from weldbend.routing.context import Context
from weldbend.routing.messages import CacheMessage, Outcome
from weldbend.routing.records import Attempt, CacheRecord
from weldbend.routing.settings import Role
from weldbend.routing.slow_start import RECONNECT_GRACE, RECONNECT_WINDOW, SlowStart

HEALTH_WINDOW = 10.0  # seconds of answers that a cache is judged by
LATE_WEIGHT = 0.5  # what a late answer counts against a cache, a failed one counting one; exact in binary
OUTLIER_THRESHOLD = 0.8  # a suspected cache must draw this part of its peers' success
MIN_PRIOR = 0.1  # the least success of peers that serves as prior
MAX_PRIOR = 0.95  # the greatest one


class Cache(CacheRecord):
    """One listed cache, parent or origin."""

    def __init__(self, context: Context, endpoint: events.Endpoint) -> None:
        super().__init__(context, endpoint)
        self.restart(endpoint.started)

    def restart(self, started: float | None) -> None:
        """Forget what was learned of it: it has started anew, or is new."""
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
        """Take in what the list, peers, settings or attempts tell of it."""
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
        """Stricter at once, and never less strict."""
        if known.started is not None and known.started > (self.started or -math.inf):
            self.restart(known.started)
        if known.state and known.state.value > self.state.value:
            self.state = known.state
            self.context.changed[self] = None

    def record_outcome(self, outcome: Outcome) -> None:
        """Judge it by the end of an attempt; a lost connection counts once, whatever was in flight on it."""
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
        """Have its group know whether it is warm, after an event that may have changed that."""
        if self.group is not None:
            self.group.warming.update_cache(self, self.context.now)

    def record_failure(self, weight: float) -> None:
        """Count a failed answer, or a late one in part."""
        self.failures.add(self.context.now, weight)
        if self.probe_counts:
            self.probe_counts.failures += weight

    def is_warm(self) -> bool:
        """Whether it bears its full load again."""
        return self.slow_start.capacity_fraction() >= 1

    def failure_rate(self) -> float:
        """Failed answers among all, as this front saw them."""
        successes = self.successes.total(self.context.now)
        failures = self.failures.total(self.context.now)
        return (failures + 0.1) / (successes + failures + 1)

    def is_trusted(self, peer_success: float) -> bool:
        """Guards against caches that fail, in whole or part, or grow slow, by a draw from the posterior.

        Prior and bar are the peers' success: what strikes all alike scatters nothing. Harm: after a short
        fault a sound cache is passed by for up to HEALTH_WINDOW. A probe that others have waited
        for is sent whatever is remembered.
        """
        if self.admitted_fraction < 1 and self.context.random.random() >= self.admitted_fraction:
            return False
        if self.must_probe:
            return True
        failures = self.failures.total(self.context.now) + self.peer_failures
        return failures == 0 or self.draw_success(peer_success) > OUTLIER_THRESHOLD * peer_success

    def draw_success(self, peer_success: float = 0.5) -> float:
        """A draw from the posterior of its success rate (Thompson sampling, with a beta prior)."""
        now = self.context.now
        prior = 2 * min(max(peer_success, MIN_PRIOR), MAX_PRIOR)
        successes = self.peer_successes + self.successes.total(now)
        failures = self.peer_failures + self.failures.total(now)
        return self.context.random.betavariate(prior + successes, 2 - prior + failures)


def responsible_cache(attempt: Attempt) -> Cache:
    """Whom a late answer speaks against: a fetch through a parent that is slow says nothing of the origin."""
    parent = attempt.source
    origin = attempt.origin
    if origin and parent and parent.failure_rate() > max(OVERLOAD_LATE_FRACTION, origin.failure_rate()):
        return parent
    return attempt.limited_by()
