"""Holds many idle connections open and sends calls on a fraction of them at once.

Runs as a process of its own. It uses plain sockets and one epoll set, because with nineteen thousand protocol
objects the measurement would show the cost of this tool. It reads commands from standard input, and writes
one JSON object per line to standard output for each:

    open COUNT RATE SOURCE   open COUNT connections from 127.0.0.SOURCE, RATE a second; check health on each
    wake SHARE WHAT SECONDS  send a `probe` or `photo` call on a share of them at once; wait for the answers
    count                    report the number of connections that are still open
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

IP_BIND_ADDRESS_NO_PORT = 24  # Linux socket option: assigns the port at connect, which is much faster
PHOTO_TIMEOUT = 6000  # milliseconds
PROBE_TIMEOUT = 10  # seconds
PROBE_ANSWER_SIZE = 256  # upper bound on the bytes of the answer to a health check
RING_SIZE = 1 << 21  # bytes of answers that a connection buffers
READ_SIZE = 1 << 18  # bytes
POLL_TIMEOUT = 0.05  # seconds
MAX_EVENTS = 1024  # maximum number of events of one poll
MAX_CLOSE_EVENTS = 4096  # maximum number of events of one poll when closed connections are counted
OBJECTS = 2000  # exclusive upper bound of the popularity ranks from which requests are drawn
HISTOGRAM_MAX_US = 60_000_000  # highest latency that a histogram counts, in microseconds
WAKE_SEQID = 2  # seqid of the call at a wake; the health check has 1


@dataclass
class Wake:
    """One wake, which is a call on many idle connections at once, and its results so far.

    Attributes:
        descriptors: Descriptors of the connections.
        started_at: Start time in seconds of the steady clock.
        unanswered: Descriptors of the connections that have neither received an answer nor been closed.
        latency: Latencies of the answers in microseconds, from the start.
        outcomes: Number of answers by outcome, and of anomalies.
        closed: Number of connections that were closed before their answer or on which sending failed.
        sent_after: Seconds from the start until all calls were sent.
        last_answer_after: Seconds from the start until the last answer.
    """

    descriptors: list[int]
    started_at: float
    unanswered: set[int]
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_US, 3))
    outcomes: Counter[str] = field(default_factory=Counter)
    closed: int = 0
    sent_after: float = 0.0
    last_answer_after: float = 0.0

    def on_closed(self, descriptor: int) -> None:
        """Record that the front has closed a connection."""
        self.closed += descriptor in self.unanswered
        self.unanswered.discard(descriptor)

    def on_answer(self, descriptor: int, answer: ClientAnswer) -> None:
        """Record an answer."""
        self.last_answer_after = time.monotonic() - self.started_at
        self.latency.record_value(max(int(self.last_answer_after * 1e6), 1))
        self.outcomes[answer.outcome] += 1
        if answer.outcome == "throttled" and "after" not in answer.fields:
            self.outcomes["throttled without a time"] += 1
        if descriptor not in self.unanswered:
            self.outcomes["second answers"] += 1
        self.unanswered.discard(descriptor)

    def report(self) -> dict[str, Any]:
        """Return the results as a JSON object."""
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
    """Many connections to one front.

    Attributes:
        sockets: Open connections by descriptor.
        rings: Buffers of the connections that have received part of an answer, by descriptor.
        request_count: Number of encoded calls, from which request ids are made.
    """

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self.address = address
        self.seed = seed
        self.rng = random.Random(seed)
        self.sizes = PartSizes()
        self.poll = select.epoll()
        self.sockets: dict[int, socket.socket] = {}
        self.rings: dict[int, Ring] = {}
        self.request_count = 0

    def open(self, count: int, rate: float, source: int) -> dict[str, Any]:
        """Open connections, and send one health check on each.

        Args:
            count: Number of connections.
            rate: Connections per second.
            source: Last byte of the address 127.0.0.x from which they are opened.
        """
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
        """Drop the connections that the front has closed, and return the number of open ones."""
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
        """Send a call on a fraction of the connections at once, and wait for the answers.

        Latencies are counted from just before the first call is sent.

        Args:
            fraction: Fraction of the connections.
            call_kind: `probe` or `photo`.
            timeout: Maximum wait for the answers in seconds.
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
    """Execute one command, and return its result as a JSON object."""
    match tokens:
        case ["open", count, rate, source]:
            return holder.open(int(count), float(rate), int(source))
        case ["wake", fraction, call_kind, timeout]:
            return holder.wake(float(fraction), call_kind, float(timeout))
        case ["count"]:
            return holder.count()
    return {"error": " ".join(tokens)}


def main(address: str, seed: int) -> None:
    """Execute commands from standard input, until the command `end` or the end of the input."""
    host, _, port = address.rpartition(":")
    holder = ConnectionHolder((host, int(port)), seed)
    for line in sys.stdin:
        tokens = line.split()
        if tokens == ["end"]:
            break
        print(json.dumps(run_command(holder, tokens)), flush=True)
