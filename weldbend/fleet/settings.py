"""What an installation says of its fleet: the fields that `[fleet]` sets, and what follows. No I/O."""

import math
from dataclasses import dataclass, field

LONGEST_NAME = 48  # bytes of a front's, a fleet's or a zone's name
MOST_PEERS = 256  # named in one installation file


def split(address: str) -> tuple[str, int]:
    """Host and port of a checked `host:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(frozen=True, slots=True)
class Peer:
    """One named member: where its probes go (UDP) and where its link listens (TCP, the same port)."""

    name: str
    host: str
    port: int
    zone: str = ""


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """What is limited for the whole fleet. Rates are downloads a second of all fronts together; seconds."""

    lease: float = 1.0  # term of what is lent
    drift: float = 0.01  # by which steady clocks may run apart, a share of each
    cold: bool = True  # budgets of cold caches, by leases
    parents: bool = True  # what is out at all parents, by need
    verdicts: bool = True
    cast: float = 600.0  # for which a client stays cast out
    strict: tuple[tuple[str, float], ...] = ()  # content type and rate: never over
    soft: tuple[tuple[str, float], ...] = ()
    client: float = 0.0  # of one client (address), 0: none


@dataclass(frozen=True, slots=True)
class Terms:
    """All in seconds, bytes and bytes a second. An empty `listen` is a front without a fleet."""

    listen: str = ""  # host:port of this front's probes and links
    fleet: str = "fleet"
    zone: str = ""
    keys: str = ""  # path of the key file
    peers: tuple[Peer, ...] = ()
    control: str = ""  # host:port on loopback for `weldbend fleet`
    interval: float = 1.0  # one probe a front in this time
    timeout: float = 0.3  # in which a direct probe is answered
    helpers: int = 3  # asked to probe in this front's place
    patience: float = 4.0  # least suspicion, in intervals and decades of members
    widest: float = 5.0  # by which a suspicion without a second voice lasts longer
    alone: float = 3.0  # without a word from anybody: this front judges nobody
    stalled: float = 2.0  # between two turns: this front itself stood still
    rate: int = 256_000  # bytes a second to one peer, snapshots and deltas together
    outbox: int = 1_000_000  # bytes that wait for one peer at most
    ops: int = 4096  # of each writer, kept for deltas
    exchange: float = 2.0  # between two comparisons of copies with one peer
    limits: LimitSettings = field(default_factory=LimitSettings)
    popularity: bool = False  # whether fronts of a zone count their clients' wishes together

    def suspicion(self, members: int, voices: int) -> float:
        """Seconds of a suspicion that so many others have confirmed.

        Lifeguard (Dadgar, Phillips, Currey 2018), section IV-B: from the widest down to the least, by the
        logarithm of the voices heard.
        """
        least = self.patience * max(1.0, math.log10(max(members, 1))) * self.interval
        most = least * self.widest
        others = max(min(self.helpers, members - 2), 0)  # who could confirm it at all
        if voices >= others:
            return least
        return most - (most - least) * math.log(voices + 1) / math.log(others + 1)

    def repeats(self, members: int) -> int:
        """How often a rumour is passed on: SWIM (Das, Gupta, Motivala 2002), section 4.1, with lambda 3."""
        return math.ceil(3 * math.log10(members + 1)) + 1
