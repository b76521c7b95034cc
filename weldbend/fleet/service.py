"""The fleet service of a front: UDP datagrams, TCP connections and the components that use them.

The service is created only if the installation file names a fleet. It reports replicated items that have
become more restrictive to the front, and publishes what the front knows itself. It never blocks the front.
"""

import math
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from loguru import logger

from weldbend.fleet import messages as m
from weldbend.fleet.anti_entropy import AntiEntropy, PeerMessage, resume_after_pause
from weldbend.fleet.datagram_port import DatagramPort
from weldbend.fleet.errors import FleetError
from weldbend.fleet.lease_service import LeaseService
from weldbend.fleet.member_table import State
from weldbend.fleet.membership import Membership
from weldbend.fleet.membership_view import MembershipView, Reachability
from weldbend.fleet.message_authentication import (
    Header,
    InvalidKeyFileError,
    MessageAuthenticator,
    read_keys,
)
from weldbend.fleet.messages import Send
from weldbend.fleet.peer_connections import PeerConnections
from weldbend.fleet.replicated_store import Change, ReplicatedStore
from weldbend.fleet.runtime import Runtime
from weldbend.fleet.settings import FleetSettings, split_address
from weldbend.fleet.topology import neighbours

TICK_INTERVAL = 0.05  # seconds; must be much shorter than `pause_threshold`, as late ticks reveal pauses
REPORT_INTERVAL = 10.0  # seconds between two log lines with counters
FIXED_SETTINGS = ("listen", "fleet", "zone")  # settings that a reload cannot change


class FleetConfigurationError(FleetError):
    """Invalid settings, with which a fleet cannot start or reload; the message is one line."""


