"""Conversion of endpoint records to the router's endpoints.

Uids become numbers, and Unix times of starts become times of the front's clock.
"""

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
    """The latest known start of a cache.

    Attributes:
        stamp: Unix seconds, as reported.
        interval: Bounds of the start on the front's clock.
    """

    stamp: float
    interval: StartInterval


@dataclass(slots=True)
class EndpointRegistry:
    """Numbers and start times of endpoints.

    Rendezvous hashing uses the numbers, so a uid must have the same number at every front and after a
    restart. Its number is its checksum. Only if two uids have equal checksums do their numbers depend on the
    order in which a front first reads them.

    Attributes:
        timestamps: Converter of Unix times from other machines.
        roles: The role of each kind of endpoint.
        numbers: Numbers by uid.
        uids: Uids by number.
        starts: Latest start of each cache by its uid, as reported on the bus.
        peer_starts: The same, as reported by other fronts.
    """

    timestamps: RemoteTimestamps
    roles: dict[str, Role]
    numbers: dict[str, int]
    uids: dict[int, str]
    starts: dict[str, KnownStart] = field(default_factory=dict)
    peer_starts: dict[str, KnownStart] = field(default_factory=dict)

    def number(self, uid: str) -> int:
        """Return the number of a uid; the first call assigns it."""
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
        """Return bounds of a cache's start time, or None if the record has no start time.

        All calls for the same start return the same bounds until the start is discarded: by `discard_start`,
        by `remove`, or by a record with another start time or none. The bus reports a start repeatedly; a
        second estimate would differ from the first and look like another start, which resets the router's
        state of that cache. Keeping the first estimate has no known drawback.
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
        """Discard the estimated start of a cache, so that `estimate_start` estimates it again."""
        self.starts.pop(uid, None)

    def peer_start(self, uid: str, stamp: float, reported_start: float) -> float:
        """Return the latest possible start time of a cache, given a report of another front.

        The time is in seconds of the front's clock.

        If the bus has reported the same start or a later one, the estimate from the bus is returned instead.
        If the bus reports this start afterwards, the estimate made here is kept for it.

        Args:
            uid: Uid of the endpoint.
            stamp: Unix seconds of the start, used only to identify it.
            reported_start: Latest possible start time by that report, in seconds of the front's clock.
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
