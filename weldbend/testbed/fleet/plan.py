"""Plans of what happens to a fleet: an INI file, checked completely on load. No I/O but the file itself.

    [fleet]
    fronts = 5
    seconds = 40
    rate = 20

    [a split]
    at = 5 s
    do = split
    who = n1 n2 | n3 n4 n5
    for = 8 s

One section an event; `who` names fronts, with `|` between them where an event has sides, or `all`. The same
plan is played by real processes and by simulated ones.
"""

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum

from weldbend.installation.errors import InstallationError
from weldbend.installation.reader import parse
from weldbend.installation.values import duration_between, float_between, integer_between
from weldbend.testbed.faults.plan_keys import (
    InvalidPlanError,
    KeyTable,
    Section,
    choice,
    fraction,
    read_values,
)

MAX_FRONTS = 64
MAX_DURATION = 3600.0  # seconds; the longest time that a key states

Side = tuple[int, ...]  # fronts by number

__all__ = ["Action", "FleetEvent", "FleetPlan", "InvalidPlanError", "parse_event", "parse_plan", "read_plan"]


class Action(StrEnum):
    """What an event does."""

    SPLIT = "split"  # the sides do not reach each other
    ONE_WAY = "one-way"  # nothing passes from the first side to the others
    FLAP = "flap"  # split and healed again and again
    SLOW = "slow"  # what the first side sends comes so much later
    LOSSY = "lossy"  # that fraction of its datagrams is lost
    DOUBLE = "double"  # that fraction of its datagrams comes twice
    KILL = "kill"  # kill -9, and started again after that time
    STOP = "stop"  # SIGSTOP, and SIGCONT after that time
    RESTART = "restart"  # SIGTERM, and started again once it has ended
    APART = "apart"  # killed, and started again with its clock set so far back (or forward: `how`)
    NO_BUS = "no-bus"  # its event bus is unreachable
    DRAIN = "drain"  # the endpoint list says that a cache (`what`) drains
    UP = "up"  # the endpoint list says that it is in service, started just now
    PURGE = "purge"  # of the group `what`


REQUIRED_KEYS: dict[Action, tuple[str, ...]] = {  # beside `at` and `who`
    Action.SPLIT: ("for",),
    Action.ONE_WAY: ("for",),
    Action.FLAP: ("for", "every"),
    Action.SLOW: ("for", "by"),
    Action.LOSSY: ("for", "share"),
    Action.DOUBLE: ("for", "share"),
    Action.KILL: ("for",),
    Action.STOP: ("for",),
    Action.APART: ("by",),
    Action.NO_BUS: ("for",),
}
PARTITION_ACTIONS = (Action.SPLIT, Action.ONE_WAY, Action.FLAP)
CACHE_ACTIONS = (Action.DRAIN, Action.UP)
SITE_ACTIONS = (*CACHE_ACTIONS, Action.PURGE)
GROUP_NUMBER = re.compile("[0-9]{1,3}")  # the number of a group


