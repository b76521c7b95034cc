"""The clients' listening port: accepts connections, checks live ones, and makes capacity at the bound.

Decisions are made in `weldbend.idle_connections.policy` and carried out here. A live connection is
checked eight times a second; an idle one, which has no object, when it is due or brings something.
"""

import heapq
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory

from weldbend.accept_guard import AcceptGuard
from weldbend.clients.connection import ClientConnection, ClientOwner
from weldbend.clients.interfaces import ClientTransport
from weldbend.idle_connections import policy
from weldbend.idle_connections.connection_table import ConnectionRecord
from weldbend.idle_connections.epoll_set import EpollSet, HangupWatcher, Reactor
from weldbend.idle_connections.idle_pool import FAILED, DescriptorSet, IdlePool
from weldbend.idle_connections.policy import ConnectionAction, ConnectionSettings
from weldbend.invariants import anomalies

BACKLOG = 1024  # connections that the kernel may queue for this port
DEAD_PEER_TIMEOUT = 60  # seconds without a sign of a client's machine, or of its reading, until it is ended
CHECK_INTERVAL = 0.125  # seconds between two checks of a live connection
MIN_STANDSTILL = 1.0  # seconds between two rounds of checks from which on this process stood still meanwhile
CLOSE_COUNTERS = {  # anomaly counters, as they appear in the log
    ConnectionAction.CLOSE_SILENT: "idle clients without a call",
    ConnectionAction.CLOSE_INCOMPLETE: "clients with an incomplete call",
}
# Sorts idle connections by who is evicted first; then its descriptor, or -1 and its live connection.
Candidate = tuple[tuple[bool, int, float], int, ClientConnection | None]


class ListeningPort(Protocol):
    """What is used of a Twisted TCP port; see `twisted.internet.tcp.Port`."""

    numberAccepts: int
    socket: socket.socket

    def doRead(self) -> None:
        """Accept up to `numberAccepts` connections."""

    def pauseProducing(self) -> None:
        """Accept no connections."""

    def resumeProducing(self) -> None:
        """Accept again."""

    def stopListening(self) -> object:
        """Close the port."""


class ListeningReactor(Reactor, Protocol):
    """What is used of the reactor here, and by what watches idle connections."""

    def listenTCP(self, port: int, factory: Factory, backlog: int, interface: str) -> ListeningPort:
        """Listen on an address; raises `twisted.internet.error.CannotListenError`."""


