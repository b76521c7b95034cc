"""Outlier detection of a fleet: ejected caches, banned clients and unlisted starts of caches. No I/O.

All fronts evaluate the same health reports, so fronts with the same replicas reach the same result within a
tick. A single front can never cause an ejection: at least two fronts must report a cache as failing. A front
is informed about a cache if its report contains enough answers, and its own network seems free of faults
(`is_informed`). A front also requires that more than half of the informed fronts in its own zone report the
cache as failing, if there are any. If fewer than two of them do, it additionally requires more than half of
the informed fronts of all zones. If at least two fronts of the zone report failures, but not more than half
of the informed fronts in the other zones, the cache is ejected in that zone only, because the network path of
the zone may be the cause.

Every ejection ends after a time, independently of the reports. The cache is then half-open, as in a circuit
breaker: one front, the prober, which all fronts choose alike by hashing, sends to it. If too few new answers
are reported within `HALF_OPEN_SECONDS`, a further half-open round begins with a newly chosen prober. After
enough new successful answers, all fronts increase their load gradually, so that a cache that has just
recovered is not overloaded. Each relapse makes the next ejection 1.5 times as long, up to
`MAX_EJECTION_SECONDS`.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise

from weldbend.fleet.health_reports import HealthReport, Outcomes, reliability
from weldbend.fleet.rendezvous import rank

FAILING_FRACTION = 0.5  # fraction of failed answers above which a report calls a cache failing
MIN_ANSWERS = 2.0  # successful and failed answers together that make a report significant
MIN_RELIABILITY = 0.3  # reliability of a report below which its writer's own network may be the cause
MIN_REPORTERS = 2  # fronts that must report a cache as failing, or must have banned a client
EJECTION_SECONDS = 2.0  # duration of the first ejection
EJECTION_GROWTH = 1.5  # factor on the duration for each relapse
MAX_EJECTION_SECONDS = 15.0
MAX_RELAPSES = 8  # bound of the count; from 5 on, the ejection has its maximum length (2 s * 1.5^5 = 15.2 s)
HALF_OPEN_SECONDS = 5.0  # duration of a half-open round; with too few new answers, another one begins
RECOVERED_ANSWERS = 3.0  # new successful answers to all fronts after which a half-open cache recovers
RELAPSED_ANSWERS = 2.0  # new failed answers to the probing front that eject a half-open cache again
RAMP_SECONDS = 4.0  # duration of the recovery, in which a cache returns to its full load
RAMP_START = 0.1  # fraction of its load that a recovering cache gets at first
HALF_OPEN_FRACTION = 0.5  # fraction of its usual load that the probing front sends to a half-open cache
FORGET_SECONDS = 60.0  # seconds after a recovery, after which the next ejection counts as the first
MAX_EJECTED_FRACTION = 1 / 3  # of the caches of a kind; if more of them fail, the site is likely at fault
BAN_WINDOW = 60.0  # seconds within which two fronts must have banned a client
START_WINDOW = 3.0  # seconds within which two fronts must have failed to open a connection to a cache


class EjectionState(Enum):
    """State of a cache; the admin port shows the values."""

    ADMITTED = "OPEN"
    EJECTED = "SHUT"
    HALF_OPEN = "TRIAL"
    RECOVERING = "RAMP"


@dataclass(slots=True)
class EjectionRecord:
    """Ejection state of one cache at this front.

    Attributes:
        state: current state of the cache.
        since: time in seconds when the cache entered that state.
        until: time in seconds when the ejection, the recovery or the current half-open round ends; infinity
            while the cache is admitted.
        relapses: number of ejections since the record was created, at most `MAX_RELAPSES`.
        round: number that rises with each ejection and each further half-open round; the front that probes a
            half-open cache is chosen by hashing this number.
        must_probe: whether the probing front sends even if it remembers failures of its own, because an
            earlier round brought too few reports for a decision.
        last_reports: last outcomes that each front reported since the cache entered its state.
        new_outcomes: numbers of successful answers to all fronts, and of failed answers to the prober, that
            were newly reported in the current half-open round.
        reporters: names of the fronts that reported the cache as failing when their reports last ejected it.
        zone: zone in which the cache is ejected; empty for all zones.
    """

    state: EjectionState = EjectionState.ADMITTED
    since: float = -math.inf
    until: float = math.inf
    relapses: int = 0
    round: int = 0
    must_probe: bool = False
    last_reports: dict[str, Outcomes] = field(default_factory=dict)
    new_outcomes: Outcomes = (0.0, 0.0)
    reporters: tuple[str, ...] = ()
    zone: str = ""

    def reset_new_outcomes(self) -> None:
        """Reset the counts of newly reported answers."""
        self.new_outcomes = (0.0, 0.0)

    def add_reports(self, reports: Iterable[HealthReport], prober: str) -> None:
        """Count new answers in the reports: successful ones of all fronts, failed ones of the prober only.

        The first report of a front in this state is the baseline for its later ones. Successful answers count
        from any front, because a front that left the half-open state slightly earlier is sending already.
        Without its reports, the other fronts would stay in the half-open state whenever the prober of their
        round has nothing new to report. Side effect: a front with false reports can end the state too early.
        """
        good, failed = self.new_outcomes
        for report in reports:
            previous = self.last_reports.get(report.writer, report.outcomes)
            good += max(report.outcomes[0] - previous[0], 0.0)
            if report.writer == prober:
                failed += max(report.outcomes[1] - previous[1], 0.0)
            self.last_reports[report.writer] = report.outcomes
        self.new_outcomes = good, failed


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a cache's ejection state, to be logged."""

    cache: str
    before: EjectionState
    after: EjectionState
    record: EjectionRecord


