"""Failures of a process's socket calls, drawn from a seed. No I/O.

A plan consists of a few episodes. In an episode, one kind of call fails with one error, with a given
probability and a bounded number of times, between two points in time. The plan depends on the seed alone;
which individual calls fail also depends on the timing of the process.
"""

import errno
import random
from dataclasses import dataclass, field
from enum import Enum


class Call(Enum):
    """System calls that can fail.

    `CONNECT_RESULT` is the result of a pending connect, as getsockopt returns it.
    """

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    CONNECT_RESULT = "connect, later"
    RECEIVE = "recv"
    SEND = "send"
    EPOLL_WAIT = "epoll_wait"
    EPOLL_CTL = "epoll_ctl"


SHORT_TRANSFER = 0  # used in place of an error number: the call transfers only part of the bytes

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
# Results of RECEIVE and SEND that do not end the connection.
HARMLESS_TRANSFERS = frozenset({SHORT_TRANSFER, errno.EAGAIN, errno.ENOBUFS})
RANDOM_EPISODES = 5  # episodes with randomly drawn faults, in addition to those of the seed's own fault
MIN_SEED_FAULT_CHANCE = 0.6  # minimum probability of the seed's own fault during its episodes
SEED_FAULT_WINDOWS = 10  # equal parts of the run; each has an episode of the seed's own fault
MIN_EPISODE = 0.05  # seconds; minimum duration of an episode
MAX_EPISODE = 0.8  # seconds; maximum duration of an episode
MAX_BREAKING_FAULTS = 3  # faults in an episode whose faults end connections
MAX_HARMLESS_FAULTS = 40  # faults in any other episode


def error_name(number: int) -> str:
    """Return the name of an error number in reports."""
    return errno.errorcode[number] if number else "short"


def ends_connection(call: Call, number: int) -> bool:
    """Return whether this failure of a call may end the connection that the call is for."""
    return call in (Call.RECEIVE, Call.SEND) and number not in HARMLESS_TRANSFERS


@dataclass
class Episode:
    """A period in which one kind of call fails.

    Attributes:
        call: the kind of call that fails.
        error_number: error number with which the call fails, or SHORT_TRANSFER.
        since: start of the episode, in seconds after the start of the process.
        until: end of the episode, in seconds after the start of the process.
        chance: probability that a call during the episode fails.
        remaining: number of calls that may still fail.
    """

    call: Call
    error_number: int
    since: float
    until: float
    chance: float
    remaining: int


def draw_plan(seed: int, seconds: float) -> list[Episode]:
    """Draw the episodes of a seed, spread over a number of seconds.

    Each seed has one fault of its own, injected in every window of the run, and a few random ones.
    Consecutive seeds cycle through all faults, so len(ALL_FAULTS) consecutive seeds cover each fault in each
    window.
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
    """Return the fault that a seed injects throughout the run."""
    return ALL_FAULTS[seed % len(ALL_FAULTS)]


def draw_episode(rng: random.Random, fault: tuple[Call, int], since: float, until: float) -> Episode:
    """Draw an episode of a fault between two points in time: its probability and its number of faults."""
    is_breaking = ends_connection(*fault)
    chance = rng.uniform(0.1, 0.5) if is_breaking else rng.choice((0.2, 0.5, 1.0))
    remaining = rng.randint(1, MAX_BREAKING_FAULTS if is_breaking else MAX_HARMLESS_FAULTS)
    return Episode(*fault, since, until, chance, remaining)


@dataclass
class CallFaults:
    """Decides for each call of a running process whether it fails.

    Attributes:
        episodes: episodes of the plan.
        rng: random generator for the decisions.
        calls: number of calls made so far, by kind.
    """

    episodes: list[Episode]
    rng: random.Random
    calls: dict[Call, int] = field(default_factory=lambda: dict.fromkeys(Call, 0))

    def draw(self, call: Call, now: float) -> int | None:
        """Decide how a call that is made now fails.

        Args:
            call: the kind of call.
            now: seconds since the start of the process.

        Returns:
            An error number, SHORT_TRANSFER, or None if the call does not fail.
        """
        self.calls[call] += 1
        for episode in self.episodes:
            is_due = episode.call is call and episode.since <= now < episode.until and episode.remaining > 0
            if is_due and self.rng.random() < episode.chance:
                episode.remaining -= 1
                return episode.error_number
        return None
