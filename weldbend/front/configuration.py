"""The configuration of one front, read and validated at start and at each reload."""

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
from weldbend.routing.memory_budget import MEBIBYTE
from weldbend.routing.settings import Role, SiteSettings
from weldbend.site_settings import cache_roles, read_site_settings

# Seconds that one iteration of the event loop is expected not to exceed, which is not enforced; also the
# minimum of the router's `tick` setting.
MAX_ITERATION = 0.004
CACHE_DESCRIPTORS = 96  # file descriptors for connections to caches; some tens of them are in use at a time
RESERVED_DESCRIPTORS = 32  # file descriptors for the log, the reactor, the bus and the listening port
MEMORY_FRACTION = 4  # divisor of the memory limit: a quarter of it may hold answers for slow readers
MAX_PORT = 65_535
MICROSECONDS = 1e6  # per second

DEFAULT_CONNECTION_SETTINGS = ConnectionSettings()  # used if there is no installation file


class ConfigurationError(Exception):
    """An invalid configuration; the message is one line for operators."""


class MissingSettingError(ConfigurationError):
    """A configuration without a required key.

    Attributes:
        missing: exception of the lookup, which names the key.
    """

    def __init__(self, missing: KeyError) -> None:
        super().__init__(f"configuration lacks {missing}")
        self.missing = missing


class UnusableSettingError(ConfigurationError):
    """A configuration with an invalid value, or a text that is not JSON.

    Attributes:
        cause: exception that reading the value or parsing the text raised.
    """

    def __init__(self, cause: Exception) -> None:
        super().__init__(f"configuration cannot be used: {cause}")
        self.cause = cause


class InvalidPortError(ValueError):
    """An address with an invalid port; it becomes the cause of an `UnusableSettingError`."""

    def __init__(self, address: str) -> None:
        super().__init__(f"invalid port in address: {address!r:.40}")
        self.address = address


@dataclass(frozen=True, slots=True)
class Site:
    """A front's configuration.

    Attributes:
        name: name of this front.
        host: address on which it listens.
        port: port on which it listens.
        seed: seed of the router's random numbers.
        bus_address: address (host:port) of the bus.
        known_events: events of the bus that had been published when the configuration was written.
        bus_offset: offset of the last of the known events, after which the bus is read.
        settings: settings of the router.
        roles: roles by machine kind.
        flow_rate: kB per second that a client receives at its maximum rate.
        reports_load: whether caches report their load.
        max_open_requests: number of open requests beyond which new ones are rejected.
        cache_limits: limits on connections to caches.
        max_descriptors: maximum number of file descriptors of the process.
        max_clients: maximum number of client connections.
        max_unsent_bytes: bytes buffered for slow readers beyond which reading from caches pauses.
        memory_limit: memory limit of the process in bytes.
        client_settings: settings of client connections, from the installation file.
        fleet: fleet settings of the installation file; None without a fleet. Typed as Any, since the module
            of their type is imported only if there is a fleet.
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
    memory_limit: int
    client_settings: ConnectionSettings = DEFAULT_CONNECTION_SETTINGS
    fleet: Any = None


def read_site(text: str) -> Site:
    """Parse and validate the JSON text of a configuration.

    Raises:
        ConfigurationError: the text is not JSON, a key is missing or a value is invalid.
    """
    try:
        return _parse_site(json.loads(text))
    except KeyError as missing:
        raise MissingSettingError(missing) from None
    except (ValueError, TypeError, AttributeError, IndexError, RecursionError, InvalidEventError) as error:
        raise UnusableSettingError(error) from None


def _checked_address(text: str) -> str:
    """Return the text if it is an IPv4 address with a port; host names are not resolved.

    Raises:
        ValueError: the text is not such an address.
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
    memory_limit = int(limits["memory_mb"]) * MEBIBYTE
    # Client connections get all descriptors that are not set aside for caches and the process itself, and at
    # least half of the limit.
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
        max_unsent_bytes=memory_limit // MEMORY_FRACTION,
        memory_limit=memory_limit,
    )