@dataclass(frozen=True, slots=True)
class OutlierAssessment:
    """Result of evaluating the health reports on a cache.

    Attributes:
        is_outlier: whether enough fronts report the cache as failing.
        reporters: names of the fronts that report it as failing. Empty if fewer than `MIN_REPORTERS` do, or
            if they are no majority of the informed fronts in the zone of the assessing front.
        zone: zone to which the failures are confined; empty for all zones.
    """

    is_outlier: bool
    reporters: tuple[str, ...] = ()
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as this front sees it at one tick.

    Attributes:
        now: time of the steady clock in seconds.
        fronts: names of this front and of all others that are alive, in order.
        zones: zone of each front.
    """

    now: float
    fronts: list[str]
    zones: Mapping[str, str]


def is_informed(report: HealthReport) -> bool:
    """Return whether a report has enough answers, and its writer's own network seems free of faults."""
    return sum(report.outcomes) >= MIN_ANSWERS and reliability(report) >= MIN_RELIABILITY


def reports_failing(report: HealthReport) -> bool:
    """Return whether a report calls the cache failing."""
    return report.outcomes[1] > FAILING_FRACTION * sum(report.outcomes)


def is_majority(failing: int, informed: int) -> bool:
    """Return whether the fronts that report a cache as failing are more than half of the informed ones."""
    return 2 * failing > informed


def assess_outlier(
    reports: Iterable[HealthReport], zones: Mapping[str, str], own_zone: str
) -> OutlierAssessment:
    """Return the assessment of a cache for zone `own_zone`, by the reports of all fronts on the cache."""
    informed = [report for report in reports if is_informed(report)]
    reporters = sorted(report.writer for report in informed if reports_failing(report))
    if len(reporters) < MIN_REPORTERS:
        return OutlierAssessment(False)
    same_zone = [report for report in informed if zones.get(report.writer, "") == own_zone]
    same_zone_failing = sum(map(reports_failing, same_zone))
    if same_zone and not is_majority(same_zone_failing, len(same_zone)):
        return OutlierAssessment(False)  # at least half of the zone's informed fronts report no failure
    if same_zone_failing >= MIN_REPORTERS:
        other_zones = [report for report in informed if report not in same_zone]
        is_confined = other_zones and not is_majority(
            sum(map(reports_failing, other_zones)), len(other_zones)
        )
        return OutlierAssessment(True, tuple(reporters), own_zone if is_confined else "")
    return OutlierAssessment(is_majority(len(reporters), len(informed)), tuple(reporters))


