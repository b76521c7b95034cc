"""Rules for accepting peers' knowledge in addition to this front's own event bus. No I/O.

Peers can only make a restriction stronger: a result is either more restrictive than the front's own endpoint
list, or empty.
"""

from weldbend.fleet.replicated_items import Value

LIST_STATES = ("up", "draining", "removed")  # of a cache on the bus, in order of increasing restriction
MAX_PURGES_PER_SECOND = 200  # accepted from peers; the routing decisions have to remember each purge
UNREACHABLE_OFFSET = 1 << 40  # event number that no bus reaches; a peer's item from it on is ignored
MAX_CLOCK_AHEAD = 2.0  # seconds by which a purge may be dated after now; one dated later counts from now


def stricter_state(drain: Value | None, last_read: int) -> str | None:
    """Return the state of a cache in a newer list than this front has read; None if up or unknown there.

    Side effect: a peer that publishes false states can exclude a cache until this front's bus has delivered
    an event with the number that the peer published. Numbers that the bus never reaches are ignored.

    Args:
        drain: value of the cache's `drain` item: the revision of the list, which is the number of its bus
            event, and the index of the state in `LIST_STATES`; None if there is no item.
        last_read: number of the last event that this front's own bus has delivered.
    """
    if drain is None or not drain[1] or not last_read < int(drain[0]) < UNREACHABLE_OFFSET:
        return None
    return LIST_STATES[int(drain[1])]


class PeerPurgeLimiter:
    """Limiter of the purges that are accepted from peers.

    Accepting them guards against serving purged copies while this front's own bus is disconnected. Side
    effect: a peer that publishes false purges causes its objects to be fetched again, at most
    `MAX_PURGES_PER_SECOND` in a second.

    Attributes:
        anomalies: number of purges that were rejected, or dated earlier because they were ahead of the clock.
    """

    def __init__(self) -> None:
        self.anomalies = 0
        self._second = 0
        self._received = 0  # purges received in that second

    def effective_from(self, purged_at: float, now: float, unix: float) -> float | None:
        """Return the time from which a purge takes effect; None if it exceeds the rate limit.

        Args:
            purged_at: time of the purge in seconds, by the same clock as `unix`.
            now: time of the steady clock in seconds.
            unix: the same moment by the clock that dates the purge, in seconds.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._received = 0
        self._received += 1
        is_over_rate = self._received > MAX_PURGES_PER_SECOND
        is_ahead = purged_at > unix + MAX_CLOCK_AHEAD
        if is_over_rate or is_ahead:
            self.anomalies += 1
        if is_over_rate:
            return None
        return min(purged_at, unix) if is_ahead else purged_at
