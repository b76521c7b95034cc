"""Outlier detection of a fleet: ejected caches, banned clients, starts that no list names. No I/O.

Every front judges by the same health reports, so all that hold the same replicas judge alike within a tick.
One front alone never has a cache ejected: two have to accuse it, and most of those that know it. Where all
that accuse stand in one zone and others fare well, the ejection holds in that zone only: its network path may
be the cause.

An ejection ends. After it the cache is half-open (as a circuit breaker is): one front, drawn alike by all,
sends to it. When that front reports that all went well, the others follow by a ramp, so that what has just
recovered does not meet all of them at once. A relapse makes the next ejection half as long again. Reports
older than their bound count for nothing, so an ejection that nobody can renew ends.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise

from weldbend.fleet.health_reports import HealthReport, Outcomes, reliability
from weldbend.fleet.rendezvous import rank

FAILING_FRACTION = 0.5  # of failed answers, above which a front accuses a cache
MIN_ANSWERS = 2.0  # good and failed ones, from which a front knows a cache
MIN_RELIABILITY = 0.3  # below which a front's own network is taken for the cause
MIN_REPORTERS = 2  # fronts that have to agree
EJECTION_SECONDS = 2.0  # of the first ejection
EJECTION_GROWTH = 1.5  # factor for each relapse
MAX_EJECTION_SECONDS = 15.0
MAX_RELAPSES = 8  # counted
HALF_OPEN_SECONDS = 5.0  # in which the front that is drawn has to report
RECOVERED_ANSWERS = 3.0  # new good ones that end the half-open state well
RELAPSED_ANSWERS = 2.0  # new failed ones that end it otherwise
RAMP_SECONDS = 4.0  # in which the others come back
RAMP_START = 0.1  # fraction of its work that a cache gets when they begin
HALF_OPEN_FRACTION = 0.5  # of its own work there, that the front which is drawn sends
FORGET_SECONDS = 60.0  # after which a relapse is a first ejection again
MAX_EJECTED_FRACTION = 1 / 3  # of the caches of a kind, at once: more is a fault of the site itself
BAN_WINDOW = 60.0  # seconds within which two fronts must have banned a client
START_WINDOW = 3.0  # seconds within which two fronts must have seen a cache break off


class EjectionState(Enum):
    """State of a cache; the values are the words that the admin port shows."""

    ADMITTED = "OPEN"
    EJECTED = "SHUT"
    HALF_OPEN = "TRIAL"
    RECOVERING = "RAMP"


@dataclass(slots=True)
class EjectionRecord:
    """What this front holds of one cache.

    Attributes:
        state: its state, entered at `since` and left at `until` at the latest, in seconds.
        relapses: ejections so far.
        round: counts draws of the front that sends while it is half-open.
        is_bound_to_probe: whether that front sends whatever failures it remembers, as an earlier round
            brought too little to judge by.
        last_reports: what each front reported last since the state was entered.
        new_outcomes: by how much reports have grown in this round, good and failed.
        reporters: fronts that accused it when it was ejected.
        zone: in which it is ejected; empty for all.
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
        """Forget what reports have gained."""
        self.new_outcomes = (0.0, 0.0)

    def add_reports(self, reports: Iterable[HealthReport], prober: str) -> None:
        """Count what is new in the reports: good answers of all fronts, failed ones of the prober.

        The first report of a front says nothing new. Good ones count whoever had them: fronts that ended the
        half-open state a moment earlier send already, and the others follow. Guards against fronts that never
        do since the prober of their round has nothing new to say. Harm: one that lies ends the state early.
        """
        good, failed = self.new_outcomes
        for report in reports:
            before = self.last_reports.get(report.writer, report.outcomes)
            good += max(report.outcomes[0] - before[0], 0.0)
            if report.writer == prober:
                failed += max(report.outcomes[1] - before[1], 0.0)
            self.last_reports[report.writer] = report.outcomes
        self.new_outcomes = good, failed


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a cache's state, for the log."""

    cache: str
    before: EjectionState
    after: EjectionState
    record: EjectionRecord


@dataclass(frozen=True, slots=True)
class OutlierAssessment:
    """What the health reports on a cache amount to.

    Attributes:
        is_outlier: whether enough fronts accuse it.
        reporters: fronts that do.
        zone: to which it is confined; empty for all.
    """

    is_outlier: bool
    reporters: tuple[str, ...] = ()
    zone: str = ""


