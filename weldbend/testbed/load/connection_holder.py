"""Holds many connections open and wakes a share of them at once; a process of its own, told by lines.

Plain sockets and one epoll set: nineteen thousand protocol objects here would measure the tool. Commands on
standard input, one JSON object a line on standard output for each:

    open COUNT RATE SOURCE   connect so many, each from 127.0.0.SOURCE, and have each answer one probe
    wake SHARE WHAT SECONDS  `probe` or `photo` on a share of them in one go; wait for the answers
    count                    how many are still open
    end
"""

import json
import random
import select
import socket
import sys
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from weldbend.buffers.ring import Ring
from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.objects import Sizes
from weldbend.testbed.load import client_calls

LATE_PORT = 24  # IP_BIND_ADDRESS_NO_PORT (Linux): a port is looked for at connect, much faster
PHOTO_WAIT = 6000  # milliseconds


class Holder:
    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self.address, self.rng, self.sizes = address, random.Random(seed), Sizes()
        self.seed = seed
        self.poll = select.epoll()
        self.held: dict[int, socket.socket] = {}
        self.rings: dict[int, Ring] = {}
        self.asked = 0

    def open(self, count: int, rate: float, source: int) -> dict[str, Any]:
        """Connect `count`, `rate` a second, and let each ask one probe."""
        begun, failed = time.monotonic(), 0
        for number in range(count):
            if (wait := begun + number / rate - time.monotonic()) > 0:
                time.sleep(wait)
            client = socket.socket()
            try:
                client.setsockopt(socket.IPPROTO_IP, LATE_PORT, 1)
                client.bind((f"127.0.0.{source}", 0))
                client.connect(self.address)
                client.sendall(client_calls.probe(1))
                client.settimeout(10)
                client.recv(256)
            except OSError:
                failed += 1
                client.close()
                continue
            client.setblocking(False)
            self.held[client.fileno()] = client
            self.poll.register(client.fileno(), select.EPOLLIN | select.EPOLLRDHUP)
        return {"open": len(self.held), "failed": failed, "seconds": time.monotonic() - begun}

    def count(self) -> dict[str, Any]:
        """How many are open, once those that the front closed are put away."""
        while events := self.poll.poll(0, 4096):
            for fd, _ in events:
                self.drop(fd)
        return {"open": len(self.held)}

    def drop(self, fd: int) -> None:
        self.held.pop(fd).close()
        self.rings.pop(fd, None)

    def call(self, what: str) -> bytes:
        self.asked += 1
        if what == "probe":
            return client_calls.probe(2)
        key, part = objects.key_of(self.rng.randrange(1, 2000)), 0
        fields = {
            "class": "photo", "id": f"{self.seed & 0xFFFF:04x}{self.asked:012x}", "wait": str(PHOTO_WAIT),
            "key": key, "nth": "0", "batch": "1", "kb": str(self.sizes.kb(key, part)),
        }  # fmt: skip
        return client_calls.process(2, fields)

    def wake(self, share: float, what: str, patience: float) -> dict[str, Any]:
        """Wake a share at once; latencies run from just before the first was written."""
        chosen = self.rng.sample(sorted(self.held), round(share * len(self.held)))
        ready = [(fd, self.call(what)) for fd in chosen]
        begun, waiting, latency = time.monotonic(), set(chosen), HdrHistogram(1, 60_000_000, 3)
        outcomes: dict[str, int] = {}
        closed = 0
        for fd, data in ready:
            try:
                self.held[fd].send(data)
            except OSError:
                closed += 1
        sent, last = time.monotonic() - begun, 0.0
        while waiting and time.monotonic() < begun + patience:
            for fd, _ in self.poll.poll(0.05, 1024):
                try:
                    data = self.held[fd].recv(1 << 18)
                except OSError:
                    data = b""
                if not data:
                    closed += fd in waiting
                    waiting.discard(fd)
                    self.drop(fd)
                    continue
                ring = self.rings.setdefault(fd, Ring(1 << 21))
                for heard in client_calls.feed(ring, data):
                    last = time.monotonic() - begun
                    latency.record_value(max(int(last * 1e6), 1))
                    outcomes[heard.outcome] = outcomes.get(heard.outcome, 0) + 1
                    if heard.outcome == "throttled" and "after" not in heard.fields:
                        outcomes["throttled without a time"] = outcomes.get("throttled without a time", 0) + 1
                    if fd not in waiting:
                        outcomes["second answers"] = outcomes.get("second answers", 0) + 1
                    waiting.discard(fd)
                if not len(ring):
                    self.rings.pop(fd, None)
        value = latency.get_value_at_percentile
        return {
            "woken": len(chosen), "sent_s": sent, "all_answered_s": last, "outcomes": outcomes,
            "closed": closed, "unanswered": len(waiting),
            "latency_ms": {f"p{share:g}": value(share) / 1000 for share in (50, 99, 100)},
        }  # fmt: skip


def main(address: str, seed: int) -> None:
    host, _, port = address.rpartition(":")
    holder = Holder((host, int(port)), seed)
    for line in sys.stdin:
        match line.split():
            case ["open", count, rate, source]:
                told = holder.open(int(count), float(rate), int(source))
            case ["wake", share, what, patience]:
                told = holder.wake(float(share), what, float(patience))
            case ["count"]:
                told = holder.count()
            case ["end"]:
                break
            case _:
                told = {"error": line.strip()}
        print(json.dumps(told), flush=True)
