"""The configuration of one front, read and checked once at start."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from typing import Any

from weldbend.caches.pool import Bounds
from weldbend.event_bus.errors import InvalidEventError
from weldbend.event_bus.events import SequencedEvent, parse_known_events
from weldbend.idle_connections.policy import ConnectionSettings
from weldbend.routing.settings import Role, SiteSettings
from weldbend.site_settings import cache_roles, read_site_settings

TURN = 0.004  # a turn of the loop may last so long; the decisions are told, as of any tick
FOR_CACHES = 96  # descriptors for connections to caches, of which some tens are in use
RESERVE = 32  # descriptors for the process itself: log, reactor, bus, listening port


PLATFORM = ConnectionSettings()  # what holds where there is no installation file


class ConfigurationError(Exception):
    """A configuration that no front can start from; its text is one line for people."""


@dataclass(frozen=True, slots=True)
class Site:
    name: str
    host: str
    port: int
    seed: int
    bus: str
    known: list[SequencedEvent]
    offset: int
    settings: SiteSettings
    roles: dict[str, Role]
    flow: float  # KB in one second of sending at a client's top pace
    reports: bool  # whether caches report their load
    most_open: int
    bounds: Bounds
    sockets: int  # descriptors that the process may hold
    clients: int  # connections of clients
    held: int  # bytes of answers that wait for slow readers
    terms: ConnectionSettings = PLATFORM
    fleet: Any = None  # fleet.terms.Terms of an installation that has one; the platform's has none


def read_site(text: str) -> Site:
    try:
        return site(json.loads(text))
    except KeyError as missing:
        raise ConfigurationError(f"configuration lacks {missing}") from None
    except (ValueError, TypeError, AttributeError, IndexError, RecursionError, InvalidEventError) as wrong:
        raise ConfigurationError(f"configuration cannot be used: {wrong}") from None


def address(text: str) -> str:
    """An address that can be dialled; raises ValueError: no names are looked up."""
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    if not 0 < int(port) < 65536:
        raise ValueError(f"no port: {text!r:.40}")
    return text


def site(raw: Mapping[str, Any]) -> Site:
    raw_settings, limits = raw["settings"], raw["limits"]
    caps, settings = raw_settings["caps"], read_site_settings(raw_settings)
    host, _, port = raw["listen"].rpartition(":")
    sockets = int(limits["sockets"])
    clients = max(sockets // 2, sockets - FOR_CACHES - RESERVE)  # ours hold a third
    return Site(
        name=str(raw["name"]),
        host=host,
        port=int(port),
        seed=zlib.crc32(str(raw["seed"]).encode()),
        bus=address(raw["bus"]),
        known=parse_known_events(raw["known"]),
        offset=int(raw["known"]["offset"]),
        settings=replace(settings, tick=max(settings.tick, TURN)),
        roles=cache_roles(raw_settings),
        flow=float(raw_settings["family_info"]["one_flow_kb_per_s"]),
        reports=raw_settings["report"]["source"] != "none",
        most_open=int(caps["open_cap"]),
        bounds=Bounds(
            streams=int(caps["max_streams"]),
            idle=caps["conn_idle_us"] / 1e6,
            dial=caps["dial_timeout_us"] / 1e6,
            turn=TURN,
            descriptors=sockets - clients - RESERVE,
            longest=max(kind.deadline_after for kind in settings.classes.values()),
        ),
        sockets=sockets,
        clients=clients,
        held=int(limits["memory_mb"]) * 2**20 // 4,
    )
