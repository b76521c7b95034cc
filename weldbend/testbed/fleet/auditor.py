"""The auditor of a fleet: what must hold of it, judged from outside by what each front holds at the end.

It shares no code with what it judges: the joins are written here a second time, as plain functions over all
changes that were made, and compared with what each front came to.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from weldbend.fleet.anti_entropy import AntiEntropy
from weldbend.fleet.member_table import State
from weldbend.fleet.membership import Membership
from weldbend.fleet.replicated_store import ReplicatedStore

# Seconds for which an item of a kind is kept.
ITEM_LIFETIMES = {
    "purge": 60.0,
    "drain": 600.0,
    "start": 120.0,
    "keyed": 30.0,
    "evidence": 20.0,
    "setting": 1e12,
}
LATEST_VALUE_KINDS = ("evidence",)  # kinds of which each writer's own latest value counts
EXPIRY_MARGIN = 1.5  # seconds before an item's end within which fronts may differ: ages grow on the way
EXPIRY_SKIP_WINDOW = 3.0  # seconds about the end of a change within which its item is not compared
CONFLICT = "!"  # in place of the group of a keyed item that two groups have claimed

Value = tuple[Any, ...]  # of a change, as it is replicated: a kind's own figures and texts
ItemName = tuple[str, str]  # kind and key


class AuditedNode(Protocol):
    """One front's fleet, as the auditor examines it."""

    @property
    def name(self) -> str:
        """Its name in the fleet."""

    @property
    def is_up(self) -> bool:
        """Whether its process lives."""

    @property
    def membership(self) -> Membership:
        """What it believes of the others."""

    @property
    def store(self) -> ReplicatedStore:
        """Its replicas."""

    @property
    def anti_entropy(self) -> AntiEntropy:
        """How it keeps them alike."""


@dataclass(frozen=True, slots=True)
class ExaminedNode:
    """One front of a simulated run."""

    name: str
    is_up: bool
    membership: Membership
    store: ReplicatedStore
    anti_entropy: AntiEntropy


@dataclass(frozen=True, slots=True)
class Published:
    """A change that a node made at a moment of the run."""

    at: float
    kind: str
    key: str
    value: Value
    writer: AuditedNode
    epoch: int = 0  # of the writer, as its membership had it then; 0 where that is not to be examined


@dataclass(frozen=True, slots=True)
class AuditedFleet:
    """A run that has ended calmly."""

    nodes: Mapping[str, AuditedNode]
    now: float  # seconds of the run
    published: Sequence[Published] = ()
    in_transit: int = 0  # changes of one front that another may lack

    def running(self) -> list[AuditedNode]:
        """The nodes that are up."""
        return [node for node in self.nodes.values() if node.is_up]


def strictest(kind: str, values: list[Value]) -> Value:
    """The join of several values of an item."""
    if kind == "keyed":
        groups = {group for group, _ in values}
        return (groups.pop() if len(groups) == 1 else CONFLICT, min(first for _, first in values))
    return max(values)


def is_possible(kind: str, value: Value, published: list[Value]) -> bool:
    """Whether somebody published a value, or it is the join of some that were published."""
    if kind == "keyed":
        groups = {group for group, _ in published}
        is_claimed = value[0] in groups or (value[0] == CONFLICT and len(groups) > 1)
        return is_claimed and value[1] in {first for _, first in published}
    return value in published


def audit(fleet: AuditedFleet) -> list[str]:
    """What does not hold, a line each."""
    return [
        *_membership_errors(fleet),
        *_item_errors(fleet),
        *_figure_errors(fleet),
        *_log_errors(fleet),
    ]


