"""Settings of the fleet: the sections `[fleet]` and `[limits]` of an installation file. No I/O."""

import math
from dataclasses import dataclass, field

MAX_NAME_LENGTH = 48  # bytes of a front's, a fleet's or a zone's name
MAX_PEERS = 256  # named in one installation file


def split_address(address: str) -> tuple[str, int]:
    """Host and port of a `host:port` that was checked when it was read."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Peer:
    """One named member, and its address for datagrams (UDP) and connections (TCP, the same port)."""

    name: str
    host: str
    port: int
    zone: str = ""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What is limited for the whole fleet, as `[limits]` sets it.

    Attributes:
        lease_term: seconds for which a lease on a strict limit lasts.
        clock_drift: fraction by which steady clocks may run apart.
        slow_start: whether budgets of caches that warm up are shared by leases.
        parent_quotas: whether what is in flight at all parents is divided by demand.
        ejections: whether caches are ejected by the reports of several fronts.
        ban_duration: seconds for which a client stays banned.
        leased_rates: request classes and their rates, requests a second of all fronts, never exceeded.
        demand_rates: request classes and their rates that are divided by demand.
        client_rate: requests a second of one client (address) at all fronts; 0 for no limit.
    """

    lease_term: float = 1.0
    clock_drift: float = 0.01
    slow_start: bool = True
    parent_quotas: bool = True
    ejections: bool = True
    ban_duration: float = 600.0
    leased_rates: tuple[tuple[str, float], ...] = ()
    demand_rates: tuple[tuple[str, float], ...] = ()
    client_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """This front's place in a fleet, as `[fleet]` sets it; all in seconds, bytes and bytes a second.

    Attributes:
        listen: host:port of this front's datagrams and connections; empty for a front without a fleet.
        fleet: the fleet's name.
        zone: this front's zone.
        key_file: path of the key file.
        peers: all named members.
        admin_address: host:port on loopback for `weldbend fleet`; empty for none.
        probe_interval: time in which a front sends one probe.
        probe_timeout: time in which a direct probe is answered.
        helpers: how many members are asked to probe on this front's behalf.
        min_suspicion: shortest suspicion, in intervals and decades of members.
        suspicion_spread: factor by which a suspicion lasts longer that nobody else has confirmed.
        isolation_timeout: time without a message from anybody after which this front judges nobody.
        pause_threshold: time between two ticks after which this process counts as paused.
        peer_rate: bytes a second to one peer, snapshots and deltas together.
        outbox_capacity: bytes that wait for one peer at most.
        retained_operations: operations of each writer that are retained for deltas.
        summary_interval: time between two summaries to one peer.
        limits: what is limited for the whole fleet.
        popularity: whether fronts of a zone count their clients' requests together.
    """

    listen: str = ""
    fleet: str = "fleet"
    zone: str = ""
    key_file: str = ""
    peers: tuple[Peer, ...] = ()
    admin_address: str = ""
    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    helpers: int = 3
    min_suspicion: float = 4.0
    suspicion_spread: float = 5.0
    isolation_timeout: float = 3.0
    pause_threshold: float = 2.0
    peer_rate: int = 256_000
    outbox_capacity: int = 1_000_000
    retained_operations: int = 4096
    summary_interval: float = 2.0
    limits: LimitSettings = field(default_factory=LimitSettings)
    popularity: bool = False

    def suspicion_timeout(self, members: int, confirmations: int) -> float:
        """Seconds of a suspicion that so many other members have confirmed, in a fleet of `members`.

        Lifeguard (Dadgar, Phillips, Currey 2018), section IV-B: from the longest down to the shortest, by the
        logarithm of the confirmations.
        """
        shortest = self.min_suspicion * max(1.0, math.log10(max(members, 1))) * self.probe_interval
        longest = shortest * self.suspicion_spread
        possible = max(min(self.helpers, members - 2), 0)  # who could confirm it at all
        if confirmations >= possible:
            return shortest
        return longest - (longest - shortest) * math.log(confirmations + 1) / math.log(possible + 1)

    def gossip_transmissions(self, members: int) -> int:
        """How often an update is passed on: SWIM (Das, Gupta, Motivala 2002), section 4.1, with lambda 3."""
        return math.ceil(3 * math.log10(members + 1)) + 1
