"""A replica of the fleet's state: every front holds the items written by all, and replicas merge. No I/O.

`replicated_items` defines how each kind of item is validated and merged.

A writer numbers its changes from 1 in each of its runs (epochs). A version vector maps each run to the number
up to which a replica has all changes. A replica that is behind gets the changes with higher numbers if they
are still retained, otherwise a snapshot. A change that arrives before its predecessors is merged at once, so
that a restriction takes effect without delay, and enters the version vector when the gap is closed.

Times are sent as ages, since clocks may differ. A receiver subtracts the age from its own time, so an item
appears too young by its transmission time at most.
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
MAX_EARLY_OPERATIONS = 4096  # changes per run that arrived before their predecessors
MAX_RUNS = 1024
REWRITE_AFTER = 1.0  # seconds after which an unchanged value is written again, to extend its lifetime
RUN_LIFETIME = 900.0  # seconds for which a run's numbers are kept after its last change

VersionVector = dict[str, int]
"""The number up to which all changes are present, by the name of each run."""

ItemName = tuple[str, str]
"""The kind and the key of an item."""


def run_name(writer: str, epoch: int) -> str:
    """Return the name of a writer's run, as used in version vectors."""
    return f"{writer}/{epoch}"


@dataclass(slots=True)
class Item:
    """A replicated item; both times are readings of this front's clock, in seconds.

    Attributes:
        value: most restrictive value of all writes.
        written_at: time of the last write by any front.
        first_written_at: time of the earliest known write of the current value, or of any value if
            `ItemKind.keeps_first`. The event that the item describes had happened by then; no wall clock is
            needed to know this.
    """

    value: Value
    written_at: float
    first_written_at: float

    def update_first_write(self, kind: ItemKind, value: Value, merged: Value, written_at: float) -> None:
        """Update `first_written_at` for a write of `value` whose merge with the current value is `merged`."""
        if kind.keeps_first or value == merged == self.value:
            self.first_written_at = min(self.first_written_at, written_at)
        elif merged != self.value:
            self.first_written_at = written_at

    def is_live(self, kind: ItemKind, now: float) -> bool:
        """Return whether the item has not expired."""
        return now < self.written_at + kind.lifetime


class LoggedOperation(NamedTuple):
    """A change and the time of its write, by this front's clock."""

    operation: Operation
    written_at: float

    def at(self, now: float) -> Operation:
        """Return the change with its age at the time `now`."""
        op = self.operation
        age = max(now - self.written_at, 0.0)
        return Operation(op.writer, op.epoch, op.number, op.kind, op.key, op.value, age)


@dataclass(slots=True)
class OperationLog:
    """The log of the changes of one run of one writer.

    Attributes:
        number: number up to which all changes are present.
        operations: latest changes up to that number, oldest first.
        early: changes received after a gap, by number.
        changed_at: time at which the last change was received, in seconds.
    """

    number: int = 0
    operations: deque[LoggedOperation] = field(default_factory=deque)
    early: dict[int, LoggedOperation] = field(default_factory=dict)
    changed_at: float = -math.inf

    def append(self, operation: LoggedOperation, max_count: int) -> None:
        """Append the next change, and keep the latest `max_count`."""
        self.number = operation.operation.number
        self.operations.append(operation)
        if len(self.operations) > max_count:
            self.operations.popleft()

    def append_early(self, max_count: int) -> None:
        """Append the early changes that now follow without a gap."""
        while following := self.early.pop(self.number + 1, None):
            self.append(following, max_count)

    def advance(self, number: int, now: float, max_count: int) -> None:
        """Mark all changes up to a number as present, because a snapshot includes them."""
        self.number = number
        self.changed_at = now
        self.operations.clear()
        for early in [early for early in self.early if early <= number]:
            del self.early[early]
        self.append_early(max_count)


@dataclass(frozen=True, slots=True)
class Change:
    """An item whose value has become more restrictive; `age` is the time since its write, in seconds."""

    kind: str
    key: str
    value: Value
    age: float
    writer: str


class SnapshotChunk(NamedTuple):
    """A part of a snapshot.

    Attributes:
        operations: items, as changes without numbers.
        after: last key of this chunk, after which the next chunk begins.
        is_last: whether there are no further chunks.
    """

    operations: list[Operation]
    after: str
    is_last: bool


