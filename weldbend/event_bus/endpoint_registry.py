"""Maps endpoint records to the router's endpoints: uids to numbers, stamps of starts to the front's time."""

import zlib
from dataclasses import dataclass, field

from weldbend.event_bus.events import EndpointRecord
from weldbend.event_bus.remote_timestamps import Receipt, RemoteTimestamps, StartInterval
from weldbend.routing.events import Endpoint, EndpointState
from weldbend.routing.settings import Role

ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


@dataclass(frozen=True, slots=True)
class KnownStart:
    """The latest start of a cache, as it was stamped (Unix seconds) and dated."""

    stamp: float
    interval: StartInterval


@dataclass(slots=True)
class EndpointRegistry:
    """Numbers of endpoints.

    A uid has the same number at every front, and after a restart, unless two uids have the same checksum:
    rendezvous hashing uses the numbers.

    Attributes:
        timestamps: Dates what other machines stamped.
        roles: The role of each kind of endpoint.
        numbers: Number by uid.
        uids: Uid by number.
        starts: By uid, the latest start that the bus has told.
        peer_starts: By uid, the latest start that another front has told.
    """

    timestamps: RemoteTimestamps
    roles: dict[str, Role]
    numbers: dict[str, int]
    uids: dict[int, str]
    starts: dict[str, KnownStart] = field(default_factory=dict)
    peer_starts: dict[str, KnownStart] = field(default_factory=dict)

    def number(self, uid: str) -> int:
        """Return the number of a uid, which is assigned at the first call."""
        if uid not in self.numbers:
            number = zlib.crc32(uid.encode())
            while number in self.uids:
                number = (number + 1) % 2**32
            self.numbers[uid] = number
            self.uids[number] = uid
        return self.numbers[uid]

    def remove(self, number: int) -> None:
        """Remove an endpoint; unknown numbers are ignored."""
        if (uid := self.uids.pop(number, None)) is not None:
            del self.numbers[uid]
            self.starts.pop(uid, None)
            self.peer_starts.pop(uid, None)

    def estimate_start(self, record: EndpointRecord, receipt: Receipt) -> StartInterval | None:
        """Return when a cache started, the same at each call for the same start; None for long ago.

        Guards against a start that is reported again: dated anew it would look like another, and what is
        known of that cache would be reset. Harm: none.
        """
        if not record.started_at:
            self.starts.pop(record.uid, None)
            return None
        known = self.starts.get(record.uid)
        if known is None or known.stamp != record.started_at:
            known = self._estimate(record, receipt)
            self.starts[record.uid] = known
        return known.interval

    def _estimate(self, record: EndpointRecord, receipt: Receipt) -> KnownStart:
        peer_known = self.peer_starts.get(record.uid)
        if peer_known and peer_known.stamp == record.started_at:
            return peer_known
        return KnownStart(record.started_at, self.timestamps.estimate_start(record.started_at, receipt))

    def discard_start(self, uid: str) -> None:
        """Have the start of a cache dated anew."""
        self.starts.pop(uid, None)

    def peer_start(self, uid: str, stamp: float, reported_start: float) -> float:
        """Return when a cache started, in seconds of the front's clock, by what another front has told.

        What the bus told of that start, or of a later one, stands before it; and a start that the bus tells
        afterwards is the same one, not another.

        Args:
            uid: The endpoint.
            stamp: Unix seconds of its start, which say only which start it is.
            reported_start: The latest moment at which it can have been, in seconds of the front's clock.
        """
        known = self.starts.get(uid)
        if known and known.stamp >= stamp:
            return known.interval.latest
        known = self.peer_starts.get(uid)
        if known is None or known.stamp < stamp:
            known = KnownStart(stamp, StartInterval(reported_start, reported_start))
            self.peer_starts[uid] = known
        return known.interval.latest

    def endpoint(self, record: EndpointRecord, receipt: Receipt) -> Endpoint:
        """Return the router's endpoint for a record."""
        interval = self.estimate_start(record, receipt)
        return Endpoint(
            id=self.number(record.uid),
            weight=record.weight,
            zone=record.zone,
            cell=record.cell,
            role=self.roles[record.kind],
            state=ENDPOINT_STATES[record.state],
            started=interval.latest if interval else None,
        )
