"""Reload of the configuration: which settings change in a running front, and which need a restart."""

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
# Not compared to find changes that need a restart. A reload applies the bus address. The others matter only
# at the start, and may differ between any two configurations that are written.
UNCOMPARED_FIELDS = ("bus_address", "known_events", "bus_offset", "seed")


def pending_restart(current: Site, new: Site, has_fleet: bool) -> list[str]:
    """Return the names of changed fields that need a restart; in a fleet, all but `fleet` need one."""
    names = [field.name for field in fields(Site) if field.name not in UNCOMPARED_FIELDS]
    changed = [name for name in names if getattr(new, name) != getattr(current, name)]
    return [name for name in changed if name in RESTART_ONLY_FIELDS or (has_fleet and name != "fleet")]


def merge_sites(current: Site, new: Site) -> Site:
    """Return the new configuration with the fields that a running process keeps from the current one."""
    cache_limits = replace(new.cache_limits, max_connections=current.cache_limits.max_connections)
    retained = {
        name: getattr(current, name) for name in (*RESTART_ONLY_FIELDS, "known_events", "bus_offset", "seed")
    }
    return replace(new, cache_limits=cache_limits, **retained)
