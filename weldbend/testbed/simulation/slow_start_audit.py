"""The auditor's rules on caches in slow start, over all fronts together.

A cache's capacity grows along a straight line from the least fraction to all, since the real curve is not
published. Two rules hold: what notified fronts send stays within the budget of work, and the number of calls
of all fronts stays under the bound at which a cold cache falls. Times are seconds of the run.
"""

import math
from collections import defaultdict

from weldbend.testbed.simulation.audit_records import CacheStart, Rule, Rules, SlowStartAttempt

SMALL_CALL_LIMIT = 30.0  # below so many calls in a window the bound is wider in proportion
NOTIFIED_FRACTION = 2 / 3  # of the calls at a fall: above it the fronts could have known


def max_calls(allowed: float) -> float:
    """The number of calls above which a cache falls, where the settings allow it so many."""
    if allowed < SMALL_CALL_LIMIT:
        return allowed + 3 * math.sqrt(allowed) + 3
    return allowed + 2 * math.sqrt(allowed) + 2


class SlowStartAudit:
    """What was sent to each cache since its start, and what of that was too much."""

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.starts: dict[str, CacheStart] = {}  # by uid
        # Seconds of one flow that the requests of each class take together, and their number.
        self.work_by_class: dict[str, tuple[float, int]] = {}
        self.counts: dict[str, int] = defaultdict(int)

    def on_request(self, request_class: str, work: float) -> None:
        """A request whose result takes one flow so many seconds."""
        total, count = self.work_by_class.get(request_class, (0.0, 0))
        self.work_by_class[request_class] = total + work, count + 1

    def on_attempt(
        self, at: float, uid: str, request_class: str, is_notified: bool
    ) -> tuple[Rule, str] | None:
        """An attempt at a cache, or with it as a source; what it breaks, and the proof.

        Args:
            at: When its command was written.
            uid: The cache.
            request_class: Of the request.
            is_notified: Whether the front had had time to know of the start.
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
        """Whether more calls came than the cache bears, most of them from notified fronts."""
        total = sum(work for work, _ in self.work_by_class.values())
        allowed = budget * sum(count for _, count in self.work_by_class.values()) / total
        bound = max_calls(allowed)
        notified = sum(sent.is_notified for sent in start.sent_attempts)
        self.counts["calls to cold"] += 1
        self.counts["calls to cold over half the bound"] += len(start.sent_attempts) > bound / 2
        if len(start.sent_attempts) <= bound or notified <= NOTIFIED_FRACTION * len(start.sent_attempts):
            return None
        proof = f"{len(start.sent_attempts)} calls, {notified} of them by notified fronts, {bound:.1f} may be"
        return Rule.SLOW_START_CALLS, proof

    def _check_work(self, start: CacheStart, budget: float) -> tuple[Rule, str] | None:
        """Whether notified fronts sent more work than the budget, the last attempt aside."""
        mean = {name: total / count for name, (total, count) in self.work_by_class.items()}
        sent = sum(mean[sent.request_class] for sent in start.sent_attempts if sent.is_notified)
        self.counts["pulls to cold"] += 1
        if sent <= budget + mean[start.sent_attempts[-1].request_class]:
            return None
        return (
            Rule.SLOW_START_WORK,
            f"{sent:.2f} sent in {self.rules.slow_start_window} s, {budget:.2f} may be",
        )
