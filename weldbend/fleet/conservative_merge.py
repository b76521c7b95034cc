"""What of peers' knowledge a front heeds: choices between its own bus and theirs. No I/O.

Nothing here can loosen: a choice is either stricter than what the front's own list says, or nothing.
"""

from weldbend.fleet.replicated_store import Value

STATES = ("up", "draining", "removed")  # of a cache, as the bus words them; later ones are stricter
MOST_PURGES = 200  # a second that peers may bring; beyond it the decisions would keep too many
FAR_OFFSET = 1 << 40  # a list's number that no bus reaches
AHEAD = 2.0  # seconds by which a purge may lie in the future by this front's clock, else it is cut to now


def held_state(drain: Value | None, read: int) -> str | None:
    """The state in which a newer list than the front has read holds a cache, where that is stricter than up.

    `read` is the number of the last event of the front's own bus. Harm: a peer that lies can keep a cache out
    until the bus's own numbers reach what it said; numbers out of reach are not heeded.
    """
    if drain is None or not drain[1] or not read < int(drain[0]) < FAR_OFFSET:
        return None
    return STATES[int(drain[1])]


class Purges:
    """Which purges of peers are taken, and from which moment.

    Guards against a front whose bus is cut off: the object must not be served older than its purge. Harm: a
    peer that lies has what it names fetched anew, at most `MOST_PURGES` a second.
    """

    def __init__(self) -> None:
        self.second, self.taken, self.anomalies = 0, 0, 0

    def moment(self, at: float, now: float, unix: float) -> float | None:
        """The Unix second from which a purge counts, or None where too many came; `now` is steady."""
        if int(now) != self.second:
            self.second, self.taken = int(now), 0
        self.taken += 1
        full, ahead = self.taken > MOST_PURGES, at > unix + AHEAD
        self.anomalies += full or ahead
        return None if full else min(at, unix) if ahead else at
