"""Fault plans: INI files with one section per fault, validated on load. No I/O apart from reading the file.

    [answers stop in the middle]
    kind = cut
    how = reset
    direction = back
    message = 3
    inside = 20

A fault is injected when all its triggers match: `after` (time since the connection was established), `byte`
(position in the stream), `message` (from 1, in its direction), `connection` (from 1), `field` (`name=value`
of the message, the value may be `*`), `chance` (probability, drawn from the seed each time the other triggers
match). `times` limits the total number of injections.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from weldbend.installation.errors import InstallationError, InvalidValueError
from weldbend.installation.reader import parse
from weldbend.installation.values import duration_between, integer_between
from weldbend.testbed.faults.plan_keys import (
    InvalidPlanError,
    KeyTable,
    Section,
    choice,
    fraction,
    one_of,
    read_values,
)

UNBOUNDED = 1_000_000_000  # larger than any count that occurs in a run
MAX_DURATION = 3600.0  # seconds; upper bound of times in a plan
MAX_CORRUPTED = 1 << 20  # bytes; upper bound of the key `bytes`
FIELD_PATTERN = re.compile(r"([\w.]{1,40})\s*=\s*(.{0,200})")

__all__ = ["Direction", "Fault", "FaultKind", "InvalidPlanError", "Plan", "parse_plan", "read_plan"]


class FaultKind(Enum):
    """Kinds of faults."""

    DELAY = "delay"  # forward later: by `for`, plus a random part of `jitter`, plus `growth` more each time
    THROTTLE = "throttle"  # forward at most `rate` bytes per second from here on
    STALL = "stall"  # forward nothing for the time `for`, then everything that has arrived
    HANG = "hang"  # forward nothing more in this direction; the connection stays open
    CUT = "cut"  # end the connection on both sides: `how` is reset or close
    HALF_CLOSE = "half-close"  # end this direction; the other one stays open
    DROP = "drop"  # drop the message
    DUPLICATE = "duplicate"  # send the message twice
    REORDER = "reorder"  # swap the message with the next one
    CORRUPT = "corrupt"  # flip bits in `bytes` bytes, from `inside` on
    REWRITE = "rewrite"  # set a field to `to`, or remove it without `to`; the message stays valid


MESSAGE_KINDS = (
    FaultKind.DROP,
    FaultKind.DUPLICATE,
    FaultKind.REORDER,
    FaultKind.REWRITE,
)  # kinds that require message boundaries


class Direction(Enum):
    """Directions of a connection: `there` from client to server, `back` from server to client."""

    TO_SERVER = "there"
    TO_CLIENT = "back"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan. Times are in seconds, positions in bytes; an absent trigger is zero or None."""

    name: str
    kind: FaultKind
    direction: Direction = Direction.TO_CLIENT
    after: float = 0.0
    byte: int | None = None  # position in the stream, from 0
    message: int = 0
    connection: int = 0
    field: tuple[str, str] | None = None
    chance: float = 1.0
    times: int = UNBOUNDED
    duration: float = 0.0
    jitter: float = 0.0
    growth: float = 0.0
    rate: int = 0  # bytes per second
    how: str = "reset"
    inside: int | None = None  # bytes of the message that are still forwarded, or where corruption begins
    bytes: int = 1
    set_field: str = ""
    to: str | None = None

    def requires_messages(self) -> bool:
        """Return whether the fault requires a stream that is split into messages."""
        return bool(self.kind in MESSAGE_KINDS or self.message or self.field)


@dataclass(frozen=True, slots=True)
class Plan:
    """A fault plan: its faults, and how streams are split into messages (a key of FRAMINGS)."""

    framing: str
    faults: tuple[Fault, ...]


FRAMINGS = {  # framing of each direction: to the server, to the client
    "thrift": ("thrift", "thrift"),
    "lines": ("commands", "answers"),
    "sse": ("raw", "sse"),
    "raw": ("raw", "raw"),
}


class InvalidFieldError(InvalidValueError):
    """Raised for a value that is not of the form `name=value`."""

    def __init__(self, text: str) -> None:
        self.text = text
        super().__init__(f"{text!r:.40} is not of the form 'name=value'")


def name_and_value(text: str) -> tuple[str, str]:
    """Split text such as `seqid=3` into name and value; raises InvalidFieldError."""
    if not (match := FIELD_PATTERN.fullmatch(text)):
        raise InvalidFieldError(text)
    return match[1], match[2]