class ReplicatedStore:
    """A front's replica of the fleet's state.

    Attributes:
        name: this front's name.
        epoch: this front's current epoch.
        items: replicated items by kind and key.
        logs: logs of changes by run.
        counts: counters of rejected changes.
    """

    def __init__(self, name: str, epoch: int, max_operations: int = 4096) -> None:
        """Create an empty replica that retains `max_operations` changes per run."""
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
        """Set the epoch for subsequent writes, after the epoch of this process was raised.

        Of a writer's values, the one with the highest epoch and number is valid. If the clock was set back
        before this process started, its values would otherwise rank below those of an earlier process for
        ever. As a side effect, all replicas keep the numbers of one more run for `RUN_LIFETIME`.
        """
        self.epoch = epoch

    # Changes.

    def write(self, now: float, kind: str, key: str, *value: int | float | str) -> Change | None:
        """Write an item; a write that changes nothing is not logged.

        A value that does not change the item is still logged if the last write is at least `REWRITE_AFTER`
        old and the item has a limited lifetime, because the write extends that lifetime.

        Returns:
            The change if the item became more restrictive, otherwise None.
        """
        current = self.items.get((kind, key))
        rules = ITEM_KINDS[kind]
        is_recent = rules.lifetime == math.inf or (current and current.written_at > now - REWRITE_AFTER)
        if (
            current
            and is_recent
            and current.is_live(rules, now)
            and rules.merge(current.value, value) == current.value
        ):
            return None
        log = self.logs.setdefault(self.run, OperationLog())
        op = Operation(self.name, self.epoch, log.number + 1, kind, key, list(value), 0.0)
        return self.apply(op, now)

    def apply(self, op: Operation, now: float) -> Change | None:
        """Apply a change by any front, received by any path.

        Returns:
            The change if the item became more restrictive, otherwise None.
        """
        rules = ITEM_KINDS.get(op.kind)
        value = tuple(op.value)
        if rules is None or not rules.is_valid(op.key, value, op.writer):
            self.counts["invalid changes"] += 1
            self.log_operation(op, now)  # otherwise peers would send it again after each comparison
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
        is_more_restrictive = merged != current.value
        current.update_first_write(rules, value, merged, written_at)
        current.written_at = max(current.written_at, written_at)  # a write of any value extends the lifetime
        current.value = merged
        age = now - current.written_at
        return Change(op.kind, op.key, merged, age, op.writer) if is_more_restrictive else None

    def _has_capacity(self, rules: ItemKind, now: float) -> bool:
        """Return whether there is room for a new item; half of the room is reserved for critical items."""
        max_count = MAX_ITEMS if rules.is_critical else MAX_ITEMS // 2
        return len(self.items) < max_count or self.discard_expired(now) > 0

    def log_operation(self, op: Operation, now: float) -> bool:
        """Log a change for replicas that are behind; return False if it was present already.

        Beyond `MAX_RUNS` and `MAX_EARLY_OPERATIONS` a change is not logged, but counts as new all the same.
        """
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
        """Return the version vector of this replica."""
        return {run: log.number for run, log in self.logs.items() if log.number}

    def is_behind(self, vector: VersionVector) -> bool:
        """Return whether a replica with the given version vector has changes that this one lacks."""
        return any(number > self.last_number(run) for run, number in vector.items())

    def last_number(self, run: str) -> int:
        """Return the number up to which all changes of a run are present, 0 for an unknown run."""
        log = self.logs.get(run)
        return log.number if log else 0

    def changes_after(self, vector: VersionVector, now: float, max_count: int) -> list[Operation] | None:
        """Return the changes that a replica with the given version vector lacks, oldest of each run first.

        Returns:
            At most `max_count` changes, or None if some of them are no longer retained.
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
        """Return a checksum of the items, equal for equal replicas.

        Args:
            now: current time in seconds.
            margin: remaining lifetime, in seconds, that an item must exceed to be included.
            only_critical: whether to exclude items that no rule depends on, which change every second.
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
        """Yield the items after a position in key order, at most `max_count` per chunk."""
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
        """Return the last write of an item, and its first write as well if that one dates the item."""
        rules = ITEM_KINDS[kind]
        writer = writer_of(key) if rules.has_writer_key else self.name
        write_times = [item.written_at]
        if rules.keeps_first and item.first_written_at < item.written_at:
            write_times.append(item.first_written_at)
        value = list(item.value)
        return [Operation(writer, 0, 0, kind, key, value, max(now - at, 0.0)) for at in write_times]

    def load_snapshot(self, ops: Iterable[Operation], now: float) -> list[Change]:
        """Merge the items of a snapshot, and return those that became more restrictive."""
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
        """Mark the changes of a version vector as present, after a snapshot was loaded completely."""
        for run, number in vector.items():
            if run not in self.logs and len(self.logs) >= MAX_RUNS:
                continue
            log = self.logs.setdefault(run, OperationLog())
            if number > log.number:
                log.advance(number, now, self._max_operations)

    # Expiry.

    def discard_expired(self, now: float) -> int:
        """Drop expired items and logs of runs without recent changes; return the number of items dropped."""
        expired = [name for name, item in self.items.items() if not item.is_live(ITEM_KINDS[name[0]], now)]
        for name in expired:
            del self.items[name]
        for run in [
            run for run, log in self.logs.items() if run != self.run and now - log.changed_at > RUN_LIFETIME
        ]:
            del self.logs[run]
        return len(expired)
