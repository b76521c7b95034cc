"""Verdicts of a fleet: a cache is bad, is tried, is well again; a client is cast out; a start nobody listed.
No I/O.

Every front judges by the same evidence, so all that hold the same copies judge alike within a tick. One front
alone never brings a verdict about: two have to accuse, and most of those that know. Where all who accuse
stand in one zone and others do well, the verdict is that zone's: its path may be what is bad.

A verdict has an end. After it one front tries, drawn alike by all; when it says that all went well, the
others follow by a ramp, so that what has just recovered is not met by everybody at once. A relapse makes the
next term half as long again. Evidence older than its bound counts for nothing, so a verdict that nobody can
renew ends.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import pairwise

from weldbend.fleet.health_reports import HealthReport, credit
from weldbend.fleet.lease_policy import rank

ACCUSED = 0.5  # share of bad answers from which a front accuses
TRIED = 2.0  # answers, good and bad, from which a front knows a cache
TRUSTED = 0.3  # credit below which a front's own line is held to be the trouble
SHUT, GROWS, SHUT_MOST = 2.0, 1.5, 15.0  # seconds of a verdict, how it grows with relapses, and at most
TRIAL = 5.0  # seconds in which the one that tries has to tell
TRIES, FAILS = 3.0, 2.0  # new good answers that end a trial well, and new bad ones that end it otherwise
RAMP = 4.0  # seconds in which the others come back
FIRST = 0.1  # part of its work that a cache gets when they begin
TRIES_WITH = 0.5  # and from the one that tries, of its own
FORGIVEN = 60.0  # seconds after which a relapse is a first fall again
AT_ONCE = 1 / 3  # of the caches of a kind that may be shut together: more is the site's own trouble
CAST = 60.0  # seconds within which two fronts must have cast a client out
TOGETHER = 3.0  # seconds within which two fronts must have seen a cache break off


class EjectionState(Enum):
    OPEN = auto()
    SHUT = auto()
    TRIAL = auto()
    RAMP = auto()


@dataclass(slots=True)
class EjectionRecord:
    """What this front holds of one cache."""

    stand: EjectionState = EjectionState.OPEN
    since: float = -math.inf
    until: float = math.inf
    relapses: int = 0
    round: int = 0
    heard: tuple[float, float] | None = None  # of the one that tries: the record in its last word
    tried: tuple[float, float] = (0.0, 0.0)  # and by how much it has grown since, good and bad
    voices: tuple[str, ...] = ()  # who accused, when it was shut
    zone: str = ""  # of which the verdict is; none: of all


@dataclass(frozen=True, slots=True)
class Accusation:
    """What the evidence says now."""

    bad: bool
    voices: tuple[str, ...] = ()
    zone: str = ""


def knows(word: HealthReport) -> bool:
    return sum(word.record) >= TRIED and credit(word) >= TRUSTED


def accuses(word: HealthReport) -> bool:
    return word.record[1] > ACCUSED * sum(word.record)


def judged(words: Iterable[HealthReport], zones: Mapping[str, str], own: str) -> Accusation:
    """Whether a cache is bad for those in the zone `own`, by the words of all, this front's among them."""
    heard = [word for word in words if knows(word)]
    voices = sorted(word.writer for word in heard if accuses(word))
    if len(voices) < 2:
        return Accusation(False)
    here = [word for word in heard if zones.get(word.writer, "") == own]
    against = [word for word in here if accuses(word)]
    if here and 2 * len(against) <= len(here):
        return Accusation(False)  # most of those that stand where this front does fare well
    if len(against) >= 2:
        elsewhere = [word for word in heard if word not in here]
        split = elsewhere and 2 * sum(map(accuses, elsewhere)) <= len(elsewhere)
        return Accusation(True, tuple(voices), own if split else "")
    return Accusation(2 * len(voices) > len(heard), tuple(voices))