@dataclass(frozen=True, slots=True)
class FleetView:
    """The fleet as this front sees it at one tick.

    Attributes:
        now: seconds.
        fronts: this one and those that are alive, in the order of their names.
        zones: of all fronts.
    """

    now: float
    fronts: list[str]
    zones: Mapping[str, str]


def is_informed(report: HealthReport) -> bool:
    """Whether its writer knows the cache, and has no faulty network of its own."""
    return sum(report.outcomes) >= MIN_ANSWERS and reliability(report) >= MIN_RELIABILITY


def reports_failing(report: HealthReport) -> bool:
    """Whether its writer accuses the cache."""
    return report.outcomes[1] > FAILING_FRACTION * sum(report.outcomes)


def is_majority(failing: int, informed: int) -> bool:
    """Whether more than half accuse."""
    return 2 * failing > informed


def assess_outlier(
    reports: Iterable[HealthReport], zones: Mapping[str, str], own_zone: str
) -> OutlierAssessment:
    """Judge a cache for the fronts of one zone, by the reports of all fronts, the own one among them."""
    informed = [report for report in reports if is_informed(report)]
    reporters = sorted(report.writer for report in informed if reports_failing(report))
    if len(reporters) < MIN_REPORTERS:
        return OutlierAssessment(False)
    same_zone = [report for report in informed if zones.get(report.writer, "") == own_zone]
    same_zone_failing = sum(map(reports_failing, same_zone))
    if same_zone and not is_majority(same_zone_failing, len(same_zone)):
        return OutlierAssessment(False)  # most of the fronts of this zone fare well
    if same_zone_failing >= MIN_REPORTERS:
        other_zones = [report for report in informed if report not in same_zone]
        is_confined = other_zones and not is_majority(
            sum(map(reports_failing, other_zones)), len(other_zones)
        )
        return OutlierAssessment(True, tuple(reporters), own_zone if is_confined else "")
    return OutlierAssessment(is_majority(len(reporters), len(informed)), tuple(reporters))


@dataclass
class OutlierDetector:
    """The ejection states of all caches at one front; `tick` is handed the health reports each second.

    Attributes:
        name: of this front.
        records: by cache, of those that are or were ejected lately.
        probed: half-open caches to which this front sends, since the last tick.
        changes: of states, until they are taken for the log.
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
        """Bring all states up to date.

        Args:
            now: seconds.
            reports: of all fronts, this one among them, by cache.
            kinds: of each listed cache, by which others are like it; a kind that is ejected as far as it may
                be is not ejected further.
            zones: of all fronts.
            alive: other fronts that may answer.

        Returns:
            The fraction of its work that each cache with a record may have from here, from 0 to 1.
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
        """Whether enough caches of a kind would be left.

        Guards against ejecting what fails for one common cause, the network of a whole site. Harm: where more
        than a third are faulty indeed, the rest is left to what each front sees itself.
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
        elif now >= record.until:  # it has reported too little: another one is drawn
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
        """The one front that sends in this round: drawn alike by all that hold the ejection."""
        candidates = [
            front for front in view.fronts if not record.zone or view.zones.get(front, "") == record.zone
        ]
        return max(candidates or [self.name], key=lambda name: rank(uid, record.round, name))

    def _is_probed(self, uid: str, record: EjectionRecord, view: FleetView) -> bool:
        """Whether a cache is half-open, and this front the one that sends."""
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
        """Half-open caches and those that come back: each front reports how it fares there, well or not."""
        states = EjectionState.HALF_OPEN, EjectionState.RECOVERING
        return {uid for uid, record in self.records.items() if record.state in states}

    def pop_changes(self) -> list[StateChange]:
        """Return the changes of states since the last call."""
        changes = self.changes
        self.changes = []
        return changes


@dataclass(frozen=True, slots=True)
class ClientBan:
    """A front has banned a client, `at` seconds."""

    front: str
    at: float


@dataclass(frozen=True, slots=True)
class CacheBreak:
    """A front's connections to a cache broke `at` seconds, and it could not be reached again."""

    cache: str
    front: str
    at: float


def banned_clients(bans: Mapping[str, Iterable[ClientBan]], duration: float, now: float) -> dict[str, float]:
    """Return the clients that the fleet has banned, and until when.

    One front alone bans a client for itself only, so that none that lies can do it for all.

    Args:
        bans: by client, what single fronts have banned.
        duration: seconds of a ban.
        now: seconds.
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
    """Return when caches have started though no list says so: two fronts saw each break off, together."""
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
