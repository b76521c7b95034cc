"""Health reports on caches: what a front publishes of its attempts, and how others weigh it. No I/O.

Each front publishes how its attempts at a cache ended in the last seconds, as long as some failed, and how it
fares with all caches together. Who reads a report weighs it by its age, by where its writer stands, and by
how well the writer fares with all other caches: one whose own network is faulty has failures everywhere. The
heaviest accuser is left out, so no front alone, wrong or lying, makes another suspect a cache; and no writer
counts for more than `MAX_ANSWERS` answers, however many it claims.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

REPORT_SPAN = 10.0  # seconds that a report covers; an older one counts for nothing
REPEAT_INTERVAL = 3.0  # seconds after which the same is published again
WATCHED_INTERVAL = 0.9  # the same, for caches that others accuse
MAX_ANSWERS = 4.0  # that one writer's report counts for at most
OTHER_ZONE_WEIGHT = 0.5  # of the report of a front in another zone: its network path is another
MIN_FAILED = 0.5  # failed answers below which nothing is suspected
MAX_REPORTS = 32  # published at once; the worst first
ALL_CACHES = "*"  # stands for all caches together
MIN_CHANGE = 1.0  # in failed answers, that is published at once
MIN_CHANGE_FRACTION = 0.2  # the same, of the failed answers published before

Outcomes = tuple[float, float]  # answers: good ones and failed ones
NO_OUTCOMES: Outcomes = (0.0, 0.0)


@dataclass(slots=True)
class HealthReporter:
    """Decides what this front publishes of its own attempts.

    Attributes:
        published: of each cache, when it was published last, in seconds, and what.
    """

    published: dict[str, tuple[float, Outcomes]] = field(default_factory=dict)

    def due_reports(
        self, now: float, outcomes: Mapping[str, Outcomes], watched: Iterable[str] = ()
    ) -> list[tuple[str, Outcomes]]:
        """Return what to publish now, of caches and of all together (`ALL_CACHES`).

        That is nothing while all attempts end well, unless others accuse a cache (`watched`): of these also
        a front that fares well reports.
        """
        rounded = {uid: (round(good, 1), round(failed, 1)) for uid, (good, failed) in outcomes.items()}
        watched = set(watched)
        reports = self._due_caches(now, rounded, watched)
        total = (
            round(sum(good for good, _ in rounded.values()), 1),
            round(sum(failed for _, failed in rounded.values()), 1),
        )
        has_reason = reports or watched or any(failed for _, failed in rounded.values())
        if has_reason and self._is_due(ALL_CACHES, total, now, REPEAT_INTERVAL):
            reports.append((ALL_CACHES, total))
        self.published |= {uid: (now, published) for uid, published in reports}
        for uid in [uid for uid in self.published if uid not in rounded and uid != ALL_CACHES]:
            del self.published[uid]
        return reports

    def _due_caches(
        self, now: float, outcomes: Mapping[str, Outcomes], watched: set[str]
    ) -> list[tuple[str, Outcomes]]:
        candidates = {uid for uid, (_, (_, failed)) in self.published.items() if failed}
        candidates |= {uid for uid in watched if sum(outcomes.get(uid, NO_OUTCOMES))}
        due = [
            uid
            for uid, (_, failed) in outcomes.items()
            if (failed or uid in candidates)
            and self._is_due(uid, outcomes[uid], now, WATCHED_INTERVAL if uid in watched else REPEAT_INTERVAL)
        ]
        due.sort(key=lambda uid: outcomes[uid][1], reverse=True)
        return [(uid, outcomes[uid]) for uid in due[:MAX_REPORTS]]

    def _is_due(self, uid: str, outcomes: Outcomes, now: float, interval: float) -> bool:
        published_at, (_, before) = self.published.get(uid, (-REPORT_SPAN, NO_OUTCOMES))
        failed = outcomes[1]
        has_changed = abs(failed - before) >= max(MIN_CHANGE, MIN_CHANGE_FRACTION * before)
        return has_changed or (failed > 0) != (before > 0) or now - published_at >= interval


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What one front reports of one cache.

    Attributes:
        writer: the front.
        is_same_zone: whether it stands in the reader's zone.
        age: seconds since it was published.
        outcomes: of its attempts at the cache.
        total: of its attempts at all caches together.
    """

    writer: str
    is_same_zone: bool
    age: float
    outcomes: Outcomes
    total: Outcomes


def reliability(report: HealthReport) -> float:
    """Return how well its writer fares with all other caches, from 0 to 1."""
    good, failed = (
        max(total - at_cache, 0.0) for total, at_cache in zip(report.total, report.outcomes, strict=True)
    )
    return ((good + 1) / (good + failed + 1)) ** 2


def weight(report: HealthReport) -> float:
    """Return how far a report counts, from 0 to 1."""
    freshness = max(1 - report.age / REPORT_SPAN, 0.0)
    answers = sum(report.outcomes)
    distance = 1.0 if report.is_same_zone else OTHER_ZONE_WEIGHT
    return reliability(report) * freshness * distance * min(1.0, MAX_ANSWERS / answers if answers else 1.0)


def combine(reports: Iterable[HealthReport]) -> Outcomes:
    """Return the answers that all reports on one cache amount to, the heaviest accuser left out."""
    weighted = [
        (report_weight * report.outcomes[1], report_weight * report.outcomes[0])
        for report in reports
        if (report_weight := weight(report))
    ]
    weighted.sort(reverse=True)
    failed = sum(failed for failed, _ in weighted[1:])
    good = sum(good for _, good in weighted[1:])
    return (good, failed) if failed >= MIN_FAILED else NO_OUTCOMES
