"""Deduped downloads that may have run at another front: what is said of them, and what it binds. No I/O.

The client of a front that died asks another one again, under the same key (`once`). That one keeps rule 2 as
if it had sent the first pull itself: only to the group that drops the repeat, and only within its window.

What a front cannot know: a pull that left in the last moments before its front died, cut off or silent. Where
repeats are dropped everywhere that changes nothing within the window, past which no client asks again. Where
only a zone or a cell drops them, a marked repeat counts as one that may have run anywhere, as long as this
front has not caught up, or somebody's link was lost or somebody fell silent so lately that a pull of theirs
may still be in its window (`Doubt`). Beyond that a split that lasts is not covered: what its other side sends
is not known here.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from weldbend.fleet.membership import Member, State
from weldbend.fleet.replicated_store import ANYWHERE, NOWHERE, Value
from weldbend.routing.events import PossibleExecution
from weldbend.routing.settings import DeduplicationScope

FAR = 10.0  # seconds by which another's clock may have it wrong before its moment is not heeded


def group_of(scope: DeduplicationScope, zone: str, cell: int) -> str:
    """The caches that drop a repeat of what one of them has run, as others are told."""
    return {DeduplicationScope.ZONE: f"z:{zone}", DeduplicationScope.CELL: f"c:{cell}"}.get(scope, ANYWHERE)


def ran(value: Value, said: float, now: float, unix: float) -> PossibleExecution:
    """What a front heeds of an item: `said` is the moment, here, of the latest word about it.

    The first pull is dated by its writer's Unix clock, and at most by that word: a clock ahead makes no
    window longer. One that is behind makes it shorter, which is the strict side.
    """
    group, first = str(value[0]), int(value[1]) / 1000
    age = unix - first
    sent = said if abs(age - (now - said)) > FAR else min(said, now - age)
    if group == NOWHERE:
        return PossibleExecution(NOWHERE, -1, sent)
    zone, cell = (group[2:], -1) if group.startswith("z:") else ("", int(group[2:] or -1))
    return PossibleExecution(zone, cell, sent)


@dataclass(frozen=True, slots=True)
class Doubt:
    """Whether there may be pulls that this front was not told of."""

    window: float  # seconds: the longest of any deduped content type

    def holds(self, whole: bool, lost: Mapping[str, float], members: Iterable[Member], now: float) -> bool:
        """`lost`: when each peer's link was lost last.

        Guards against a second run in another group. Harm: a marked repeat is abandoned for some seconds.
        """
        if not whole or any(now - at < self.window for at in lost.values()):
            return True
        return any(
            one.state is State.SUSPECT or (one.state is State.DEAD and now - one.since < self.window)
            for one in members
            if one.epoch and one.heard > -math.inf
        )
