"""Requests with an idempotency key that another front may have executed, and what that binds. No I/O.

The client of a front that died sends its request to another one again, under the same idempotency key. That
front keeps to the rule for such requests as if it had sent the first attempt itself: it retries only in the
group of caches that drops the repeat, and only within the deduplication window.

What a front cannot know: an attempt that left in the last moments before its front died, was partitioned or
fell silent. Where repeats are dropped by all caches that changes nothing within the window, past which no
client sends again. Where only a zone or a cell drops them, a marked repeat counts as possibly executed
anywhere, as long as this front has not caught up, or somebody's connection was lost or somebody fell silent
so lately that an attempt of theirs may still be in its window (`UnknownAttempts`). Beyond that a partition
that lasts is not covered: what its other side sends is not known here.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from weldbend.fleet.member_table import Member, State
from weldbend.fleet.replicated_items import ALL_CACHES, NO_CACHE, Value
from weldbend.routing.events import PossibleExecution
from weldbend.routing.settings import DeduplicationScope

MAX_CLOCK_ERROR = 10.0  # seconds by which another's clock may be wrong before its moment is ignored
ZONE_PREFIX = "z:"
CELL_PREFIX = "c:"


def deduplication_group(scope: DeduplicationScope, zone: str, cell: int) -> str:
    """Return the caches that drop a repeat of what one of them has executed, as it is published."""
    groups = {
        DeduplicationScope.ZONE: f"{ZONE_PREFIX}{zone}",
        DeduplicationScope.CELL: f"{CELL_PREFIX}{cell}",
    }
    return groups.get(scope, ALL_CACHES)


def possible_execution(value: Value, written_at: float, now: float, unix: float) -> PossibleExecution:
    """Return what an item `keyed` binds.

    The first attempt is dated by its writer's Unix clock, and at most by when the item was first written: no
    clock makes the window longer. One that is wrong by less than `MAX_CLOCK_ERROR` may make it shorter by as
    much, which is the strict side.

    Args:
        value: of the item: the group, and the Unix milliseconds of the first attempt.
        written_at: when it was written first, in this front's time.
        now: seconds of the steady clock.
        unix: the same moment by the Unix clock.
    """
    group = str(value[0])
    first = int(value[1]) / 1000
    age = unix - first
    is_clock_wrong = abs(age - (now - written_at)) > MAX_CLOCK_ERROR
    sent = written_at if is_clock_wrong else min(written_at, now - age)
    if group == NO_CACHE:
        return PossibleExecution(NO_CACHE, -1, sent)
    if group.startswith(ZONE_PREFIX):
        return PossibleExecution(group.removeprefix(ZONE_PREFIX), -1, sent)
    return PossibleExecution("", int(group.removeprefix(CELL_PREFIX) or -1), sent)


@dataclass(frozen=True, slots=True)
class UnknownAttempts:
    """Whether there may be attempts of which this front does not know.

    Attributes:
        window: seconds: the longest deduplication window of any request class.
    """

    window: float

    def may_exist(
        self, is_caught_up: bool, lost: Mapping[str, float], members: Iterable[Member], now: float
    ) -> bool:
        """Whether an attempt of another front may be in its window unknown to this one.

        Guards against a second execution in another group. Harm: a marked repeat fails for some seconds.

        Args:
            is_caught_up: whether this front's replica is.
            lost: when the connection to each peer was lost last.
            members: other fronts as this one sees them.
            now: seconds.
        """
        if not is_caught_up or any(now - lost_at < self.window for lost_at in lost.values()):
            return True
        return any(
            member.state is State.SUSPECT or (member.state is State.DEAD and now - member.since < self.window)
            for member in members
            if member.epoch and member.received_at > -math.inf
        )
