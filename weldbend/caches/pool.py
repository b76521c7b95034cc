"""The connections to each listed cache, and the pulls and probes that go over them.

A pull goes out at once on a connection with a free stream, or waits for one, at most for the time
in which a connection must come up. While it waits it may go stale: it is withdrawn when the list or
a purge says anything about its cache, its source or its object, and whoever sent it decides anew.
"""

import errno
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from twisted.internet.interfaces import IAddress, IConnector
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from weldbend.cache_protocol import commands
from weldbend.cache_protocol.answers import Answer
from weldbend.caches.connection import Attempt, CacheConnection, Lost, Timers
from weldbend.invariants import anomalies

CUT_OFF = (errno.ECONNRESET, errno.ECONNABORTED, errno.EPIPE)
MOST_CUT_OFF = 5  # dials in a row that may be accepted and reset


@dataclass(frozen=True, slots=True)
class Bounds:
    """What the site and the machine allow."""

    streams: int
    idle: float
    dial: float
    turn: float
    descriptors: int
    longest: float  # the longest expiry: nobody waits for an answer beyond it


class Dial(ClientFactory):
    """One connection on its way up."""

    noisy = False

    def __init__(self, lane: "Lane") -> None:
        self.lane = lane

    def buildProtocol(self, addr: IAddress | None) -> CacheConnection:
        self.lane.dials.pop(self, None)
        return CacheConnection(self.lane, self.lane.pool.timers)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        self.lane.failed(self, getattr(reason.value, "osError", None) in CUT_OFF)


class Lane:
    """All that goes to one cache."""

    def __init__(self, pool: "Pool", cache: int, host: str, port: int) -> None:
        self.pool, self.cache, self.host, self.port = pool, cache, host, port
        self.connections: list[CacheConnection] = []
        self.dials: dict[Dial, IConnector] = {}
        self.waiting: deque[Attempt] = deque()
        self.closed, self.cut_off = False, 0  # dials in a row that were accepted and reset
        self.planned = False  # those who wait are looked at in a moment

    @property
    def streams(self) -> int:
        return self.pool.bounds.streams

    @property
    def longest(self) -> float:
        return self.pool.bounds.longest

    def send(self, attempt: Attempt) -> None:
        if not self.place(attempt):
            attempt.queued = self.pool.timers.now()
            self.waiting.append(attempt)
            self.pool.timers.after(self.pool.bounds.dial, lambda: self.late(attempt))
            self.dial()

    def place(self, attempt: Attempt) -> bool:
        fit = [c for c in self.connections if c.takes(attempt.name) and not self.stale(c)]
        if fit and not self.closed:
            min(fit, key=lambda c: len(c.out)).send(attempt)
        return bool(fit) and not self.closed

    def stale(self, connection: CacheConnection) -> bool:
        """One that its cache is about to close for idleness: a send could cross the close."""
        bounds = self.pool.bounds
        idle = not connection.out and self.pool.timers.now() > connection.used + bounds.idle - bounds.dial
        if idle:
            connection.retire()
        return idle

    def dial(self, least: int = 0) -> None:
        """Have as many connections on their way as those who wait need."""
        while len(self.dials) * self.streams < max(len(self.waiting), least) and not self.closed:
            if self.pool.connections() >= self.pool.bounds.descriptors:
                break
            dial = Dial(self)
            timeout = self.pool.bounds.dial
            self.dials[dial] = self.pool.reactor.connectTCP(self.host, self.port, dial, timeout)

    def came(self, connection: CacheConnection) -> None:
        if self.closed:
            connection.close()
            return
        self.cut_off = 0
        self.connections.append(connection)
        self.pool.reached(self.cache)
        connection.rest(self.pool.resting)
        self.room()

    def failed(self, dial: Dial, cut_off: bool) -> None:
        """A dial turned away or silent speaks for all who wait for it: no connection can be made.

        One that was accepted and reset says that its cache is there, so it is dialled again, not for ever.
        Guards against taking it for one that is down. Harm: some dials more to one that always does so.
        """
        self.dials.pop(dial, None)
        self.cut_off = self.cut_off + 1 if cut_off else MOST_CUT_OFF
        if self.cut_off < MOST_CUT_OFF:
            self.dial()
            return
        self.cut_off = 0
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            attempt.end(Lost.UNREACHABLE)

    def late(self, attempt: Attempt) -> None:
        if attempt in self.waiting:
            self.waiting.remove(attempt)
            attempt.end(Lost.UNREACHABLE)

    def room(self) -> None:
        """Let those who wait go, but hear first what else has come in this moment.

        Guards caches against pulls for clients whose end is read right after their connection came up. Harm:
        none known: it is a matter of the look at sockets that is under way.
        """
        if self.waiting and not self.planned:
            self.planned = True
            self.pool.reactor.callLater(0, self.go)

    def go(self) -> None:
        """Let those who wait go, in their order.

        Guards against repeats of a download that must not run twice, allowed for a time that may be over, and
        against a burst on a cold cache of all that was decided while its dial took long.
        Harm: one more decision for each.
        """
        self.planned = False
        now, turn = self.pool.timers.now(), self.pool.bounds.turn
        while self.waiting:
            attempt = self.waiting[0]
            if attempt.fleeting and now > attempt.queued + turn:
                self.waiting.popleft()
                attempt.end(Lost.WITHDRAWN)
            elif self.place(attempt):
                self.waiting.popleft()
            else:
                break

    def went(self, connection: CacheConnection) -> None:
        """One that broke with pulls out is replaced at once: whether it can be tells what happened."""
        if connection in self.connections:
            self.connections.remove(connection)
        self.dial(least=1 if connection.out and not self.connections else 0)

    def unknown(self, answer: Answer) -> None:
        if not self.pool.probed(self.cache, answer):
            anomalies["answers to nothing asked"] += 1

    def withdraw(self, stale: Callable[[Attempt], bool]) -> None:
        gone = [attempt for attempt in self.waiting if stale(attempt)]
        self.waiting = deque(attempt for attempt in self.waiting if attempt not in gone)
        for attempt in gone:
            attempt.end(Lost.WITHDRAWN)

    def restarted(self, since: float) -> None:
        """Connections from before a restart lead nowhere, though a machine that vanished never said so."""
        for connection in [c for c in self.connections if c.made < since]:
            connection.drop()

    def close(self, moved: bool) -> None:
        """Its cache has left the list, or this address: nothing more goes here."""
        self.closed = True
        for connector in list(self.dials.values()):
            connector.disconnect()
        self.withdraw(lambda _: True)
        for connection in list(self.connections):
            (connection.drop if moved else connection.retire)()


