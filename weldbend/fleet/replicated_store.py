"""Replicated state: what each front writes is kept by all, and replicas that differ are merged. No I/O.

`replicated_items` says how each kind of item is checked and merged.

Writers number their changes from 1 in each of their runs. A version vector (run -> number up to which nothing
is missing) says what a front holds; what another lacks is the changes after its numbers while they are kept,
else a snapshot. A change that comes before those it follows is merged at once and counted later: strictness
does not wait for order.

Moments cross the network as ages, since clocks may be apart: an item grows no younger on its way than the
time that the way took.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from weldbend.fleet.messages import Operation
from weldbend.fleet.replicated_items import ITEM_KINDS, ItemKind, Value, writer_of

MAX_ITEMS = 65_536
MAX_EARLY_OPERATIONS = 4096  # changes of one run that came before those they follow
MAX_RUNS = 1024
REWRITE_AFTER = 1.0  # seconds after which an unchanged item is written again, so that it lasts
RUN_LIFETIME = 900.0  # seconds for which a run's numbers are remembered after its last change

VersionVector = dict[str, int]
ItemName = tuple[str, str]  # kind and key


def run_name(writer: str, epoch: int) -> str:
    """Return the name of one run of a writer, as version vectors have it."""
    return f"{writer}/{epoch}"


@dataclass(slots=True)
class Item:
    """A replicated item; both moments are in this front's time.

    Attributes:
        value: what the strictest of its writes said.
        written_at: when it was written last by any front.
        first_written_at: when its value was written first, or the item at all (`ItemKind.keeps_first`), as
            far as is known here: what it speaks of had happened by then, whatever anybody's wall clock says.
    """

    value: Value
    written_at: float
    first_written_at: float

    def update_first_write(self, kind: ItemKind, value: Value, merged: Value, written_at: float) -> None:
        """Note a write of `value`, which together with the present one makes `merged`."""
        if kind.keeps_first or value == merged == self.value:
            self.first_written_at = min(self.first_written_at, written_at)
        elif merged != self.value:
            self.first_written_at = written_at

    def is_live(self, kind: ItemKind, now: float) -> bool:
        """Whether it still counts."""
        return now < self.written_at + kind.lifetime


class LoggedOperation(NamedTuple):
    """A change, and when it was written, in this front's time."""

    operation: Operation
    written_at: float

    def at(self, now: float) -> Operation:
        """Return the change with its age at a moment."""
        op = self.operation
        age = max(now - self.written_at, 0.0)
        return Operation(op.writer, op.epoch, op.number, op.kind, op.key, op.value, age)


@dataclass(slots=True)
class OperationLog:
    """The changes of one run of one writer.

    Attributes:
        number: up to which nothing is missing.
        operations: the latest ones up to that number, oldest first.
        early: those after a gap, by number.
        changed_at: when the last one came, in seconds.
    """

    number: int = 0
    operations: deque[LoggedOperation] = field(default_factory=deque)
    early: dict[int, LoggedOperation] = field(default_factory=dict)
    changed_at: float = -math.inf

    def append(self, operation: LoggedOperation, max_count: int) -> None:
        """Add the next change; `max_count` are kept."""
        self.number = operation.operation.number
        self.operations.append(operation)
        if len(self.operations) > max_count:
            self.operations.popleft()

    def append_early(self, max_count: int) -> None:
        """Add those that came early, as far as there is no gap any more."""
        while following := self.early.pop(self.number + 1, None):
            self.append(following, max_count)

    def advance(self, number: int, now: float, max_count: int) -> None:
        """Count all changes up to a number as held: a snapshot amounts to them."""
        self.number = number
        self.changed_at = now
        self.operations.clear()
        for early in [early for early in self.early if early <= number]:
            del self.early[early]
        self.append_early(max_count)


@dataclass(frozen=True, slots=True)
class Change:
    """An item that is stricter than it was, for those who act on it; `age` is seconds since its write."""

    kind: str
    key: str
    value: Value
    age: float
    writer: str


class SnapshotChunk(NamedTuple):
    """Some items of a snapshot.

    Attributes:
        operations: the items, as changes without numbers.
        after: the place behind which the next chunk goes on.
        is_last: whether there is none.
    """

    operations: list[Operation]
    after: str
    is_last: bool


