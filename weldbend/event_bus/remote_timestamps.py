"""Conversion of Unix timestamps from other machines to this front's monotonic clock. No I/O.

The Unix clock of any machine may be wrong and may be stepped at any moment. This front therefore reads its
Unix clock only once, at its start, and converts all timestamps with that reading, so later steps have no
effect. The reading is trusted once another machine's clock agrees with it (`RemoteTimestamps.confirm`). A
converted time is not trusted if it contradicts what this front observed: an event cannot have happened after
it arrived, nor before the last moment at which this front had received all published events (`Receipt`).

Instead of a time that is not trusted, the arrival of the event is used, which is the most cautious time: a
cache may then be treated as colder than it is, and more copies may be purged than necessary. Exceptions:

- An event of the configuration or of the first read of the bus may be of any age. Its time is estimated
  (`_estimate_first_read`): for a cache's start only while the reading is not confirmed, for a purge also
  afterwards, unless the next exception applies.
- A time at most `MAX_LIVE_DELAY` before the arrival is used without confirmation, except for a cache's start
  of a first read.

Even a trusted time is not used for a purge missed in an outage of at most `SHORT_OUTAGE`, nor as the latest
start of a cache in an event that was received live more than `MAX_LIVE_DELAY` after its timestamp; in both
cases, the arrival is used.

The model, its error bounds and its assumptions are in docs/design.md, "Timestamps of other machines".
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from weldbend.event_bus.events import EndpointListUpdate, Purge, SequencedEvent

MAX_CLOCK_DIFFERENCE = 0.5  # maximum seconds between this front's Unix clock and another machine's
MAX_LIVE_DELAY = 0.05  # maximum seconds from an event's timestamp to its arrival at a connected front
SHORT_OUTAGE = 10.0  # seconds; a purge missed in an outage up to this is treated as issued when it arrives


@dataclass(frozen=True, slots=True)
class Receipt:
    """The circumstances in which an event was received.

    Attributes:
        arrived: arrival time of the event, in seconds of the monotonic clock.
        caught_up_at: last moment before the arrival at which this front had received all published events;
            minus infinity for events of the configuration and during the first read of the bus.
        is_replay: whether the event may be an older one that this front missed, rather than one that was
            published just now.
        latest_start: latest start time (Unix seconds) in this event and in the events after it in the same
            configuration; minus infinity if these contain no endpoint list, or if the event is not from a
            configuration.
        latest_purge: latest purge time (Unix seconds) in the same events; minus infinity if these contain no
            purge, or if the event is not from a configuration.
    """

    arrived: float
    caught_up_at: float = -math.inf
    is_replay: bool = True
    latest_start: float = -math.inf
    latest_purge: float = -math.inf

    @property
    def is_first_read(self) -> bool:
        """True for events of the configuration and of the first read of the bus, which may be of any age."""
        return self.caught_up_at == -math.inf


@dataclass(frozen=True, slots=True)
class StartInterval:
    """Bounds of a cache's start time, in seconds of the monotonic clock.

    Attributes:
        earliest: lower bound; a connection opened before it certainly leads to the previous process of the
            cache.
        latest: upper bound, the cautious assumption; the cache is treated as if it had started then.
    """

    earliest: float
    latest: float


def receipts_of_known_events(events: Sequence[SequencedEvent], now: float) -> list[Receipt]:
    """Return the receipts, in order, of events that were read together from the configuration."""
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
    """Converter of Unix timestamps from other machines to times of this front's monotonic clock.

    Attributes:
        is_confirmed: whether another machine's clock has agreed with the reading of this front's Unix clock.
    """

    def __init__(self) -> None:
        self.is_confirmed = False
        self._unix_offset = 0.0  # Unix time minus monotonic time at the reading, in seconds

    def set_unix_offset(self, unix_offset: float) -> None:
        """Set the offset of the Unix clock from the monotonic clock, in seconds, read once at the start."""
        self._unix_offset = unix_offset

    def to_monotonic(self, stamp: float) -> float:
        """Convert a Unix time to the monotonic clock by the reading of the Unix clock, without any check."""
        return stamp - self._unix_offset

    def confirm(self, stamp: float, now: float) -> bool:
        """Compare the reading with a timestamp of another machine, which may be new or old.

        A timestamp is never in the future. If this front's clock is ahead, an old timestamp therefore seems
        even older, and cannot agree with the reading by accident. If this front's clock is behind, an old
        timestamp may agree by accident; converted times are then too late, which is the cautious direction.

        Returns:
            Whether this call confirmed the reading; False if it was confirmed before.
        """
        if self.is_confirmed or abs(now - self.to_monotonic(stamp)) > MAX_CLOCK_DIFFERENCE:
            return False
        self.is_confirmed = True
        return True

    def estimate_start(self, stamp: float, receipt: Receipt) -> StartInterval:
        """Return bounds of the start time of a cache with this start timestamp."""
        converted = self.to_monotonic(stamp)
        if receipt.is_first_read:
            latest = self._estimate_first_read(stamp, receipt, receipt.latest_start)
            latest = min(converted, receipt.arrived) if self.is_confirmed else latest
            return StartInterval(min(converted, latest), latest)
        if self._is_recent_on_arrival(converted, receipt):
            return StartInterval(converted, converted)
        if not receipt.caught_up_at <= converted <= receipt.arrived:
            return StartInterval(min(converted, receipt.caught_up_at), receipt.arrived)
        is_trusted = receipt.is_replay and self.is_confirmed
        return StartInterval(converted, converted if is_trusted else receipt.arrived)

    def estimate_purge_time(self, stamp: float, receipt: Receipt) -> float:
        """Return the time before which copies are invalid, for a purge with this timestamp."""
        converted = self.to_monotonic(stamp)
        if self._is_recent_on_arrival(converted, receipt):
            return converted
        if receipt.is_first_read:
            return self._estimate_first_read(stamp, receipt, receipt.latest_purge)
        is_plausible = receipt.caught_up_at <= converted <= receipt.arrived
        is_long = receipt.arrived - receipt.caught_up_at > SHORT_OUTAGE
        return converted if is_plausible and is_long and self.is_confirmed else receipt.arrived

    @staticmethod
    def _is_recent_on_arrival(converted: float, receipt: Receipt) -> bool:
        return receipt.arrived - MAX_LIVE_DELAY <= converted <= receipt.arrived

    def _estimate_first_read(self, stamp: float, receipt: Receipt, latest: float) -> float:
        """Return the later of two independent estimates, but at most the arrival.

        One estimate uses this front's clock. The other uses only the clocks of the machines that wrote the
        timestamps: `latest`, the latest timestamp of the same kind in this event and those after it in the
        same configuration, was not in the future when it arrived, so this event is at least as old as
        `latest - stamp`. For events read from the bus, `latest` is minus infinity, and the result is the
        arrival.
        """
        min_age = max(latest - stamp, 0.0)
        return min(max(self.to_monotonic(stamp), receipt.arrived - min_age), receipt.arrived)
