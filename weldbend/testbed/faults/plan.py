"""Plans of faults: an INI file, a section a fault, checked completely on load. No I/O but the file itself.

    [answers stop in the middle]
    kind = cut
    how = reset
    direction = back
    message = 3
    inside = 20

A fault is injected where all its triggers hold: `after` (time since the connection came up), `byte`,
`message` (from 1, in its direction), `connection` (from 1), `field` (`name=value` of the message, value may
be `*`), `chance` (drawn by seed for each chance it has). `times` bounds how often it is injected in all.
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

UNBOUNDED = 1_000_000_000  # a count that no run reaches
MAX_DURATION = 3600.0  # seconds; the longest time that a key states
MAX_CORRUPTED = 1 << 20  # bytes
FIELD_PATTERN = re.compile(r"([\w.]{1,40})\s*=\s*(.{0,200})")

__all__ = ["Direction", "Fault", "FaultKind", "InvalidPlanError", "Plan", "parse_plan", "read_plan"]


class FaultKind(Enum):
    """What a fault does."""

    DELAY = "delay"  # what comes is handed on later: `for`, `jitter` drawn on top, `growth` more each time
    THROTTLE = "throttle"  # from here on at most `rate` bytes a second
    STALL = "stall"  # nothing for `for`, then what had gathered
    HANG = "hang"  # nothing ever more in this direction, the connection stays open
    CUT = "cut"  # the connection ends for both sides: `how` is reset or close
    HALF_CLOSE = "half-close"  # this direction is shut down, the other goes on
    DROP = "drop"  # the message is left out
    DUPLICATE = "duplicate"  # the message comes twice
    REORDER = "reorder"  # the message changes place with the next
    CORRUPT = "corrupt"  # `bytes` bytes are flipped, from `inside` on
    REWRITE = "rewrite"  # a field is set (`to`), or left out where `to` is absent: it still parses


MESSAGE_KINDS = (
    FaultKind.DROP,
    FaultKind.DUPLICATE,
    FaultKind.REORDER,
    FaultKind.REWRITE,
)  # those that need message boundaries


class Direction(Enum):
    """Seen from who connected: `there` to the server, `back` from it."""

    TO_SERVER = "there"
    TO_CLIENT = "back"


@dataclass(frozen=True, slots=True)
class Fault:
    """Times in seconds, places in bytes; zero or None where a trigger is not given."""

    name: str
    kind: FaultKind
    direction: Direction = Direction.TO_CLIENT
    after: float = 0.0
    byte: int | None = None  # of the stream, from 0: injected with the first byte there
    message: int = 0
    connection: int = 0
    field: tuple[str, str] | None = None
    chance: float = 1.0
    times: int = UNBOUNDED
    duration: float = 0.0
    jitter: float = 0.0
    growth: float = 0.0
    rate: int = 0  # bytes a second
    how: str = "reset"
    inside: int | None = None  # bytes of the message that still pass, or where corruption begins
    bytes: int = 1
    set_field: str = ""
    to: str | None = None

    def requires_messages(self) -> bool:
        """Whether it can be injected only where the stream is cut into messages."""
        return bool(self.kind in MESSAGE_KINDS or self.message or self.field)


@dataclass(frozen=True, slots=True)
class Plan:
    """Faults, and how streams are cut into messages: one of FRAMINGS."""

    framing: str
    faults: tuple[Fault, ...]


FRAMINGS = {  # how each direction is cut, there and back
    "thrift": ("thrift", "thrift"),
    "lines": ("commands", "answers"),
    "sse": ("raw", "sse"),
    "raw": ("raw", "raw"),
}


class InvalidFieldError(InvalidValueError):
    """A value that is no `name=value`."""

    def __init__(self, text: str) -> None:
        self.text = text
        super().__init__(f"{text!r:.40} is no 'name=value'")


def name_and_value(text: str) -> tuple[str, str]:
    """A check of texts such as `seqid=3`."""
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
KINDS_OF_KEY = {  # for keys that only some kinds have
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
    """A plan from its file; raises InvalidPlanError."""
    try:
        sections = parse(path)
    except InstallationError as error:
        raise InvalidPlanError("", str(error)) from None
    return parse_plan(sections, framing, path)


def parse_plan(sections: Section, framing: str, path: str = "plan") -> Plan:
    """A plan from its sections; raises InvalidPlanError for the first thing wrong."""
    if framing not in FRAMINGS:
        raise InvalidPlanError("", f"framing {framing!r:.20} is none of {', '.join(FRAMINGS)}")
    faults = []
    for name, section in sections.items():
        if not isinstance(section, Mapping):
            raise InvalidPlanError(f"{path}:", f"key '{name}' stands before any fault")
        location = f"{path}: [{name}]"
        fault = parse_fault(name, section, location)
        if FRAMINGS[framing][fault.direction is Direction.TO_CLIENT] == "raw" and fault.requires_messages():
            raise InvalidPlanError(location, f"needs messages, but {fault.direction.value} is raw bytes")
        faults.append(fault)
    if not faults:
        raise InvalidPlanError(f"{path}:", "no fault")
    return Plan(framing, tuple(faults))


def parse_fault(name: str, section: Section, location: str) -> Fault:
    """A fault from its section; raises InvalidPlanError for the first thing wrong."""
    if "kind" not in section:
        raise InvalidPlanError(location, "lacks 'kind'")
    fault = Fault(name, **read_values(section, KEYS, location))
    for key in section:
        if key in KINDS_OF_KEY and fault.kind not in KINDS_OF_KEY[key]:
            raise InvalidPlanError(location, f"means nothing for {fault.kind.value}", key)
    for key in REQUIRED_KEYS.get(fault.kind, ()):
        if key not in section:
            raise InvalidPlanError(location, f"{fault.kind.value} lacks '{key}'")
    if fault.kind is FaultKind.DELAY and not (fault.duration or fault.jitter or fault.growth):
        raise InvalidPlanError(location, "delay lacks 'for', 'jitter' or 'growth'")
    if fault.byte is not None and (fault.message or fault.field):
        raise InvalidPlanError(location, "byte and message or field exclude each other")
    return fault
