"""Maps endpoint records to the router's endpoints: uids to numbers, Unix times to the front's time."""

import math
import zlib
from dataclasses import dataclass, field
from typing import Protocol

from weldbend.event_bus.events import EndpointRecord
from weldbend.routing.events import Endpoint, EndpointState
from weldbend.routing.settings import Role

ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


class Clock(Protocol):
    """The front's clock."""

    def from_unix(self, timestamp: float) -> float:
        """Return a Unix time (seconds) in seconds of the front's clock."""
        ...


@dataclass(slots=True)
class EndpointRegistry:
    """Numbers of endpoints.

    A uid has the same number at every front, and after a restart, unless two uids have the same checksum:
    rendezvous hashing uses the numbers.

    Attributes:
        clock: The front's clock.
        roles: The role of each kind of endpoint.
        numbers: Number by uid.
        uids: Uid by number.
        starts: By uid, the latest start: Unix time and the same in the front's time.
    """

    clock: Clock
    roles: dict[str, Role]
    numbers: dict[str, int]
    uids: dict[int, str]
    starts: dict[str, tuple[float, float]] = field(default_factory=dict)

    def number(self, uid: str) -> int:
        """Return the number of a uid, which is assigned at the first call."""
        if uid not in self.numbers:
            number = zlib.crc32(uid.encode())
            while number in self.uids:
                number = (number + 1) % 2**32
            self.numbers[uid] = number
            self.uids[number] = uid
        return self.numbers[uid]

    def forget(self, number: int) -> None:
        """Remove an endpoint; unknown numbers are ignored."""
        if (uid := self.uids.pop(number, None)) is not None:
            del self.numbers[uid]
            self.starts.pop(uid, None)

    def start_time(self, uid: str, started_at: float, latest: float = math.inf) -> float:
        """Return the time of a start on the front's clock, the same at each call for the same start.

        Protects against clocks that differ slightly at each conversion: a start that is reported again would
        look like another, and what is known of that cache would be reset.

        Args:
            uid: The endpoint.
            started_at: Unix seconds of its start.
            latest: Upper limit of the result (seconds of the front's clock).
        """
        known = self.starts.get(uid)
        if known and known[0] == started_at:
            return known[1]
        moment = min(self.clock.from_unix(started_at), latest)
        if not known or started_at > known[0]:
            self.starts[uid] = started_at, moment
        return moment

    def endpoint(self, record: EndpointRecord) -> Endpoint:
        """Return the router's endpoint for a record."""
        return Endpoint(
            id=self.number(record.uid),
            weight=record.weight,
            zone=record.zone,
            cell=record.cell,
            role=self.roles[record.kind],
            state=ENDPOINT_STATES[record.state],
            started=self.start_time(record.uid, record.started_at) if record.started_at else None,
        )