class KeyFileError(FleetConfigurationError):
    """A key file that cannot be read or is invalid."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"key file {path}: {problem}")
        self.path = path
        self.problem = problem


class FixedSettingsError(FleetConfigurationError):
    """A reload with changes that need a restart; `names` are the changed keys of `[fleet]`."""

    def __init__(self, names: list[str]) -> None:
        super().__init__(f"[fleet] {', '.join(names)}: cannot be changed without a restart")
        self.names = names


def load_keys(path: str) -> dict[bytes, bytes]:
    """Read the key file.

    Raises:
        FleetConfigurationError: the file cannot be read or is invalid.
    """
    try:
        return read_keys(Path(path).read_text("ascii"))
    except (OSError, UnicodeDecodeError) as error:
        raise KeyFileError(path, f"cannot be read: {error}") from None
    except InvalidKeyFileError as error:
        raise KeyFileError(path, str(error)) from None


class Fleet:
    """This front's membership, replicated store and their transports.

    Attributes:
        runtime: the reactor, timers and source of random bytes.
        timers: the runtime's timers.
        name: this front's name.
        settings: the fleet's settings from the installation file; a reload replaces them.
        membership: the members and their states.
        store: this front's replica of the fleet's state.
        anti_entropy: synchronisation of the replica with those of other fronts.
        connections: connections to neighbours.
        authenticator: authenticator of all messages.
        datagrams: the UDP port.
        counts: counters of datagrams by result.
        resumed_at: time at which this process last resumed after a pause, minus infinity if it never paused.
        connection_lost_at: time at which the connection to each peer was last lost, by the peer's name.
        logged_reachability: this front's reachability according to the last log line about it.
        is_stopped: whether `stop` was called.
        lease_service: strict limits shared with other fronts, None until the quota service sets it.
    """

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        settings: FleetSettings,
        on_change: Callable[[Change], None],
        epoch: int,
    ) -> None:
        """Create the components; nothing is sent or received before `start`.

        Args:
            runtime: the reactor, timers and source of random bytes.
            name: this front's name.
            settings: the fleet's settings from the installation file.
            on_change: function that is called with every item that has become more restrictive.
            epoch: Unix time of this start in milliseconds. If the clock was set back since an earlier start,
                peers report the later epoch that they know, and this front continues above it.

        Raises:
            FleetConfigurationError: the key file cannot be read or is invalid.
        """
        self.runtime = runtime
        self.timers = runtime.timers
        self.name = name
        self.settings = settings
        seed = int.from_bytes(runtime.random_bytes(4), "big")
        now = self.timers.now()
        peers = [peer.name for peer in settings.peers]
        self.counts: Counter[str] = Counter()
        self.authenticator = MessageAuthenticator(settings.fleet, name, epoch, load_keys(settings.key_file))
        self.membership = Membership(name, epoch, settings, peers, seed, now)
        self.store = ReplicatedStore(name, epoch, settings.retained_operations)
        self.anti_entropy = AntiEntropy(self.store, settings, seed + 1, on_change, now)
        self.connections = PeerConnections(runtime, self.authenticator, settings, self)
        self.datagrams = DatagramPort(runtime, self.authenticator, self.datagram_received, self.counts)
        self.resumed_at = -math.inf
        self.connection_lost_at: dict[str, float] = {}
        self.logged_reachability = Reachability.WAKING
        self.is_stopped = False
        self.lease_service: LeaseService | None = None

    # Start, stop, reload.

    def start(self) -> None:
        """Open both ports, and start probing members and connecting to neighbours."""
        host, port = split_address(self.settings.listen)
        self.connections.listen(host, port)
        self.datagrams.listen(host, port)
        self._set_neighbours()
        self.timers.after(0.0, self.tick)
        self.timers.after(REPORT_INTERVAL, self.report)
        logger.info(
            "fleet {}: front {} started, {} members configured, epoch {}",
            self.settings.fleet,
            self.name,
            len(self.settings.peers) + 1,
            self.membership.epoch,
        )

    def _set_neighbours(self) -> None:
        peers = [peer for peer in self.settings.peers if peer.name != self.name]
        self.connections.set_members(peers, neighbours(self.name, [peer.name for peer in peers]))

    def reload(self, settings: FleetSettings) -> None:
        """Apply new settings, members and keys.

        Raises:
            FleetConfigurationError: a changed setting needs a restart, or the key file is invalid. Nothing
                has been changed.
        """
        keys = load_keys(settings.key_file)
        fixed = [name for name in FIXED_SETTINGS if getattr(settings, name) != getattr(self.settings, name)]
        if fixed:
            raise FixedSettingsError(fixed)
        self.authenticator.set_keys(keys)
        self.settings = settings
        self.anti_entropy.settings = settings
        self.connections.settings = settings
        self.membership.reconfigure(settings, self.timers.now())
        self._set_neighbours()
        logger.info("fleet: settings reloaded, {} members, {} keys", len(settings.peers) + 1, len(keys))

    def stop(self) -> None:
        """Leave the fleet and close all sockets."""
        if self.is_stopped:
            return
        self.is_stopped = True
        self._send_datagrams(self.membership.leave())
        self.connections.stop()
        self.datagrams.close()

    # Time.

    def tick(self) -> None:
        """Run the periodic work of all components."""
        if self.is_stopped:
            return
        self.timers.after(TICK_INTERVAL, self.tick)  # first, so that an exception below does not stop ticks
        now = self.timers.now()
        self.detect_pause(now)
        self._send_datagrams(self.membership.advance(now))
        self._log_changes(now)
        self._propagate_own_epoch()
        self._send_messages(self.anti_entropy.tick(now))
        if self.lease_service:
            self._send_datagrams(self.lease_service.tick(now, self.live_members()))
        self.connections.drop_silent()

    def detect_pause(self, now: float) -> None:
        """Detect a pause of this process, before any action is based on data that may be stale."""
        if self.membership.was_paused(now):
            seconds = now - self.membership.last_advance
            logger.warning("fleet: this process was paused for {:.1f} s; catching up", seconds)
            self.resumed_at = now
            self._send_datagrams(resume_after_pause(self.membership, self.anti_entropy, now))

    def _log_changes(self, now: float) -> None:
        for name, before, after, reason in self.membership.drain_changes():
            logger.bind(member=name, before=before.name, state=after.name).info(
                "fleet: member {} changed from {} to {}: {}", name, before.name, after.name, reason
            )
        reachability = self.membership.reachability(now)
        if reachability is not self.logged_reachability:
            logger.info(
                "fleet: own reachability changed from {} to {}",
                self.logged_reachability.name,
                reachability.name,
            )
            self.logged_reachability = reachability

    def _propagate_own_epoch(self) -> None:
        """Propagate this front's epoch to all components after messages from peers have raised it."""
        epoch = self.membership.epoch
        if epoch == self.authenticator.epoch:
            return
        logger.warning("fleet: own epoch raised from {} to {}", self.authenticator.epoch, epoch)
        # Raised because the clock went back, or because another process runs under this name.
        self.authenticator.epoch = epoch
        self.store.set_epoch(epoch)
        if self.lease_service:
            self.lease_service.set_epoch(epoch)

    def report(self) -> None:
        """Log all counters, and schedule the next report."""
        if self.is_stopped:
            return
        view = self.view()
        fields = {
            "alive": len(view.alive()),
            "named": len(view.members),
            "reachability": view.reachability.name,
            "health": view.health,
            "caught_up": self.anti_entropy.is_caught_up,
            "items": len(self.store.items),
            "connections": len(self.connections.established_by_peer),
            "counts": dict(self.membership.counts + self.anti_entropy.counts + self.counts),
            "connection_counts": dict(self.connections.counts),
            "dropped": dict(self.authenticator.dropped),
        }
        logger.bind(**fields).info(
            "fleet: {alive} of {named} other members alive, reachability {reachability}, health {health}, "
            "caught up {caught_up}, {items} items, {connections} connections; {counts}; "
            "{connection_counts}; dropped {dropped}",
            **fields,
        )
        self.timers.after(REPORT_INTERVAL, self.report)

    # Datagrams.

    def _send_datagrams(self, sends: list[Send]) -> None:
        for send in sends:
            if peer := self.connections.members.get(send.to):
                self.datagrams.send(peer, send.body)

    def datagram_received(self, now: float, header: Header, body: m.Datagram) -> None:
        """Handle an authenticated datagram."""
        self.detect_pause(now)
        if isinstance(body, m.LeaseMessage):
            self._lease_message_received(now, header, body)
            return
        self._send_datagrams(self.membership.receive(now, header.sender, header.epoch, body))
        self._log_changes(now)
        self._propagate_own_epoch()

    def _lease_message_received(self, now: float, header: Header, body: m.LeaseMessage) -> None:
        """Handle a message about a strict limit if this front knows its sender and the sender's epoch."""
        member = self.membership.members.get(header.sender)
        is_known = member is not None and member.epoch == header.epoch and not self.membership.is_contested
        if self.lease_service is None or not is_known:
            self.counts["shares of nobody known"] += 1
            return
        self._send_datagrams(self.lease_service.handle(now, header.sender, header.epoch, body))

    def live_members(self) -> list[str]:
        """Return the names of the other members that are believed alive and not suspected."""
        return [one.name for one in self.membership.members.values() if one.state is State.ALIVE]

    # Connections (`ConnectionHandler`).

    def connection_up(self, peer: str, epoch: int) -> None:
        """Start to synchronise with a neighbour after a connection was established."""
        self._send_messages(self.anti_entropy.peer_connected(peer, self.timers.now()))

    def connection_down(self, peer: str) -> None:
        """Record the loss of the connection to a neighbour."""
        self.connection_lost_at[peer] = self.timers.now()
        self._send_messages(self.anti_entropy.peer_disconnected(peer, self.timers.now()))

    def message_received(self, peer: str, epoch: int, body: m.ConnectionMessage) -> None:
        """Handle an authenticated message from a connection."""
        now = self.timers.now()
        self.detect_pause(now)
        self._send_messages(self.anti_entropy.handle(now, peer, body))

    def _send_messages(self, messages: list[PeerMessage]) -> None:
        for message in messages:
            self.connections.send(message)

    # Interface for the front.

    def publish(self, kind: str, key: str, *value: int | float | str) -> None:
        """Write an item of the replicated state; `replicated_items.ITEM_KINDS` defines kinds and values."""
        self._send_messages(self.anti_entropy.write(self.timers.now(), kind, key, *value))

    def view(self) -> MembershipView:
        """Return the current view of the fleet's members."""
        return self.membership.view(self.timers.now())
