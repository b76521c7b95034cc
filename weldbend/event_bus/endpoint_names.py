"""The bus's list of caches as the decisions know it: names become numbers, stamps the front's time."""

import math
import zlib
from dataclasses import dataclass, field
from typing import Protocol

from weldbend.event_bus.events import Target
from weldbend.routing.events import Endpoint, EndpointState
from weldbend.routing.settings import Role

STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING, "removed": EndpointState.REMOVED}


class Clock(Protocol):
    def moment(self, stamp: float) -> float: ...


@dataclass(slots=True)
class EndpointNames:
    """The same name gives the same number at every front, and after a restart: the hash goes by numbers."""

    clock: Clock
    roles: dict[str, Role]
    numbers: dict[str, int]
    uids: dict[int, str]
    starts: dict[str, tuple[float, float]] = field(default_factory=dict)  # stamp, its moment

    def number(self, uid: str) -> int:
        if uid not in self.numbers:
            number = zlib.crc32(uid.encode())
            while number in self.uids:
                number = (number + 1) % 2**32
            self.numbers[uid], self.uids[number] = number, uid
        return self.numbers[uid]

    def forget(self, number: int) -> None:
        if (uid := self.uids.pop(number, None)) is not None:
            del self.numbers[uid]
            self.starts.pop(uid, None)

    def started(self, uid: str, stamp: float, latest: float = math.inf) -> float:
        """A start's Unix stamp as a moment of the front, at most `latest`: the same each time it is told.

        Guards against clocks that differ by a little at each look: a start told again would pass for another,
        and what is known of that cache would be forgotten.
        """
        held = self.starts.get(uid)
        if held and held[0] == stamp:
            return held[1]
        moment = min(self.clock.moment(stamp), latest)
        if not held or stamp > held[0]:
            self.starts[uid] = stamp, moment
        return moment

    def entry(self, target: Target) -> Endpoint:
        return Endpoint(
            id=self.number(target.uid),
            weight=target.weight,
            zone=target.zone,
            cell=target.cell,
            role=self.roles[target.kind],
            state=STATES[target.state],
            started=self.started(target.uid, target.booted) if target.booted else None,
        )
