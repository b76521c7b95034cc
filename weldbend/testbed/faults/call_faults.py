"""Which socket calls of a process fail, how, how often and when: drawn from a seed. No I/O.

A plan is a few episodes. In each, one call fails with one error, by chance and a bounded number of times,
between two moments. What is drawn depends on the seed alone; which call it meets depends on the process.
"""

import errno
import random
from dataclasses import dataclass, field
from enum import Enum


class Call(Enum):
    """The calls that can fail. `CONNECT_RESULT` is what getsockopt tells of a connect that was under way."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    CONNECT_RESULT = "connect, later"
    RECEIVE = "recv"
    SEND = "send"
    EPOLL_WAIT = "epoll_wait"
    EPOLL_CTL = "epoll_ctl"


SHORT_TRANSFER = 0  # in place of an error number: the call moves a part of the bytes

CONNECTION_FAILURES = (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH)
RESOURCE_EXHAUSTION = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
UNREACHABLE = (errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED)
ERRORS: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.EPROTO, errno.EINTR, errno.EPERM, *RESOURCE_EXHAUSTION),
    Call.SOCKET: RESOURCE_EXHAUSTION,
    Call.CONNECT: (
        *UNREACHABLE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    ),
    Call.CONNECT_RESULT: (*UNREACHABLE, errno.ECONNRESET),
    Call.RECEIVE: (SHORT_TRANSFER, errno.EAGAIN, *CONNECTION_FAILURES, errno.ENOMEM),
    Call.SEND: (SHORT_TRANSFER, errno.EAGAIN, errno.ENOBUFS, *CONNECTION_FAILURES, errno.EPIPE, errno.ENOMEM),
    Call.EPOLL_WAIT: (errno.EINTR,),
    Call.EPOLL_CTL: (errno.ENOSPC, errno.ENOMEM),
}
ALL_FAULTS = tuple((call, number) for call, numbers in ERRORS.items() for number in numbers)
HARMLESS_TRANSFERS = frozenset({SHORT_TRANSFER, errno.EAGAIN, errno.ENOBUFS})  # of RECEIVE and SEND
RANDOM_EPISODES = 5  # of a plan, drawn at random
MIN_SEED_FAULT_CHANCE = 0.6  # with which the seed's own fault is injected at least, while it may be
SEED_FAULT_WINDOWS = 10  # equal parts of the time, in each of which the seed's own fault is injected
MIN_EPISODE = 0.05  # seconds of an episode at least
MAX_EPISODE = 0.8  # and at most
MAX_BREAKING_FAULTS = 3  # in one episode that ends connections
MAX_HARMLESS_FAULTS = 40  # in one that does not


def error_name(number: int) -> str:
    """How reports name an error."""
    return errno.errorcode[number] if number else "short"


def ends_connection(call: Call, number: int) -> bool:
    """Whether the connection that the call is for may end by it."""
    return call in (Call.RECEIVE, Call.SEND) and number not in HARMLESS_TRANSFERS


@dataclass
class Episode:
    """One call that fails for a while.

    Attributes:
        call: which.
        error_number: how; an error number, or SHORT_TRANSFER.
        since: when it begins, in seconds after the start.
        until: when it ends.
        chance: with which a call in that time fails.
        remaining: how many calls may still fail.
    """

    call: Call
    error_number: int
    since: float
    until: float
    chance: float
    remaining: int


def draw_plan(seed: int, seconds: float) -> list[Episode]:
    """The episodes of a seed, spread over so many seconds.

    Seeds go through all faults in turn, so as many seeds as there are faults inject each in every part of the
    time; some others are drawn beside it.
    """
    rng = random.Random(f"socket calls {seed}")
    window = seconds / SEED_FAULT_WINDOWS
    moments = [(index * window, (index + 1) * window) for index in range(SEED_FAULT_WINDOWS)]
    episodes = [draw_episode(rng, seed_fault(seed), *moment) for moment in moments]
    for episode in episodes:
        episode.chance = max(episode.chance, MIN_SEED_FAULT_CHANCE)
    for fault in rng.sample(ALL_FAULTS, RANDOM_EPISODES):
        since = rng.uniform(0.0, seconds)
        episodes.append(draw_episode(rng, fault, since, since + rng.uniform(MIN_EPISODE, MAX_EPISODE)))
    return episodes


def seed_fault(seed: int) -> tuple[Call, int]:
    """The fault that a seed injects all the time."""
    return ALL_FAULTS[seed % len(ALL_FAULTS)]


def draw_episode(rng: random.Random, fault: tuple[Call, int], since: float, until: float) -> Episode:
    """An episode of a fault between two moments: how often, and by what chance."""
    is_breaking = ends_connection(*fault)
    chance = rng.uniform(0.1, 0.5) if is_breaking else rng.choice((0.2, 0.5, 1.0))
    remaining = rng.randint(1, MAX_BREAKING_FAULTS if is_breaking else MAX_HARMLESS_FAULTS)
    return Episode(*fault, since, until, chance, remaining)


@dataclass
class CallFaults:
    """A plan at work.

    Attributes:
        episodes: those of the plan.
        rng: what chance is drawn from.
        calls: how often each call was made.
    """

    episodes: list[Episode]
    rng: random.Random
    calls: dict[Call, int] = field(default_factory=lambda: dict.fromkeys(Call, 0))

    def draw(self, call: Call, now: float) -> int | None:
        """How a call that is made now fails: an error number, SHORT_TRANSFER, or None for not at all.

        Args:
            call: the call.
            now: seconds after the start.
        """
        self.calls[call] += 1
        for episode in self.episodes:
            is_due = episode.call is call and episode.since <= now < episode.until and episode.remaining > 0
            if is_due and self.rng.random() < episode.chance:
                episode.remaining -= 1
                return episode.error_number
        return None
