"""Plans of faults: an INI file, a section a fault, checked as a whole on load. No I/O but the file itself.

    [answers stop in the middle]
    kind = cut
    how = reset
    direction = back
    message = 3
    inside = 20

A fault strikes where all its triggers hold: `after` (time since the connection came up), `byte`, `message`
(from 1, in its direction), `connection` (from 1), `field` (`name=value` of the message, value may be `*`),
`chance` (drawn by seed for each chance it has). `times` bounds how often it strikes in all.
"""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldbend.installation.errors import InstallationError, InvalidValueError
from weldbend.installation.reader import parse
from weldbend.installation.values import duration_between, integer_between

MANY = 1_000_000_000
FIELD = re.compile(r"([\w.]{1,40})\s*=\s*(.{0,200})")


class Kind(Enum):
    """What a fault does."""

    DELAY = "delay"  # what comes is handed on later: `for`, `jitter` drawn on top, `growth` more each time
    THROTTLE = "throttle"  # from here on at most `rate` bytes a second
    STALL = "stall"  # nothing for `for`, then what had gathered
    HANG = "hang"  # nothing ever more in this direction, the connection stays open
    CUT = "cut"  # the connection ends for both sides: `how` is reset or close
    HALF_CLOSE = "half-close"  # the receiver is told that nothing more comes, the other direction goes on
    DROP = "drop"  # the message is left out
    DUPLICATE = "duplicate"  # the message comes twice
    REORDER = "reorder"  # the message changes place with the next
    CORRUPT = "corrupt"  # `bytes` bytes are flipped, from `inside` on
    REWRITE = "rewrite"  # a field is set (`to`), or left out where `to` is absent: it still parses


WHOLE_MESSAGES = (Kind.DROP, Kind.DUPLICATE, Kind.REORDER, Kind.REWRITE)


class Direction(Enum):
    """Seen from who connected: `there` to the server, `back` from it."""

    THERE = "there"
    BACK = "back"


class InvalidPlanError(Exception):
    """A plan that cannot be played; its text is one line with the fault's name and the key."""


@dataclass(frozen=True, slots=True)
class Fault:
    """Times in seconds, places in bytes; zero or none where a trigger is not given."""

    name: str
    kind: Kind
    direction: Direction = Direction.BACK
    after: float = 0.0
    byte: int | None = None  # of the stream, from 0: strikes with the first byte there
    message: int = 0
    connection: int = 0
    field: tuple[str, str] | None = None
    chance: float = 1.0
    times: int = MANY
    lasts: float = 0.0
    jitter: float = 0.0
    growth: float = 0.0
    rate: int = 0
    how: str = "reset"
    inside: int | None = None  # bytes of the message that still pass, or where corruption begins
    bytes: int = 1
    set_field: str = ""
    to: str | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    framing: str  # thrift, commands, answers, sse or raw, for each direction as `there/back`
    faults: tuple[Fault, ...]


FRAMINGS = {
    "thrift": ("thrift", "thrift"),
    "lines": ("commands", "answers"),
    "sse": ("raw", "sse"),
    "raw": ("raw", "raw"),
}


def one_of(kind: type[Enum]) -> Callable[[str], Enum]:
    def check(text: str) -> Enum:
        try:
            return kind(text)
        except ValueError:
            raise InvalidValueError(
                f"{text!r:.40} is none of {', '.join(str(k.value) for k in kind)}"
            ) from None

    return check


def word(*words: str) -> Callable[[str], str]:
    def check(text: str) -> str:
        if text not in words:
            raise InvalidValueError(f"{text!r:.40} is none of {', '.join(words)}")
        return text

    return check


