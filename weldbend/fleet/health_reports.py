"""Health reports on caches: what a front publishes about its attempts, and the weight of a report. No I/O.

Each front publishes how many of its recent attempts at a cache succeeded and failed, and the same numbers for
all caches together. It does so as long as some attempts failed, or the cache is watched: peers report on it,
or it is half-open or recovering. The reader weights a report by its age, by the zone of its writer, and by
the writer's success with all other caches, because a front whose own network is faulty has failures
everywhere. The report with the most weighted failures is ignored, so that a single front with wrong or forged
reports cannot make another one suspect a cache. No report counts for more than `MAX_ANSWERS` answers, however
many answers it contains.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

REPORT_SPAN = 10.0  # seconds of attempts that a report covers; an older report has no weight
REPEAT_INTERVAL = 3.0  # seconds after which an unchanged report is published again
WATCHED_INTERVAL = 0.9  # the same for a cache that peers report on, or that is half-open or recovering
MAX_ANSWERS = 4.0  # number of answers for which a single report counts at most
OTHER_ZONE_WEIGHT = 0.5  # weight of a report from another zone, whose network path to the cache differs
MIN_FAILED = 0.5  # weighted failed answers below which a cache is not suspected
MAX_REPORTS = 32  # reports published at a time; those with the most failures come first
ALL_CACHES = "*"  # key of the report on all caches together
MIN_CHANGE = 1.0  # change in failed answers that is published at once
MIN_CHANGE_FRACTION = 0.2  # the same, as a fraction of those published last; the larger bound applies

Outcomes = tuple[float, float]  # numbers of successful and of failed answers
NO_OUTCOMES: Outcomes = (0.0, 0.0)


@dataclass(slots=True)
class HealthReporter:
    """Selects the reports that this front publishes about its own attempts.

    Attributes:
        published: time in seconds and content of the last report on each cache.
    """

    published: dict[str, tuple[float, Outcomes]] = field(default_factory=dict)

    def due_reports(
        self, now: float, outcomes: Mapping[str, Outcomes], watched: Iterable[str] = ()
    ) -> list[tuple[str, Outcomes]]:
        """Return the reports to publish now, on single caches and on all together (`ALL_CACHES`).

        There are none while all attempts succeed, except on the caches in `watched`, and on those whose last
        published report had failures. A front reports on watched caches even without failures, because peers
        report on them, or because they are half-open or recovering.
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
        """Return the due reports on single caches.

        A cache without failed answers is reported on if its last published report had some, or if it is
        watched.
        """
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
    """Report of one front on one cache.

    Attributes:
        writer: name of the front that published the report.
        is_same_zone: whether that front is in the reader's zone.
        age: time since the report was published, in seconds.
        outcomes: outcomes of the front's attempts at the cache.
        total: outcomes of its attempts at all caches together.
    """

    writer: str
    is_same_zone: bool
    age: float
    outcomes: Outcomes
    total: Outcomes


def reliability(report: HealthReport) -> float:
    """Return the reliability of a report, from 0 to 1: its writer's success with all other caches.

    This is the square of the fraction of successful answers of those caches, with one more success added to
    their number, so that a writer without answers of other caches has the reliability 1.
    """
    good, failed = (
        max(total - at_cache, 0.0) for total, at_cache in zip(report.total, report.outcomes, strict=True)
    )
    return ((good + 1) / (good + failed + 1)) ** 2


def weight(report: HealthReport) -> float:
    """Return the weight of a report, from 0 to 1."""
    freshness = max(1 - report.age / REPORT_SPAN, 0.0)
    answers = sum(report.outcomes)
    distance = 1.0 if report.is_same_zone else OTHER_ZONE_WEIGHT
    return reliability(report) * freshness * distance * min(1.0, MAX_ANSWERS / answers if answers else 1.0)


def combine(reports: Iterable[HealthReport]) -> Outcomes:
    """Return the weighted sum of the reports on one cache, except the one with the most weighted failures."""
    weighted = [
        (report_weight * report.outcomes[1], report_weight * report.outcomes[0])
        for report in reports
        if (report_weight := weight(report))
    ]
    weighted.sort(reverse=True)
    failed = sum(failed for failed, _ in weighted[1:])
    good = sum(good for _, good in weighted[1:])
    return (good, failed) if failed >= MIN_FAILED else NO_OUTCOMES
