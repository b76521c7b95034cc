"""Events of the bus, parsed from JSON: endpoint list updates and purges, with Unix times in seconds."""

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
UID = re.compile(r"[\w.:/-]{1,64}", re.ASCII)  # uids are sent as fields of the cache protocol's lines
MAX_PURGE_TIME_MS = 1e15  # exclusive upper bound of a purge's Unix time in milliseconds
MAX_PORT = 65535

# Exceptions raised by reading a field that is absent, of the wrong type or out of range.
FIELD_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One cache, as described on the bus.

    Attributes:
        uid: Name of the cache.
        host: IPv4 address.
        port: TCP port.
        zone: Availability zone.
        kind: Machine model, which the site's configuration maps to a role.
        cell: Number of the group of machines that fail together (failure domain), 0 for none.
        state: One of `RECORD_STATES`.
        weight: Capacity relative to that of a cache of weight 1.
        started_at: Unix seconds of the cache's start, 0 if it started long ago.
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
    """A complete endpoint list or, if not `is_complete`, only the records that have changed."""

    is_complete: bool
    records: tuple[EndpointRecord, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    """A purge of one object or of a group: copies made before `purged_at` are invalid.

    Attributes:
        key: Key of the object; None for a whole group.
        group: Number of the purged group, if `key` is None.
        purged_at: Unix time in seconds.
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
        InvalidEventError: The text is not valid JSON or not a valid event.
    """
    try:
        return parse_event(json.loads(text))
    except (ValueError, RecursionError):
        raise InvalidEventError(text, "invalid JSON") from None


def parse_event(raw: Mapping[str, Any]) -> SequencedEvent:
    """Convert decoded JSON, from the bus or the configuration, to an event.

    Raises:
        InvalidEventError: The input is not a valid event.
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
    """Convert decoded JSON to a purge.

    Raises:
        InvalidEventError: The key is not a string, or the time is out of range.
    """
    key = raw.get("url")
    if key is not None and not isinstance(key, str):
        raise InvalidEventError(raw, "invalid url")
    if not 0 <= raw["ts"] < MAX_PURGE_TIME_MS:
        raise InvalidEventError(raw, "invalid ts")
    group = int(raw.get("tag", 0)) if key else int(raw["tag"])
    return Purge(key, group, raw["ts"] / 1000)


def parse_records(raw: list[Any]) -> Iterator[EndpointRecord]:
    """Yield the valid records of a list; log and skip invalid ones, so that the others still apply."""
    for item in raw:
        try:
            yield parse_record(item)
        except (*FIELD_ERRORS, InvalidRecordError) as error:
            logger.warning(
                "invalid endpoint record ignored: {} {} in {:.80}", type(error).__name__, error, str(item)
            )


def parse_record(raw: Mapping[str, Any]) -> EndpointRecord:
    """Convert decoded JSON to an endpoint record.

    Raises:
        InvalidRecordError: A field has an invalid value.
        KeyError, TypeError, ValueError, AttributeError, OverflowError: A field is absent or of another type.
    """
    host, _, port = raw["endpoint"].rpartition(":")
    IPv4Address(host)  # raises ValueError for host names, which are not resolved
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
    """Return the events in the `known` section of the configuration.

    Raises:
        InvalidEventError: The list of events is absent, or one of them is invalid.
    """
    try:
        return [parse_event(item) for item in raw["batch"]]
    except (KeyError, TypeError) as error:
        raise InvalidEventError(raw, f"invalid list of known events: {error}") from None
