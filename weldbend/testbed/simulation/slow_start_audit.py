"""Auditor's rules on caches in slow start, over all fronts together.

A cache's capacity is taken to grow linearly from the initial fraction to its full weight, as the real curve
is not published. There are two rules: the work sent by notified fronts stays within a budget, and the number
of calls of all fronts stays below the bound at which a cold cache fails. Times are seconds of the run.
"""

import math
from collections import defaultdict

from weldbend.testbed.simulation.audit_records import CacheStart, Rule, Rules, SlowStartAttempt

SMALL_CALL_LIMIT = 30.0  # allowed calls per window below which the bound is relatively wider
# Excess calls are a violation only if more than this fraction of the calls is by fronts that could
# have known of the start.
NOTIFIED_FRACTION = 2 / 3


def max_calls(allowed: float) -> float:
    """Return the number of calls above which a cache fails, given the calls allowed by the settings."""
    if allowed < SMALL_CALL_LIMIT:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


class SlowStartAudit:
    """Checks the attempts sent to each cache since its start against the rules on slow start."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.starts: dict[str, CacheStart] = {}  # by uid
        # Total seconds of one flow that the requests of a class take, and their number, by class.
        self.work_by_class: dict[str, tuple[float, int]] = {}
        self.counts: dict[str, int] = defaultdict(int)

    def on_request(self, request_class: str, work: float) -> None:
        """Record a request; `work` is the time in seconds that one flow takes to transfer its result."""
        total, count = self.work_by_class.get(request_class, (0.0, 0))
        self.work_by_class[request_class] = total + work, count + 1

    def on_attempt(
        self, at: float, uid: str, request_class: str, is_notified: bool
    ) -> tuple[Rule, str] | None:
        """Check an attempt at a cache, or with it as the source.

        Args:
            at: Time at which the command was written.
            uid: Uid of the cache.
            request_class: Class of the request.
            is_notified: Whether the front had time to learn of the start.

        Returns:
            The violated rule and the proof, or None.
        """
        start = self.starts.get(uid)
        rule = self.rules.slow_start_rules.get(start.kind) if start else None
        if start is None or rule is None:
            return None
        self._record_attempt(start, SlowStartAttempt(at, request_class, is_notified))
        fraction = (
            rule.initial_fraction + (1 - rule.initial_fraction) * (at - start.started_at) / rule.duration
        )
        if fraction >= 1:
            return None
        budget = rule.budget_multiple * fraction * start.weight * self.rules.slow_start_window
        return self._check_calls(start, budget) or (self._check_work(start, budget) if is_notified else None)

    def _record_attempt(self, start: CacheStart, sent: SlowStartAttempt) -> None:
        start.sent_attempts.append(sent)
        while start.sent_attempts[0].at < sent.at - self.rules.slow_start_window:
            start.sent_attempts.popleft()

    def _check_calls(self, start: CacheStart, budget: float) -> tuple[Rule, str] | None:
        """Return a violation if the calls exceed the bound and enough of them are by notified fronts."""
        total = sum(work for work, _ in self.work_by_class.values())
        allowed = budget * sum(count for _, count in self.work_by_class.values()) / total
        bound = max_calls(allowed)
        notified = sum(sent.is_notified for sent in start.sent_attempts)
        self.counts["calls to cold"] += 1
        self.counts["calls to cold over half the bound"] += len(start.sent_attempts) > bound / 2
        if len(start.sent_attempts) <= bound or notified <= NOTIFIED_FRACTION * len(start.sent_attempts):
            return None
        proof = (
            f"{len(start.sent_attempts)} calls, {notified} of them by notified fronts, {bound:.1f} allowed"
        )
        return Rule.SLOW_START_CALLS, proof

    def _check_work(self, start: CacheStart, budget: float) -> tuple[Rule, str] | None:
        """Return a violation if notified fronts exceeded the budget even without the last attempt."""
        mean = {name: total / count for name, (total, count) in self.work_by_class.items()}
        sent = sum(mean[sent.request_class] for sent in start.sent_attempts if sent.is_notified)
        self.counts["pulls to cold"] += 1
        if sent <= budget + mean[start.sent_attempts[-1].request_class]:
            return None
        return (
            Rule.SLOW_START_WORK,
            f"{sent:.2f} sent in {self.rules.slow_start_window} s, {budget:.2f} allowed",
        )
