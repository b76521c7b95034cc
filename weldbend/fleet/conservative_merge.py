"""What a front takes over of peers' knowledge, beside what its own bus says. No I/O.

Nothing here can loosen: a choice is either stricter than what the front's own list says, or nothing.
"""

from weldbend.fleet.replicated_items import Value

LIST_STATES = ("up", "draining", "removed")  # of a cache, as the bus words them; later ones are stricter
MAX_PURGES_PER_SECOND = 200  # a second that peers may bring; beyond it the decisions would keep too many
UNREACHABLE_OFFSET = 1 << 40  # a list's number that no bus reaches
MAX_CLOCK_AHEAD = 2.0  # seconds by which a purge may lie ahead of this front's clock, else it is cut to now


def stricter_state(drain: Value | None, last_read: int) -> str | None:
    """Return the state of a cache by a newer list than this front has read, where that is stricter than up.

    Harm: a peer that lies can keep a cache out until the bus's own numbers reach what it published; numbers
    out of reach are ignored.

    Args:
        drain: value of the replicated item: revision of the list, and state; None where there is none.
        last_read: number of the last event of this front's own bus.
    """
    if drain is None or not drain[1] or not last_read < int(drain[0]) < UNREACHABLE_OFFSET:
        return None
    return LIST_STATES[int(drain[1])]


class PeerPurgeLimiter:
    """Which purges of peers are taken over, and from which moment.

    Guards against a front whose bus is cut off: the object must not be served older than its purge. Harm: a
    peer that lies has what it names fetched anew, at most `MAX_PURGES_PER_SECOND` a second.

    Attributes:
        anomalies: purges that were not taken over as they came.
    """

    def __init__(self) -> None:
        self.anomalies = 0
        self._second = 0
        self._received = 0  # in that second

    def effective_from(self, purged_at: float, now: float, unix: float) -> float | None:
        """Return the Unix second from which a purge counts; None where too many came.

        Args:
            purged_at: Unix second of the purge, as its writer says.
            now: seconds of the steady clock.
            unix: the same moment by the Unix clock.
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
