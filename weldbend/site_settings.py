"""The settings object that a front is given, read once into the facts that the decisions go by.

Both doors use it: the simulator's adapter and the front on sockets. Unknown keys are ignored.
"""

from collections.abc import Mapping
from typing import Any

from weldbend.routing.settings import DeduplicationScope, Idempotency, RequestClass, Role, SiteSettings

EFFECTS = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.DEDUPLICATED,
    "at_most_once": Idempotency.NON_IDEMPOTENT,
}
SCOPES = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def cache_roles(conf: Mapping[str, Any]) -> dict[str, Role]:
    """What each machine kind is for."""
    kind = conf["family_info"]
    roles = dict.fromkeys(conf["kinds"], Role.EDGE)
    if kind["shield_kind"] >= 0:
        roles[conf["kinds"][kind["shield_kind"]]] = Role.PARENT
    roles[conf["kinds"][kind["root_kind"]]] = Role.ORIGIN
    return roles


def read_site_settings(conf: Mapping[str, Any]) -> SiteSettings:
    """All that the decisions read of the settings; raises KeyError for what is missing."""
    kind = conf["family_info"]
    caps, rules, zones = conf["caps"], conf["obligations"], conf["zones"]
    zone = zones.index(conf["az"])
    hubs, fronts = kind["hub_by_zone"], kind["count_by_zone"]
    lanes = conf["lanes"]
    classes = {
        lane["name"]: RequestClass(
            name=lane["name"],
            idempotency=EFFECTS[lane["idempotency"]],
            deduplication_scope=SCOPES[lane["key_scope"]],
            deduplication_window=lane["window_us"] / 1e6,
            deadline_after=lane["deadline_us"] / 1e6,
            latency_objective=lane["goal_time_us"] / 1e6,
            objective_stretch=lane.get("aim_stretch", 0.0),
            priority_weight=lane["points"],
            fresh_for=kind["lifetime_by_class_us"][place] / 1e6,
            origin_only=kind["pass_on"][place],
        )
        for place, lane in enumerate(lanes)
    }
    return SiteSettings(
        zone=conf["az"],
        hub=zones[hubs[zone]],
        fronts=conf["siblings"],
        zone_fronts=fronts[zone],
        hub_fronts=sum(count for count, hub in zip(fronts, hubs, strict=True) if hub == hubs[zone]),
        classes=classes,
        tick=conf["tick_us"] / 1e6,
        list_refresh=rules["ask_within_us"] / 1e6,
        subscribes=conf["registry_mode"] == "subscribe",
        weighted=conf["weights"] != "none",
        allows_hedging=caps["second_copies"],
        allows_cancel=caps["cancelling"],
        max_attempts=caps["send_cap"],
        max_retry_after=caps["max_retry_after_us"] / 1e6 if caps["retry_after"] else 0.0,
        allows_bypass=kind["bypass_allowed"],
        joins_fills=kind["shares_fills"],
        edge_start_capacity=rules["cold_from"],
        edge_warmup=rules["cold_us"] / 1e6,
        edge_overload_factor=rules["fall_multiple"],
        edge_overload_window=rules["overload_for_us"] / 1e6,
        parent_start_capacity=kind["parent_starts_at"],
        parent_warmup=kind["parent_warms_in_us"] / 1e6,
        parent_overload_factor=kind["parent_breaks_at"],
        purge_grace=kind["purge_slack_us"] / 1e6,
        purge_complete_after=kind["gone_everywhere_us"] / 1e6,
    )
