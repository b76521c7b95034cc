# ruff: noqa
"""Case 2: a refusal sends a client back after the archive has forgotten the key, and its order runs twice."""

import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared"))

from standins import *

WINDOW = 1.5  # seconds for which the archive drops repeats; `window_us` of the settings
EXPIRY = 2.0  # seconds that a client waits in all, over all its tries; `deadline_us` of the settings
TRY_SHARE = 0.6  # a try is given up after 50 to 100 % of the expiry
ORDERS = 40
LOST = 10  # of every so many orders, the answer of one does not come
INTERVAL = 0.2  # seconds between two orders


class Archive(Cache):
    """The archive: it runs an order, and drops each repeat of its key for WINDOW seconds.

    The answer to the first run of some orders does not come. All other answers come.
    """

    def __init__(self, record: Record) -> None:
        super().__init__(record, "archive", "archive", "upper", self.run)
        self.runs: dict[str, list[float]] = {}  # by key, the times at which the order was run

    def run(self, command: Command) -> None:
        if "uniq" not in command.fields:
            origin(command)
            return
        runs = self.runs.setdefault(command.fields["uniq"], [])
        if runs and command.at - runs[-1] < WINDOW:
            self.record("archive: drops a repeat of", command.fields["uniq"])
        else:
            runs.append(command.at)
            self.record("archive: RUNS", command.fields["uniq"], "time", len(runs))
        if TROUBLE and command.at == runs[0] and len(self.runs) % LOST == 0:
            self.record("archive: the answer does not come:", command.name)
        else:
            origin(command)


async def order(record: Record, front: Front, outcomes: Counter, waits: list[int]) -> None:
    """Play a sound client with one order: one retry, only after a refusal, when the refusal says so."""
    client = await Client(record, "client").connect(front.port)
    key, once = request_id(), request_id() + request_id()
    began = time.monotonic()

    async def attempt(**retry: str) -> tuple:
        fields = {
            "class": "order-prints",
            "id": request_id(),
            "wait": str(int(min(TRY_SHARE * EXPIRY, began + EXPIRY - time.monotonic()) * 1000)),
            "once": once,
            "key": key,
            "nth": "0",
            "batch": "17",
            "kb": "20",
        } | retry
        record("client sends", fields["id"], "wait", fields["wait"], "once", once, retry)
        outcome = await client.request(fields, b"two prints, please")
        record("client is told of", fields["id"], ":", outcome[0], outcome[2])
        return outcome

    outcome = await attempt()
    if outcome[0] == "refused":
        after = int(outcome[2].get("after", "0"))
        waits.append(after)
        await asyncio.sleep(after / 1000)
        if time.monotonic() < began + EXPIRY:
            outcome = await attempt(retry="1")
            outcomes["after a refusal: " + outcome[0]] += 1
            client.close()
            return
    outcomes[outcome[0]] += 1
    client.close()


async def case(record: Record, folder: Path) -> bool:
    archive = Archive(record)
    caches = [
        *(Cache(record, f"s-{i}", "small-box", "branch-1", edge) for i in range(4)),
        Cache(record, "hub-1", "hub-cache", "upper", edge),
        archive,
    ]
    for cache in caches:
        await cache.start()
    first = listing(1, [cache.target() for cache in caches], whole=True)
    bus = Bus(record, first)
    await bus.start()
    front = Front(record, "n1", folder)
    lanes = settings()["lanes"]
    lanes[1] |= {"window_us": int(WINDOW * 1e6), "deadline_us": int(EXPIRY * 1e6)}
    front.write_config(bus, [first], lanes=lanes)
    await front.start()
    outcomes: Counter = Counter()
    waits: list[int] = []
    try:
        tasks = []
        for _ in range(ORDERS):
            tasks.append(asyncio.create_task(order(record, front, outcomes, waits)))
            await asyncio.sleep(INTERVAL)
        await asyncio.wait(tasks, timeout=8)
    finally:
        await front.end()
    twice = {once: runs for once, runs in archive.runs.items() if len(runs) > 1}
    record.say("orders:", dict(outcomes), "; refusals said to come back after", sorted(set(waits)), "ms")
    for once, runs in twice.items():
        record.say(f"order {once} was run {len(runs)} times, {runs[-1] - runs[0]:.3f} s apart")
    return not twice


play(str(Path(__file__).parent), case)
