"""Settings of simulated runs: size, rules of the site, and the faults that may be drawn."""

from dataclasses import dataclass
from random import Random

from weldbend.testbed.faults.plan import Plan, parse_plan
from weldbend.testbed.simulation.auditor import Idempotency, Rules, SlowStartRule

EDIT_CLASS = {
    "deadline_us": 4000000,
    "goal_time_us": 700000,
    "idempotency": "at_most_once",
    "key_scope": "all",
    "name": "edit",
    "points": 2.5,
    "window_us": 1000000,
}
CLIENT_TIMEOUTS = {"photo": 6.0, "order": 9.0, "edit": 4.0}  # seconds that a client waits, by request class
RULES = Rules(
    idempotency_by_class={
        "photo": Idempotency.IDEMPOTENT,
        "order": Idempotency.DEDUPLICATED,
        "edit": Idempotency.AT_MOST_ONCE,
    },
    deduplication_windows={"photo": 5.0, "order": 3.0, "edit": 1.0},
    slow_start_rules={"box": SlowStartRule(0.2, 10.0, 2.0), "parent": SlowStartRule(0.1, 20.0, 2.0)},
)
# Values that are drawn from for each key, by kind of connection fault.
CONNECTION_FAULTS: dict[str, dict[str, tuple[str, ...]]] = {
    "delay": {"for": ("80 ms", "450 ms", "550 ms", "2 s"), "jitter": ("0 s", "300 ms")},
    "throttle": {"rate": ("20000", "200000")},
    "stall": {"for": ("150 ms", "190 ms", "210 ms", "1 s"), "inside": ("0", "5", "200")},
    "hang": {"inside": ("0", "20", "300")},
    "cut": {"how": ("reset", "close"), "inside": ("0", "1", "30", "500")},
    "half-close": {"inside": ("0", "7", "400")},
    "drop": {},
    "duplicate": {},
    "reorder": {},
    "corrupt": {"inside": ("0", "17", "25", "60"), "bytes": ("1", "3")},
    "rewrite": {"set": ("born", "ver", "use", "length", "detail", "waited"), "to": ("1", "99", "x", "-5")},
}
PURGE_GROUPS = 4  # groups of objects, assigned by rank; a purge may name a group
FRONT_PORT = 7001
CACHE_PORT = 7100
BUS_PORT = 9092
BUS_HOST = "10.0.2.1"
CLIENT_HOST = "10.0.3.1"
BUS_CLOCK = "bus"  # name of the Unix clock that timestamps purges
CACHE_CLOCK = "caches"  # name of the clock of all caches and the origin, which timestamps starts and copies


def front_name(number: int) -> str:
    """Return the name of a front and of its machine."""
    return f"n{number}"


def front_host(number: int) -> str:
    """Return the address of a front."""
    return f"10.0.0.{number}"


@dataclass(frozen=True, slots=True)
class RunSettings:
    """Size of a run and the faults that may occur in it. Rates are per second, times in seconds."""

    fronts: int = 3
    edges: int = 4
    parents: int = 2
    rate: float = 60.0  # requests per second
    seconds: float = 8.0  # duration of the load
    orders: float = 0.08  # fraction of requests of class order
    edits: float = 0.08  # fraction of requests of class edit
    faults: int = 6  # number of site faults
    weight: float = 8.0  # number of flows that a cache's link carries, as stated in the endpoint list
    fault_kinds: tuple[str, ...] = ("restart", "drain", "purge", "vanish", "reset", "front", "bus")
    max_streams: int = 32  # attempts in flight on one connection to a cache
    poll_interval: float = 0.0  # time between two polls of a front's sockets; 0: each event is handled alone
    fresh_time: float = 0.0  # seconds for which copies of class photo are fresh; 0: until they are purged
    objects: int = 120
    edge_capacity: int = 4 << 20  # bytes
    settling: float = 10.0  # time without load at the end, so that each request gets its answer
    clock_steps: int = 3  # maximum number of steps of Unix clocks
    connection_faults: int = 2  # number of faults on connections between fronts and caches


def draw_plan(rng: Random, count: int) -> Plan:
    """Draw `count` faults for the connections between fronts and caches."""
    sections: dict[str, dict[str, str]] = {}
    for number in range(count):
        kind = rng.choice(sorted(CONNECTION_FAULTS))
        section = {"kind": kind, "direction": "back", "chance": f"{rng.uniform(0.002, 0.03):.4f}"}
        for key, choices in CONNECTION_FAULTS[kind].items():
            section[key] = rng.choice(choices)
        sections[f"{number} {kind}"] = section
    return parse_plan(sections, "lines") if sections else Plan("lines", ())
