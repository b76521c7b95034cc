# ruff: noqa
"""Case 1: clients that send many commands at once make a front exceed its memory limit, and it is killed."""

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared"))

from standins import *

MEMORY_MB = 80
SOCKETS = 608
CONNECTIONS = 50  # of the 202 that a third of the descriptor limit allows
OPEN_AT_ONCE = 32  # requests; what the protocol page allows on a connection
BODY = 48_000  # bytes; what the protocol page allows for a write
REGULAR_INTERVAL = 0.05  # seconds between two requests of the regular clients
AFTER = 2.0  # seconds of regular traffic before and after the burst


def order(**changes: str) -> dict[str, str]:
    fields = {
        "class": "order-prints",
        "id": request_id(),
        "wait": "3000",
        "once": request_id() + request_id(),
        "key": request_id(),
        "nth": "0",
        "batch": "17",
        "kb": "48",
    }
    return fields | changes


def clip(number: int) -> dict[str, str]:
    return {
        "class": "clip-parts",
        "id": request_id(),
        "wait": "5000",
        "key": f"{number % 20:016x}",
        "nth": "0",
        "batch": "3",
        "kb": "400",
    }


class Platform:
    """Kills the front when the memory of its process is over the limit, as the deployment page says.

    Only anonymous memory is counted: no page of a file, and nothing that is shared.
    """

    def __init__(self, record: Record, front: Front) -> None:
        self.record, self.front = record, front
        self.peak_kb = 0
        self.has_killed = False

    async def watch(self) -> None:
        while self.front.process.returncode is None:
            used = self.front.memory_kb("RssAnon")
            if used > self.peak_kb:
                self.peak_kb = used
                self.record("platform: the front uses", used, "kB of", MEMORY_MB * 1024)
            if used > MEMORY_MB * 1024:
                self.has_killed = True
                self.front.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.002)


async def send_many(record: Record, front: Front, number: int, results: Counter) -> None:
    """Play one client: 32 requests at once or, without the disruption, one after the other."""
    client = await Client(record, f"many-{number}").connect(front.port)
    if TROUBLE:
        futures = [client.request(order(), b"x" * BODY) for _ in range(OPEN_AT_ONCE)]
        record("client", client.name, "has sent", OPEN_AT_ONCE, "requests at once")
        for future in futures:
            results[(await future)[0]] += 1
    else:
        for _ in range(OPEN_AT_ONCE):
            results[(await client.request(order(), b"x" * BODY))[0]] += 1
    record("client", client.name, "is done")
    client.close()


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
    await bus.start()
    front = Front(record, "n1", folder)
    caps = settings()["caps"] | {"open_cap": 20000}  # as the site file of stajerska-branches has it
    front.write_config(bus, [first], limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS}, caps=caps)
    await front.start()
    platform = Platform(record, front)
    watcher = asyncio.create_task(platform.watch())
    regular: list[asyncio.Future] = []
    many: Counter = Counter()
    try:
        client = await Client(record, "regular").connect(front.port)

        async def send_regular(seconds: float) -> None:
            end = time.monotonic() + seconds
            while time.monotonic() < end and not client.is_ended:
                regular.append(client.request(clip(len(regular))))
                await asyncio.sleep(REGULAR_INTERVAL)

        await send_regular(AFTER)
        record("regular use of memory:", platform.peak_kb, "kB")
        burst = [asyncio.create_task(send_many(record, front, number, many)) for number in range(CONNECTIONS)]
        await send_regular(AFTER)
        await asyncio.wait(burst, timeout=20)
        await asyncio.wait(regular, timeout=6)
    finally:
        watcher.cancel()
        await front.end()
    outcomes = Counter(future.result()[0] if future.done() else "none" for future in regular)
    record.say(
        f"limit {MEMORY_MB * 1024} kB, used at most {platform.peak_kb} kB; killed: {platform.has_killed}"
    )
    record.say("requests of the regular client:", dict(outcomes))
    record.say("requests of the clients that send many:", dict(many))
    return not platform.has_killed


play(str(Path(__file__).parent), case)
