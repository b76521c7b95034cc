"""Keys of the installation file: the section of each, its parser, and the settings field that it sets.

A section sets the fields of one frozen dataclass, whose defaults apply to keys that the file does not
contain. The names of sections and keys belong to the file format; they may differ from those of the fields.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from weldbend.fleet import settings as fleet
from weldbend.idle_connections.policy import ConnectionSettings
from weldbend.installation import values

MIN_OUTBOX = 1 << 18  # bytes; smallest outbox of a front with a fleet: two of the longest messages


@dataclass(frozen=True, slots=True)
class Key:
    """Definition of a key.

    Attributes:
        name: Name of the key in the file.
        field: Name of the settings field that it sets.
        parse: Function that parses the text of a value; it raises `InvalidValueError` for an invalid one.
        format: Function that returns the text of a value.
    """

    name: str
    field: str
    parse: Callable[[str], Any]
    format: Callable[[Any], str] = str


@dataclass(frozen=True, slots=True)
class Section:
    """Definition of a section.

    Attributes:
        keys: Keys of the section, in the order in which they are shown.
        defaults: Settings object with the default values.
        find_conflict: Function that returns why the settings cannot be used together; None if they can.
    """

    keys: tuple[Key, ...]
    defaults: Any
    find_conflict: Callable[[Any], str | None]


def duration_key(name: str, field: str, least: float, most: float) -> Key:
    """Return a key for a duration; the limits and the settings field are in seconds."""
    return Key(name, field, values.duration_between(least, most), values.format_duration)


def count_key(name: str, field: str, least: int, most: int) -> Key:
    """Return a key for an integer."""
    return Key(name, field, values.integer_between(least, most))


def switch_key(name: str, field: str) -> Key:
    """Return a key for `on` or `off`."""
    return Key(name, field, values.parse_switch, values.format_switch)


def optional_key(name: str, field: str, parse: Callable[[str], str]) -> Key:
    """Return a key for a text; the word `none` means an empty text."""
    return Key(name, field, parse, values.format_optional)


def connection_conflict(settings: ConnectionSettings) -> str | None:
    """Return why settings of client connections cannot be used together; None if they can."""
    if settings.pool_after and settings.pool_after >= settings.idle_timeout:
        delay = values.format_duration(settings.pool_after)
        timeout = values.format_duration(settings.idle_timeout)
        return f"park-after ({delay}) must be shorter than idle ({timeout})"
    return None


def fleet_conflict(settings: fleet.FleetSettings) -> str | None:
    """Return why settings of a fleet cannot be used together; None if they can."""
    if not settings.listen:
        return (
            "peers without listen: this front has no address at which the peers can reach it"
            if settings.peers
            else None
        )
    if not settings.key_file:
        return "listen without keys: messages between fronts must be authenticated"
    if 2 * settings.probe_timeout > settings.probe_interval:
        timeout = values.format_duration(settings.probe_timeout)
        interval = values.format_duration(settings.probe_interval)
        return f"timeout ({timeout}) must be at most half of interval ({interval})"
    if settings.outbox_capacity < MIN_OUTBOX:
        return f"outbox must have room for two of the longest messages ({MIN_OUTBOX} bytes)"
    return None


def limit_conflict(settings: fleet.LimitSettings) -> str | None:
    """Return why settings of limits cannot be used together; None if they can."""
    # A strict limit is enforced by leases, a soft one is divided between the fronts by demand.
    both = {name for name, _ in settings.leased_rates} & {name for name, _ in settings.demand_rates}
    return f"{min(both)} has both a strict and a soft limit" if both else None


CLIENTS = Section(
    keys=(
        duration_key("first-call", "request_timeout", 0.1, 600.0),  # also for the rest of a partial call
        duration_key("idle", "idle_timeout", 0.5, 86_400.0),
        duration_key("park-after", "pool_after", 0.0, 3600.0),  # idle time until a move to the idle pool
        count_key("wake-batch", "wake_batch", 1, 4096),
        count_key("close-batch", "close_batch", 1, 65_536),
        count_key("accept-batch", "accept_batch", 1, 4096),
        Key(
            "most",  # limit on client connections; `auto`: derived from the limit on descriptors
            "max_connections",
            values.integer_between(1, 1_000_000, auto=0),
            lambda value: str(value or "auto"),
        ),
    ),
    defaults=ConnectionSettings(),
    find_conflict=connection_conflict,
)

FLEET = Section(
    keys=(
        optional_key("listen", "listen", values.parse_address),
        Key("name", "fleet", values.parse_name),  # name of the fleet
        optional_key("zone", "zone", values.parse_name),
        optional_key("keys", "key_file", values.parse_optional),  # keys that authenticate messages
        Key("peers", "peers", values.parse_peers, values.format_peers),
        optional_key("control", "admin_address", values.parse_loopback_address),  # for `weldbend fleet`
        duration_key("interval", "probe_interval", 0.05, 60.0),  # between two probes of a front
        duration_key("timeout", "probe_timeout", 0.01, 30.0),  # for the answer to a direct probe
        count_key("helpers", "helpers", 1, 8),  # members asked to probe on this front's behalf
        duration_key("alone", "isolation_timeout", 0.2, 300.0),  # without a message: judges no members
        duration_key("stalled", "pause_threshold", 0.2, 60.0),  # between ticks: counts as paused above this
        duration_key("exchange", "summary_interval", 0.1, 60.0),  # between two summaries to one peer
        count_key("rate", "peer_rate", 10_000, 100_000_000),  # bytes per second to one peer
        # Bytes queued for one peer. The first bound applies to every file; `fleet_conflict` requires at least
        # `MIN_OUTBOX` if the section has a `listen` address, so that the front belongs to a fleet.
        count_key("outbox", "outbox_capacity", 65_536, 64_000_000),
        count_key("ops", "retained_operations", 16, 65_536),  # operations per writer's run, for deltas
        switch_key("popularity", "popularity"),  # share counts of requests within the zone
    ),
    defaults=fleet.FleetSettings(),
    find_conflict=fleet_conflict,
)

LIMITS = Section(
    keys=(
        duration_key("lease", "lease_term", 0.2, 60.0),  # duration of a lease on a strict limit
        # Largest relative difference between the rates of monotonic clocks.
        Key("drift", "clock_drift", values.percentage_between(0.0, 0.2), values.format_percentage),
        switch_key("cold", "slow_start"),  # share budgets of caches in slow start by leases
        switch_key("parents", "parent_quotas"),  # divide the limit of requests at all parents by demand
        switch_key("verdicts", "ejections"),  # eject caches by the reports of several fronts
        duration_key("cast-for", "ban_duration", 1.0, 900.0),  # time for which a client remains banned
        # Requests per second of a class at all fronts; strict: leased; soft: divided by demand.
        Key("strict", "leased_rates", values.parse_rates, values.format_rates),
        Key("soft", "demand_rates", values.parse_rates, values.format_rates),
        # Requests per second of one client address at all fronts; 0: no limit.
        Key("client", "client_rate", values.float_between(0, 1_000_000), values.format_float),
    ),
    defaults=fleet.LimitSettings(),
    find_conflict=limit_conflict,
)

SECTIONS: dict[str, Section] = {"clients": CLIENTS, "fleet": FLEET, "limits": LIMITS}