class Pool:
    def __init__(
        self,
        reactor: Any,
        timers: Timers,
        bounds: Bounds,
        probed: Callable[[int, Answer], bool],
        reached: Callable[[int], None],
    ) -> None:
        self.reactor, self.timers, self.bounds = reactor, timers, bounds
        self.probed, self.reached = probed, reached
        self.lanes: dict[int, Lane] = {}
        self.resting = False

    def listed(self, cache: int, host: str, port: int, since: float, usable: bool) -> None:
        """What the list says of a cache now: where it is, and since when."""
        lane = self.lanes.get(cache)
        if lane and (lane.host, lane.port) != (host, port):
            self.lanes.pop(cache).close(moved=True)
            lane = None
        if lane:
            lane.restarted(since)
        else:
            self.lanes[cache] = Lane(self, cache, host, port)
        if not usable:
            self.withdraw({cache}, lambda attempt: False)

    def gone(self, cache: int) -> None:
        self.withdraw({cache}, lambda attempt: False)
        if cache in self.lanes:
            self.lanes.pop(cache).close(moved=False)

    def withdraw(self, caches: set[int], stale: Callable[[Attempt], bool]) -> None:
        """Take back what waits and has to do with these caches, or is stale for another cause."""
        for lane in list(self.lanes.values()):
            if lane.waiting:
                lane.withdraw(
                    lambda attempt: attempt.cache in caches or attempt.source in caches or stale(attempt)
                )

    def purged(self, key: str | None, group: int) -> None:
        self.withdraw(set(), lambda attempt: attempt.key == key if key else attempt.group == group)

    def send(self, attempt: Attempt) -> None:
        lane = self.lanes.get(attempt.cache)
        if lane:
            lane.send(attempt)
        else:  # its cache left the list in this very turn
            attempt.end(Lost.WITHDRAWN)

    def call_off(self, attempt: Attempt) -> bool:
        """Give a pull up. Whether any byte of it had gone out."""
        if attempt.over:
            return True
        attempt.over = True
        if attempt.connection:
            attempt.connection.undo(attempt)
            return True
        lane = self.lanes.get(attempt.cache)
        if lane and attempt in lane.waiting:
            lane.waiting.remove(attempt)
        return False

    def probe(self, cache: int, tag: str, report: bool) -> bool:
        """Send a probe over a connection that is up; false where there is none."""
        lane = self.lanes.get(cache)
        up = [c for c in lane.connections if c.takes(tag)] if lane else []
        if up:
            up[0].write((commands.top if report else commands.ping)(tag))
        return bool(up)

    def all(self) -> Iterable[CacheConnection]:
        return (connection for lane in self.lanes.values() for connection in lane.connections)

    def connections(self) -> int:
        return sum(len(lane.connections) + len(lane.dials) for lane in self.lanes.values())

    def rest(self, resting: bool) -> None:
        """Read no more, or on: what is read must have somewhere to go."""
        if resting is not self.resting:
            self.resting = resting
            for connection in list(self.all()):
                connection.rest(resting)
