"""Replicated state: what each front says is kept by all, and copies that differ are joined. No I/O.

Every kind of item has a join (`RULES`): commutative, associative and idempotent, so that changes may come in
any order, twice, or by any path, and all who heard the same hold the same (state-based replicated data,
Shapiro and others 2011). The join of each kind keeps the strictest of both: what comes from a peer can make
a front stricter at once, and loosens nothing that a rule asks.

Writers number their changes from 1 in each of their runs. A vector (run -> number up to which nothing is
missing) says what a front holds; what another lacks is the changes after its numbers while they are kept,
else a snapshot. A change that comes before those it follows is joined at once and counted late: strictness
does not wait for order.

Moments cross as ages, since clocks may be apart: an item grows no younger on its way than the time that the
way took.
"""

import math
import re
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

from weldbend.fleet.messages import Operation

Value = tuple[int | float | str, ...]
MOST_ITEMS = 65_536
MOST_EARLY = 4096  # numbers of one run that came before those they follow
MOST_RUNS = 1024
AGAIN = 1.0  # what was said so lately is not said again
KEPT = 900.0  # seconds for which a run's numbers are remembered after its last change


@dataclass(frozen=True, slots=True)
class Rule:
    """How a kind of item is checked and joined, and for how long it counts."""

    fits: Callable[[str, Value, str], bool]  # key, value, writer
    join: Callable[[Value, Value], Value]
    keep: float  # seconds since it was said
    strict: bool = True  # whether a rule of the front rests on it: such changes are dropped last


def run_of(writer: str, epoch: int) -> str:
    """The name of one run of a writer, as vectors have it."""
    return f"{writer}/{epoch}"


def whole(value: object, least: int = 0, most: int = 1 << 53) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and least <= value <= most