def _membership_errors(fleet: AuditedFleet) -> list[str]:
    errors = []
    for node in fleet.running():
        for name, member in sorted(node.membership.members.items()):
            peer = fleet.nodes[name]
            if peer.is_up and member.state is not State.ALIVE:
                errors.append(f"{node.name} holds {name} for {member.state.name}, which is up")
            if peer.is_up and member.epoch != peer.membership.epoch:
                errors.append(f"{node.name} knows another run of {name}")
        if not node.anti_entropy.is_caught_up:
            errors.append(f"{node.name} has not caught up")
    return errors


def _item_errors(fleet: AuditedFleet) -> list[str]:
    published: dict[ItemName, list[tuple[float, Value]]] = defaultdict(list)
    # Of writers that are still up: none of these changes may be lost.
    retained: dict[ItemName, list[Value]] = defaultdict(list)
    for change in fleet.published:
        name = change.kind, change.key
        published[name].append((change.at, change.value))
        if change.writer.is_up and fleet.now < change.at + ITEM_LIFETIMES[change.kind] - EXPIRY_MARGIN:
            retained[name].append(change.value)
    errors = []
    for name, changes in sorted(published.items()):
        keep = ITEM_LIFETIMES[name[0]]
        if any(abs(fleet.now - at - keep) <= EXPIRY_SKIP_WINDOW for at, _ in changes):
            continue
        if any(fleet.now < at + keep - EXPIRY_MARGIN for at, _ in changes):
            errors += _value_errors(fleet, name, [value for _, value in changes], retained[name])
        else:
            errors += _expired_item_errors(fleet, name)
    return errors


def _expired_item_errors(fleet: AuditedFleet, name: ItemName) -> list[str]:
    errors = []
    for node in fleet.running():
        item = node.store.items.get(name)
        if item and fleet.now < item.written_at + ITEM_LIFETIMES[name[0]]:
            errors.append(f"{name[0]} {name[1]} outlived its time at {node.name}")
    return errors


def _value_errors(
    fleet: AuditedFleet, name: ItemName, published: list[Value], retained: list[Value]
) -> list[str]:
    """Errors of an item that all must hold: of all its changes, and of those that may not be lost."""
    kind, key = name
    errors = []
    items = {node.name: node.store.items.get(name) for node in fleet.running()}
    values = {front: item.value if item else None for front, item in items.items()}
    if len(set(values.values())) > 1:
        errors.append(f"{kind} {key} differs: {values}")
    least = strictest(kind, retained) if retained else None
    for front, value in values.items():
        if least is not None and (value is None or strictest(kind, [least, value]) != value):
            errors.append(f"{kind} {key} at {front} is {value}, less strict than {least}")
        if value is not None and not is_possible(kind, value, published):
            errors.append(f"{kind} {key} at {front} is {value}, which nobody published")
    return errors


def _figure_errors(fleet: AuditedFleet) -> list[str]:
    """Errors of figures of which each writer's latest counts: a later run's must not lose to an earlier's."""
    latest: dict[ItemName, Published] = {}
    for change in sorted(fleet.published, key=lambda change: change.at):
        if change.epoch and change.kind in LATEST_VALUE_KINDS:
            latest[change.kind, change.key] = change
    errors = []
    for (kind, key), change in sorted(latest.items()):
        is_live = fleet.now < change.at + ITEM_LIFETIMES[kind] - EXPIRY_MARGIN
        if not (is_live and change.writer.is_up and change.epoch == change.writer.membership.epoch):
            continue
        for node in fleet.running():
            item = node.store.items.get((kind, key))
            if item is None or item.value != change.value:
                held = item.value if item else None
                errors.append(f"{kind} {key} at {node.name} is {held}, its writer's latest is {change.value}")
    return errors


def _log_errors(fleet: AuditedFleet) -> list[str]:
    errors = []
    running = fleet.running()
    for run in {run for node in running for run in node.store.logs}:
        numbers = {node.name: node.store.last_number(run) for node in running}
        if max(numbers.values()) - min(numbers.values()) > fleet.in_transit:
            errors.append(f"changes of {run} are counted differently: {numbers}")
    return errors