def chance(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise InvalidValueError(f"{text!r:.40} is no number") from None
    if not 0 < value <= 1:
        raise InvalidValueError(f"{text} is not above 0 and at most 1")
    return value


def pair(text: str) -> tuple[str, str]:
    if not (found := FIELD.fullmatch(text)):
        raise InvalidValueError(f"{text!r:.40} is no 'name=value'")
    return found[1], found[2]


KEYS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "kind": ("kind", one_of(Kind)),
    "direction": ("direction", one_of(Direction)),
    "after": ("after", duration_between(0.0, 3600.0)),
    "byte": ("byte", integer_between(0, MANY)),
    "message": ("message", integer_between(1, MANY)),
    "connection": ("connection", integer_between(1, MANY)),
    "field": ("field", pair),
    "chance": ("chance", chance),
    "times": ("times", integer_between(1, MANY)),
    "for": ("lasts", duration_between(0.0, 3600.0)),
    "jitter": ("jitter", duration_between(0.0, 3600.0)),
    "growth": ("growth", duration_between(0.0, 60.0)),
    "rate": ("rate", integer_between(1, MANY)),
    "how": ("how", word("reset", "close")),
    "inside": ("inside", integer_between(0, MANY)),
    "bytes": ("bytes", integer_between(1, 1 << 20)),
    "set": ("set_field", str),
    "to": ("to", str),
}
OWN = {  # keys that only some kinds heed
    "for": (Kind.DELAY, Kind.STALL),
    "jitter": (Kind.DELAY,),
    "growth": (Kind.DELAY,),
    "rate": (Kind.THROTTLE,),
    "how": (Kind.CUT,),
    "inside": (Kind.CUT, Kind.HALF_CLOSE, Kind.HANG, Kind.STALL, Kind.CORRUPT),
    "bytes": (Kind.CORRUPT,),
    "set": (Kind.REWRITE,),
    "to": (Kind.REWRITE,),
}
NEEDS = {Kind.STALL: ("for",), Kind.THROTTLE: ("rate",), Kind.REWRITE: ("set",)}


def read_plan(path: str, framing: str) -> Plan:
    """A plan from its file; raises BadPlan."""
    try:
        held = parse(path)
    except InstallationError as wrong:
        raise InvalidPlanError(str(wrong)) from None
    return plan(held, framing, path)


def plan(held: Mapping[str, Any], framing: str, path: str = "plan") -> Plan:
    """A plan from its sections; raises BadPlan for the first thing wrong."""
    if framing not in FRAMINGS:
        raise InvalidPlanError(f"framing {framing!r:.20} is none of {', '.join(FRAMINGS)}")
    faults = []
    for name, said in held.items():
        if not isinstance(said, Mapping):
            raise InvalidPlanError(f"{path}: key '{name}' stands before any fault")
        faults.append(fault(name, said, path))
        way = FRAMINGS[framing][faults[-1].direction is Direction.BACK]
        if way == "raw" and needs_messages(faults[-1]):
            raise InvalidPlanError(
                f"{path}: [{name}] strikes at messages, but {faults[-1].direction.value} is raw bytes"
            )
    if not faults:
        raise InvalidPlanError(f"{path}: no fault")
    return Plan(framing, tuple(faults))


def needs_messages(fault: Fault) -> bool:
    return bool(fault.kind in WHOLE_MESSAGES or fault.message or fault.field)


def fault(name: str, said: Mapping[str, Any], path: str) -> Fault:
    if "kind" not in said:
        raise InvalidPlanError(f"{path}: [{name}] lacks 'kind'")
    values = {}
    for key, text in said.items():
        if key not in KEYS:
            raise InvalidPlanError(f"{path}: [{name}] unknown key '{key}'; known: {', '.join(KEYS)}")
        field, check = KEYS[key]
        try:
            values[field] = check(str(text).strip())
        except InvalidValueError as wrong:
            raise InvalidPlanError(f"{path}: [{name}] {key}: {wrong}") from None
    made = Fault(name, **values)
    for key in said:
        if key in OWN and made.kind not in OWN[key]:
            raise InvalidPlanError(f"{path}: [{name}] {key}: means nothing for {made.kind.value}")
    for key in NEEDS.get(made.kind, ()):
        if key not in said:
            raise InvalidPlanError(f"{path}: [{name}] {made.kind.value} lacks '{key}'")
    if made.kind is Kind.DELAY and not (made.lasts or made.jitter or made.growth):
        raise InvalidPlanError(f"{path}: [{name}] delay lacks 'for', 'jitter' or 'growth'")
    if made.byte is not None and (made.message or made.field):
        raise InvalidPlanError(f"{path}: [{name}] byte and message or field exclude each other")
    return made