KEYS: KeyTable = {
    "kind": ("kind", one_of(FaultKind)),
    "direction": ("direction", one_of(Direction)),
    "after": ("after", duration_between(0.0, MAX_DURATION)),
    "byte": ("byte", integer_between(0, UNBOUNDED)),
    "message": ("message", integer_between(1, UNBOUNDED)),
    "connection": ("connection", integer_between(1, UNBOUNDED)),
    "field": ("field", name_and_value),
    "chance": ("chance", fraction),
    "times": ("times", integer_between(1, UNBOUNDED)),
    "for": ("duration", duration_between(0.0, MAX_DURATION)),
    "jitter": ("jitter", duration_between(0.0, MAX_DURATION)),
    "growth": ("growth", duration_between(0.0, 60.0)),
    "rate": ("rate", integer_between(1, UNBOUNDED)),
    "how": ("how", choice("reset", "close")),
    "inside": ("inside", integer_between(0, UNBOUNDED)),
    "bytes": ("bytes", integer_between(1, MAX_CORRUPTED)),
    "set": ("set_field", str),
    "to": ("to", str),
}
KINDS_OF_KEY = {  # kinds of faults that a key applies to; other keys apply to all
    "for": (FaultKind.DELAY, FaultKind.STALL),
    "jitter": (FaultKind.DELAY,),
    "growth": (FaultKind.DELAY,),
    "rate": (FaultKind.THROTTLE,),
    "how": (FaultKind.CUT,),
    "inside": (FaultKind.CUT, FaultKind.HALF_CLOSE, FaultKind.HANG, FaultKind.STALL, FaultKind.CORRUPT),
    "bytes": (FaultKind.CORRUPT,),
    "set": (FaultKind.REWRITE,),
    "to": (FaultKind.REWRITE,),
}
REQUIRED_KEYS = {FaultKind.STALL: ("for",), FaultKind.THROTTLE: ("rate",), FaultKind.REWRITE: ("set",)}


def read_plan(path: str, framing: str) -> Plan:
    """Read a plan from a file; raises InvalidPlanError."""
    try:
        sections = parse(path)
    except InstallationError as error:
        raise InvalidPlanError("", str(error)) from None
    return parse_plan(sections, framing, path)


def parse_plan(sections: Section, framing: str, path: str = "plan") -> Plan:
    """Parse a plan from its sections; raises InvalidPlanError for the first problem."""
    if framing not in FRAMINGS:
        raise InvalidPlanError("", f"framing {framing!r:.20} is none of {', '.join(FRAMINGS)}")
    faults = []
    for name, section in sections.items():
        if not isinstance(section, Mapping):
            raise InvalidPlanError(f"{path}:", f"key '{name}' is outside of a section")
        location = f"{path}: [{name}]"
        fault = parse_fault(name, section, location)
        if FRAMINGS[framing][fault.direction is Direction.TO_CLIENT] == "raw" and fault.requires_messages():
            raise InvalidPlanError(
                location, f"requires messages, but direction {fault.direction.value} is raw bytes"
            )
        faults.append(fault)
    if not faults:
        raise InvalidPlanError(f"{path}:", "plan has no faults")
    return Plan(framing, tuple(faults))


def parse_fault(name: str, section: Section, location: str) -> Fault:
    """Parse a fault from its section; raises InvalidPlanError for the first problem."""
    if "kind" not in section:
        raise InvalidPlanError(location, "lacks 'kind'")
    fault = Fault(name, **read_values(section, KEYS, location))
    for key in section:
        if key in KINDS_OF_KEY and fault.kind not in KINDS_OF_KEY[key]:
            raise InvalidPlanError(location, f"does not apply to {fault.kind.value}", key)
    for key in REQUIRED_KEYS.get(fault.kind, ()):
        if key not in section:
            raise InvalidPlanError(location, f"{fault.kind.value} lacks '{key}'")
    if fault.kind is FaultKind.DELAY and not (fault.duration or fault.jitter or fault.growth):
        raise InvalidPlanError(location, "delay lacks 'for', 'jitter' or 'growth'")
    if fault.byte is not None and (fault.message or fault.field):
        raise InvalidPlanError(location, "byte cannot be combined with message or field")
    return fault
