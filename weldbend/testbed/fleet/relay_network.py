"""Relays between real fronts, which can block, delay and degrade each path separately.

A path leads from one front to another: it has a port for datagrams and one for the link. While a path is
blocked, bytes of the link are held back and datagrams are lost. All random numbers are drawn from the run's
seed.
"""

import random
import time
from collections import defaultdict, deque
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from weldbend.testbed.emulator.emulated_site import LOOPBACK
from weldbend.testbed.faults.engine import ActionKind, FaultAction, Injector
from weldbend.testbed.faults.plan import Plan
from weldbend.testbed.faults.proxy import Proxy, ProxySide
from weldbend.testbed.fleet.plan_player import Paths
from weldbend.testbed.reactor import ProcessReactor

Path = tuple[int, int]  # (from, to) as numbers of fronts


class RelayNetwork:
    """State of all paths, and the generator of their random numbers."""

    def __init__(self, reactor: ProcessReactor, seed: int) -> None:
        self.reactor = reactor
        self.random = random.Random(seed)
        self.blocked: Paths = set()
        self.delay: dict[Path, float] = {}  # seconds
        self.loss: dict[Path, float] = {}  # probability that a datagram is lost
        self.duplication: dict[Path, float] = {}  # probability that it arrives twice
        self.link_streams: dict[Path, list[LinkStream]] = defaultdict(list)

    def is_open(self, path: Path) -> bool:
        """Return whether a path is not blocked."""
        return path not in self.blocked

    def unblock(self, paths: Paths) -> None:
        """Unblock paths, and send the bytes that were held back on their links."""
        self.blocked -= paths
        for path in paths & set(self.link_streams):
            for stream in self.link_streams[path]:
                stream.release()

    def degrade(self, paths: Paths, kind: str, amount: float) -> None:
        """Set the delay (slow), loss (lossy) or duplication (double) of some paths."""
        by_path = {"slow": self.delay, "lossy": self.loss, "double": self.duplication}[kind]
        by_path.update(dict.fromkeys(paths, amount))


class DatagramRelay(DatagramProtocol):
    """Relay of datagrams from one front to the port of another."""

    transport: Any = None  # Twisted's interfaces are not typed here
    noisy = False

    def __init__(self, network: RelayNetwork, path: Path, port: int) -> None:
        self.network = network
        self.path = path
        self.port = port  # port of the receiver

    def datagramReceived(self, datagram: bytes, addr: tuple[str, int]) -> None:
        """Forward one datagram, or drop or duplicate it."""
        network = self.network
        path = self.path
        if not network.is_open(path) or network.random.random() < network.loss.get(path, 0.0):
            return
        delay = network.delay.get(path, 0.0)
        is_duplicated = network.random.random() < network.duplication.get(path, 0.0)
        for _ in range(1 + is_duplicated):
            later = delay * (0.5 + network.random.random())
            network.reactor.callLater(later, self.transport.write, datagram, (LOOPBACK, self.port))


class LinkStream:
    """One direction of a link, on a path that may be blocked or slow: the `ActionStream` of a proxy."""

    def __init__(self, network: RelayNetwork, path: Path, now: float) -> None:
        self.network = network
        self.path = path
        self.last_action_at = now  # time at which all forwarded data has been sent
        self.waiting: deque[FaultAction] = deque()
        self.side: ProxySide | None = None  # side of the sender; released data goes to `side.peer`

    def feed(self, now: float, data: bytes) -> list[FaultAction]:
        """Return the actions for received bytes; none while data is held back."""
        return self._pass_on(now, ActionKind.DATA, data)

    def end(self, now: float) -> list[FaultAction]:
        """Return the actions for the end of the sender's data; none while data is held back."""
        return self._pass_on(now, ActionKind.END, b"")

    def _pass_on(self, now: float, kind: ActionKind, data: bytes) -> list[FaultAction]:
        self.last_action_at = max(self.last_action_at, now + self.network.delay.get(self.path, 0.0))
        action = FaultAction(self.last_action_at, kind, data)
        if self.network.is_open(self.path) and not self.waiting:
            return [action]
        self.waiting.append(action)
        return []

    def release(self) -> None:
        """Send the data that was held back."""
        waiting = list(self.waiting)
        self.waiting = deque()
        if waiting and self.side and self.side.peer:
            self.side.peer.schedule(waiting)


class LinkRelay(Proxy):
    """Relay of a link; `path` is that of the front that opens the connection."""

    def __init__(self, network: RelayNetwork, path: Path, port: int) -> None:
        no_faults = Injector(Plan("raw", ()), 0)
        super().__init__(network.reactor, no_faults, LOOPBACK, port)
        self.network = network
        self.path = path

    def join_sides(self, client_side: ProxySide, server_side: ProxySide, number: int) -> None:
        """Connect both sides, and forward data that was received already and that is received later."""
        now = time.monotonic()
        there = LinkStream(self.network, self.path, now)
        back = LinkStream(self.network, self.path[::-1], now)
        for stream, side in ((there, client_side), (back, server_side)):
            stream.side = side
            self.network.link_streams[stream.path].append(stream)
        client_side.peer = server_side
        server_side.peer = client_side
        client_side.join(server_side, there)
        server_side.join(client_side, back)
        if (
            client_side.is_closed and server_side.transport
        ):  # it was closed before the other side was connected
            server_side.transport.loseConnection()