def figure(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= 1e12


def group(value: object) -> bool:
    return isinstance(value, str) and GROUP.fullmatch(value) is not None


def earliest(one: Value, other: Value) -> Value:
    """Of a download that two fronts have had run: in one group since the first, or in no group at all."""
    return one[0] if one[0] == other[0] else NOWHERE, min(one[1], other[1])


def by_writer(key: str, writer: str) -> bool:
    return key.rpartition("|")[2] == writer


ANYWHERE, NOWHERE = "", "!"  # groups of a deduped download: all caches, and none
GROUP = re.compile(r"|!|z:[\w.:-]{1,48}|c:[0-9]{1,9}", re.ASCII)
PURGED = re.compile(r"k:[\w.-]{1,64}|g:[0-9]{1,3}", re.ASCII)


def own_word(figures: int, keep: float, strict: bool) -> Rule:
    """A kind of which each writer's own latest word counts: epoch, number, and so many figures."""

    def fits(key: str, value: Value, writer: str) -> bool:
        good = len(value) == 2 + figures and all(map(whole, value[:2])) and all(map(figure, value[2:]))
        return good and by_writer(key, writer)

    return Rule(fits, max, keep, strict)


RULES: dict[str, Rule] = {
    # object `k:KEY` or group `g:N` -> Unix ms of the purge. The latest purge is the strictest.
    "purge": Rule(lambda k, v, w: len(v) == 1 and whole(v[0]) and PURGED.fullmatch(k) is not None, max, 60.0),
    # cache -> (revision of the list, 0 up, 1 draining, 2 gone). The newer list holds, in one the strictest.
    "drain": Rule(lambda k, v, w: len(v) == 2 and whole(v[0]) and whole(v[1], 0, 2), max, 600.0),
    # cache -> Unix ms of its start. The latest start is the coldest cache.
    "start": Rule(lambda k, v, w: len(v) == 1 and whole(v[0]), max, 120.0),
    # idempotency key -> (group that it may have run in, Unix ms of the first pull); of two groups: none
    "keyed": Rule(lambda k, v, w: len(v) == 2 and group(v[0]) and whole(v[1]), earliest, 30.0),
    # cache|writer -> (epoch, number, good, bad): how one front's pulls there ended, its own latest word
    "evidence": own_word(2, 20.0, True),
    # slot|writer -> (epoch, number, packed names) of objects that one front was asked for in some seconds
    "popular": Rule(
        lambda k, v, w: len(v) == 3 and all(map(whole, v[:2])) and isinstance(v[2], str) and by_writer(k, w),
        max,
        256.0,
        False,
    ),
    # role or content type|writer -> (epoch, number, amount): how much one front has to do, a second
    "need": own_word(1, 20.0, False),
    # client|writer -> (epoch, number, downloads a second) of one that asks one front for much
    "heavy": own_word(1, 20.0, False),
    # client|writer -> (epoch, number, seconds since): one front has cast it out
    "cast": own_word(1, 900.0, True),
    # cache|writer -> (epoch, number, seconds since): its connections broke and it could not be reached again
    "broke": own_word(1, 60.0, True),
    # |writer -> (epoch, number, checksum): the members that one front's file names
    "names": own_word(1, 60.0, True),
    # writer's last event read from the bus
    "bus": Rule(lambda k, v, w: len(v) == 1 and whole(v[0]) and by_writer("|" + k, w), max, 600.0, False),
    # operators' settings for the fleet, by name -> (version, value)
    "setting": Rule(lambda k, v, w: len(v) == 2 and whole(v[0]), max, math.inf, False),
}


BY_WRITER = ("evidence", "popular", "bus", "need", "heavy", "cast", "broke", "names")  # keys name the writer


@dataclass(slots=True)
class Item:
    value: Value
    said: float  # when the latest word of it was said, in this front's time

    def live(self, rule: Rule, now: float) -> bool:
        return now < self.said + rule.keep


@dataclass(slots=True)
class Log:
    """The changes of one run of one writer."""

    number: int = 0  # nothing up to here is missing
    ops: deque[tuple[Operation, float]] = field(default_factory=deque)  # with the moment each was said
    early: dict[int, tuple[Operation, float]] = field(default_factory=dict)
    last: float = -math.inf


@dataclass(frozen=True, slots=True)
class Change:
    """An item that is stricter than it was, for those who act on it."""

    kind: str
    key: str
    value: Value
    age: float
    writer: str


class ReplicatedStore:
    def __init__(self, name: str, epoch: int, ops: int = 4096) -> None:
        self.name, self.epoch, self.most = name, epoch, ops
        self.items: dict[tuple[str, str], Item] = {}
        self.logs: dict[str, Log] = {}
        self.counts: Counter[str] = Counter()

    @property
    def run(self) -> str:
        return run_of(self.name, self.epoch)

    # Writing and hearing.

    def say(self, now: float, kind: str, key: str, *value: int | float | str) -> Change | None:
        """This front's own change; nothing is numbered where it changes nothing."""
        held = self.items.get((kind, key))
        rule = RULES[kind]
        lasts = rule.keep == math.inf or (held and held.said > now - AGAIN)
        if held and lasts and held.live(rule, now) and rule.join(held.value, value) == held.value:
            return None
        log = self.logs.setdefault(self.run, Log())
        op = Operation(self.name, self.epoch, log.number + 1, kind, key, list(value), 0.0)
        return self.take(op, now)

    def take(self, op: Operation, now: float) -> Change | None:
        """One change, of anybody and by any path; the item that it made stricter, if it did."""
        rule = RULES.get(op.kind)
        value = tuple(op.value)
        if rule is None or not rule.fits(op.key, value, op.writer):
            self.counts["changes that fit no rule"] += 1
            self.count(op, now)  # else it would be asked for without end
            return None
        if self.count(op, now) or (op.kind, op.key) not in self.items:
            return self.join(op, value, now)
        return None

    def join(self, op: Operation, value: Value, now: float) -> Change | None:
        rule, said = RULES[op.kind], now - op.age
        if now >= said + rule.keep:
            return None
        held = self.items.get((op.kind, op.key))
        if held is None or not held.live(rule, now):
            most = MOST_ITEMS if rule.strict else MOST_ITEMS // 2  # what is no rule's leaves room for what is
            if held is None and len(self.items) >= most and not self.forget(now):
                self.counts["items over the bound"] += 1
                return None
            self.items[op.kind, op.key] = Item(value, said)
            return Change(op.kind, op.key, value, op.age, op.writer)
        joined = rule.join(held.value, value)
        stricter = joined != held.value
        held.said = max(held.said, said)  # any word about it keeps the strictest, whatever the order
        held.value = joined
        return Change(op.kind, op.key, joined, now - held.said, op.writer) if stricter else None

    def count(self, op: Operation, now: float) -> bool:
        """Keep a change for those who lack it; false for one that was here before."""
        run = run_of(op.writer, op.epoch)
        log = self.logs.get(run)
        if log is None:
            if len(self.logs) >= MOST_RUNS:
                self.counts["runs over the bound"] += 1
                return True
            log = self.logs[run] = Log()
        if op.number <= log.number or op.number in log.early:
            return False
        log.last = now
        if op.number > log.number + 1:
            if len(log.early) < MOST_EARLY:
                log.early[op.number] = op, now - op.age
            return True
        self.append(log, op, now - op.age)
        while following := log.early.pop(log.number + 1, None):
            self.append(log, *following)
        return True

    def append(self, log: Log, op: Operation, said: float) -> None:
        log.number = op.number
        log.ops.append((op, said))
        if len(log.ops) > self.most:
            log.ops.popleft()

    # Comparing.

    def vector(self) -> dict[str, int]:
        return {run: log.number for run, log in self.logs.items() if log.number}

    def behind(self, vector: dict[str, int]) -> bool:
        """Whether the holder of that vector has what is missing here."""
        return any(number > self.number(run) for run, number in vector.items())

    def number(self, run: str) -> int:
        log = self.logs.get(run)
        return log.number if log else 0

    def missing(self, vector: dict[str, int], now: float, most: int) -> list[Operation] | None:
        """Changes that the holder of that vector lacks, oldest first; None where they are no longer kept."""
        found: list[Operation] = []
        for run, log in self.logs.items():
            had = vector.get(run, 0)
            if had >= log.number:
                continue
            if not log.ops or log.ops[0][0].number > had + 1:
                return None
            for op, said in log.ops:
                if op.number > had:
                    found.append(aged(op, now - said))
                if len(found) >= most:
                    return found
        return found

    def digest(self, now: float, margin: float = 0.0, strict: bool = False) -> int:
        """A checksum over all that counts for at least so long still; the same wherever the same is held.

        `strict`: only over what a rule rests on, as people ask for it: the rest changes every second.
        """
        total = 0
        for (kind, key), item in self.items.items():
            if now < item.said + RULES[kind].keep - margin and (RULES[kind].strict or not strict):
                text = repr((kind, key, item.value)).encode()
                total ^= int.from_bytes(blake2b(text, digest_size=6).digest(), "big")
        return total

    # Snapshots.

    def pieces(self, after: str, now: float, most: int) -> Iterator[tuple[list[Operation], str, bool]]:
        """The items behind that place in the order of their keys, so many at a time."""
        keys = sorted(f"{kind} {key}" for kind, key in self.items)
        rest = [key for key in keys if key > after]
        while True:
            part, rest = rest[:most], rest[most:]
            ops = []
            for text in part:
                kind, _, key = text.partition(" ")
                if (item := self.items.get((kind, key))) and item.live(RULES[kind], now):
                    writer = key.rpartition("|")[2] if kind in BY_WRITER else self.name
                    ops.append(
                        Operation(writer, 0, 0, kind, key, list(item.value), max(now - item.said, 0.0))
                    )
            yield ops, part[-1] if part else after, not rest
            if not rest:
                return

    def load(self, ops: Iterable[Operation], now: float) -> list[Change]:
        """Items of a snapshot: joined, not numbered."""
        changes = []
        for op in ops:
            rule, value = RULES.get(op.kind), tuple(op.value)
            if rule is None or not rule.fits(op.key, value, op.writer):
                self.counts["changes that fit no rule"] += 1
            elif change := self.join(op, value, now):
                changes.append(change)
        return changes

    def reach(self, vector: dict[str, int], now: float) -> None:
        """A whole snapshot was loaded: what it amounts to is no longer missing."""
        for run, number in vector.items():
            if run not in self.logs and len(self.logs) >= MOST_RUNS:
                continue
            log = self.logs.setdefault(run, Log())
            if number > log.number:
                log.number, log.last = number, now
                log.ops.clear()
                for early in sorted(log.early):
                    if early <= number:
                        del log.early[early]
                while following := log.early.pop(log.number + 1, None):
                    self.append(log, *following)

    # Letting go.

    def forget(self, now: float) -> int:
        """Drop what counts no more, and runs that ended long ago; how many items went."""
        gone = [name for name, item in self.items.items() if not item.live(RULES[name[0]], now)]
        for name in gone:
            del self.items[name]
        for run in [r for r, log in self.logs.items() if r != self.run and now - log.last > KEPT]:
            del self.logs[run]
        return len(gone)


def aged(op: Operation, age: float) -> Operation:
    return Operation(op.writer, op.epoch, op.number, op.kind, op.key, op.value, max(age, 0.0))
