"""The bus's events, read from JSON: the list of caches and purges, still in the bus's own units."""

import json
import math
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from loguru import logger

STATES = ("up", "draining", "removed")
UID = re.compile(r"[\w.:/-]{1,64}", re.ASCII)  # it is passed on as a word of the caches' lines


class InvalidEventError(Exception):
    """Something that is no event of the bus."""


LATEST = 1e15  # the last millisecond that a stamp may name


@dataclass(frozen=True, slots=True)
class Target:
    uid: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: str
    weight: float
    booted: float  # Unix seconds; 0 for long ago


@dataclass(frozen=True, slots=True)
class Topology:
    whole: bool
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class Ban:
    key: str | None
    group: int
    at: float  # Unix seconds


@dataclass(frozen=True, slots=True)
class Numbered:
    offset: int
    event: Topology | Ban


def read_event(text: str) -> Numbered:
    try:
        return event(json.loads(text))
    except (ValueError, RecursionError):
        raise InvalidEventError(f"no JSON: {text[:80]!r}") from None


def event(raw: Any) -> Numbered:
    """One event as the bus or the configuration holds it."""
    try:
        offset = int(raw["offset"])
        if "topology" in raw:
            held = raw["topology"]
            return Numbered(offset, Topology(bool(held["all"]), tuple(targets(held["targets"]))))
        held = raw["ban"]
        key = held.get("url")
        if key is not None and not isinstance(key, str):
            raise InvalidEventError(f"ban of {key!r}")
        if not 0 <= held["ts"] < LATEST:
            raise InvalidEventError(f"ban at {held['ts']!r}")
        return Numbered(
            offset, Ban(key, int(held.get("tag", 0)) if key else int(held["tag"]), held["ts"] / 1000)
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as wrong:
        raise InvalidEventError(f"{type(wrong).__name__} {wrong} in {str(raw)[:80]!r}") from None


def targets(raw: list[Any]) -> Iterator[Target]:
    """All entries that can be used; one that cannot must not hide the others."""
    for item in raw:
        try:
            yield target(item)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as wrong:
            logger.warning("list entry passed over: {} {} in {:.80}", type(wrong).__name__, wrong, str(item))


def target(raw: Mapping[str, Any]) -> Target:
    host, _, port = raw["endpoint"].rpartition(":")
    IPv4Address(host)  # raises ValueError: no names are looked up
    weight, booted = float(raw.get("capacity_hint") or 1), float(raw.get("boot_ms") or 0) / 1000
    if raw["state"] not in STATES or not 0 < int(port) < 65536 or not UID.fullmatch(raw["uid"]):
        raise ValueError("no target")
    if not 0 < weight < math.inf or not 0 <= booted < math.inf:
        raise ValueError("no weight, or no time of start")
    return Target(
        uid=raw["uid"],
        host=host,
        port=int(port),
        zone=raw["az"],
        kind=raw["model"],
        cell=int(raw.get("pod_group") or 0),
        state=raw["state"],
        weight=weight,
        booted=booted,
    )


def known(raw: Any) -> list[Numbered]:
    """The events that the configuration holds, and with the last its offset."""
    try:
        return [event(item) for item in raw["batch"]]
    except (KeyError, TypeError) as wrong:
        raise InvalidEventError(f"known: {wrong}") from None