@dataclass
class OutlierDetector:
    """Ejection states of all caches at one front; `tick` must be called with health reports each second.

    Attributes:
        name: name of this front.
        records: ejection records by cache; a record is kept until `FORGET_SECONDS` after the recovery.
        probed: half-open caches to which this front sends, as of the last tick.
        changes: state changes that have not been taken with `pop_changes` yet.
    """

    name: str
    records: dict[str, EjectionRecord] = field(default_factory=dict)
    probed: set[str] = field(default_factory=set)
    changes: list[StateChange] = field(default_factory=list)

    def tick(
        self,
        now: float,
        reports: Mapping[str, list[HealthReport]],
        kinds: Mapping[str, str],
        zones: Mapping[str, str],
        alive: Iterable[str],
    ) -> dict[str, float]:
        """Update the ejection states of all caches.

        Args:
            now: time of the steady clock in seconds.
            reports: health reports of all fronts, including this one, by cache.
            kinds: kind of each listed cache; only a limited fraction of the caches of a kind is ejected at
                the same time.
            zones: zone of each front.
            alive: names of the other fronts that are believed alive.

        Returns:
            The fraction of its load that this front may send to each cache with a record, from 0 to 1.
        """
        own_zone = zones.get(self.name, "")
        view = FleetView(now, sorted({self.name, *alive}), zones)
        for uid in [uid for uid in self.records if uid not in kinds]:
            del self.records[uid]
        for uid in sorted(kinds):
            cache_reports = reports.get(uid, [])
            assessment = assess_outlier(cache_reports, zones, own_zone)
            record = self.records.get(uid)
            if record is None and assessment.is_outlier and self._may_eject(uid, kinds):
                record = self.records[uid] = EjectionRecord()
            if record:
                self._update(uid, record, view, assessment, cache_reports)
        self.probed = {uid for uid, record in self.records.items() if self._is_probed(uid, record, view)}
        return {uid: self._admitted_fraction(uid, record, view) for uid, record in self.records.items()}

    def _may_eject(self, uid: str, kinds: Mapping[str, str]) -> bool:
        """Return whether a cache without an ejection record may be ejected.

        With it, at most a third of the caches of its kind may be ejected, half-open or recovering; one always
        may if there are at least two of the kind. A cache with a record is ejected again without this check.

        Guards against ejecting most caches because of a common cause, such as a fault of the site's network.
        Side effect: if more than a third of the caches are really faulty, the further ones are avoided only
        by fronts that see their failures themselves.
        """
        same_kind = [other for other, kind in kinds.items() if kind == kinds[uid]]
        ejected = sum(
            other in self.records and self.records[other].state is not EjectionState.ADMITTED
            for other in same_kind
        )
        return ejected + 1 <= max(MAX_EJECTED_FRACTION * len(same_kind), 1) and len(same_kind) > 1

    def _update(
        self,
        uid: str,
        record: EjectionRecord,
        view: FleetView,
        assessment: OutlierAssessment,
        reports: list[HealthReport],
    ) -> None:
        now = view.now
        is_expired = view.now >= record.until
        match record.state:
            case EjectionState.ADMITTED if assessment.is_outlier:
                self._eject(uid, record, now, assessment)
            case EjectionState.ADMITTED if now - record.since > FORGET_SECONDS:
                del self.records[uid]
            case EjectionState.EJECTED if is_expired:
                self._enter(uid, record, EjectionState.HALF_OPEN, now, now + HALF_OPEN_SECONDS)
            case EjectionState.HALF_OPEN:
                self._update_half_open(uid, record, view, reports)
            case EjectionState.RECOVERING if assessment.is_outlier:
                self._eject(uid, record, now, assessment)
            case EjectionState.RECOVERING if is_expired:
                self._enter(uid, record, EjectionState.ADMITTED, now, math.inf)

    def _update_half_open(
        self, uid: str, record: EjectionRecord, view: FleetView, reports: list[HealthReport]
    ) -> None:
        prober = self._prober(uid, record, view)
        record.add_reports(reports, prober)
        now = view.now
        (good, failed) = record.new_outcomes
        if good >= RECOVERED_ANSWERS and good > 2 * failed:
            self._enter(uid, record, EjectionState.RECOVERING, now, now + RAMP_SECONDS)
        elif failed >= RELAPSED_ANSWERS:
            self._eject(uid, record, now, OutlierAssessment(True, record.reporters, record.zone))
        elif now >= record.until:  # the reports had too few new answers: choose a prober for a new round
            record.round += 1
            record.must_probe = True
            record.until = now + HALF_OPEN_SECONDS
            record.reset_new_outcomes()

    def _eject(self, uid: str, record: EjectionRecord, now: float, assessment: OutlierAssessment) -> None:
        seconds = min(EJECTION_SECONDS * EJECTION_GROWTH**record.relapses, MAX_EJECTION_SECONDS)
        record.relapses = min(record.relapses + 1, MAX_RELAPSES)
        record.reporters = assessment.reporters
        record.zone = assessment.zone
        record.round += 1
        self._enter(uid, record, EjectionState.EJECTED, now, now + seconds)

    def _enter(
        self, uid: str, record: EjectionRecord, state: EjectionState, now: float, until: float
    ) -> None:
        self.changes.append(StateChange(uid, record.state, state, record))
        record.state = state
        record.since = now
        record.until = until
        record.must_probe = False
        record.last_reports = {}
        record.reset_new_outcomes()

    def _prober(self, uid: str, record: EjectionRecord, view: FleetView) -> str:
        """Return the only front that sends in this round; fronts with equal records choose the same one."""
        candidates = [
            front for front in view.fronts if not record.zone or view.zones.get(front, "") == record.zone
        ]
        return max(candidates or [self.name], key=lambda name: rank(uid, record.round, name))

    def _is_probed(self, uid: str, record: EjectionRecord, view: FleetView) -> bool:
        """Return whether a cache is half-open and this front is its prober."""
        is_half_open = record.state is EjectionState.HALF_OPEN
        return is_half_open and self._prober(uid, record, view) == self.name

    def _admitted_fraction(self, uid: str, record: EjectionRecord, view: FleetView) -> float:
        match record.state:
            case EjectionState.EJECTED:
                return 0.0
            case EjectionState.HALF_OPEN:
                return HALF_OPEN_FRACTION if uid in self.probed else 0.0
            case EjectionState.RECOVERING:
                return min(1.0, RAMP_START + (1 - RAMP_START) * (view.now - record.since) / RAMP_SECONDS)
        return 1.0

    def recovering_caches(self) -> set[str]:
        """Return the half-open and recovering caches; each front reports on these even without failures."""
        states = EjectionState.HALF_OPEN, EjectionState.RECOVERING
        return {uid for uid, record in self.records.items() if record.state in states}

    def pop_changes(self) -> list[StateChange]:
        """Return the state changes since the last call."""
        changes = self.changes
        self.changes = []
        return changes


