# ruff: noqa
"""Case 1: bad clients that send hundreds of requests at once take a front over its memory limit."""

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared"))

from standins import *

MEMORY_MB = 96
SOCKETS = 608
BAD_CLIENTS = 25  # each with one connection
REQUESTS = 200  # that each of them sends at once
BODY = 48_000  # bytes; what the protocol page allows for a write
REGULAR_INTERVAL = 0.05  # seconds between two requests of the regular clients
ORDERS = 17  # every so many of them are an order: 5.9 %
BEFORE = 2.0  # seconds of regular traffic before the bad clients come
AFTER = 4.0  # seconds of regular traffic from then on


def order() -> dict[str, str]:
    return {
        "class": "order-prints",
        "id": request_id(),
        "wait": "3000",
        "once": request_id() + request_id(),
        "key": request_id(),
        "nth": "0",
        "batch": "17",
        "kb": "48",
    }


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


async def send_many(record: Record, front: Front, number: int, sent: Counter) -> None:
    """Play a bad client: it sends hundreds of requests at once, reads whatever it is sent, and goes."""
    reader, writer = await asyncio.open_connection(HOST, front.port)

    async def read_all() -> None:
        with contextlib.suppress(ConnectionError):
            while await reader.read(1 << 16):
                pass

    reading = asyncio.create_task(read_all())
    try:
        for seqid in range(1, REQUESTS + 1):
            writer.write(process_frame(seqid, order(), b"x" * BODY))
            await writer.drain()
            sent[number] += 1
        await asyncio.wait_for(reading, 3.0)
    except (ConnectionError, asyncio.TimeoutError):
        pass
    record("bad client", number, "has sent", sent[number], "requests and goes")
    writer.close()


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
    sent: Counter = Counter()
    try:
        client = await Client(record, "regular").connect(front.port)

        async def send_regular(seconds: float) -> None:
            end = time.monotonic() + seconds
            while time.monotonic() < end and not client.is_ended:
                if len(regular) % ORDERS:
                    regular.append(client.request(clip(len(regular))))
                else:
                    regular.append(client.request(order(), b"x" * BODY))
                await asyncio.sleep(REGULAR_INTERVAL)

        await send_regular(BEFORE)
        record("regular use of memory:", platform.peak_kb, "kB")
        bad = []
        if TROUBLE:
            bad = [asyncio.create_task(send_many(record, front, n, sent)) for n in range(BAD_CLIENTS)]
        await send_regular(AFTER)
        if bad:
            await asyncio.wait(bad, timeout=20)
        await asyncio.wait(regular, timeout=6)
    finally:
        watcher.cancel()
        await front.end()
    outcomes = Counter(future.result()[0] if future.done() else "none" for future in regular)
    record.say(
        f"limit {MEMORY_MB * 1024} kB, used at most {platform.peak_kb} kB; killed: {platform.has_killed}"
    )
    record.say("requests of the regular client:", dict(outcomes))
    record.say(f"bad clients: {len(sent)}, which sent {sent.total()} requests")
    return not platform.has_killed


play(str(Path(__file__).parent), case)
