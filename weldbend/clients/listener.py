"""The clients' connections, live and parked: the listening port, who is looked at, and who makes room.

What is chosen stands in `weldbend.idle_connections.policy`; here it is carried out. A live connection is
looked at eight times a second; a parked one when it is due or brings something.
"""

import heapq
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from weldbend.clients.connection import Client, Taker
from weldbend.idle_connections import policy
from weldbend.idle_connections.connection_table import ConnectionRecord
from weldbend.idle_connections.epoll_set import EpollSet, HangupWatcher
from weldbend.idle_connections.idle_pool import DescriptorSet, IdlePool
from weldbend.idle_connections.policy import ConnectionAction, ConnectionSettings
from weldbend.invariants import anomalies

BACKLOG = 1024
DEAD_PEER_TIMEOUT = (
    60  # seconds without a sign of a client's machine, or of its reading, until it is held to be gone
)
LOOK = 0.125  # seconds between two looks at a live connection
STOOD = 1.0  # seconds since the last look, from which on this process stood still meanwhile
GONE_FOR = {
    ConnectionAction.CLOSE_SILENT: "clients that say nothing",
    ConnectionAction.CLOSE_INCOMPLETE: "clients that stop in the middle of a call",
}


class Listener(Factory):
    """Keeps the clients' connections, at most so many; those beyond wait in the kernel's queue."""

    noisy = False
    rim: Callable[[Any], DescriptorSet] = EpollSet

    def __init__(self, taker: Taker, most: int, terms: ConnectionSettings) -> None:
        self.taker, self.most, self.terms = taker, most, terms
        self.clients: dict[Client, None] = {}  # those that are live, in the order in which they came
        self.looks: deque[tuple[float, Client]] = deque()  # when each is looked at, the next first
        self.lot: IdlePool | None = None
        self.port: Any = None
        self.resting = False
        self.hangups: HangupWatcher | None = None
        self.looked = 0.0  # when all was looked at last

    def count(self) -> int:
        return len(self.clients) + self.parked()

    def parked(self) -> int:
        return self.lot.count() if self.lot else 0

    def listen(self, reactor: Any, host: str, port: int) -> None:
        rim = self.rim(reactor)
        self.lot = IdlePool(reactor, rim, self.terms, self.taker.now, self.woken, self.rest)
        self.hangups = HangupWatcher(reactor)
        self.port = reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        self.watch()

    def stop(self) -> bool:
        """Accept nobody new; whether that is so by now. Those who wait in the kernel's queue are taken first.

        Guards requests that came on a connection which the system has accepted and this front has not:
        closing the port resets it. Harm: none known; nobody can get in after that.
        """
        if self.port and not self.resting:
            count = self.count()
            self.port.numberAccepts = self.terms.accept_batch  # none after a look that found nobody
            self.port.doRead()
            if self.count() == count:
                self.port.stopListening()
                self.port = None
        return not self.port

    def watch(self) -> None:
        """Have the system end connections of machines that vanished; what is accepted inherits it.

        Guards descriptors and the memory of answers that nobody will read. Harm: a client that reads nothing
        for a minute is cut off, long after its downloads are over.
        """
        listening: socket.socket = self.port.socket
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, DEAD_PEER_TIMEOUT // 2)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, DEAD_PEER_TIMEOUT // 4)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT * 1000)

    def buildProtocol(self, addr: IAddress | None) -> Client | None:
        return Client(self.taker) if self.taker.welcome(getattr(addr, "host", "")) else None

    # Live connections.

    def opened(self, client: Client) -> None:
        """One is accepted. Guards timers against rushes: the reactor would accept ever more in one turn."""
        if self.port:
            self.port.numberAccepts = self.terms.accept_batch
        self.enter(client)
        self.make_room(client)

    def enter(self, client: Client) -> None:
        self.clients[client] = None
        self.looks.append((self.taker.now() + LOOK, client))

    def heed(self, client: Client, unread: bool) -> None:
        """Hear of a client's end while it is not read."""
        if self.hangups and unread:
            self.hangups.watch(client.transport, client.gone)
        elif self.hangups:
            self.hangups.unwatch(client.gone)

    def closed(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.rest()

    def look(self) -> bool:
        """Look at what is due, and close or park what has to go; whether some are left for another turn.

        Guards against closing for idleness, after a standstill, those whose calls lie unread: timers come
        before sockets are read. Harm: one look less after it.
        """
        now, left = self.taker.now(), self.terms.close_batch
        before, self.looked = self.looked, now
        if now > before + STOOD:
            return False
        while self.looks and self.looks[0][0] <= now and left:
            client = self.looks.popleft()[1]
            if client in self.clients:
                left -= self.judge(client, now)
                if client in self.clients:
                    self.looks.append((now + LOOK, client))
        if self.lot and left:
            due, mute = self.lot.close_expired(left)
            left -= due
            if mute:
                anomalies[GONE_FOR[ConnectionAction.CLOSE_SILENT]] += mute
        self.make_room()
        return not left

    def judge(self, client: Client, now: float) -> bool:
        """Look at one; whether anything was done about it."""
        if client.closing:
            return False
        verdict = policy.decide(self.terms, client.seen(now), now, len(self.clients))
        match verdict:
            case ConnectionAction.MOVE_TO_POOL:
                return self.park(client)
            case ConnectionAction.CLOSE_IDLE:
                client.close()
            case ConnectionAction.CLOSE_SILENT | ConnectionAction.CLOSE_INCOMPLETE:
                anomalies[GONE_FOR[verdict]] += 1
                client.silent()
        return verdict is not ConnectionAction.KEEP

    def park(self, client: Client) -> bool:
        """Keep a connection's descriptor and figures only; false where it must stay as it is for now."""
        if not (self.lot and client.parks() and self.lot.add(client.transport, client.memory())):
            return False
        client.parted()
        self.clients.pop(client, None)
        return True

    def woken(self, fd: int, memory: ConnectionRecord, data: bytes) -> None:
        """A parked one has brought something: it is a connection again, as it was before.

        A fault in it ends this connection, not the others that are parked.
        """
        assert self.lot
        client = Client(self.taker)
        transport = self.lot.descriptors.attach(fd, client)
        try:
            self.enter(client)
            client.resume(transport, memory)
        except Exception:
            self.taker.fault("a woken connection")
            transport.abortConnection()
            return
        client.take_late(data, self.taker.now() - memory.last_active)

    # The bound.

    def make_room(self, new: Client | None = None) -> None:
        """At the bound idle ones go, in the order of `policy.eviction_order`."""
        going = sum(client.closing for client in self.clients) if self.count() >= self.most else 0
        count = min(policy.eviction_count(self.count() - going, self.most), self.terms.close_batch)
        if count and self.lot:
            now, table = self.taker.now(), self.lot.table
            spare: list[tuple[tuple[bool, int, float], int, Client | None]] = [
                (policy.eviction_order(other.calls, other.heard, now), -1, other)
                for other in self.clients
                if other is not new and other.idle() and not other.closing
            ]
            for fd in table.longest_idle(count):
                spare.append(
                    (policy.eviction_order(table.request_counts[fd], table.last_active[fd], now), fd, None)
                )
            for _, fd, other in heapq.nsmallest(count, spare, key=lambda one: one[0]):
                if other:
                    other.close()
                else:
                    self.lot.close_if_idle(fd)
        self.rest()

    def rest(self) -> None:
        resting = policy.is_accept_paused(self.count(), self.most)
        if self.port and resting is not self.resting:
            self.resting = resting
            (self.port.pauseProducing if resting else self.port.resumeProducing)()

    # The end.

    def quiet(self) -> bool:
        """Whether nothing can be on its way on any connection."""
        now = self.taker.now()
        if self.lot and not self.lot.has_nothing_to_read():
            return False
        return all(c.closing or policy.is_quiescent(c.idle(), c.heard, now) for c in self.clients)

    def close_some(self) -> None:
        """Close all that are live as soon as they are done, and a batch of those parked."""
        for client in list(self.clients):
            client.finish_and_close()
        if self.lot:
            self.lot.close_longest_idle(self.terms.close_batch)