class Listener(Factory):
    """Keeps the clients' connections, at most so many; those beyond wait in the kernel's queue.

    Attributes:
        max_connections: How many connections there may be, live and idle.
        clients: The live connections, in the order in which they came.
        checks: When each live connection is checked next, the earliest first.
        idle_pool: The idle connections; None before the port is open.
        port: The listening port; None before it is open and once it is closed.
        accept_guard: What pauses the port while the system cannot accept; None before it is open.
        is_paused: Whether no connection is accepted, since the bound is reached or the system cannot.
    """

    noisy = False
    epoll_set_factory: Callable[[Any], DescriptorSet] = EpollSet

    def __init__(self, owner: ClientOwner, max_connections: int, settings: ConnectionSettings) -> None:
        self.owner = owner
        self.max_connections = max_connections
        self.settings = settings
        self.clients: dict[ClientConnection, None] = {}
        self.checks: deque[tuple[float, ClientConnection]] = deque()
        self.idle_pool: IdlePool | None = None
        self.port: ListeningPort | None = None
        self.accept_guard: AcceptGuard | None = None
        self.is_paused = False
        self.hangup_watcher: HangupWatcher | None = None
        self.checked_at = 0.0

    def connection_count(self) -> int:
        """How many clients are connected, live and idle."""
        return len(self.clients) + self.idle_count()

    def idle_count(self) -> int:
        """How many connections are idle, without an object of their own."""
        return self.idle_pool.count() if self.idle_pool else 0

    # The port.

    def listen(self, reactor: ListeningReactor, host: str, port: int) -> None:
        """Open the port; raises `twisted.internet.error.CannotListenError`."""
        epoll_set = self.epoll_set_factory(reactor)
        self.idle_pool = IdlePool(
            reactor, epoll_set, self.settings, self.owner.now, self.resume, self.update_accepting
        )
        self.hangup_watcher = HangupWatcher(reactor)
        try:
            self.port = reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        except OSError as error:  # listen(2) or epoll_ctl: Twisted turns only the errors before into its own
            raise CannotListenError(host, port, error) from error  # type: ignore[no-untyped-call]  # no hints
        self.accept_guard = AcceptGuard(self.port, self.owner.call_later, self.update_accepting)
        self.set_keepalive()

    def stop(self) -> bool:
        """Accept those in the kernel's queue and then no more; whether the port is closed by now.

        Guards requests that came on a connection which the system has accepted and this front has not:
        closing the port resets it. Harm: none known; none can connect after that.
        """
        if self.port and not self.is_paused:
            count = self.connection_count()
            # Twisted lowers it when a round accepts none.
            self.port.numberAccepts = self.settings.accept_batch
            self.port.doRead()
            if self.connection_count() == count and not self._is_accept_failing():
                self.port.stopListening()
                self.port = None
        return not self.port

    def set_keepalive(self) -> None:
        """Have the system end connections of machines that vanished; what is accepted inherits it.

        Guards descriptors and the memory of answers that will never be read. Harm: a client that reads
        nothing for a minute is disconnected, long after its requests are over.
        """
        if self.port is None:
            return
        listening = self.port.socket
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, DEAD_PEER_TIMEOUT // 2)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, DEAD_PEER_TIMEOUT // 4)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT * 1000)

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """The object for an accepted connection; None closes it, as its address is banned."""
        return ClientConnection(self.owner) if self.owner.is_admitted(getattr(addr, "host", "")) else None

    # Live connections.

    def client_connected(self, client: ClientConnection) -> None:
        """Register one that was accepted, and make capacity for it.

        Guards timers against rushes: the reactor would accept ever more in one iteration of its loop.
        """
        if self.port:
            self.port.numberAccepts = self.settings.accept_batch
        self._add(client)
        self.evict_idle(client)

    def _add(self, client: ClientConnection) -> None:
        self.clients[client] = None
        self.checks.append((self.owner.now() + CHECK_INTERVAL, client))

    def watch_hangup(self, client: ClientConnection, is_unread: bool) -> None:
        """Watch for a client's end while it is not read, or no longer where `is_unread` is false."""
        if self.hangup_watcher and is_unread:
            self.hangup_watcher.watch(client.transport, client.handle_hangup)
        elif self.hangup_watcher:
            self.hangup_watcher.unwatch(client.handle_hangup)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Forget one that has ended."""
        self.clients.pop(client, None)
        self.update_accepting()

    def check_connections(self) -> bool:
        """Check what is due, and close or idle what has to go.

        Guards against closing for idleness, after a standstill, those whose calls lie unread: timers come
        before sockets are read. Harm: one round of checks less after it.

        Returns:
            Whether some are due that this round had no budget for.
        """
        now = self.owner.now()
        budget = self.settings.close_batch
        previous = self.checked_at
        self.checked_at = now
        if now > previous + MIN_STANDSTILL:
            return False
        while self.checks and self.checks[0][0] <= now and budget:
            client = self.checks.popleft()[1]
            if client in self.clients:
                budget -= self._check(client, now)
                if client in self.clients:
                    self.checks.append((now + CHECK_INTERVAL, client))
        if self.idle_pool and budget:
            due_count, silent_count = self.idle_pool.close_expired(budget)
            budget -= due_count
            if silent_count:
                anomalies[CLOSE_COUNTERS[ConnectionAction.CLOSE_SILENT]] += silent_count
        self.evict_idle()
        return not budget

    def _check(self, client: ClientConnection, now: float) -> bool:
        """Check one; whether anything was done about it."""
        if client.is_closing:
            return False
        decision = policy.decide(self.settings, client.observe(now), now, len(self.clients))
        match decision:
            case ConnectionAction.MOVE_TO_POOL:
                return self._make_idle(client)
            case ConnectionAction.CLOSE_IDLE:
                client.close()
            case ConnectionAction.CLOSE_SILENT | ConnectionAction.CLOSE_INCOMPLETE:
                anomalies[CLOSE_COUNTERS[decision]] += 1
                client.close()
        return decision is not ConnectionAction.KEEP

    # Idle connections.

    def _make_idle(self, client: ClientConnection) -> bool:
        """Keep a connection's descriptor and counters only; false where it must stay as it is for now."""
        can_leave = self.idle_pool and client.can_become_idle()
        if not (can_leave and self.idle_pool and self.idle_pool.add(client.transport, client.record())):
            return False
        client.release()
        self.clients.pop(client, None)
        return True

    def resume(self, fd: int, record: ConnectionRecord, data: bytes) -> None:
        """Make an idle connection that has brought bytes a live one again.

        A fault in it ends this connection, not the others that are idle.
        """
        assert self.idle_pool
        client = ClientConnection(self.owner)
        try:
            transport: ClientTransport = self.idle_pool.descriptors.attach(fd, client)
        except OSError:  # the system cannot watch it: it was closed
            anomalies[FAILED] += 1
            self.update_accepting()
            return
        try:
            self._add(client)
            client.resume(transport, record)
        except Exception:  # noqa: BLE001  # ends this connection only; it is logged
            self.owner.log_fault("a resumed connection")
            transport.abortConnection()
            return
        client.receive_delayed(data, self.owner.now() - record.last_active)

    # The bound.

    def evict_idle(self, new: ClientConnection | None = None) -> None:
        """Close idle connections at the bound, in the order of `policy.eviction_order`; `new` is spared."""
        is_full = self.connection_count() >= self.max_connections
        closing = sum(client.is_closing for client in self.clients) if is_full else 0
        excess = policy.eviction_count(self.connection_count() - closing, self.max_connections)
        count = min(excess, self.settings.close_batch)
        if count and self.idle_pool:
            candidates = self._eviction_candidates(self.idle_pool, count, new)
            for _, fd, client in heapq.nsmallest(count, candidates, key=lambda candidate: candidate[0]):
                if client:
                    client.close()
                else:
                    self.idle_pool.close_if_idle(fd)
        self.update_accepting()

    def _eviction_candidates(
        self, idle_pool: IdlePool, count: int, new: ClientConnection | None
    ) -> list[Candidate]:
        now = self.owner.now()
        table = idle_pool.table
        candidates: list[Candidate] = [
            (policy.eviction_order(client.call_count, client.active_at, now), -1, client)
            for client in self.clients
            if client is not new and client.is_idle() and not client.is_closing
        ]
        for fd in table.longest_idle(count):
            candidates.append(
                (policy.eviction_order(table.request_counts[fd], table.last_active[fd], now), fd, None)
            )
        return candidates

    def update_accepting(self) -> None:
        """Accept no connections while the bound is reached or the system cannot, and all else."""
        is_full = policy.is_accept_paused(self.connection_count(), self.max_connections)
        is_paused = is_full or self._is_accept_failing()
        if self.port and is_paused is not self.is_paused:
            self.is_paused = is_paused
            if is_paused:
                self.port.pauseProducing()
            else:
                self._resume_accepting(self.port)

    def _resume_accepting(self, port: ListeningPort) -> None:
        """Accept again, or pause once more where the port cannot be watched."""
        try:
            port.resumeProducing()
        except OSError as error:
            assert self.accept_guard
            self.accept_guard.accept_failed(error)

    def _is_accept_failing(self) -> bool:
        return bool(self.accept_guard and self.accept_guard.is_paused)

    # The end.

    def is_quiet(self) -> bool:
        """Whether nothing can be on its way on any connection."""
        now = self.owner.now()
        if self.idle_pool and not self.idle_pool.has_nothing_to_read():
            return False
        return all(c.is_closing or policy.is_quiescent(c.is_idle(), c.active_at, now) for c in self.clients)

    def close_batch(self) -> None:
        """Close all live connections as soon as they are done, and a batch of the idle ones."""
        for client in list(self.clients):
            client.finish_and_close()
        if self.idle_pool:
            self.idle_pool.close_longest_idle(self.settings.close_batch)