@dataclass(frozen=True, slots=True)
class FleetEvent:
    """One event of a plan. Times in seconds."""

    name: str
    at: float
    do: str
    sides: tuple[Side, ...] = ()
    duration: float = 0.0
    by: float = 0.0  # seconds of delay, or by which a clock is set
    fraction: float = 0.0  # of the datagrams
    every: float = 1.0
    how: str = "back"
    what: str = ""  # the uid of a cache, or the number of a group

    @property
    def fronts(self) -> Side:
        """The fronts of an event that has no sides."""
        return self.sides[0]

    def check_cache(self, uids: Collection[str], location: str) -> None:
        """Check that the cache that it names, if it does, is among those of a site.

        Raises:
            InvalidPlanError: It is not.
        """
        if self.do in CACHE_ACTIONS and self.what not in uids:
            raise InvalidPlanError(location, f"{self.what!r:.20} is none of {', '.join(uids)}", "what")


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The size of a fleet, its load, and its events. Times in seconds."""

    fronts: int = 3
    seconds: float = 30.0
    calm: float = 15.0  # after the last event has ended, at least: all must agree by then
    rate: float = 10.0  # requests a second
    zones: tuple[str, ...] = ()
    events: tuple[FleetEvent, ...] = ()

    def check_caches(self, uids: Collection[str], path: str) -> None:
        """Check that all caches that events name are among those of a site; `path` is the plan's file.

        Raises:
            InvalidPlanError: One is not.
        """
        for event in self.events:
            event.check_cache(uids, f"{path}: [{event.name}]")


def parse_names(text: str) -> tuple[str, ...]:
    """Names between commas."""
    return tuple(name.strip() for name in text.split(",") if name.strip())


FLEET_KEYS: KeyTable = {
    "fronts": ("fronts", integer_between(1, MAX_FRONTS)),
    "seconds": ("seconds", float_between(1, 3600)),
    "calm": ("calm", duration_between(1.0, 600.0)),
    "rate": ("rate", float_between(0, 2000)),
    "zones": ("zones", parse_names),
}
EVENT_KEYS: KeyTable = {
    "at": ("at", duration_between(0.0, MAX_DURATION)),
    "do": ("do", choice(*Action)),
    "who": ("who", str),
    "for": ("duration", duration_between(0.0, MAX_DURATION)),
    "by": ("by", duration_between(0.001, MAX_DURATION)),
    "share": ("fraction", fraction),
    "every": ("every", duration_between(0.05, 600.0)),
    "how": ("how", choice("back", "forward")),
    "what": ("what", str),
}


def read_plan(path: str) -> FleetPlan:
    """A plan from its file; raises InvalidPlanError."""
    try:
        sections = parse(path)
    except InstallationError as error:
        raise InvalidPlanError("", str(error)) from None
    return parse_plan(sections, path)


def parse_plan(sections: Section, path: str = "plan") -> FleetPlan:
    """A plan from its sections; raises InvalidPlanError for the first thing wrong."""
    for name, section in sections.items():
        if not isinstance(section, Mapping):
            raise InvalidPlanError(f"{path}:", f"key '{name}' stands before any section")
    plan = FleetPlan(**read_values(sections.get("fleet", {}), FLEET_KEYS, f"{path}: [fleet]"))
    events = tuple(
        parse_event(name, section, plan.fronts, f"{path}: [{name}]")
        for name, section in sections.items()
        if name != "fleet"
    )
    last = max((event.at + event.duration for event in events), default=0.0)
    return replace(plan, seconds=max(plan.seconds, last + plan.calm), events=events)


def parse_event(name: str, section: Section, fronts: int, location: str) -> FleetEvent:
    """An event from its section; raises InvalidPlanError for the first thing wrong."""
    values = read_values(section, EVENT_KEYS, location)
    do = values.get("do")
    if do is None:
        raise InvalidPlanError(location, "lacks 'do'")
    for key in REQUIRED_KEYS.get(do, ()):
        if key not in section:
            raise InvalidPlanError(location, f"{do} lacks '{key}'")
    who = values.pop("who", "")
    if do in SITE_ACTIONS:
        if who or not values.get("what"):
            raise InvalidPlanError(location, f"{do} is of the site: it has 'what', and no 'who'")
        if do == Action.PURGE and not GROUP_NUMBER.fullmatch(values["what"]):
            raise InvalidPlanError(location, f"{values['what']!r:.20} is no group from 0 to 999", "what")
    else:
        values["sides"] = parse_sides(who, fronts, do in PARTITION_ACTIONS, location)
    values.setdefault("at", 0.0)
    return FleetEvent(name, **values)


def parse_sides(text: str, fronts: int, has_sides: bool, location: str) -> tuple[Side, ...]:
    """The sides of an event; where only one is named, all other fronts are the second.

    Raises InvalidPlanError.
    """
    known = {f"n{number}": number for number in range(1, fronts + 1)}
    sides = [parse_side(side, known, location) for side in text.split("|")]
    if not all(sides):
        raise InvalidPlanError(location, "lacks 'who'")
    if len({number for side in sides for number in side}) < sum(map(len, sides)):
        raise InvalidPlanError(location, "a front on two sides", "who")
    if len(sides) > 1 and not has_sides:
        raise InvalidPlanError(location, "this event has no sides", "who")
    if has_sides and len(sides) == 1:
        rest = tuple(number for number in known.values() if number not in sides[0])
        if not rest:
            raise InvalidPlanError(location, "nobody is on the other side", "who")
        sides.append(rest)
    return tuple(sides)


def parse_side(text: str, known: dict[str, int], location: str) -> Side:
    """The fronts that are named, or `all`; raises InvalidPlanError."""
    named = text.split()
    if named == ["all"]:
        named = list(known)
    for name in named:
        if name not in known:
            raise InvalidPlanError(location, f"{name!r:.20} is none of n1 to n{len(known)}", "who")
    return tuple(known[name] for name in named)
