"""Settings, endpoint lists and front configurations of small sites, for the testbed and the tests."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

SETTINGS: dict[str, Any] = {
    "az": "z",
    "caps": {
        "cancelling": True,
        "conn_idle_us": 15000000,
        "dial_timeout_us": 400000,
        "max_retry_after_us": 1000000,
        "max_streams": 32,
        "open_cap": 100,
        "retry_after": True,
        "second_copies": False,
        "send_cap": 6,
    },
    "family_info": {
        "bypass_allowed": True,
        "count_by_zone": [0, 1],
        "gone_everywhere_us": 6000000,
        "hub_by_zone": [0, 0],
        "lifetime_by_class_us": [0, 0],
        "notes_given": "hit",
        "older_by_us": [0, 0],
        "one_flow_kb_per_s": 1000.0,
        "parent_breaks_at": 2.0,
        "parent_starts_at": 0.1,
        "parent_warms_in_us": 20000000,
        "pass_on": [False, True],
        "peers_fill": "none",
        "purge_slack_us": 300000,
        "root_kind": 2,
        "shares_fills": True,
        "shield_kind": 1,
    },
    "kinds": ["box", "parent", "origin"],
    "lanes": [
        {
            "deadline_us": 6000000,
            "goal_time_us": 500000,
            "idempotency": "idempotent",
            "key_scope": "all",
            "name": "photo",
            "points": 2.0,
            "window_us": 5000000,
        },
        {
            "deadline_us": 9000000,
            "goal_time_us": 700000,
            "idempotency": "deduplicated",
            "key_scope": "all",
            "name": "order",
            "points": 3.0,
            "window_us": 3000000,
        },
    ],
    "obligations": {
        "answer_slack_us": 8000,
        "ask_within_us": 10000000,
        "cold_from": 0.2,
        "cold_us": 10000000,
        "drain_grace_us": 500000,
        "fall_multiple": 2.0,
        "overload_for_us": 2000000,
    },
    "registry_mode": "automatic",
    "report": {"names": ["util", "inflight"], "source": "answers"},
    "siblings": 1,
    "tick_us": 2000,
    "weights": "rough",
    "zones": ["h", "z"],
}
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
TOP_LEVEL_KEYS = ("name", "listen", "seed", "bus")  # keys of a configuration outside its settings


def target(
    uid: str,
    kind: str = "box",
    zone: str = "z",
    port: int = 1,
    state: str = "up",
    boot: float = 0,
    **fields: object,
) -> dict[str, Any]:
    """Return an entry of the endpoint list, with an address on loopback.

    Args:
        uid: Uid of the cache.
        kind: Kind of the cache: box, parent or origin.
        zone: Zone of the cache.
        port: Port of the cache.
        state: State of the cache, such as up or draining.
        boot: Start time of the cache in Unix milliseconds; 0 for a time in the distant past.
        fields: Fields of the entry that are added or replaced.
    """
    entry: dict[str, Any] = {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": zone,
        "model": kind,
        "state": state,
        "pod_group": 0,
        "capacity_hint": 10,
        "boot_ms": boot,
    }
    return entry | fields


def listing(offset: int, *targets: Mapping[str, Any], whole: bool = False) -> dict[str, Any]:
    """Return an event of the endpoint list with the changed entries, or with all entries if `whole`."""
    return {"offset": offset, "topology": {"rev": offset, "all": whole, "targets": list(targets)}}


def configuration(
    targets: Sequence[Mapping[str, Any]],
    limits: Mapping[str, Any] = LIMITS,
    settings: Mapping[str, Any] = SETTINGS,
    **changes: object,
) -> str:
    """Return a front's configuration as JSON.

    `changes` replace values of TOP_LEVEL_KEYS; all other keys replace or add caps of the settings.
    """
    caps = {name: value for name, value in changes.items() if name not in TOP_LEVEL_KEYS}
    document = {
        "name": "n1",
        "listen": "127.0.0.1:7001",
        "seed": "5",
        "limits": dict(limits),
        "bus": "127.0.0.1:9092",
        "known": {"offset": 1, "batch": [listing(1, *targets, whole=True)]},
        "settings": {**settings, "caps": settings["caps"] | caps},
    }
    return json.dumps(document | {name: changes[name] for name in TOP_LEVEL_KEYS if name in changes})