@dataclass(frozen=True, slots=True)
class ClientBan:
    """A ban of a client by one front.

    Attributes:
        front: name of the front.
        at: time of the ban, in seconds.
    """

    front: str
    at: float


@dataclass(frozen=True, slots=True)
class CacheBreak:
    """A failure of one front to open a connection to a cache.

    Attributes:
        cache: name of the cache.
        front: name of the front.
        at: time of the failure, in seconds.
    """

    cache: str
    front: str
    at: float


def banned_clients(bans: Mapping[str, Iterable[ClientBan]], duration: float, now: float) -> dict[str, float]:
    """Return the end of the ban of each client that the fleet has banned.

    A ban by a single front is valid at that front only, so that one front with false reports cannot ban a
    client at all fronts.

    Args:
        bans: bans by single fronts, by client.
        duration: duration of a ban, in seconds.
        now: time of the steady clock in seconds.
    """
    banned = {}
    for client, client_bans in bans.items():
        by_front = {ban.front: ban.at for ban in sorted(client_bans, key=lambda ban: ban.at)}
        ban_times = sorted(by_front.values())
        if len(ban_times) < MIN_REPORTERS:
            continue
        until = ban_times[-1] + duration
        if ban_times[-1] - ban_times[-2] <= BAN_WINDOW and now < until:
            banned[client] = until
    return banned


def unlisted_starts(breaks: Iterable[CacheBreak]) -> dict[str, float]:
    """Return the time of the latest unlisted start of each cache: one that no endpoint list contains.

    A cache counts as started when two fronts failed to open a connection to it within `START_WINDOW`; the
    later of these two failures dates the start.
    """
    by_cache: dict[str, dict[str, float]] = defaultdict(dict)
    for cache_break in breaks:
        by_cache[cache_break.cache][cache_break.front] = cache_break.at
    starts: dict[str, float] = {}
    for uid, by_front in by_cache.items():
        break_times = sorted(by_front.values(), reverse=True)
        for later, earlier in pairwise(break_times):
            if later - earlier <= START_WINDOW:
                starts[uid] = later
                break
    return starts
