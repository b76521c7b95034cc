"""What a client may do wrong before it is banned, and the counters of those bans."""

MAX_OPEN_REQUESTS = 32  # of one connection: the protocol's bound
MAX_INVALID_CALLS = 4  # calls answered as invalid, over the life of a connection
MAX_IMMEDIATE_CANCELLATIONS = 64  # in a row: calls cancelled in the very read that brought them

# Names of the anomaly counters, as they appear in the log.
PROTOCOL_VIOLATION = "client protocol violations"
REUSED_SEQUENCE_ID = "clients reusing the sequence id of an open call"
TOO_MANY_OPEN = "clients over the limit of open requests"
TOO_MANY_CANCELLATIONS = "clients that cancel requests at once"
TOO_MANY_INVALID_CALLS = "clients with too many invalid calls"


class ViolationCounts:
    """Counts what one client did wrong so far; it survives the time for which its connection is idle.

    Attributes:
        invalid_calls: Calls that were answered as invalid.
        cancellations: Calls in a row that were cancelled in the read that brought them.
    """

    __slots__ = ("cancellations", "invalid_calls")

    def __init__(self) -> None:
        self.invalid_calls = 0
        self.cancellations = 0

    def count_invalid_call(self) -> bool:
        """Count one more invalid call; true where the client has to be banned for it.

        Guards against clients that send the same unusable call again as soon as it is answered. Harm: one
        with an invalid call now and then connects anew.
        """
        self.invalid_calls += 1
        return self.invalid_calls >= MAX_INVALID_CALLS

    def count_cancellation(self, is_immediate: bool) -> bool:
        """Count one more cancellation; true where the client has to be banned for it.

        Guards against clients that cancel calls by the hundred as they send them. One that soon stops waiting
        is none of them: when this front is late, calls are read together with their cancellations. Harm: none
        known; what is open then is little.

        Args:
            is_immediate: Whether the call came in the same read as its cancellation.
        """
        self.cancellations = self.cancellations + 1 if is_immediate else 0
        return self.cancellations >= MAX_IMMEDIATE_CANCELLATIONS
