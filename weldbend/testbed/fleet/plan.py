"""Plans of what happens to a fleet: an INI file, checked as a whole on load. No I/O but the file itself.

    [fleet]
    fronts = 5
    seconds = 40
    rate = 20

    [a split]
    at = 5 s
    do = split
    who = n1 n2 | n3 n4 n5
    for = 8 s

One section an event; `who` names fronts, parted by `|` where an event has sides, or `all`. The same plan is
played by real processes and by virtual ones.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from weldbend.installation.errors import InstallationError, InvalidValueError
from weldbend.installation.reader import parse
from weldbend.installation.values import duration_between, float_between, integer_between
from weldbend.testbed.faults.plan import InvalidPlanError, chance, word

DOES = {  # what an event does, and the keys that it needs beside `at` and `who`
    "split": ("for",),  # the sides do not reach each other
    "one-way": ("for",),  # nothing passes from the first side to the others
    "flap": ("for", "every"),  # split and mended again and again
    "slow": ("for", "by"),  # what the first side sends comes so much later
    "lossy": ("for", "share"),  # that part of its datagrams is lost
    "double": ("for", "share"),  # that part of its datagrams comes twice
    "kill": ("for",),  # kill -9, and started again after that time
    "stop": ("for",),  # SIGSTOP, and SIGCONT after that time
    "restart": (),  # SIGTERM, and started again once it has ended
    "apart": ("by",),  # killed, and started again with its clock set so far back (or forward: `how`)
    "no-bus": ("for",),  # its event bus is out of reach
    "drain": (),  # the list says that a cache (`what`) drains
    "up": (),  # the list says that it is in service, started just now
    "purge": (),  # of the group `what`
}
SIDES = ("split", "one-way", "flap")
OF_THE_SITE = ("drain", "up", "purge")
MOST = 64  # fronts


@dataclass(frozen=True, slots=True)
class FleetAction:
    """Times in seconds. `sides` are fronts by number."""

    name: str
    at: float
    do: str
    sides: tuple[tuple[int, ...], ...] = ()
    lasts: float = 0.0
    by: float = 0.0
    share: float = 0.0
    every: float = 1.0
    how: str = "back"
    what: str = ""

    @property
    def who(self) -> tuple[int, ...]:
        return self.sides[0]


@dataclass(frozen=True, slots=True)
class FleetPlan:
    fronts: int = 3
    seconds: float = 30.0
    calm: float = 15.0  # after the last event has ended, at least: all must agree by then
    rate: float = 10.0
    zones: tuple[str, ...] = ()
    fleet_actions: tuple[FleetAction, ...] = field(default=())


def names(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


FLEET: dict[str, tuple[str, Callable[[str], Any]]] = {
    "fronts": ("fronts", integer_between(1, MOST)),
    "seconds": ("seconds", float_between(1, 3600)),
    "calm": ("calm", duration_between(1.0, 600.0)),
    "rate": ("rate", float_between(0, 2000)),
    "zones": ("zones", names),
}
KEYS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "at": ("at", duration_between(0.0, 3600.0)),
    "do": ("do", word(*DOES)),
    "who": ("who", str),
    "for": ("lasts", duration_between(0.0, 3600.0)),
    "by": ("by", duration_between(0.001, 3600.0)),
    "share": ("share", chance),
    "every": ("every", duration_between(0.05, 600.0)),
    "how": ("how", word("back", "forward")),
    "what": ("what", str),
}


def read_plan(path: str) -> FleetPlan:
    """A plan from its file; raises BadPlan, one line."""
    try:
        return plan(parse(path), path)
    except InstallationError as wrong:
        raise InvalidPlanError(str(wrong)) from None


def plan(held: Mapping[str, Any], path: str = "plan") -> FleetPlan:
    """A plan from its sections; raises BadPlan for the first thing wrong."""
    for name, said in held.items():
        if not isinstance(said, Mapping):
            raise InvalidPlanError(f"{path}: key '{name}' stands before any section")
    made = FleetPlan(**values(held.get("fleet", {}), FLEET, f"{path}: [fleet]"))
    fleet_actions = [
        fleet_action(n, said, made.fronts, f"{path}: [{n}]") for n, said in held.items() if n != "fleet"
    ]
    last = max((one.at + one.lasts for one in fleet_actions), default=0.0)
    return FleetPlan(
        made.fronts,
        max(made.seconds, last + made.calm),
        made.calm,
        made.rate,
        made.zones,
        tuple(fleet_actions),
    )


def values(
    said: Mapping[str, Any], keys: Mapping[str, tuple[str, Callable[[str], Any]]], at: str
) -> dict[str, Any]:
    found = {}
    for key, text in said.items():
        if key not in keys:
            raise InvalidPlanError(f"{at} unknown key '{key}'; known: {', '.join(keys)}")
        field_, check = keys[key]
        try:
            found[field_] = check(str(text).strip())
        except InvalidValueError as wrong:
            raise InvalidPlanError(f"{at} {key}: {wrong}") from None
    return found


def fleet_action(name: str, said: Mapping[str, Any], fronts: int, at: str) -> FleetAction:
    found = values(said, KEYS, at)
    if "do" not in found:
        raise InvalidPlanError(f"{at} lacks 'do'")
    for key in DOES[found["do"]]:
        if key not in said:
            raise InvalidPlanError(f"{at} {found['do']} lacks '{key}'")
    who = found.pop("who", "")
    if found["do"] in OF_THE_SITE:
        if who or not found.get("what"):
            raise InvalidPlanError(f"{at} {found['do']} is of the site: it has 'what', and no 'who'")
    else:
        found["sides"] = sides(who, fronts, found["do"] in SIDES, at)
    found.setdefault("at", 0.0)
    return FleetAction(name, **found)


def sides(text: str, fronts: int, parted: bool, at: str) -> tuple[tuple[int, ...], ...]:
    known = {f"n{n}": n for n in range(1, fronts + 1)}
    found: list[tuple[int, ...]] = []
    for part in text.split("|"):
        said = part.split()
        if said == ["all"]:
            said = list(known)
        if strange := [one for one in said if one not in known]:
            raise InvalidPlanError(f"{at} who: {strange[0]!r:.20} is none of n1 to n{fronts}")
        found.append(tuple(known[one] for one in said))
    if not all(found):
        raise InvalidPlanError(f"{at} lacks 'who'")
    if len({n for side in found for n in side}) < sum(map(len, found)):
        raise InvalidPlanError(f"{at} who: a front on two sides")
    if len(found) > 1 and not parted:
        raise InvalidPlanError(f"{at} who: this event has no sides")
    if parted and len(found) == 1:
        rest = tuple(n for n in known.values() if n not in found[0])
        if not rest:
            raise InvalidPlanError(f"{at} who: nobody is on the other side")
        found.append(rest)
    return tuple(found)
