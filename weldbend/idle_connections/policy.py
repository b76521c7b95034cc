"""The choices about clients' connections, without I/O: who stays, who is parked, who goes, how many a turn.

Nothing here touches a socket or a clock. The limits are those of the site's pages on silent clients, half
calls and the bound on descriptors; an installation may set others (`weldbend.installation`).
"""

from dataclasses import dataclass
from enum import Enum, auto

FRESH = 0.05  # seconds without a byte after which a client's call is hardly on its way
QUIET = 0.1  # seconds without a byte after which nothing is held to be on its way from a client
CROWD = 256  # live connections above which those that are still are parked at once
REGULAR = 8  # calls by which a client is known to go on asking
PROMPT = 2.0  # seconds for which one was idle that is woken before others
OTHERS = 4  # one wake in so many is of the others, if any wait
SHARE = 16  # at the bound, one part in so many makes room at once
KINDS = 3  # of idle clients, by what they asked so far: nothing, one call, more


@dataclass(frozen=True, slots=True)
class Terms:
    """What an installation may set. Times are seconds, the rest are counts; defaults are the platform's."""

    speak: float = 2.0  # in which a client has to bring its first call, and to end each call that it began
    idle: float = 4.5  # without an open download: clients close such a connection themselves after 4
    park: float = 0.5  # without a byte after which an idle connection is parked; 0 parks none
    wakes: int = 32  # connections woken in one turn at most
    closes: int = 256  # connections closed or parked in one turn at most
    accepts: int = 64  # connections accepted in one turn, about
    most: int = 0  # connections of clients at once; 0: what the limit on descriptors leaves


class Verdict(Enum):
    """What becomes of a connection that is looked at."""

    STAY = auto()
    PARK = auto()
    CLOSE = auto()  # idle for too long
    MUTE = auto()  # it never said anything
    HALF = auto()  # it stopped in the middle of a call


@dataclass(frozen=True, slots=True)
class Seen:
    """What one look at a connection finds; times in seconds of the front's clock."""

    busy: bool  # a download is open, or bytes wait to leave
    partial: bool  # a call has begun to come
    calls: int
    heard: float  # when it last was not idle
    begun: float  # since when a call is on its way


def verdict(terms: Terms, seen: Seen, now: float, live: int = 0) -> Verdict:
    """What becomes of one of so many that are live.

    Guards descriptors against clients that say nothing, stop in the middle, or never close.

    Harm: a client that needs longer for one call than any of ours is closed in the middle of it.
    """
    if seen.busy:
        return Verdict.STAY
    if seen.partial:
        return Verdict.HALF if now > seen.begun + terms.speak else Verdict.STAY
    if now > seen.heard + limit(terms, kind(seen.calls)):
        return Verdict.CLOSE if seen.calls else Verdict.MUTE
    return Verdict.PARK if terms.park and now > seen.heard + still(terms, seen.calls, live) else Verdict.STAY


def still(terms: Terms, calls: int, live: int) -> float:
    """Seconds without a byte after which an idle connection is parked, where so many are live.

    Guards memory against rushes: thousands that come in a second would all be live at once, and what the
    allocator took for them is not given back. Regulars are spared. Harm: one that asks again soon costs a
    wake, a twentieth of a download's CPU.
    """
    return terms.park if live <= CROWD or calls >= REGULAR else min(terms.park, QUIET)


def prompt(idle: float) -> bool:
    """Whether one that was idle for so many seconds is woken before others.

    Guards those in the middle of their downloads against a mass that has been away. Harm: those wait a
    little longer; every OTHERS-th wake is theirs all the same.
    """
    return idle < PROMPT


def kind(calls: int) -> int:
    """Which of the kinds of idle clients: those that asked least go first."""
    return min(calls, KINDS - 1)


def limit(terms: Terms, kind: int) -> float:
    """Seconds for which an idle connection of a kind is kept."""
    return terms.idle if kind else min(terms.speak, terms.idle)


def precedence(calls: int, heard: float, now: float) -> tuple[bool, int, float]:
    """Sorts idle connections by who makes room first.

    Those heard of just now go last, since a call may be on its way there; else those that said nothing, then
    those that asked once, the longest first.
    """
    return heard > now - FRESH, kind(calls), heard


def leaving(count: int, most: int) -> int:
    """How many idle ones make room when `count` connections stand against a bound of `most`.

    Guards the port against clients that connect in hundreds and stay. Harm: an idle usual one has to connect
    anew, when more are in use at once than the site has descriptors for.
    """
    return max(most // SHARE, 1) if count >= most else 0


def rests(count: int, most: int) -> bool:
    """Whether the port accepts nobody: those who come wait in the kernel's queue."""
    return count >= most


def quiet(idle: bool, heard: float, now: float) -> bool:
    """Whether nothing can be on its way: no part of a call is here, and none came or was answered lately.

    Holds also for one that has just been accepted: its first call may lie unread.
    """
    return idle and now > heard + QUIET


class Pace:
    """How many parked connections wake in one turn: as many as leave the turn short.

    Guards the deadlines of busy downloads, and the timers, against a large share that wakes in the same
    moment. Additive growth and halving by how long turns last while connections wait to be woken. Harm: the
    last of a mass wakes late; how late is told to the decisions, which throttle what has no time left.
    """

    SHORT, LONG = 0.003, 0.008  # seconds of a turn under which the batch grows, and over which it is halved
    START = 4

    def __init__(self, most: int) -> None:
        self.most, self.size = most, min(self.START, most)
        self.last: float | None = None  # when the batch before was begun, if others had to wait behind it

    def batch(self, now: float, waiting: int) -> int:
        """How many of those waiting wake now."""
        if self.last is not None:
            took = now - self.last
            if took > self.LONG:
                self.size = max(self.size // 2, 1)
            elif took < self.SHORT:
                self.size = min(self.size + 1, self.most)
        count = min(self.size, waiting)
        self.last = now if waiting > count else None
        return count
