# ruff: noqa: D102, D103
"""Answers of the archive get lost and clients retry at another front; does an order run twice?"""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))
import rig

WINDOW = 1.2  # seconds after its first run for which the archive drops a repeat of an order
EXPIRY = 2.0  # seconds for which a client waits in all
TRY = 1.0  # seconds after which a client gives its first try up: half of the expiry
BACKOFF = 0.05  # seconds from a failure to the client's only retry
DAY = 16.0  # seconds in which orders are sent
RATE = 20  # orders a second, to two fronts in turn
UNLUCKY = 80  # one order in so many loses its answers
LOSS = 1.4  # seconds after its first run for which an unlucky order's answers are lost
CLASSES = {
    "clip-parts": {"deadline": 5.0, "aim": 0.5, "effect": "idempotent", "window": 5.0, "write": False},
    "order-prints": {
        "deadline": EXPIRY,
        "aim": 0.7,
        "effect": "deduplicated",
        "window": WINDOW,
        "write": True,
    },
}


class Archive:
    """Runs orders, drops repeats for WINDOW, and loses the answers of unlucky orders.

    Attributes:
        runs: times at which each order was run, by its key.
        unlucky: keys of the unlucky orders.
        lost_count: answers that did not come.
    """

    def __init__(self, site: rig.Site) -> None:
        self.site = site
        self.runs: dict[str, list[float]] = {}
        self.unlucky: set[str] = set()
        self.lost_count = 0

    def answer(self, command: rig.Command) -> tuple[str, dict[str, str], bytes]:
        once = command.fields["uniq"]
        runs = self.runs.setdefault(once, [])
        if not runs or command.received > runs[-1] + WINDOW:
            runs.append(command.received)
            self.site.log("archive runs the order", once=once, time=len(runs), id=command.name)
        return "DONE", {"ver": "aa", "born": str(int(time.time() * 1000))}, b"done"

    def lose(self, command: rig.Command, data: bytes) -> bytes | None:
        """Return the answer, or None if it doesn't come; its connection is then of no further use."""
        once = command.fields["uniq"]
        connection = command.connection
        if once in self.unlucky and time.monotonic() < self.runs[once][0] + LOSS:
            connection.is_useless = True
        if connection.is_useless:
            self.lost_count += 1
            self.site.log("answer doesn't come", once=once, id=command.name)
            return None
        return data


async def order(fronts: list[rig.Front], clients: list[rig.Client], number: int, once: str) -> None:
    """Send an order, and retry it once at the other front, as a client does within the window."""
    fields = {"once": once, "key": rig.key(number)}
    at = number % 2
    first = clients[at].send("order-prints", wait=TRY, **fields)
    await asyncio.wait_for(first.event.wait(), TRY + rig.LATE)
    if first.answers[0][1] == "served":
        return
    await asyncio.sleep(BACKOFF)
    if first.answers[0][1] == "failed" and time.monotonic() > first.sent + WINDOW:
        return
    left = first.sent + EXPIRY - time.monotonic()
    if left > 0:
        client = await fronts[1 - at].connect()
        client.send("order-prints", wait=left, retry="1", **fields)


async def case(folder: Path) -> str | None:
    site = rig.Site(folder, classes=CLASSES, fronts=2)
    try:
        await site.open()
        archive = Archive(site)
        site.caches["o1"].answer = archive.answer
        site.caches["o1"].spoil = archive.lose
        fronts = [await site.start_front() for _ in range(2)]
        clients = [await front.connect() for front in fronts]
        tasks = []
        for number in range(int(DAY * RATE)):
            once = f"{random.getrandbits(128):032x}"
            if rig.TROUBLE and number % UNLUCKY == 0 and number > 2 * RATE:
                archive.unlucky.add(once)
            tasks.append(asyncio.ensure_future(order(fronts, clients, number + number // UNLUCKY, once)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(EXPIRY + 0.5)
        twice = {once: runs for once, runs in archive.runs.items() if len(runs) > 1}
        for once, runs in twice.items():
            after = " ".join(f"{run - runs[0]:.3f}" for run in runs)
            site.log("order ran twice", once=once, seconds_after_the_first_run=after)
        print(
            f"{len(archive.runs)} orders, {len(archive.unlucky)} unlucky, {len(site.attempts)} attempts, "
            f"{archive.lost_count} answers lost, {len(site.lost())} requests lost"
        )
        if twice:
            gaps = sorted(runs[1] - runs[0] for runs in twice.values())
            return f"{len(twice)} orders ran twice, {gaps[0]:.2f} to {gaps[-1]:.2f} s apart"
        return None
    finally:
        site.close()


if __name__ == "__main__":
    rig.main(str(Path(__file__).parent), case)
