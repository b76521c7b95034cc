"""The settings object that a front is given, read once into the facts that the decisions go by.

Both doors use it: the simulator's adapter and the front on sockets. Unknown keys are ignored.
"""

from collections.abc import Mapping
from typing import Any

from weldbend.routing import interface as face

EFFECTS = {
    "idempotent": face.Effect.RETRIABLE,
    "deduplicated": face.Effect.DEDUPED,
    "at_most_once": face.Effect.NON_RETRIABLE,
}
SCOPES = {"all": face.Scope.ALL, "zone": face.Scope.ZONE, "cell": face.Scope.CELL}


def cache_roles(conf: Mapping[str, Any]) -> dict[str, face.Role]:
    """What each machine kind is for."""
    kind = conf["family_info"]
    roles = dict.fromkeys(conf["kinds"], face.Role.EDGE)
    if kind["shield_kind"] >= 0:
        roles[conf["kinds"][kind["shield_kind"]]] = face.Role.PARENT
    roles[conf["kinds"][kind["root_kind"]]] = face.Role.ORIGIN
    return roles


def site_facts(conf: Mapping[str, Any]) -> face.SiteFacts:
    """All that the decisions read of the settings; raises KeyError for what is missing."""
    kind = conf["family_info"]
    caps, rules, zones = conf["caps"], conf["obligations"], conf["zones"]
    zone = zones.index(conf["az"])
    hubs, fronts = kind["hub_by_zone"], kind["count_by_zone"]
    lanes = conf["lanes"]
    types = {
        lane["name"]: face.ContentType(
            name=lane["name"],
            effect=EFFECTS[lane["idempotency"]],
            scope=SCOPES[lane["key_scope"]],
            window=lane["window_us"] / 1e6,
            expiry=lane["deadline_us"] / 1e6,
            target=lane["goal_time_us"] / 1e6,
            stretch=lane.get("aim_stretch", 0.0),
            benefit=lane["points"],
            fresh=kind["lifetime_by_class_us"][place] / 1e6,
            at_origin=kind["pass_on"][place],
        )
        for place, lane in enumerate(lanes)
    }
    return face.SiteFacts(
        zone=conf["az"],
        hub=zones[hubs[zone]],
        fronts=conf["siblings"],
        zone_fronts=fronts[zone],
        hub_fronts=sum(count for count, hub in zip(fronts, hubs, strict=True) if hub == hubs[zone]),
        types=types,
        tick=conf["tick_us"] / 1e6,
        ask_within=rules["ask_within_us"] / 1e6,
        subscribes=conf["registry_mode"] == "subscribe",
        weighted=conf["weights"] != "none",
        second_copies=caps["second_copies"],
        calls_off=caps["cancelling"],
        most_pulls=caps["send_cap"],
        longest_wait=caps["max_retry_after_us"] / 1e6 if caps["retry_after"] else 0.0,
        direct=kind["bypass_allowed"],
        joins=kind["shares_fills"],
        cold_floor=rules["cold_from"],
        cold_time=rules["cold_us"] / 1e6,
        cold_multiple=rules["fall_multiple"],
        cold_window=rules["overload_for_us"] / 1e6,
        parent_floor=kind["parent_starts_at"],
        parent_time=kind["parent_warms_in_us"] / 1e6,
        parent_multiple=kind["parent_breaks_at"],
        purge_slack=kind["purge_slack_us"] / 1e6,
        purge_done=kind["gone_everywhere_us"] / 1e6,
    )
