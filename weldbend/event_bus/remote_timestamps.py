"""Dates what other machines stamped with Unix times, on this front's monotonic clock. No I/O.

The Unix clock of any machine may be wrong, and may be stepped at any moment. So it is read once, at the start
of this front, and converted by that reading from then on: a step of it changes nothing. That it is right is
believed once another machine's clock agrees with it (`RemoteTimestamps.confirm`). And no conversion is
believed against what was seen: what the bus tells can't have happened after it arrived, nor before the last
moment at which this front had been told all (`Receipt`). Where a stamp isn't believed, the strictest moment
stands for it, the arrival: a cache is then colder, and more copies are purged, than may be.

The model, its error bounds and what it trusts are in docs/design.md, "Timestamps of other machines".
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from weldbend.event_bus.events import EndpointListUpdate, Purge, SequencedEvent

MAX_CLOCK_DIFFERENCE = 0.5  # seconds by which this front's Unix clock and a fresh stamp of another may differ
MAX_LIVE_DELAY = 0.05  # seconds that an event takes from its stamp to a front that follows the bus, at most
SHORT_OUTAGE = 10.0  # seconds out of touch up to which purges that were missed are dated at their arrival


@dataclass(frozen=True, slots=True)
class Receipt:
    """How an event came.

    Attributes:
        arrived: when it came, in seconds of the monotonic clock.
        caught_up_at: the last moment before at which this front had been told all that was published; minus
            infinity in its first reading of the bus.
        is_replay: whether the bus tells what was missed, and not what is new.
        latest_start: the latest start that this event or one after it stamps (Unix seconds), of events that
            were read together; minus infinity where none are known.
        latest_purge: the same of purges.
    """

    arrived: float
    caught_up_at: float = -math.inf
    is_replay: bool = True
    latest_start: float = -math.inf
    latest_purge: float = -math.inf

    @property
    def is_first_read(self) -> bool:
        """Return whether it may have been published at any time in the past."""
        return self.caught_up_at == -math.inf


@dataclass(frozen=True, slots=True)
class StartInterval:
    """When a cache started, in seconds of the monotonic clock: between these two.

    Attributes:
        earliest: only connections from before surely lead to the process that was there until then.
        latest: it is as warm as a cache that started then.
    """

    earliest: float
    latest: float


def receipts_of_known_events(events: Sequence[SequencedEvent], now: float) -> list[Receipt]:
    """Return the receipts of events that were read together from the configuration, in their order."""
    receipts: list[Receipt] = []
    latest_start = -math.inf
    latest_purge = -math.inf
    for sequenced in reversed(events):
        match sequenced.event:
            case EndpointListUpdate(_, records):
                latest_start = max(latest_start, *(record.started_at for record in records), 0.0)
            case Purge():
                latest_purge = max(sequenced.event.purged_at, latest_purge)
        receipts.append(Receipt(now, latest_start=latest_start, latest_purge=latest_purge))
    receipts.reverse()
    return receipts


class RemoteTimestamps:
    """Converts the stamps of other machines.

    Attributes:
        is_confirmed: whether another machine's clock agreed with the reading of this one's at the start.
    """

    def __init__(self) -> None:
        self.is_confirmed = False
        self._unix_offset = 0.0  # seconds by which the Unix clock was ahead of the monotonic one

    def set_unix_offset(self, unix_offset: float) -> None:
        """Take the one reading of the Unix clock: by how many seconds it is ahead of the monotonic one."""
        self._unix_offset = unix_offset

    def to_monotonic(self, stamp: float) -> float:
        """Return a Unix time in seconds of the monotonic clock, by the reading alone."""
        return stamp - self._unix_offset

    def confirm(self, stamp: float, now: float) -> bool:
        """Compare the reading with a stamp that another machine made lately, or longer ago.

        No stamp is made in the future, so an old one never agrees with a clock that is ahead.

        Returns:
            Whether the reading is confirmed by it, and was not before.
        """
        if self.is_confirmed or abs(now - self.to_monotonic(stamp)) > MAX_CLOCK_DIFFERENCE:
            return False
        self.is_confirmed = True
        return True

    def estimate_start(self, stamp: float, receipt: Receipt) -> StartInterval:
        """Return when a cache started whose start is stamped so."""
        converted = self.to_monotonic(stamp)
        if receipt.is_first_read:
            latest = self._estimate_first_read(stamp, receipt, receipt.latest_start)
            latest = min(converted, receipt.arrived) if self.is_confirmed else latest
            return StartInterval(min(converted, latest), latest)
        if self._is_recent_on_arrival(converted, receipt):
            return StartInterval(converted, converted)
        if not receipt.caught_up_at <= converted <= receipt.arrived:
            return StartInterval(min(converted, receipt.caught_up_at), receipt.arrived)
        is_believed = receipt.is_replay and self.is_confirmed
        return StartInterval(converted, converted if is_believed else receipt.arrived)

    def estimate_purge_time(self, stamp: float, receipt: Receipt) -> float:
        """Return the moment before which copies are purged, by a purge that is stamped so."""
        converted = self.to_monotonic(stamp)
        if self._is_recent_on_arrival(converted, receipt):
            return converted
        if receipt.is_first_read:
            return self._estimate_first_read(stamp, receipt, receipt.latest_purge)
        is_seen = receipt.caught_up_at <= converted <= receipt.arrived
        is_long = receipt.arrived - receipt.caught_up_at > SHORT_OUTAGE
        return converted if is_seen and is_long and self.is_confirmed else receipt.arrived

    @staticmethod
    def _is_recent_on_arrival(converted: float, receipt: Receipt) -> bool:
        return receipt.arrived - MAX_LIVE_DELAY <= converted <= receipt.arrived

    def _estimate_first_read(self, stamp: float, receipt: Receipt, latest: float) -> float:
        """Return a moment no earlier than two clocks say that know nothing of each other.

        One is this front's. The other is that of those who stamp: what they stamped later, in the order of
        the bus, is not in the future yet.
        """
        min_age = max(latest - stamp, 0.0)
        return min(max(self.to_monotonic(stamp), receipt.arrived - min_age), receipt.arrived)
