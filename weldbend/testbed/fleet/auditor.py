"""Audit of a fleet: checks of the fronts' membership views and replicas at the end of a run.

The auditor shares no code with the replication that it checks. It implements the joins a second time, as
plain functions over all published changes, and compares their results with the replica of each front.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from weldbend.fleet.anti_entropy import AntiEntropy
from weldbend.fleet.member_table import State
from weldbend.fleet.membership import Membership
from weldbend.fleet.replicated_store import ReplicatedStore

# Seconds for which replicas keep an item, by kind.
ITEM_LIFETIMES = {
    "purge": 60.0,
    "drain": 600.0,
    "start": 120.0,
    "keyed": 30.0,
    "evidence": 20.0,
    "setting": 1e12,
}
LATEST_VALUE_KINDS = ("evidence",)  # kinds for which the latest value of each writer is valid
# Seconds before an item's expiry in which fronts may differ: ages grow during transfers.
EXPIRY_MARGIN = 1.5
# Seconds before and after the expiry of a change in which its item is not compared.
EXPIRY_SKIP_WINDOW = 3.0
CONFLICT = "!"  # group of a keyed item that two groups have claimed

Value = tuple[Any, ...]  # replicated value of a change: numbers and texts, depending on its kind
ItemName = tuple[str, str]  # kind and key


class AuditedNode(Protocol):
    """Fleet state of one front, as the auditor reads it."""

    @property
    def name(self) -> str:
        """Name of the front in the fleet."""

    @property
    def is_up(self) -> bool:
        """Whether the process of the front is running."""

    @property
    def membership(self) -> Membership:
        """Membership view of the front."""

    @property
    def store(self) -> ReplicatedStore:
        """Replicated items of the front."""

    @property
    def anti_entropy(self) -> AntiEntropy:
        """Anti-entropy of the front, which synchronizes its store with those of its peers."""


@dataclass(frozen=True, slots=True)
class ExaminedNode:
    """State of one front of a simulated run."""

    name: str
    is_up: bool
    membership: Membership
    store: ReplicatedStore
    anti_entropy: AntiEntropy


@dataclass(frozen=True, slots=True)
class Published:
    """A change that a node published; `at` is in seconds of the run."""

    at: float
    kind: str
    key: str
    value: Value
    writer: AuditedNode
    epoch: int = 0  # epoch in the writer's membership at that time; 0: not checked


@dataclass(frozen=True, slots=True)
class AuditedFleet:
    """Fleet at the end of a run whose last part had no faults."""

    nodes: Mapping[str, AuditedNode]
    now: float  # seconds of the run
    published: Sequence[Published] = ()
    in_transit: int = 0  # number of changes of one front that another may not have received yet

    def running(self) -> list[AuditedNode]:
        """Return the nodes that are up."""
        return [node for node in self.nodes.values() if node.is_up]


def strictest(kind: str, values: list[Value]) -> Value:
    """Join several values of an item: return the strictest."""
    if kind == "keyed":
        groups = {group for group, _ in values}
        return (groups.pop() if len(groups) == 1 else CONFLICT, min(first for _, first in values))
    return max(values)


def is_possible(kind: str, value: Value, published: list[Value]) -> bool:
    """Return whether a value was published, or is a join of published values."""
    if kind == "keyed":
        groups = {group for group, _ in published}
        is_claimed = value[0] in groups or (value[0] == CONFLICT and len(groups) > 1)
        return is_claimed and value[1] in {first for _, first in published}
    return value in published


def audit(fleet: AuditedFleet) -> list[str]:
    """Return the violated rules, one line each."""
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
    # Changes by writers that are still up: none of them may be lost.
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
            errors.append(f"{name[0]} {name[1]} has expired but is still held by {node.name}")
    return errors


def _value_errors(
    fleet: AuditedFleet, name: ItemName, published: list[Value], retained: list[Value]
) -> list[str]:
    """Return errors of an unexpired item; `retained` are the published values that may not be lost."""
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
            errors.append(f"{kind} {key} at {front} is {value}, which was never published")
    return errors


def _figure_errors(fleet: AuditedFleet) -> list[str]:
    """Return errors of items for which the latest value of each writer is valid.

    After a restart, a value of the writer's earlier epoch must not replace one of its current epoch.
    """
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
