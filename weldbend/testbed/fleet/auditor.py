"""The auditor of a fleet: what must hold of it, judged from outside by what each front holds at the end.

It shares no code with what it judges: the joins are written here a second time, as plain functions over all
that was said, and compared with what each front came to.
"""

from collections import defaultdict
from typing import Any

KEEP = {"purge": 60.0, "drain": 600.0, "start": 120.0, "keyed": 30.0, "evidence": 20.0, "setting": 1e12}
EDGE = 1.5  # seconds about an item's end within which fronts may differ: ages grow on the way


def strictest(kind: str, values: list[tuple]) -> tuple:
    if kind == "keyed":
        groups = {group for group, _ in values}
        return groups.pop() if len(groups) == 1 else "!", min(first for _, first in values)
    return max(values)


def made_of(kind: str, value: tuple, possible: list[tuple]) -> bool:
    """Whether somebody said it, or what some of them said amounts to it."""
    if kind == "keyed":
        groups = {group for group, _ in possible}
        said = value[0] in groups or (value[0] == "!" and len(groups) > 1)
        return said and value[1] in {first for _, first in possible}
    return value in possible


def audit(fleet: Any) -> list[str]:
    """What is broken, a line each, in a run that has ended calmly."""
    breaches = []
    up = [node for node in fleet.nodes.values() if node.up]
    for node in up:
        for name, member in sorted(node.members.members.items()):
            there = fleet.nodes[name].up
            if there and member.state.name not in ("ALIVE",):
                breaches.append(f"{node.name} holds {name} for {member.state.name}, which is there")
            if there and member.epoch != fleet.nodes[name].members.epoch:
                breaches.append(f"{node.name} knows another run of {name}")
        if not node.exchange.is_caught_up:
            breaches.append(f"{node.name} has not caught up")
    breaches += differing(fleet, up)
    return breaches


def differing(fleet: Any, up: list[Any]) -> list[str]:
    said: dict[tuple[str, str], list[tuple[float, tuple]]] = defaultdict(list)
    kept: dict[tuple[str, str], list[tuple]] = defaultdict(
        list
    )  # by runs that still go on: none of it may be lost
    for at, kind, key, value, writer in fleet.said:
        said[kind, key].append((at, value))
        if writer.up and fleet.now < at + KEEP[kind] - EDGE:
            kept[kind, key].append(value)
    found = []
    for (kind, key), words in sorted(said.items()):
        live = [value for at, value in words if fleet.now < at + KEEP[kind] - EDGE]
        ended = [at for at, _ in words if abs(fleet.now - at - KEEP[kind]) <= 3.0]
        if ended:
            continue
        if not live:
            for node in up:
                item = node.copies.items.get((kind, key))
                if item and fleet.now < item.written_at + KEEP[kind]:
                    found.append(f"{kind} {key} outlived its time at {node.name}")
            continue
        held = {node.name: node.copies.items.get((kind, key)) for node in up}
        shown = {name: item.value if item else None for name, item in held.items()}
        if len(set(shown.values())) > 1:
            found.append(f"{kind} {key} differs: {shown}")
        for name, value in shown.items():
            least = strictest(kind, kept[kind, key]) if kept[kind, key] else None
            if least is not None and (value is None or strictest(kind, [least, value]) != value):
                found.append(f"{kind} {key} at {name} is {value}, less strict than {least}")
            possible = [value for _, value in words]
            if value is not None and not made_of(kind, value, possible):
                found.append(f"{kind} {key} at {name} is {value}, which nobody said")
    for run in {run for node in up for run in node.copies.logs}:
        numbers = {node.name: node.copies.last_number(run) for node in up}
        if max(numbers.values()) - min(numbers.values()) > getattr(fleet, "under_way", 0):
            found.append(f"changes of {run} are counted differently: {numbers}")
    return found
