"""Holds many connections open and wakes a fraction of them at once; a process of its own, driven by lines.

Plain sockets and one epoll set: nineteen thousand protocol objects here would measure the tool. Commands on
standard input, one JSON object a line on standard output for each:

    open COUNT RATE SOURCE   connect so many, each from 127.0.0.SOURCE, and have each answer one health check
    wake SHARE WHAT SECONDS  send `probe` or `photo` on a fraction of them in one go; wait for the answers
    count                    how many are still open
    end
"""

import json
import random
import select
import socket
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from weldbend.buffers.ring import Ring
from weldbend.testbed.emulator import objects
from weldbend.testbed.emulator.objects import PartSizes
from weldbend.testbed.load import client_calls
from weldbend.testbed.load.client_calls import ClientAnswer

IP_BIND_ADDRESS_NO_PORT = 24  # Linux: a port is assigned at connect, much faster
PHOTO_TIMEOUT = 6000  # milliseconds
PROBE_TIMEOUT = 10  # seconds
PROBE_ANSWER_SIZE = 256  # bytes, more than one has
RING_SIZE = 1 << 21  # bytes of answers that a connection buffers
READ_SIZE = 1 << 18  # bytes
POLL_TIMEOUT = 0.05
MAX_EVENTS = 1024  # of one poll
MAX_CLOSE_EVENTS = 4096  # of one poll, while counting
OBJECTS = 2000  # that requests are drawn from
HISTOGRAM_MAX_US = 60_000_000  # microseconds that a histogram counts
WAKE_SEQID = 2  # after the health check's


@dataclass
class Wake:
    """One wake of many connections, and what has become of it so far."""

    descriptors: list[int]  # descriptors
    started_at: float  # on the steady clock
    unanswered: set[int]
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_US, 3))
    outcomes: Counter[str] = field(default_factory=Counter)
    closed: int = 0
    sent_after: float = 0.0  # seconds until all was written
    last_answer_after: float = 0.0  # seconds until the last answer

    def on_closed(self, descriptor: int) -> None:
        """The front has closed a connection."""
        self.closed += descriptor in self.unanswered
        self.unanswered.discard(descriptor)

    def on_answer(self, descriptor: int, answer: ClientAnswer) -> None:
        """Count an answer."""
        self.last_answer_after = time.monotonic() - self.started_at
        self.latency.record_value(max(int(self.last_answer_after * 1e6), 1))
        self.outcomes[answer.outcome] += 1
        if answer.outcome == "throttled" and "after" not in answer.fields:
            self.outcomes["throttled without a time"] += 1
        if descriptor not in self.unanswered:
            self.outcomes["second answers"] += 1
        self.unanswered.discard(descriptor)

    def report(self) -> dict[str, Any]:
        """The figures as they are printed."""
        value = self.latency.get_value_at_percentile
        return {
            "woken": len(self.descriptors),
            "sent_s": self.sent_after,
            "all_answered_s": self.last_answer_after,
            "outcomes": dict(self.outcomes),
            "closed": self.closed,
            "unanswered": len(self.unanswered),
            "latency_ms": {f"p{percentile:g}": value(percentile) / 1000 for percentile in (50, 99, 100)},
        }


