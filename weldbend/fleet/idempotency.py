"""Requests that another front may have sent to a cache, and the caches they may be retried at. No I/O.

When a front dies, its client sends a request again to another front with the same idempotency key. The
other front follows the rule for such requests as if it had sent the first attempt itself: it retries only in
the group of caches that drops duplicates of that attempt, and only within the deduplication window.

A front cannot know of an attempt that another front sent just before it died, was partitioned or stopped
responding. If all caches drop duplicates, this makes no difference within the window, and clients do not
retry after it. If only the caches of a zone or a cell drop them, a request that is marked as a retry counts
as possibly executed anywhere while this front's replica has not caught up with its peers, or while an unknown
attempt may still be in its window because the connection to a front was lost or a front stopped responding
(`UnknownAttempts`). A partition that lasts longer than the deduplication window is not covered: attempts from
its other side are not known here.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from weldbend.fleet.member_table import Member, State
from weldbend.fleet.replicated_items import ALL_CACHES, NO_CACHE, Value
from weldbend.routing.events import PossibleExecution
from weldbend.routing.settings import DeduplicationScope

MAX_CLOCK_ERROR = 10.0  # seconds; a timestamp is ignored if the age it gives differs by more from the item's
ZONE_PREFIX = "z:"
CELL_PREFIX = "c:"


def deduplication_group(scope: DeduplicationScope, zone: str, cell: int) -> str:
    """Return the published name of the caches that drop duplicates of an attempt sent to one of them."""
    groups = {
        DeduplicationScope.ZONE: f"{ZONE_PREFIX}{zone}",
        DeduplicationScope.CELL: f"{CELL_PREFIX}{cell}",
    }
    return groups.get(scope, ALL_CACHES)


def possible_execution(value: Value, written_at: float, now: float, unix: float) -> PossibleExecution:
    """Return the possible execution that a replicated item of kind `keyed` records.

    The first attempt is dated by its writer's Unix clock, but no later than the first write of the item, so
    that no clock error makes the window longer. A clock that is wrong by less than `MAX_CLOCK_ERROR` can
    make the window shorter by its error; retries then end earlier, and no request is executed twice.

    Args:
        value: value of the item: the group, and the Unix time of the first attempt in milliseconds.
        written_at: time when the item was first written, by this front's steady clock.
        now: time of the steady clock in seconds.
        unix: Unix time of the same moment in seconds.
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
    """Rule for whether other fronts may have made attempts that this front does not know of.

    Attributes:
        window: longest deduplication window of the deduplicated request classes, in seconds.
    """

    window: float

    def may_exist(
        self, is_caught_up: bool, lost: Mapping[str, float], members: Iterable[Member], now: float
    ) -> bool:
        """Return whether an unknown attempt of another front may still be in its deduplication window.

        Guards against a second execution in another group of caches. Side effect: while this returns True,
        requests that are marked as retries, and whose duplicates only the caches of a zone or a cell drop,
        fail unless this front knows of their first attempt.

        Args:
            is_caught_up: whether this front's replica has caught up with its peers.
            lost: time when the connection to each peer was last lost, in seconds.
            members: other fronts as this one sees them.
            now: time of the steady clock in seconds.
        """
        if not is_caught_up or any(now - lost_at < self.window for lost_at in lost.values()):
            return True
        return any(
            member.state is State.SUSPECT or (member.state is State.DEAD and now - member.since < self.window)
            for member in members
            if member.epoch and member.received_at > -math.inf
        )
