"""Kinds of replicated items: how each is checked and merged, and how long it counts. No I/O.

The merge of each kind is commutative, associative and idempotent, so that changes may come in any order,
twice, or by any path, and all that received the same hold the same (state-based replicated data, Shapiro and
others 2011). It keeps the stricter of two values: what comes from a peer can make a front stricter at once,
and loosens nothing that a rule of the front asks.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass

Value = tuple[int | float | str, ...]
FieldCheck = Callable[[object], bool]

# Names of the kinds, as they are sent and stored.
PURGE = "purge"
DRAIN = "drain"
START = "start"
FIRST_ATTEMPT = "keyed"
HEALTH_REPORT = "evidence"
POPULARITY = "popular"
DEMAND = "need"
CLIENT_RATE = "heavy"
CLIENT_BAN = "cast"
CACHE_BREAK = "broke"
MEMBERS = "names"
BUS_POSITION = "bus"
SETTING = "setting"

MAX_INTEGER = 1 << 53  # exact in a float as well
MAX_NUMBER = 1e12
ALL_CACHES = ""  # the group in which an idempotency key holds at all caches
NO_CACHE = "!"  # the group in which it holds at none
GROUP_PATTERN = re.compile(r"|!|z:[\w.:-]{1,48}|c:[0-9]{1,9}", re.ASCII)
PURGE_KEY_PATTERN = re.compile(r"k:[\w.-]{1,64}|g:[0-9]{1,3}", re.ASCII)
REMOVED = 2  # the last of the states that a `drain` item may have


@dataclass(frozen=True, slots=True)
class ItemKind:
    """How a kind of item is checked and merged, and for how long it counts.

    Attributes:
        is_valid: whether a writer may write a value under a key; called with key, value and writer.
        merge: of two values.
        lifetime: seconds since it was written.
        is_critical: whether a rule of the front rests on it: such changes are dropped last.
        has_writer_key: whether keys end in `|` and the writer, so that each writes items of its own.
        keeps_first: whether the first write dates the item, whatever it said; else the first of its value.
    """

    is_valid: Callable[[str, Value, str], bool]
    merge: Callable[[Value, Value], Value]
    lifetime: float
    is_critical: bool = True
    has_writer_key: bool = False
    keeps_first: bool = False


def is_integer(value: object, minimum: int = 0, maximum: int = MAX_INTEGER) -> bool:
    """Whether a value is an integer within bounds."""
    return isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum


def is_number(value: object) -> bool:
    """Whether a value is a number from 0 to `MAX_NUMBER`."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER


def is_group(value: object) -> bool:
    """Whether a value names a group of caches."""
    return isinstance(value, str) and GROUP_PATTERN.fullmatch(value) is not None


def is_text(value: object) -> bool:
    """Whether a value is a string."""
    return isinstance(value, str)


def is_list_state(value: object) -> bool:
    """Whether a value is the state of a cache in a list: 0 up, 1 draining, 2 removed."""
    return is_integer(value, 0, REMOVED)


def is_anything(value: object) -> bool:
    """Accept any value."""
    return True


def writer_of(key: str) -> str:
    """Return the writer that a key names."""
    return key.rpartition("|")[2]


def merge_first_attempts(one: Value, other: Value) -> Value:
    """Merge two first attempts of a request: in one group since the first, or in no group at all."""
    return one[0] if one[0] == other[0] else NO_CACHE, min(one[1], other[1])


def shared_kind(
    merge: Callable[[Value, Value], Value],
    lifetime: float,
    *fields: FieldCheck,
    keys: re.Pattern[str] | None = None,
    is_critical: bool = True,
    keeps_first: bool = False,
) -> ItemKind:
    """Return a kind of which all fronts write the same items, with a check for each field of a value."""

    def is_valid(key: str, value: Value, writer: str) -> bool:
        return has_fields(value, fields) and (keys is None or keys.fullmatch(key) is not None)

    return ItemKind(is_valid, merge, lifetime, is_critical, keeps_first=keeps_first)


def per_writer_kind(lifetime: float, is_critical: bool, *fields: FieldCheck) -> ItemKind:
    """Return a kind of which each writer's own latest value counts, with a check for each field."""

    def is_valid(key: str, value: Value, writer: str) -> bool:
        return has_fields(value, fields) and writer_of(key) == writer

    return ItemKind(is_valid, max, lifetime, is_critical, has_writer_key=True)


def has_fields(value: Value, checks: tuple[FieldCheck, ...]) -> bool:
    """Whether a value has just these fields."""
    return len(value) == len(checks) and all(check(item) for check, item in zip(checks, value, strict=True))


VERSION_FIELDS = (is_integer, is_integer)  # epoch of the writer, and its number of the value

ITEM_KINDS: dict[str, ItemKind] = {
    # object `k:KEY` or group `g:N` -> Unix ms of the purge. The latest purge is the strictest.
    PURGE: shared_kind(max, 60.0, is_integer, keys=PURGE_KEY_PATTERN),
    # cache -> (revision of the list, 0 up, 1 draining, 2 removed). The newer list holds, else the strictest.
    DRAIN: shared_kind(max, 600.0, is_integer, is_list_state),
    # cache -> Unix ms of its start. The latest start is the coldest cache.
    START: shared_kind(max, 120.0, is_integer),
    # idempotency key -> (group that may have executed it, Unix ms of the first attempt); of two groups: none
    FIRST_ATTEMPT: shared_kind(merge_first_attempts, 30.0, is_group, is_integer, keeps_first=True),
    # cache|writer -> (epoch, number, good, failed): how one front's attempts there ended
    HEALTH_REPORT: per_writer_kind(20.0, True, *VERSION_FIELDS, is_number, is_number),
    # slot|writer -> (epoch, number, packed names) of objects that one front was requested in some seconds
    POPULARITY: per_writer_kind(256.0, False, *VERSION_FIELDS, is_text),
    # `parents` or request class|writer -> (epoch, number, amount): one front's demand, a second
    DEMAND: per_writer_kind(20.0, False, *VERSION_FIELDS, is_number),
    # client|writer -> (epoch, number, requests a second) of one that requests much of one front
    CLIENT_RATE: per_writer_kind(20.0, False, *VERSION_FIELDS, is_number),
    # client|writer -> (epoch, number, seconds since): one front has banned it
    CLIENT_BAN: per_writer_kind(900.0, True, *VERSION_FIELDS, is_number),
    # cache|writer -> (epoch, number, seconds since): its connections broke and it could not be reached again
    CACHE_BREAK: per_writer_kind(60.0, True, *VERSION_FIELDS, is_number),
    # |writer -> (epoch, number, checksum): the members that one front's file names
    MEMBERS: per_writer_kind(60.0, True, *VERSION_FIELDS, is_number),
    # writer -> number of the last event that it read from the bus
    BUS_POSITION: per_writer_kind(600.0, False, is_integer),
    # operators' settings for the fleet, by name -> (version, value)
    SETTING: shared_kind(max, math.inf, is_integer, is_anything, is_critical=False),
}
