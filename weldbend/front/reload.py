"""What a reload of the configuration changes in a running front, and what only a restart changes."""

from dataclasses import fields, replace

from weldbend.front.configuration import Site

RESTART_ONLY_FIELDS = (
    "name",
    "host",
    "port",
    "roles",
    "max_descriptors",
    "max_clients",
    "client_settings",
    "fleet",
)
UNCOMPARED_FIELDS = (
    "bus_address",
    "known_events",
    "bus_offset",
    "seed",
)  # differ in every configuration that is written


def pending_restart(current: Site, new: Site, has_fleet: bool) -> list[str]:
    """Return the fields that differ and that only a restart changes; in a fleet that is nearly all."""
    names = [field.name for field in fields(Site) if field.name not in UNCOMPARED_FIELDS]
    changed = [name for name in names if getattr(new, name) != getattr(current, name)]
    return [name for name in changed if name in RESTART_ONLY_FIELDS or (has_fleet and name != "fleet")]


def merge_sites(current: Site, new: Site) -> Site:
    """Return the new configuration with what a running process keeps."""
    cache_limits = replace(new.cache_limits, max_connections=current.cache_limits.max_connections)
    retained = {
        name: getattr(current, name) for name in (*RESTART_ONLY_FIELDS, "known_events", "bus_offset", "seed")
    }
    return replace(new, cache_limits=cache_limits, **retained)
