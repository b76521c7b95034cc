"""Plans of events in a fleet: INI files that are validated on load. The only I/O is reading the file.

    [fleet]
    fronts = 5
    seconds = 40
    rate = 20

    [a split]
    at = 5 s
    do = split
    who = n1 n2 | n3 n4 n5
    for = 8 s

Each further section describes one event. `who` lists fronts, or is `all`; for events with sides, `|`
separates the sides. The same plan can be played with real processes and with simulated fronts.
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
MAX_DURATION = 3600.0  # seconds; upper bound of most durations in a plan

Side = tuple[int, ...]  # numbers of the fronts on one side

__all__ = ["Action", "FleetEvent", "FleetPlan", "InvalidPlanError", "parse_event", "parse_plan", "read_plan"]


class Action(StrEnum):
    """Action of an event: the values of the key `do`."""

    SPLIT = "split"  # blocks all messages between the sides
    ONE_WAY = "one-way"  # blocks all messages from the first side to the others
    FLAP = "flap"  # alternates between a split and an intact network
    SLOW = "slow"  # delays messages from these fronts by the time `by`
    LOSSY = "lossy"  # drops the fraction `share` of the datagrams from these fronts
    DOUBLE = "double"  # duplicates the fraction `share` of the datagrams from these fronts
    KILL = "kill"  # kills the fronts by SIGKILL, and starts them after the time `for`
    STOP = "stop"  # suspends the fronts by SIGSTOP, and sends SIGCONT after the time `for`
    RESTART = "restart"  # ends the fronts by SIGTERM, and starts them once they have ended
    APART = "apart"  # kills the fronts, and starts them with clocks that are off by the time `by` (see `how`)
    NO_BUS = "no-bus"  # makes the event bus unreachable for these fronts
    DRAIN = "drain"  # sets the cache `what` to draining in the endpoint list
    UP = "up"  # sets the cache `what` to up in the endpoint list, started at this moment
    PURGE = "purge"  # purges the group `what`


REQUIRED_KEYS: dict[Action, tuple[str, ...]] = {  # in addition to `at` and `who`
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
GROUP_NUMBER = re.compile("[0-9]{1,3}")  # format of the number of a group


@dataclass(frozen=True, slots=True)
class FleetEvent:
    """One event of a plan. Times are in seconds."""

    name: str
    at: float
    do: str
    sides: tuple[Side, ...] = ()
    duration: float = 0.0
    by: float = 0.0  # seconds of delay, or of a change of the clock
    fraction: float = 0.0  # fraction of datagrams that is lost or duplicated
    every: float = 1.0  # length of each phase of a flap
    how: str = "back"  # direction of a change of the clock: back or forward
    what: str = ""  # uid of a cache, or number of a group

    @property
    def fronts(self) -> Side:
        """Fronts of an event without sides."""
        return self.sides[0]

    def check_cache(self, uids: Collection[str], location: str) -> None:
        """Check that the cache of this event, if it has one, is a cache of the site.

        Raises:
            InvalidPlanError: The site does not have this cache.
        """
        if self.do in CACHE_ACTIONS and self.what not in uids:
            raise InvalidPlanError(location, f"{self.what!r:.20} is none of {', '.join(uids)}", "what")


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size of a fleet, its load, and its events. Times are in seconds."""

    fronts: int = 3
    seconds: float = 30.0
    calm: float = 15.0  # minimum time after the end of the last event, in which all fronts have to converge
    rate: float = 10.0  # requests per second
    zones: tuple[str, ...] = ()
    events: tuple[FleetEvent, ...] = ()

    def check_caches(self, uids: Collection[str], path: str) -> None:
        """Check that the caches of all events are caches of the site; `path` is the file of the plan.

        Raises:
            InvalidPlanError: The site does not have a cache of an event.
        """
        for event in self.events:
            event.check_cache(uids, f"{path}: [{event.name}]")


def parse_names(text: str) -> tuple[str, ...]:
    """Split a comma-separated list of names."""
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
    """Read a plan from a file; raises InvalidPlanError."""
    try:
        sections = parse(path)
    except InstallationError as error:
        raise InvalidPlanError("", str(error)) from None
    return parse_plan(sections, path)


def parse_plan(sections: Section, path: str = "plan") -> FleetPlan:
    """Build a plan from the sections of its file; raises InvalidPlanError for the first error."""
    for name, section in sections.items():
        if not isinstance(section, Mapping):
            raise InvalidPlanError(f"{path}:", f"key '{name}' precedes the first section")
    plan = FleetPlan(**read_values(sections.get("fleet", {}), FLEET_KEYS, f"{path}: [fleet]"))
    events = tuple(
        parse_event(name, section, plan.fronts, f"{path}: [{name}]")
        for name, section in sections.items()
        if name != "fleet"
    )
    last = max((event.at + event.duration for event in events), default=0.0)
    return replace(plan, seconds=max(plan.seconds, last + plan.calm), events=events)


def parse_event(name: str, section: Section, fronts: int, location: str) -> FleetEvent:
    """Build an event from its section; raises InvalidPlanError for the first error."""
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
            raise InvalidPlanError(
                location, f"{do} is of the site, not of fronts: it needs 'what' and takes no 'who'"
            )
        if do == Action.PURGE and not GROUP_NUMBER.fullmatch(values["what"]):
            raise InvalidPlanError(location, f"{values['what']!r:.20} is no group from 0 to 999", "what")
    else:
        values["sides"] = parse_sides(who, fronts, do in PARTITION_ACTIONS, location)
    values.setdefault("at", 0.0)
    return FleetEvent(name, **values)


def parse_sides(text: str, fronts: int, has_sides: bool, location: str) -> tuple[Side, ...]:
    """Parse the sides of an event; if only one is given, all other fronts form the second.

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
    """Parse a list of fronts, or `all`; raises InvalidPlanError."""
    named = text.split()
    if named == ["all"]:
        named = list(known)
    for name in named:
        if name not in known:
            raise InvalidPlanError(location, f"{name!r:.20} is none of n1 to n{len(known)}", "who")
    return tuple(known[name] for name in named)
