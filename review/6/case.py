# ruff: noqa: D103
"""Bad clients send messages with a wrong length inside; are usual clients still answered?"""

import asyncio
import contextlib
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig"))
import rig

BAD_CLIENTS = 100
MESSAGES = 4  # messages of each bad client
ELEMENTS = 60_000
DAY = 12.0  # seconds of usual requests
RATE = 20  # usual requests a second


def bad_message(seqid: int) -> bytes:
    """Return a request, and behind it a list whose stated length is greater than what follows.

    Its elements are empty structs of one byte, and the message ends before the last of them.
    """
    pairs = rig.process_arguments({"class": "clip-parts", "id": "0" * 16})
    too_long = b"\x0f\0\x03\x0c" + struct.pack(">i", ELEMENTS) + b"\0" * (ELEMENTS - 1)
    return rig.call("process", seqid, pairs + too_long)


async def bad_client(front: rig.Front, site: rig.Site, outcomes: list[str]) -> None:
    """Send all messages at once, and read until the front closes."""
    host, port = front.listen.split(":")
    started = time.monotonic()
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.suppress(OSError):
            site.log("bad client sends", messages=MESSAGES)
            writer.write(b"".join(bad_message(n) for n in range(1, MESSAGES + 1)))
            received = await asyncio.wait_for(reader.read(), 60)
            outcomes.append(f"{len(received)} bytes and a close")
        writer.close()
    site.log("bad client ends", took=f"{time.monotonic() - started:.2f}")


async def usual_clients(front: rig.Front) -> list[rig.Client]:
    clients = [await front.connect() for _ in range(5)]
    for number in range(int(DAY * RATE)):
        clients[number % len(clients)].send("clip-parts", wait=2.5, key=rig.key(number % 50))
        await asyncio.sleep(1 / RATE)
    return clients


async def case(folder: Path) -> str | None:
    site = rig.Site(folder)
    try:
        await site.open()
        front = await site.start_front()
        usual = asyncio.ensure_future(usual_clients(front))
        outcomes: list[str] = []
        await asyncio.sleep(3)
        if rig.TROUBLE:
            await asyncio.gather(*(bad_client(front, site, outcomes) for _ in range(BAD_CLIENTS)))
        await usual
        await asyncio.sleep(2.5 + rig.LATE + 0.5)
        lost = site.lost()
        for request, verdict in lost:
            site.log("verdict", id=request.id, verdict=verdict)
        late = max((r.answers[0][0] - r.sent - r.wait for r in site.requests if r.answers), default=0)
        print(f"{len(site.requests)} usual requests, {len(lost)} lost, latest {late:.2f} s after its time")
        print(f"front running: {front.is_running()}, bad clients ended: {len(outcomes)}")
        return f"{len(lost)} usual requests lost: {lost[0][1]}" if lost else None
    finally:
        site.close()


if __name__ == "__main__":
    rig.main(str(Path(__file__).parent), case)
