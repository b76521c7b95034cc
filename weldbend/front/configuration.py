"""The configuration of one front, read and checked at start and at each reload."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from typing import Any

from weldbend.caches.limits import CacheLimits
from weldbend.event_bus.errors import InvalidEventError
from weldbend.event_bus.events import SequencedEvent, parse_known_events
from weldbend.idle_connections.policy import ConnectionSettings
from weldbend.routing.settings import Role, SiteSettings
from weldbend.site_settings import cache_roles, read_site_settings

MAX_ITERATION = 0.004  # seconds that an event-loop iteration may take; the router's tick is at least that
CACHE_DESCRIPTORS = 96  # descriptors for connections to caches, of which some tens are in use
RESERVED_DESCRIPTORS = 32  # descriptors for the process itself: log, reactor, bus, listening port
MEMORY_FRACTION = 4  # one part in so many of the memory may hold answers that slow readers have not read
MAX_PORT = 65_535
MICROSECONDS = 1e6  # in a second

DEFAULT_CONNECTION_SETTINGS = ConnectionSettings()  # what holds where there is no installation file


class ConfigurationError(Exception):
    """A configuration that no front can start from; its text is one line for people."""


class MissingSettingError(ConfigurationError):
    """A configuration that lacks a key, named by the error that looking it up raised."""

    def __init__(self, missing: KeyError) -> None:
        super().__init__(f"configuration lacks {missing}")
        self.missing = missing


class UnusableSettingError(ConfigurationError):
    """A configuration of which something cannot be used, as the error says that reading it raised."""

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"configuration cannot be used: {cause}")
        self.cause = cause


class InvalidPortError(ValueError):
    """An address whose port is none; it becomes the cause of an `UnusableSettingError`."""

    def __init__(self, address: str) -> None:
        super().__init__(f"no port: {address!r:.40}")
        self.address = address


@dataclass(frozen=True, slots=True)
class Site:
    """A front's configuration.

    Attributes:
        name: of this front.
        host: address on which it listens.
        port: on which it listens.
        seed: of the router's random numbers.
        bus_address: host:port of the bus.
        known_events: events of the bus by the time at which the configuration was written.
        bus_offset: number of the last of them.
        settings: what the router reads.
        roles: role of each machine kind.
        flow_rate: kB that a client at its top pace receives in a second.
        reports_load: whether caches report their load.
        max_open_requests: open requests beyond which new ones are rejected.
        cache_limits: of connections to caches.
        max_descriptors: that the process may have.
        max_clients: client connections.
        max_unsent_bytes: of answers that slow readers have not read, beyond which caches are read no further.
        client_settings: of client connections, from the installation file.
        fleet: fleet settings of an installation that names one; None on the platform. Its type is loaded
            only then.
    """

    name: str
    host: str
    port: int
    seed: int
    bus_address: str
    known_events: list[SequencedEvent]
    bus_offset: int
    settings: SiteSettings
    roles: dict[str, Role]
    flow_rate: float
    reports_load: bool
    max_open_requests: int
    cache_limits: CacheLimits
    max_descriptors: int
    max_clients: int
    max_unsent_bytes: int
    client_settings: ConnectionSettings = DEFAULT_CONNECTION_SETTINGS
    fleet: Any = None


def read_site(text: str) -> Site:
    """Return the configuration in a JSON text.

    Raises:
        ConfigurationError: where something is missing or cannot be used.
    """
    try:
        return _parse_site(json.loads(text))
    except KeyError as missing:
        raise MissingSettingError(missing) from None
    except (ValueError, TypeError, AttributeError, IndexError, RecursionError, InvalidEventError) as error:
        raise UnusableSettingError(error) from None


def _checked_address(text: str) -> str:
    """Return an IPv4 host:port that can be dialled; names are not resolved.

    Raises:
        ValueError: for anything else.
    """
    host, _, port = text.rpartition(":")
    IPv4Address(host)
    if not 0 < int(port) <= MAX_PORT:
        raise InvalidPortError(text)
    return text


def _cache_limits(caps: Mapping[str, Any], settings: SiteSettings, descriptors: int) -> CacheLimits:
    return CacheLimits(
        max_streams=int(caps["max_streams"]),
        idle_timeout=caps["conn_idle_us"] / MICROSECONDS,
        connect_timeout=caps["dial_timeout_us"] / MICROSECONDS,
        max_iteration_time=MAX_ITERATION,
        max_connections=descriptors,
        max_answer_time=max(request_class.deadline_after for request_class in settings.classes.values()),
    )


def _parse_site(raw: Mapping[str, Any]) -> Site:
    raw_settings = raw["settings"]
    limits = raw["limits"]
    caps = raw_settings["caps"]
    settings = read_site_settings(raw_settings)
    host, _, port = raw["listen"].rpartition(":")
    descriptors = int(limits["sockets"])
    # Client connections get what caches and the process leave, and half in any case.
    max_clients = max(descriptors // 2, descriptors - CACHE_DESCRIPTORS - RESERVED_DESCRIPTORS)
    return Site(
        name=str(raw["name"]),
        host=host,
        port=int(port),
        seed=zlib.crc32(str(raw["seed"]).encode()),
        bus_address=_checked_address(raw["bus"]),
        known_events=parse_known_events(raw["known"]),
        bus_offset=int(raw["known"]["offset"]),
        settings=replace(settings, tick=max(settings.tick, MAX_ITERATION)),
        roles=cache_roles(raw_settings),
        flow_rate=float(raw_settings["family_info"]["one_flow_kb_per_s"]),
        reports_load=raw_settings["report"]["source"] != "none",
        max_open_requests=int(caps["open_cap"]),
        cache_limits=_cache_limits(caps, settings, descriptors - max_clients - RESERVED_DESCRIPTORS),
        max_descriptors=descriptors,
        max_clients=max_clients,
        max_unsent_bytes=int(limits["memory_mb"]) * 2**20 // MEMORY_FRACTION,
    )
