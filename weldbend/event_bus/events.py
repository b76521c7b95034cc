"""The events of the bus, parsed from JSON: endpoint list updates and purges, in the bus's own units."""

import json
import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from loguru import logger

from weldbend.event_bus.errors import InvalidEventError, InvalidRecordError

RECORD_STATES = ("up", "draining", "removed")
UID = re.compile(r"[\w.:/-]{1,64}", re.ASCII)  # it is sent as a word of the cache protocol's lines
MAX_PURGE_TIME_MS = 1e15  # milliseconds of Unix time, above any that a purge may name
MAX_PORT = 65535

# What reading a field of the wrong type or with an impossible value raises.
FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One cache as the bus describes it.

    Attributes:
        uid: Its name.
        host: Its IPv4 address.
        port: Its port.
        zone: Its availability zone.
        kind: Its model, which the site's configuration maps to a role.
        cell: The number of its failure domain, 0 for none.
        state: One of `RECORD_STATES`.
        weight: Its capacity relative to others.
        started_at: Unix seconds of its start, 0 if that is long ago.
    """

    uid: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    started_at: float


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A new endpoint list or, if not `is_complete`, the records that have changed."""

    is_complete: bool
    records: tuple[EndpointRecord, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    """Cached copies made before `purged_at` (Unix seconds) are invalid.

    Attributes:
        key: The object's key; None for a whole group.
        group: The group, if `key` is None.
        purged_at: Unix seconds.
    """

    key: str | None
    group: int
    purged_at: float


@dataclass(frozen=True, slots=True)
class SequencedEvent:
    """An event with its offset in the bus's stream."""

    offset: int
    event: EndpointListUpdate | Purge


def read_event(text: str) -> SequencedEvent:
    """Parse the JSON text of an event.

    Raises:
        InvalidEventError: The text is not JSON, or not an event.
    """
    try:
        return parse_event(json.loads(text))
    except (ValueError, RecursionError):
        raise InvalidEventError(text, "no JSON") from None


def parse_event(raw: Mapping[str, Any]) -> SequencedEvent:
    """Return the event in decoded JSON, as the bus and the configuration contain it.

    Raises:
        InvalidEventError: It is not an event.
    """
    try:
        offset = int(raw["offset"])
        if "topology" in raw:
            update = raw["topology"]
            is_complete = bool(update["all"])
            return SequencedEvent(
                offset, EndpointListUpdate(is_complete, tuple(parse_records(update["targets"])))
            )
        return SequencedEvent(offset, parse_purge(raw["ban"]))
    except FIELD_ERRORS as error:
        raise InvalidEventError(raw, f"{type(error).__name__} {error}") from None


def parse_purge(raw: Mapping[str, Any]) -> Purge:
    """Return the purge in decoded JSON.

    Raises:
        InvalidEventError: Its key is not text, or its time is out of range.
    """
    key = raw.get("url")
    if key is not None and not isinstance(key, str):
        raise InvalidEventError(raw, "invalid url")
    if not 0 <= raw["ts"] < MAX_PURGE_TIME_MS:
        raise InvalidEventError(raw, "invalid ts")
    group = int(raw.get("tag", 0)) if key else int(raw["tag"])
    return Purge(key, group, raw["ts"] / 1000)


def parse_records(raw: list[Any]) -> Iterator[EndpointRecord]:
    """Yield all valid records of a list; an invalid one is logged and must not hide the others."""
    for item in raw:
        try:
            yield parse_record(item)
        except (*FIELD_ERRORS, InvalidRecordError) as error:
            logger.warning(
                "invalid endpoint record ignored: {} {} in {:.80}", type(error).__name__, error, str(item)
            )


def parse_record(raw: Mapping[str, Any]) -> EndpointRecord:
    """Return the endpoint record in decoded JSON.

    Raises:
        InvalidRecordError: A field has a value that cannot be used.
        KeyError, TypeError, ValueError, AttributeError, OverflowError: A field is absent or of another type.
    """
    host, _, port = raw["endpoint"].rpartition(":")
    IPv4Address(host)  # raises ValueError: host names are not resolved
    weight = float(raw.get("capacity_hint") or 1)
    started_at = float(raw.get("boot_ms") or 0) / 1000
    if raw["state"] not in RECORD_STATES:
        raise InvalidRecordError("state", raw["state"])
    if not 0 < int(port) <= MAX_PORT:
        raise InvalidRecordError("endpoint", raw["endpoint"])
    if not UID.fullmatch(raw["uid"]):
        raise InvalidRecordError("uid", raw["uid"])
    if not 0 < weight < math.inf:
        raise InvalidRecordError("capacity_hint", weight)
    if not 0 <= started_at < math.inf:
        raise InvalidRecordError("boot_ms", started_at)
    return EndpointRecord(
        uid=raw["uid"],
        host=host,
        port=int(port),
        zone=raw["az"],
        kind=raw["model"],
        cell=int(raw.get("pod_group") or 0),
        state=raw["state"],
        weight=weight,
        started_at=started_at,
    )


def parse_known_events(raw: Mapping[str, Any]) -> list[SequencedEvent]:
    """Return the events that the configuration contains.

    Raises:
        InvalidEventError: There is no list of events, or one is not an event.
    """
    try:
        return [parse_event(item) for item in raw["batch"]]
    except (KeyError, TypeError) as error:
        raise InvalidEventError(raw, f"known: {error}") from None
