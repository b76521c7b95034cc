"""The clients' listening port: accepts connections, checks live ones, and evicts idle ones at the limit.

Decisions are made in `weldbend.idle_connections.policy` and carried out here. A connection is live while a
`ClientConnection` object handles it; it is then checked every `CHECK_INTERVAL`, eight times a second. A
connection in the idle pool has no such object, and is handled when its timeout expires or bytes arrive.
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
from weldbend.idle_connections.idle_pool import FAILED_IDLE_CONNECTIONS, DescriptorSet, IdlePool
from weldbend.idle_connections.policy import ConnectionAction, ConnectionSettings
from weldbend.invariants import anomalies

BACKLOG = 1024  # connections that the kernel may queue for this port
DEAD_PEER_TIMEOUT = 60  # seconds until a client that does not respond, or does not read, is disconnected
CHECK_INTERVAL = 0.125  # seconds between two checks of a live connection
MIN_STANDSTILL = 1.0  # seconds; after a longer gap between rounds of checks, the process counts as stalled
CLOSE_COUNTERS = {  # names of the anomaly counters, as they appear in the log
    ConnectionAction.CLOSE_SILENT: "idle clients without a call",
    ConnectionAction.CLOSE_INCOMPLETE: "clients with an incomplete call",
}
# A candidate for eviction: its sort key, its descriptor and its connection object. A connection in the idle
# pool has no object (None); for a live connection, the descriptor is -1.
Candidate = tuple[tuple[bool, int, float], int, ClientConnection | None]


class ListeningPort(Protocol):
    """The part of a Twisted TCP port that is used; see `twisted.internet.tcp.Port`."""

    numberAccepts: int
    socket: socket.socket

    def doRead(self) -> None:
        """Accept up to `numberAccepts` connections."""

    def pauseProducing(self) -> None:
        """Stop accepting connections."""

    def resumeProducing(self) -> None:
        """Resume accepting connections."""

    def stopListening(self) -> object:
        """Close the port."""


class ListeningReactor(Reactor, Protocol):
    """The part of the reactor that the listener and the pool of idle connections use."""

    def listenTCP(self, port: int, factory: Factory, backlog: int, interface: str) -> ListeningPort:
        """Listen on an address.

        Raises:
            CannotListenError: The address cannot be bound.
        """


class Listener(Factory):
    """Manages the clients' connections up to a limit, above which new ones wait in the kernel's queue.

    Attributes:
        max_connections: Maximum number of connections, live and idle.
        clients: Live connections, in the order in which they became live.
        checks: Time of the next check of each live connection, the earliest first.
        idle_pool: Pool of idle connections; None before the port is open.
        port: Listening port; None before it is open and once it is closed.
        accept_guard: Guard that pauses the port while accept(2) fails; None before the port is open.
        is_paused: Whether accepting is paused, because the limit is reached or accept(2) fails.
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
        """Return the number of connections, live and idle."""
        return len(self.clients) + self.idle_count()

    def idle_count(self) -> int:
        """Return the number of idle connections, which have no object of their own."""
        return self.idle_pool.count() if self.idle_pool else 0

    # The port.

    def listen(self, reactor: ListeningReactor, host: str, port: int) -> None:
        """Open the port.

        Raises:
            CannotListenError: The port cannot be opened.
        """
        epoll_set = self.epoll_set_factory(reactor)
        self.idle_pool = IdlePool(
            reactor, epoll_set, self.settings, self.owner.now, self.resume, self.update_accepting
        )
        self.hangup_watcher = HangupWatcher(reactor)
        try:
            self.port = reactor.listenTCP(port, self, backlog=BACKLOG, interface=host)
        except OSError as error:  # Twisted does not convert the errors of listen(2) and epoll_ctl
            raise CannotListenError(host, port, error) from error  # type: ignore[no-untyped-call]  # no hints
        self.accept_guard = AcceptGuard(self.port, self.owner.call_later, self.update_accepting)
        self.set_keepalive()

    def stop(self) -> bool:
        """Accept connections from the kernel's queue, and close the port if the front gets no new connection.

        While accepting is paused or accept(2) fails, the port stays open; the caller tries again later.
        Closing the port resets connections that the kernel has established and this front has not accepted.
        Accepting them first guards requests that were already sent on them. This has no known drawback, since
        no client can connect once the port is closed.

        Returns:
            Whether the port is closed.
        """
        if self.port and not self.is_paused:
            count = self.connection_count()
            # Twisted lowers numberAccepts after a round in which it accepted fewer connections.
            self.port.numberAccepts = self.settings.accept_batch
            self.port.doRead()
            if self.connection_count() == count and not self._is_accept_failing():
                self.port.stopListening()
                self.port = None
        return not self.port

    def set_keepalive(self) -> None:
        """Enable TCP keepalive and user timeout on the port, whose accepted connections inherit them.

        The system then ends connections of machines that have vanished. This guards descriptors, and the
        memory of answers that will never be read. Side effect: a client that reads nothing for a minute is
        disconnected, long after its requests have ended.
        """
        if self.port is None:
            return
        listening = self.port.socket
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, DEAD_PEER_TIMEOUT // 2)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, DEAD_PEER_TIMEOUT // 4)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_TIMEOUT * 1000)

    def buildProtocol(self, addr: IAddress | None) -> ClientConnection | None:
        """Return the protocol object for an accepted connection, or None if its address is banned."""
        return ClientConnection(self.owner) if self.owner.is_admitted(getattr(addr, "host", "")) else None

    # Live connections.

    def client_connected(self, client: ClientConnection) -> None:
        """Register an accepted connection, and evict idle ones if the limit is reached.

        `numberAccepts`, the number of connections accepted in one iteration of the event loop, is reset here.
        This guards timers against delays by bursts of connections, since Twisted raises the number after
        each iteration that reaches it.
        """
        if self.port:
            self.port.numberAccepts = self.settings.accept_batch
        self._add(client)
        self.evict_idle(client)

    def _add(self, client: ClientConnection) -> None:
        self.clients[client] = None
        self.checks.append((self.owner.now() + CHECK_INTERVAL, client))

    def watch_hangup(self, client: ClientConnection, is_unread: bool) -> None:
        """Start watching for a client's disconnect if its socket is not read, or stop watching if it is."""
        if self.hangup_watcher and is_unread:
            self.hangup_watcher.watch(client.transport, client.handle_hangup)
        elif self.hangup_watcher:
            self.hangup_watcher.unwatch(client.handle_hangup)

    def client_disconnected(self, client: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self.clients.pop(client, None)
        self.update_accepting()

    def check_connections(self) -> bool:
        """Check the connections that are due, and close them or move them to the idle pool as decided.

        The round is skipped if the previous one is more than `MIN_STANDSTILL` ago, because the process was
        stalled and timers run before sockets are read: a connection whose call is still unread would be
        closed as idle. Side effect: one round of checks is omitted.

        Returns:
            Whether the budget of this round, `close_batch` actions, was used up, so that more connections may
            be due.
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
        """Check a connection, and return whether any action was taken."""
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
        """Move a connection to the idle pool; return False if it must stay live for now."""
        can_leave = self.idle_pool and client.can_become_idle()
        if not (can_leave and self.idle_pool and self.idle_pool.add(client.transport, client.record())):
            return False
        client.release()
        self.clients.pop(client, None)
        return True

    def resume(self, fd: int, record: ConnectionRecord, data: bytes) -> None:
        """Make an idle connection live again (wake it), since bytes have arrived on it.

        An exception ends only this connection, not the other idle ones.
        """
        assert self.idle_pool
        client = ClientConnection(self.owner)
        try:
            transport: ClientTransport = self.idle_pool.descriptors.attach(fd, client)
        except OSError:  # the descriptor could not be registered, and the connection was closed
            anomalies[FAILED_IDLE_CONNECTIONS] += 1
            self.update_accepting()
            return
        try:
            self._add(client)
            client.resume(transport, record)
        except Exception:  # noqa: BLE001  # logged; ends only this connection
            self.owner.log_fault("a resumed connection")
            transport.abortConnection()
            return
        client.receive_delayed(data, self.owner.now() - record.last_active)

    # The limit on connections.

    def evict_idle(self, new: ClientConnection | None = None) -> None:
        """If the limit is reached, close idle connections in `policy.eviction_order`, but never `new`."""
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
        """Pause accepting while the limit is reached or accept(2) fails, and resume it otherwise."""
        is_full = policy.is_accept_paused(self.connection_count(), self.max_connections)
        is_paused = is_full or self._is_accept_failing()
        if self.port and is_paused is not self.is_paused:
            self.is_paused = is_paused
            if is_paused:
                self.port.pauseProducing()
            else:
                self._resume_accepting(self.port)

    def _resume_accepting(self, port: ListeningPort) -> None:
        """Resume accepting, or pause again if the port's descriptor cannot be registered."""
        try:
            port.resumeProducing()
        except OSError as error:
            assert self.accept_guard
            self.accept_guard.accept_failed(error)

    def _is_accept_failing(self) -> bool:
        return bool(self.accept_guard and self.accept_guard.is_paused)

    # Shutdown.

    def is_quiet(self) -> bool:
        """Return whether no byte can be in transit, as all connections are quiescent or closing."""
        now = self.owner.now()
        if self.idle_pool and not self.idle_pool.has_nothing_to_read():
            return False
        return all(c.is_closing or policy.is_quiescent(c.is_idle(), c.active_at, now) for c in self.clients)

    def close_batch(self) -> None:
        """Close each live connection once its requests are answered, and a batch of the idle ones."""
        for client in list(self.clients):
            client.finish_and_close()
        if self.idle_pool:
            self.idle_pool.close_longest_idle(self.settings.close_batch)
