"""Benchmarks of a fleet on the virtual clock: hits, detection and catch-up times. Not part of CI."""

from collections import Counter
from dataclasses import replace
from typing import Any

from weldbend.testbed.fleet.fleet_model import FleetModel, ModelSettings
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings

SPANS = (1.0, 5.0, 10.0, 30.0)  # seconds after the restarts; each span starts at RESTART_AT
RESTART_AT = 40.0  # seconds of the run
FRONT_DOWNTIME = 0.4  # seconds
FAULT_FREE: dict[str, Any] = {"faults": 0, "fleet_faults": 0, "calm": 0.0, "orders": 0.0, "edits": 0.0}

KILLED_AT = 50.0  # seconds of the run
# Seconds of the run from which members are frozen, and DEAD verdicts about live members are false deaths.
SETTLED_AT = 20.0
FREEZES_UNTIL = 85.0  # seconds of the run
NEWCOMER_START_AT = 40.0  # seconds of the run at which the new member starts
PURGES = 1000  # published in addition to the items
WATCH_PERIOD = 0.05  # seconds between two checks of the new member


def edge_counts(run: FleetRun) -> Counter[str]:
    """Return the sum of the counters of all edges."""
    counts: Counter[str] = Counter()
    for cache in run.site.caches.by_uid.values():
        if cache.kind == "box":
            counts.update(cache.counts)
    return counts


def measure_restart(seed: int, has_fleet: bool, fronts: int = 4) -> dict[str, Any]:
    """Measure hits at edges after all fronts were restarted in turn and half of the edges lost their copies.

    Returns:
        For each span after the restarts: requests sent and served, the fraction of lookups at edges that hit,
        and fills.
    """
    settings = FleetRunSettings(
        **FAULT_FREE,
        fronts=fronts,
        rate=25.0 * fronts,
        seconds=RESTART_AT + 32.0,
        objects=3000,
        edge_capacity=2 << 20,
        has_fleet=has_fleet,
        settling=6.0,
    )
    run = FleetRun(seed, settings)
    snapshots: dict[float, tuple[Counter[str], Counter[str]]] = {}

    def add_snapshot(span: float) -> None:
        snapshots[span] = edge_counts(run), Counter(run.auditor.counts)

    def schedule_snapshot(span: float) -> None:
        run.events.schedule(RESTART_AT + span, lambda: add_snapshot(span))

    def schedule_kill(number: int) -> None:
        at = RESTART_AT - 0.6 * number
        run.events.schedule(at, lambda: run.site.kill_front(number, FRONT_DOWNTIME))

    def schedule_restart(uid: str) -> None:
        run.events.schedule(RESTART_AT - 1.0, lambda: run.site.restart_cache(uid))

    for number in range(1, fronts + 1):
        schedule_kill(number)
    for uid in ("e1", "e2"):
        schedule_restart(uid)
    for span in (0.0, *SPANS):
        schedule_snapshot(span)
    run.play()
    return {f"{span:g} s": _restart_row(snapshots[0.0], snapshots[span]) for span in SPANS}


def _restart_row(
    before: tuple[Counter[str], Counter[str]], after: tuple[Counter[str], Counter[str]]
) -> dict[str, Any]:
    edges, requests = (
        {name: count - old[name] for name, count in new.items()}
        for old, new in zip(before, after, strict=True)
    )
    lookups = edges.get("hits", 0) + edges.get("misses", 0)
    return {
        "asked": requests.get("downloads", 0),
        "fulfilled": requests.get("fulfilled", 0),
        "hits": round(edges.get("hits", 0) / max(lookups, 1), 3),
        "filled": edges.get("filled", 0) + edges.get("filled from origin", 0),
        "from the origin": edges.get("filled from origin", 0),
    }


def measure_hits(
    seed: int, fronts: int, has_fleet: bool, seconds: float = 60.0, rate: float = 160.0
) -> float:
    """Return the fraction of lookups at edges that hit in the second half of a run.

    `rate` is the request rate of all fronts together.
    """
    settings = FleetRunSettings(
        **FAULT_FREE,
        fronts=fronts,
        rate=rate,
        seconds=seconds,
        objects=6000,
        edge_capacity=1 << 20,
        has_fleet=has_fleet,
        settling=1.0,
    )
    run = FleetRun(seed, settings)
    first_half: Counter[str] = Counter()
    run.events.schedule(seconds / 2, lambda: first_half.update(edge_counts(run)))
    run.play()
    counts = edge_counts(run)
    hits, misses = (counts[name] - first_half[name] for name in ("hits", "misses"))
    return hits / max(hits + misses, 1)


