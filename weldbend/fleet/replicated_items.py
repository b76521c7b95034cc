"""The kinds of replicated items, with their validation, merge function and lifetime. No I/O.

The merge of each kind is commutative, associative and idempotent: changes may arrive in any order, repeatedly
and by any path, and all replicas that received the same changes are equal (state-based replicated data types,
Shapiro et al. 2011). Of two values of a shared item, the merge keeps the more restrictive one; of two values
that one writer published on its own, the later one. Information from a peer can thus restrict a front's
decisions at once, but never relaxes a rule of the front.
"""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass

Value = tuple[int | float | str, ...]
FieldCheck = Callable[[object], bool]

# Names of the kinds, as used on the wire and in stored items.
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

MAX_INTEGER = 1 << 53  # all integers up to this one are represented exactly by floats
MAX_NUMBER = 1e12
ALL_CACHES = ""  # group of an idempotency key that is valid at all caches
NO_CACHE = "!"  # group of an idempotency key that is valid at no cache
GROUP_PATTERN = re.compile(r"|!|z:[\w.:-]{1,48}|c:[0-9]{1,9}", re.ASCII)
PURGE_KEY_PATTERN = re.compile(r"k:[\w.-]{1,64}|g:[0-9]{1,3}", re.ASCII)
REMOVED = 2  # highest state of a `drain` item


@dataclass(frozen=True, slots=True)
class ItemKind:
    """The validation, merge function and lifetime of a kind of item.

    Attributes:
        is_valid: function that returns whether a key, value and writer form a valid write.
        merge: function that merges two values.
        lifetime: seconds for which an item is valid after its last write.
        is_critical: whether a rule of the front depends on such items; a full outbox drops changes to them
            last.
        has_writer_key: whether keys end in `|` and the writer's name, so that each writer has its own items.
        keeps_first: whether an item is dated by its first write with any value, in place of the first write
            of its current value.
    """

    is_valid: Callable[[str, Value, str], bool]
    merge: Callable[[Value, Value], Value]
    lifetime: float
    is_critical: bool = True
    has_writer_key: bool = False
    keeps_first: bool = False


def is_integer(value: object, minimum: int = 0, maximum: int = MAX_INTEGER) -> bool:
    """Return whether a value is an integer within bounds."""
    return isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum


def is_number(value: object) -> bool:
    """Return whether a value is a number from 0 to `MAX_NUMBER`."""
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER


def is_group(value: object) -> bool:
    """Return whether a value names a group of caches."""
    return isinstance(value, str) and GROUP_PATTERN.fullmatch(value) is not None


def is_text(value: object) -> bool:
    """Return whether a value is a string."""
    return isinstance(value, str)


def is_list_state(value: object) -> bool:
    """Return whether a value is the state of a cache in an endpoint list: 0 up, 1 draining, 2 removed."""
    return is_integer(value, 0, REMOVED)


def is_anything(value: object) -> bool:
    """Accept any value."""
    return True


def writer_of(key: str) -> str:
    """Return the writer's name at the end of a key."""
    return key.rpartition("|")[2]


def merge_first_attempts(one: Value, other: Value) -> Value:
    """Merge two first attempts of a request: the common group, or none, and the earlier time."""
    return one[0] if one[0] == other[0] else NO_CACHE, min(one[1], other[1])


def shared_kind(
    merge: Callable[[Value, Value], Value],
    lifetime: float,
    *fields: FieldCheck,
    keys: re.Pattern[str] | None = None,
    is_critical: bool = True,
    keeps_first: bool = False,
) -> ItemKind:
    """Return a kind whose items are shared by all writers.

    Args:
        merge: function that merges two values.
        lifetime: seconds for which an item is valid after its last write.
        fields: check for each field of a value.
        keys: pattern of valid keys; None allows any key.
        is_critical: see `ItemKind`.
        keeps_first: see `ItemKind`.
    """

    def is_valid(key: str, value: Value, writer: str) -> bool:
        return has_fields(value, fields) and (keys is None or keys.fullmatch(key) is not None)

    return ItemKind(is_valid, merge, lifetime, is_critical, keeps_first=keeps_first)


def per_writer_kind(lifetime: float, is_critical: bool, *fields: FieldCheck) -> ItemKind:
    """Return a kind whose items belong to one writer each; a later value of the writer replaces earlier ones.

    Args:
        lifetime: seconds for which an item is valid after its last write.
        is_critical: see `ItemKind`.
        fields: check for each field of a value.
    """

    def is_valid(key: str, value: Value, writer: str) -> bool:
        return has_fields(value, fields) and writer_of(key) == writer

    return ItemKind(is_valid, max, lifetime, is_critical, has_writer_key=True)


def has_fields(value: Value, checks: tuple[FieldCheck, ...]) -> bool:
    """Return whether a value has exactly one field for each check, and all pass."""
    return len(value) == len(checks) and all(check(item) for check, item in zip(checks, value, strict=True))


VERSION_FIELDS = (is_integer, is_integer)  # the writer's epoch, and a number that rises with each value

ITEM_KINDS: dict[str, ItemKind] = {
    # object `k:KEY` or group `g:N` -> Unix ms of the purge. The latest purge is the most restrictive.
    PURGE: shared_kind(max, 60.0, is_integer, keys=PURGE_KEY_PATTERN),
    # cache -> (revision of the endpoint list, state: 0 up, 1 draining, 2 removed). The newest list takes
    # precedence; within one revision, the highest state does.
    DRAIN: shared_kind(max, 600.0, is_integer, is_list_state),
    # cache -> Unix ms of its start. The latest one is the most restrictive: the cache is the coldest.
    START: shared_kind(max, 120.0, is_integer),
    # idempotency key -> (group that may have executed the request, Unix ms of the first attempt). Two
    # different groups merge to no group.
    FIRST_ATTEMPT: shared_kind(merge_first_attempts, 30.0, is_group, is_integer, keeps_first=True),
    # cache|writer -> (epoch, number, good, failed): numbers of successful and failed answers to one front
    HEALTH_REPORT: per_writer_kind(20.0, True, *VERSION_FIELDS, is_number, is_number),
    # slot|writer -> (epoch, number, packed hashes): objects requested from one front in one popularity slot,
    # where `slot` is the number of the slot modulo `popularity.KEPT_SLOTS`
    POPULARITY: per_writer_kind(256.0, False, *VERSION_FIELDS, is_text),
    # `parents` or request class|writer -> (epoch, number, amount per second): one front's demand
    DEMAND: per_writer_kind(20.0, False, *VERSION_FIELDS, is_number),
    # client|writer -> (epoch, number, requests per second): the rate of a busy client at one front
    CLIENT_RATE: per_writer_kind(20.0, False, *VERSION_FIELDS, is_number),
    # client|writer -> (epoch, number, seconds from the ban to this write): one front has banned the client
    CLIENT_BAN: per_writer_kind(900.0, True, *VERSION_FIELDS, is_number),
    # cache|writer -> (epoch, number, seconds from the failure to this write): one front could not open a
    # connection to the cache
    CACHE_BREAK: per_writer_kind(60.0, True, *VERSION_FIELDS, is_number),
    # |writer -> (epoch, number, checksum): the members and strict rates of one front's installation file
    MEMBERS: per_writer_kind(60.0, True, *VERSION_FIELDS, is_number),
    # writer -> number of the last event that the writer has read from the event bus
    BUS_POSITION: per_writer_kind(600.0, False, is_integer),
    # name -> (version, value): operators' settings for the fleet
    SETTING: shared_kind(max, math.inf, is_integer, is_anything, is_critical=False),
}
