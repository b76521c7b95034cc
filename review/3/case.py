# ruff: noqa
"""Case 3: a front never hears of a drain from an event bus that takes 2.2 s to serve each call."""

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared"))

from standins import *

TURN = 2.2  # seconds that a call waits for its turn at the bus
TOLD_AFTER = 7.0  # seconds after which what the bus has to tell counts as told, whether or not it arrived
GRACE = 0.25  # seconds from then until sends have to stop: `drain_grace_us` of the settings
TOLERANCE = 0.05  # seconds by which each time limit is longer on sockets
DRAIN_AT = 3.0  # seconds after the front is ready
SEND_FOR = 18.0  # seconds of requests
INTERVAL = 0.03  # seconds between two requests


async def case(record: Record, folder: Path) -> bool:
    edges = [Cache(record, f"s-{i}", "small-box", "branch-1", edge) for i in range(4)]
    caches = [
        *edges,
        Cache(record, "hub-1", "hub-cache", "upper", edge),
        Cache(record, "archive", "archive", "upper", origin),
    ]
    for cache in caches:
        await cache.start()
    first = listing(1, [cache.target() for cache in caches], whole=True)
    bus = Bus(record, first)
    bus.wait = TURN if TROUBLE else 0.0
    await bus.start()
    front = Front(record, "n1", folder)
    front.write_config(bus, [first])
    await front.start()
    drained = edges[0]
    drained_at = None
    requests: list[asyncio.Future] = []
    try:
        client = await Client(record, "client").connect(front.port)
        began = time.monotonic()
        while (now := time.monotonic()) < began + SEND_FOR:
            if drained_at is None and now > began + DRAIN_AT:
                bus.publish(topology={"rev": 2, "all": False, "targets": [drained.target("draining")]})
                drained_at = now
            fields = {
                "class": "clip-parts",
                "id": request_id(),
                "wait": "5000",
                "key": f"{len(requests) % 40:016x}",
                "nth": "0",
                "batch": "3",
                "kb": "400",
            }
            requests.append(client.request(fields))
            await asyncio.sleep(INTERVAL)
        await asyncio.wait(requests, timeout=6)
    finally:
        await front.end()
    limit = drained_at + TOLD_AFTER + GRACE + TOLERANCE
    late = [command.at - drained_at for command in drained.received if command.at > limit]
    late += [
        command.at - drained_at
        for cache in caches
        for command in cache.received
        if command.fields.get("from") == drained.uid and command.at > limit
    ]
    outcomes = Counter(future.result()[0] if future.done() else "none" for future in requests)
    before = sum(command.at < drained_at for command in drained.received)
    record.say("requests:", dict(outcomes), "; calls at the bus:", bus.calls)
    record.say(
        f"{drained.uid} got {before} commands before it drained, and {len(late)} later than "
        f"{TOLD_AFTER + GRACE + TOLERANCE:.2f} s after that; the last one {max(late, default=0.0):.2f} s after"
    )
    if not before:
        raise CannotRun("the cache got nothing before it drained")
    return not late


play(str(Path(__file__).parent), case)
