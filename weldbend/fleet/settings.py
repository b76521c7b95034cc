"""Settings of the fleet: the sections `[fleet]` and `[limits]` of an installation file. No I/O."""

import math
from dataclasses import dataclass, field

MAX_NAME_LENGTH = 48  # characters of the name of a front, fleet or zone
MAX_PEERS = 256  # per installation file


def split_address(address: str) -> tuple[str, int]:
    """Split a `host:port`, which was validated when it was read, into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Peer:
    """A configured member and its address, whose port is used for both UDP datagrams and TCP connections."""

    name: str
    host: str
    port: int
    zone: str = ""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits that apply to the whole fleet, from the section `[limits]`.

    Attributes:
        lease_term: duration of a lease on a strict limit, in seconds.
        clock_drift: largest relative difference between the rates of monotonic clocks.
        slow_start: whether the budgets of caches in slow start are shared by leases.
        parent_quotas: whether the limit of requests in flight at all parents is divided by demand.
        ejections: whether caches are ejected by the reports of several fronts.
        ban_duration: seconds for which a client remains banned.
        leased_rates: request classes with their strict limits, in requests per second of all fronts.
        demand_rates: request classes with limits that are divided by demand, in requests per second.
        client_rate: limit of one client address at all fronts, in requests per second; 0 for no limit.
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
    """The settings of a front within its fleet, from the section `[fleet]`.

    Times are in seconds, sizes in bytes and rates in bytes per second.

    Attributes:
        listen: host:port for this front's datagrams and connections; empty for a front without a fleet.
        fleet: the fleet's name.
        zone: this front's zone.
        key_file: path of the file with the keys that authenticate fleet messages.
        peers: all configured members.
        admin_address: host:port on loopback for `weldbend fleet`; empty for no admin port.
        probe_interval: time between two probes of a front.
        probe_timeout: time within which a direct probe has to be answered.
        helpers: number of members that are asked to probe on this front's behalf.
        min_suspicion: shortest suspicion, in units of the probe interval times the log10 of the member count;
            a logarithm below 1 counts as 1.
        suspicion_spread: ratio of the suspicion without any confirmation to the shortest one.
        isolation_timeout: time without any received message after which this front declares no members dead.
        pause_threshold: time between two ticks, beyond the probe interval as extended by the local health,
            above which this process counts as paused.
        peer_rate: maximum rate of snapshots and deltas of the replicated fleet state to one peer.
        outbox_capacity: maximum size of the messages queued for one peer.
        retained_operations: number of the latest changes kept for each front and start of that front, for
            members whose copy of the shared state lacks them.
        summary_interval: time between two summaries of the replicated fleet state to one peer.
        limits: limits that apply to the whole fleet.
        popularity: whether the fronts of a zone share their counts of clients' requests.
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
        """Return the duration of a suspicion in seconds.

        It falls from the longest to the shortest duration by the logarithm of the confirmations: Lifeguard
        (Dadgar, Phillips, Currey 2018), section IV-B.

        Args:
            members: number of members of the fleet.
            confirmations: number of other members that have confirmed the suspicion.
        """
        shortest = self.min_suspicion * max(1.0, math.log10(max(members, 1))) * self.probe_interval
        longest = shortest * self.suspicion_spread
        # Number of confirmations from which the suspicion is shortest: `helpers`, or fewer if fewer members
        # can confirm (all but this front and the suspected one).
        possible = max(min(self.helpers, members - 2), 0)
        if confirmations >= possible:
            return shortest
        return longest - (longest - shortest) * math.log(confirmations + 1) / math.log(possible + 1)

    def gossip_transmissions(self, members: int) -> int:
        """Return the number of transmissions of an update, in a fleet of `members`.

        SWIM (Das, Gupta, Motivala 2002), section 4.1, with lambda 3, and one transmission more.
        """
        return math.ceil(3 * math.log10(members + 1)) + 1