class ConnectionHolder:
    """Many connections to one front."""

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self.address = address
        self.seed = seed
        self.rng = random.Random(seed)
        self.sizes = PartSizes()
        self.poll = select.epoll()
        self.sockets: dict[int, socket.socket] = {}  # by descriptor
        self.rings: dict[int, Ring] = {}  # of connections with part of an answer, by descriptor
        self.request_count = 0

    def open(self, count: int, rate: float, source: int) -> dict[str, Any]:
        """Connect `count`, `rate` a second, and let each send one health check."""
        started_at = time.monotonic()
        failed = 0
        for number in range(count):
            if (wait := started_at + number / rate - time.monotonic()) > 0:
                time.sleep(wait)
            connection = socket.socket()
            try:
                self._connect(connection, source)
            except OSError:
                failed += 1
                connection.close()
                continue
            connection.setblocking(False)
            self.sockets[connection.fileno()] = connection
            self.poll.register(connection.fileno(), select.EPOLLIN | select.EPOLLRDHUP)
        return {"open": len(self.sockets), "failed": failed, "seconds": time.monotonic() - started_at}

    def _connect(self, connection: socket.socket, source: int) -> None:
        connection.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        connection.bind((f"127.0.0.{source}", 0))
        connection.connect(self.address)
        connection.sendall(client_calls.probe(1))
        connection.settimeout(PROBE_TIMEOUT)
        connection.recv(PROBE_ANSWER_SIZE)

    def count(self) -> dict[str, Any]:
        """How many are open, once those that the front closed are dropped."""
        while events := self.poll.poll(0, MAX_CLOSE_EVENTS):
            for descriptor, _ in events:
                self._drop(descriptor)
        return {"open": len(self.sockets)}

    def _drop(self, descriptor: int) -> None:
        self.sockets.pop(descriptor).close()
        self.rings.pop(descriptor, None)

    def _encode_call(self, call_kind: str) -> bytes:
        self.request_count += 1
        if call_kind == "probe":
            return client_calls.probe(WAKE_SEQID)
        key = objects.object_key(self.rng.randrange(1, OBJECTS))
        part = 0
        fields = {
            "class": "photo",
            "id": f"{self.seed & 0xFFFF:04x}{self.request_count:012x}",
            "wait": str(PHOTO_TIMEOUT),
            "key": key,
            "nth": "0",
            "batch": "1",
            "kb": str(self.sizes.part_kb(key, part)),
        }
        return client_calls.process(WAKE_SEQID, fields)

    def wake(self, fraction: float, call_kind: str, timeout: float) -> dict[str, Any]:
        """Wake a fraction at once, and wait `patience` seconds at most for the answers.

        Latencies run from just before the first call was written.
        """
        descriptors = self.rng.sample(sorted(self.sockets), round(fraction * len(self.sockets)))
        calls = [(descriptor, self._encode_call(call_kind)) for descriptor in descriptors]
        wake = Wake(descriptors, time.monotonic(), set(descriptors))
        for descriptor, data in calls:
            try:
                self.sockets[descriptor].send(data)
            except OSError:
                wake.closed += 1
        wake.sent_after = time.monotonic() - wake.started_at
        while wake.unanswered and time.monotonic() < wake.started_at + timeout:
            for descriptor, _ in self.poll.poll(POLL_TIMEOUT, MAX_EVENTS):
                self._read(descriptor, wake)
        return wake.report()

    def _read(self, descriptor: int, wake: Wake) -> None:
        try:
            data = self.sockets[descriptor].recv(READ_SIZE)
        except OSError:
            data = b""
        if not data:
            wake.on_closed(descriptor)
            self._drop(descriptor)
            return
        ring = self.rings.setdefault(descriptor, Ring(RING_SIZE))
        for answer in client_calls.feed_answers(ring, data):
            wake.on_answer(descriptor, answer)
        if not len(ring):
            self.rings.pop(descriptor, None)


def run_command(holder: ConnectionHolder, tokens: list[str]) -> dict[str, Any]:
    """Carry out one command; returns what is printed."""
    match tokens:
        case ["open", count, rate, source]:
            return holder.open(int(count), float(rate), int(source))
        case ["wake", fraction, call_kind, timeout]:
            return holder.wake(float(fraction), call_kind, float(timeout))
        case ["count"]:
            return holder.count()
    return {"error": " ".join(tokens)}


def main(address: str, seed: int) -> None:
    """Carry out commands from standard input, until `end` or its end."""
    host, _, port = address.rpartition(":")
    holder = ConnectionHolder((host, int(port)), seed)
    for line in sys.stdin:
        tokens = line.split()
        if tokens == ["end"]:
            break
        print(json.dumps(run_command(holder, tokens)), flush=True)