class ReplicatedStore:
    """One front's replica.

    Attributes:
        name: this front's.
        epoch: of this run, as it stands now.
        items: by kind and key.
        logs: changes by run.
        counts: counters.
    """

    def __init__(self, name: str, epoch: int, max_operations: int = 4096) -> None:
        """Make an empty replica; `max_operations` changes of each run are kept."""
        self.name = name
        self.epoch = epoch
        self.items: dict[ItemName, Item] = {}
        self.logs: dict[str, OperationLog] = {}
        self.counts: Counter[str] = Counter()
        self._max_operations = max_operations

    @property
    def run(self) -> str:
        """The name of this front's own run."""
        return run_name(self.name, self.epoch)

    def set_epoch(self, epoch: int) -> None:
        """Write under another epoch from now on: this run's epoch was raised.

        Guards against figures (their greatest epoch and number hold) that stay behind those of an earlier run
        for ever, because this run began under a clock that had gone back. Harm: one more run's numbers are
        remembered by all, for `RUN_LIFETIME`.
        """
        self.epoch = epoch

    # Changes.

    def write(self, now: float, kind: str, key: str, *value: int | float | str) -> Change | None:
        """Make a change of this front's own; nothing is numbered where it changes nothing.

        Returns:
            The item that it made stricter; None where it did not.
        """
        current = self.items.get((kind, key))
        rules = ITEM_KINDS[kind]
        lasts = rules.lifetime == math.inf or (current and current.written_at > now - REWRITE_AFTER)
        if (
            current
            and lasts
            and current.is_live(rules, now)
            and rules.merge(current.value, value) == current.value
        ):
            return None
        log = self.logs.setdefault(self.run, OperationLog())
        op = Operation(self.name, self.epoch, log.number + 1, kind, key, list(value), 0.0)
        return self.apply(op, now)

    def apply(self, op: Operation, now: float) -> Change | None:
        """Apply a change of any front, by any path.

        Returns:
            The item that it made stricter; None where it did not.
        """
        rules = ITEM_KINDS.get(op.kind)
        value = tuple(op.value)
        if rules is None or not rules.is_valid(op.key, value, op.writer):
            self.counts["invalid changes"] += 1
            self.log_operation(op, now)  # else it would be requested without end
            return None
        if self.log_operation(op, now) or (op.kind, op.key) not in self.items:
            return self._merge(op, value, now)
        return None

    def _merge(self, op: Operation, value: Value, now: float) -> Change | None:
        rules = ITEM_KINDS[op.kind]
        written_at = now - op.age
        current = self.items.get((op.kind, op.key))
        if now >= written_at + rules.lifetime:
            if current and rules.keeps_first:
                current.update_first_write(rules, value, current.value, written_at)
            return None
        if current is None or not current.is_live(rules, now):
            if current is None and not self._has_capacity(rules, now):
                self.counts["items over the bound"] += 1
                return None
            self.items[op.kind, op.key] = Item(value, written_at, written_at)
            return Change(op.kind, op.key, value, op.age, op.writer)
        merged = rules.merge(current.value, value)
        is_stricter = merged != current.value
        current.update_first_write(rules, value, merged, written_at)
        current.written_at = max(current.written_at, written_at)  # any write keeps the strictest value
        current.value = merged
        age = now - current.written_at
        return Change(op.kind, op.key, merged, age, op.writer) if is_stricter else None

    def _has_capacity(self, rules: ItemKind, now: float) -> bool:
        """Whether one more item may be kept; items on which no rule rests leave half for those."""
        max_count = MAX_ITEMS if rules.is_critical else MAX_ITEMS // 2
        return len(self.items) < max_count or self.discard_expired(now) > 0

    def log_operation(self, op: Operation, now: float) -> bool:
        """Keep a change for fronts that lack it; False for one that was here before."""
        run = run_name(op.writer, op.epoch)
        log = self.logs.get(run)
        if log is None:
            if len(self.logs) >= MAX_RUNS:
                self.counts["runs over the bound"] += 1
                return True
            log = self.logs[run] = OperationLog()
        if op.number <= log.number or op.number in log.early:
            return False
        log.changed_at = now
        logged = LoggedOperation(op, now - op.age)
        if op.number > log.number + 1:
            if len(log.early) < MAX_EARLY_OPERATIONS:
                log.early[op.number] = logged
            return True
        log.append(logged, self._max_operations)
        log.append_early(self._max_operations)
        return True

    # Comparison.

    def vector(self) -> VersionVector:
        """Return what this replica holds of each run."""
        return {run: log.number for run, log in self.logs.items() if log.number}

    def is_behind(self, vector: VersionVector) -> bool:
        """Whether the holder of that vector has what is missing here."""
        return any(number > self.last_number(run) for run, number in vector.items())

    def last_number(self, run: str) -> int:
        """Return the number up to which nothing of a run is missing; 0 where it is unknown."""
        log = self.logs.get(run)
        return log.number if log else 0

    def changes_after(self, vector: VersionVector, now: float, max_count: int) -> list[Operation] | None:
        """Return changes that the holder of that vector lacks, oldest of each run first.

        Returns:
            So many at most; None where some are no longer kept.
        """
        found: list[Operation] = []
        for run, log in self.logs.items():
            known_number = vector.get(run, 0)
            if known_number >= log.number:
                continue
            if not log.operations or log.operations[0].operation.number > known_number + 1:
                return None
            for logged in log.operations:
                if logged.operation.number > known_number:
                    found.append(logged.at(now))
                if len(found) >= max_count:
                    return found
        return found

    def digest(self, now: float, margin: float = 0.0, only_critical: bool = False) -> int:
        """Return a checksum, the same wherever the same is held.

        Args:
            now: seconds.
            margin: seconds for which items have to count still.
            only_critical: leaves out items on which no rule rests: they change every second.
        """
        total = 0
        for (kind, key), item in self.items.items():
            rules = ITEM_KINDS[kind]
            if now < item.written_at + rules.lifetime - margin and (rules.is_critical or not only_critical):
                text = repr((kind, key, item.value)).encode()
                total ^= int.from_bytes(blake2b(text, digest_size=6).digest(), "big")
        return total

    # Snapshots.

    def snapshot_chunks(self, after: str, now: float, max_count: int) -> Iterator[SnapshotChunk]:
        """Yield the items behind a place in the order of their keys, so many at a time."""
        keys = sorted(f"{kind} {key}" for kind, key in self.items)
        rest = [key for key in keys if key > after]
        while True:
            names = rest[:max_count]
            rest = rest[max_count:]
            operations = []
            for name in names:
                kind, _, key = name.partition(" ")
                item = self.items.get((kind, key))
                if item and item.is_live(ITEM_KINDS[kind], now):
                    operations += self._as_operations(kind, key, item, now)
            yield SnapshotChunk(operations, names[-1] if names else after, not rest)
            if not rest:
                return

    def _as_operations(self, kind: str, key: str, item: Item, now: float) -> list[Operation]:
        """The last write of an item, and the first one too where that dates it."""
        rules = ITEM_KINDS[kind]
        writer = writer_of(key) if rules.has_writer_key else self.name
        moments = [item.written_at]
        if rules.keeps_first and item.first_written_at < item.written_at:
            moments.append(item.first_written_at)
        value = list(item.value)
        return [Operation(writer, 0, 0, kind, key, value, max(now - at, 0.0)) for at in moments]

    def load_snapshot(self, ops: Iterable[Operation], now: float) -> list[Change]:
        """Merge items of a snapshot, which are not numbered; return those that became stricter."""
        changes = []
        for op in ops:
            rules = ITEM_KINDS.get(op.kind)
            value = tuple(op.value)
            if rules is None or not rules.is_valid(op.key, value, op.writer):
                self.counts["invalid changes"] += 1
            elif change := self._merge(op, value, now):
                changes.append(change)
        return changes

    def advance_to(self, vector: VersionVector, now: float) -> None:
        """Count what a snapshot amounts to, which was loaded completely, as no longer missing."""
        for run, number in vector.items():
            if run not in self.logs and len(self.logs) >= MAX_RUNS:
                continue
            log = self.logs.setdefault(run, OperationLog())
            if number > log.number:
                log.advance(number, now, self._max_operations)

    # Expiry.

    def discard_expired(self, now: float) -> int:
        """Drop items that count no more, and runs that ended long ago; return how many items went."""
        expired = [name for name, item in self.items.items() if not item.is_live(ITEM_KINDS[name[0]], now)]
        for name in expired:
            del self.items[name]
        for run in [
            run for run, log in self.logs.items() if run != self.run and now - log.changed_at > RUN_LIFETIME
        ]:
            del self.logs[run]
        return len(expired)
