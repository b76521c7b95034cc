"""The state of the fleet as the admin port returns it; the keys are part of the admin protocol."""

from typing import Any

from weldbend.fleet.member_table import State
from weldbend.fleet.membership_view import MemberView
from weldbend.fleet.service import Fleet

MAX_AGE = 1e9  # seconds; a larger age means that the event never happened
DIGEST_MARGIN = 1.0  # seconds; items that expire sooner are excluded from the digest that fronts compare


def status(fleet: Fleet) -> dict[str, Any]:
    """Return the view of all members, with ages in seconds, and the amount of replicated state."""
    view = fleet.view()
    anti_entropy = fleet.anti_entropy
    counts = fleet.membership.counts + anti_entropy.counts + fleet.counts + fleet.connections.counts
    return {
        "name": fleet.name,
        "fleet": fleet.settings.fleet,
        "epoch": fleet.membership.epoch,
        "sight": view.reachability.name,
        "health": view.health,
        "contested": view.is_contested,
        "caught_up": anti_entropy.is_caught_up,
        "members": [
            _member_status(member, member.name in fleet.connections.established_by_peer)
            for member in view.members
        ],
        "items": len(fleet.store.items),
        "digest": f"{fleet.store.digest(view.at, DIGEST_MARGIN, True):012x}",
        "vector": fleet.store.vector(),
        "dropped": dict(fleet.authenticator.dropped),
        "counts": dict(counts),
    }


def _member_status(member: MemberView, is_connected: bool) -> dict[str, Any]:
    return {
        "name": member.name,
        "state": State(member.state).name,
        "epoch": member.epoch,
        "incarnation": member.incarnation,
        "since": _age(member.state_age),
        "heard": _age(member.message_age),
        "voices": list(member.suspected_by),
        "linked": is_connected,
    }


def _age(seconds: float) -> float | None:
    return round(seconds, 3) if seconds < MAX_AGE else None


def items(fleet: Fleet) -> list[dict[str, Any]]:
    """Return all items of the replicated state, with their ages in seconds."""
    now = fleet.timers.now()
    return [
        {"kind": kind, "key": key, "value": list(item.value), "age": round(now - item.written_at, 3)}
        for (kind, key), item in sorted(fleet.store.items.items())
    ]
