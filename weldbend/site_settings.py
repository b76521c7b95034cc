"""Conversion of the settings object of a front, as decoded from JSON, to the settings of its router.

Both programs that contain a router use this module: the simulator's adapter and the front on sockets. Unknown
keys are ignored.
"""

from collections.abc import Mapping
from typing import Any

from weldbend.routing.settings import DeduplicationScope, Idempotency, RequestClass, Role, SiteSettings

IDEMPOTENCIES = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.DEDUPLICATED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}

MICROSECONDS_PER_SECOND = 1e6


def cache_roles(raw: Mapping[str, Any]) -> dict[str, Role]:
    """Return the role of each kind of machine; every kind that is not the parent or the origin is an edge.

    Raises:
        KeyError: if a key is missing.
    """
    family = raw["family_info"]
    kinds = raw["kinds"]
    roles = dict.fromkeys(kinds, Role.EDGE)
    if family["shield_kind"] >= 0:  # index of the parents' kind in the list; -1 at a site without parents
        roles[kinds[family["shield_kind"]]] = Role.PARENT
    roles[kinds[family["root_kind"]]] = Role.ORIGIN
    return roles


def _request_class(class_settings: Mapping[str, Any], family: Mapping[str, Any], index: int) -> RequestClass:
    """Return the request class at `index` of the list of classes in the settings."""
    return RequestClass(
        name=class_settings["name"],
        idempotency=IDEMPOTENCIES[class_settings["idempotency"]],
        deduplication_scope=DEDUPLICATION_SCOPES[class_settings["key_scope"]],
        deduplication_window=class_settings["window_us"] / MICROSECONDS_PER_SECOND,
        deadline_after=class_settings["deadline_us"] / MICROSECONDS_PER_SECOND,
        latency_objective=class_settings["goal_time_us"] / MICROSECONDS_PER_SECOND,
        objective_stretch=class_settings.get("aim_stretch", 0.0),
        priority_weight=class_settings["points"],
        fresh_for=family["lifetime_by_class_us"][index] / MICROSECONDS_PER_SECOND,
        origin_only=family["pass_on"][index],
    )


def read_site_settings(raw: Mapping[str, Any]) -> SiteSettings:
    """Return the settings of the router that a settings object contains.

    Raises:
        KeyError: if a key is missing.
    """
    family = raw["family_info"]
    caps = raw["caps"]
    rules = raw["obligations"]
    zones = raw["zones"]
    hubs = family["hub_by_zone"]
    fronts = family["count_by_zone"]
    zone = zones.index(raw["az"])
    class_list = enumerate(raw["lanes"])
    return SiteSettings(
        zone=raw["az"],
        hub=zones[hubs[zone]],
        fronts=raw["siblings"],
        zone_fronts=fronts[zone],
        hub_fronts=sum(count for count, hub in zip(fronts, hubs, strict=True) if hub == hubs[zone]),
        classes={
            class_settings["name"]: _request_class(class_settings, family, index)
            for index, class_settings in class_list
        },
        tick=raw["tick_us"] / MICROSECONDS_PER_SECOND,
        list_refresh=rules["ask_within_us"] / MICROSECONDS_PER_SECOND,
        subscribes=raw["registry_mode"] == "subscribe",
        weighted=raw["weights"] != "none",
        allows_hedging=caps["second_copies"],
        allows_cancel=caps["cancelling"],
        max_attempts=caps["send_cap"],
        max_retry_after=caps["max_retry_after_us"] / MICROSECONDS_PER_SECOND if caps["retry_after"] else 0.0,
        allows_bypass=family["bypass_allowed"],
        joins_fills=family["shares_fills"],
        edge_start_capacity=rules["cold_from"],
        edge_warmup=rules["cold_us"] / MICROSECONDS_PER_SECOND,
        edge_overload_factor=rules["fall_multiple"],
        edge_overload_window=rules["overload_for_us"] / MICROSECONDS_PER_SECOND,
        parent_start_capacity=family["parent_starts_at"],
        parent_warmup=family["parent_warms_in_us"] / MICROSECONDS_PER_SECOND,
        parent_overload_factor=family["parent_breaks_at"],
        purge_grace=family["purge_slack_us"] / MICROSECONDS_PER_SECOND,
        purge_complete_after=family["gone_everywhere_us"] / MICROSECONDS_PER_SECOND,
        marks_retries=bool(raw.get("client_habits", {}).get("marks_retry", True)),
    )