@dataclass
class OutlierDetector:
    """All caches of this front; `turn` is told the evidence each second."""

    name: str
    cases: dict[str, EjectionRecord] = field(default_factory=dict)
    changes: list[tuple[str, EjectionState, EjectionState, EjectionRecord]] = field(
        default_factory=list
    )  # for the log

    def turn(
        self,
        now: float,
        words: Mapping[str, list[HealthReport]],
        kinds: Mapping[str, str],
        zones: Mapping[str, str],
        alive: Iterable[str],
    ) -> dict[str, float]:
        """The part of its work that each cache may have from here, where that is not all of it.

        `kinds` says of each cache which others are like it; a kind that is mostly shut is not shut further.
        """
        own = zones.get(self.name, "")
        here = sorted({self.name, *alive})
        for uid in [uid for uid in self.cases if uid not in kinds]:
            del self.cases[uid]
        for uid in sorted(kinds):
            said = words.get(uid, [])
            verdict = judged(said, zones, own)
            case = self.cases.get(uid)
            if case is None and verdict.bad and self.may_shut(uid, kinds):
                case = self.cases[uid] = EjectionRecord()
            if case:
                self.move(uid, case, now, verdict, said, here, zones)
        return {uid: self.part(uid, case, now, here, zones) for uid, case in self.cases.items()}

    def may_shut(self, uid: str, kinds: Mapping[str, str]) -> bool:
        """Guards against shutting what fails for one common cause, the line of a whole site. Harm: where more
        than a third are bad indeed, the rest is left to what each front sees itself."""
        alike = [one for one, kind in kinds.items() if kind == kinds[uid]]
        shut = sum(one in self.cases and self.cases[one].stand is not EjectionState.OPEN for one in alike)
        return shut + 1 <= max(AT_ONCE * len(alike), 1) and len(alike) > 1

    def move(
        self,
        uid: str,
        case: EjectionRecord,
        now: float,
        verdict: Accusation,
        said: list[HealthReport],
        here: list[str],
        zones: Mapping[str, str],
    ) -> None:
        match case.stand:
            case EjectionState.OPEN if verdict.bad:
                self.shut(uid, case, now, verdict)
            case EjectionState.OPEN if now - case.since > FORGIVEN:
                del self.cases[uid]
            case EjectionState.SHUT if now >= case.until:
                self.stands(uid, case, EjectionState.TRIAL, now, now + TRIAL)
            case EjectionState.TRIAL:
                trier = self.trier(uid, case, here, zones)
                self.follow(case, next((word for word in said if word.writer == trier), None))
                good, bad = case.tried
                if good >= TRIES and good > 2 * bad:
                    self.stands(uid, case, EjectionState.RAMP, now, now + RAMP)
                elif bad >= FAILS:
                    self.shut(uid, case, now, Accusation(True, case.voices, case.zone))
                elif now >= case.until:
                    case.round, case.until = case.round + 1, now + TRIAL
                    case.heard, case.tried = None, (0.0, 0.0)
            case EjectionState.RAMP if verdict.bad:
                self.shut(uid, case, now, verdict)
            case EjectionState.RAMP if now >= case.until:
                self.stands(uid, case, EjectionState.OPEN, now, math.inf)

    def follow(self, case: EjectionRecord, told: HealthReport | None) -> None:
        """What is new in the record of the one that tries: what it holds from before counts for nothing."""
        if told is None:
            return
        if case.heard is not None:
            grown = (max(a - b, 0.0) for a, b in zip(told.record, case.heard, strict=True))
            case.tried = case.tried[0] + next(grown), case.tried[1] + next(grown)
        case.heard = told.record

    def shut(self, uid: str, case: EjectionRecord, now: float, verdict: Accusation) -> None:
        term = min(SHUT * GROWS**case.relapses, SHUT_MOST)
        case.relapses = min(case.relapses + 1, 8)
        case.voices, case.zone, case.round = verdict.voices, verdict.zone, case.round + 1
        self.stands(uid, case, EjectionState.SHUT, now, now + term)

    def stands(self, uid: str, case: EjectionRecord, stand: EjectionState, now: float, until: float) -> None:
        self.changes.append((uid, case.stand, stand, case))
        case.stand, case.since, case.until = stand, now, until
        case.heard, case.tried = None, (0.0, 0.0)

    def trier(self, uid: str, case: EjectionRecord, here: list[str], zones: Mapping[str, str]) -> str:
        """The one front that tries in this round: drawn alike by all that hold the verdict."""
        fit = [one for one in here if not case.zone or zones.get(one, "") == case.zone]
        return max(fit or [self.name], key=lambda one: rank(uid, case.round, one))

    def part(
        self, uid: str, case: EjectionRecord, now: float, here: list[str], zones: Mapping[str, str]
    ) -> float:
        match case.stand:
            case EjectionState.SHUT:
                return 0.0
            case EjectionState.TRIAL:
                return TRIES_WITH if self.trier(uid, case, here, zones) == self.name else 0.0
            case EjectionState.RAMP:
                return min(1.0, FIRST + (1 - FIRST) * (now - case.since) / RAMP)
        return 1.0

    def said(self) -> list[tuple[str, EjectionState, EjectionState, EjectionRecord]]:
        changes, self.changes = self.changes, []
        return changes


def cast_out(words: Mapping[str, list[tuple[str, float]]], lasts: float, now: float) -> dict[str, float]:
    """Clients that are cast out, and until when; `words` has, by client, each front and when it cast it out.

    One front alone casts a client out for itself only, so that none that lies can do it for all.
    """
    found = {}
    for client, said in words.items():
        latest = sorted({writer: at for writer, at in sorted(said, key=lambda one: one[1])}.values())
        if len(latest) >= 2 and latest[-1] - latest[-2] <= CAST and now < latest[-1] + lasts:
            found[client] = latest[-1] + lasts
    return found


def started(breaks: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """Caches that have started though no list says so: two fronts saw each break off, close together.

    `breaks` has, by cache and front, when its connections broke and it could not be reached again.
    """
    found: dict[str, float] = {}
    for uid, said in breaks.items():
        moments = sorted(said.values(), reverse=True)
        for later, earlier in pairwise(moments):
            if later - earlier <= TOGETHER:
                found[uid] = later
                break
    return found


def by_cache(items: Iterable[tuple[str, str, float]]) -> dict[str, dict[str, float]]:
    """Cache, front and moment, grouped for `started`."""
    held: dict[str, dict[str, float]] = defaultdict(dict)
    for uid, writer, at in items:
        held[uid][writer] = at
    return dict(held)