def measure_detection(fronts: int, seed: int, frozen: float) -> dict[str, Any]:
    """Measure the time to detect a killed member, and false deaths.

    `frozen` is the fraction of time for which each member is frozen. For comparison, the report estimates the
    false deaths of plain timeouts: each member sends heartbeats to all others in each interval, and is
    declared dead after as long without one as this fleet took to detect the death.
    """
    settings = ModelSettings(fronts=fronts, seconds=90.0, calm=0.0, faults=0, rate=0.0)
    fleet = FleetModel(seed, settings)
    victim = fleet.names[-1]
    fleet.events.schedule(KILLED_AT, lambda: fleet.kill(victim))
    freezes = _schedule_freezes(fleet, frozen) if frozen else {}
    fleet.run()
    transitions = [(float(line.split()[0]), line) for line in fleet.log if " -> " in line]
    of_victim = [(at, line) for at, line in transitions if f": {victim} " in line and at > KILLED_AT]
    suspected, dead = (
        [at - KILLED_AT for at, line in of_victim if f"-> {state}" in line] for state in ("SUSPECT", "DEAD")
    )
    others = [entry for entry in transitions if entry not in of_victim]
    false_deaths = sum("-> DEAD" in line and at > SETTLED_AT for at, line in others)
    timeout = min(dead, default=settings.fleet.probe_interval * 5)
    late = sum(end - begin > timeout for spans in freezes.values() for begin, end in spans)
    return {
        "suspected first": min(suspected, default=None),
        "known first": min(dead, default=None),
        "known to all": max(dead, default=None),
        "views": len(dead),
        "false deaths": false_deaths,
        "false deaths by plain timeouts": late * (fronts - 1),
    }


def _schedule_freezes(fleet: FleetModel, frozen: float) -> dict[str, list[tuple[float, float]]]:
    """Schedule repeated freezes of each member; returns (begin, end) of each freeze, by member."""
    spans: dict[str, list[tuple[float, float]]] = {name: [] for name in fleet.names}

    def freeze(name: str, seconds: float) -> None:
        if fleet.nodes[name].is_up:
            fleet.freeze(name, seconds)

    def schedule(at: float, name: str, seconds: float) -> None:
        fleet.events.schedule(at, lambda: freeze(name, seconds))

    for name in fleet.names:
        at = SETTLED_AT + fleet.rng.random() * 10
        while at < FREEZES_UNTIL:
            seconds = fleet.rng.uniform(0.5, 6.0)
            spans[name].append((at, at + seconds))
            schedule(at, name, seconds)
            at += seconds / frozen
    return spans


def measure_catch_up(items: int, rate: int = 256_000) -> dict[str, float]:
    """Measure the seconds until a new member has the items and the 1,000 purges of its three peers.

    `rate` limits snapshot transfers, in bytes per second.
    """
    settings = ModelSettings(fronts=4, seconds=60.0, calm=0.0, faults=0, rate=0.0, loss=0.0)
    settings = replace(settings, fleet=replace(settings.fleet, peer_rate=rate))
    fleet = FleetModel(1, settings)
    caught_up: list[float] = []

    def fill() -> None:
        node = fleet.nodes["n1"]
        for number in range(items):
            node.publish("setting", f"object-{number:06}", number, "x" * 24)
        for number in range(PURGES):
            node.publish("purge", f"k:{number:016x}", int(fleet.events.now * 1000))

    def watch() -> None:
        node = fleet.nodes["n4"]
        if node.is_up and node.anti_entropy.is_caught_up and not caught_up:
            caught_up.append(fleet.events.now - NEWCOMER_START_AT)
        fleet.events.schedule(WATCH_PERIOD, watch)

    fleet.events.schedule(5.0, fill)
    fleet.events.schedule(30.0, lambda: fleet.kill("n4"))
    fleet.events.schedule(NEWCOMER_START_AT, lambda: fleet.start("n4"))
    fleet.events.schedule(NEWCOMER_START_AT + 0.01, watch)
    fleet.run()
    return {
        "items": len(fleet.nodes["n4"].store.items),
        "seconds": round(caught_up[0], 2) if caught_up else -1.0,
        "snapshot bytes": fleet.counts["snapshot bytes"],
    }
