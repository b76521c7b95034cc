"""Limits on client misbehaviour beyond which a client is banned, and the counters of those bans."""

MAX_OPEN_REQUESTS = 32  # open requests on one connection; a limit of the protocol
MAX_INVALID_CALLS = 4  # calls answered as invalid, over the life of a connection
MAX_IMMEDIATE_CANCELLATIONS = 64  # consecutive calls cancelled in the same read that delivered them

# Names of the anomaly counters, as they appear in the log.
PROTOCOL_VIOLATION = "client protocol violations"
REUSED_SEQUENCE_ID = "clients reusing the sequence id of an open call"
TOO_MANY_OPEN = "clients over the limit of open requests"
TOO_MANY_CANCELLATIONS = "clients that cancel requests at once"
TOO_MANY_INVALID_CALLS = "clients with too many invalid calls"


class ViolationCounts:
    """Counts of violations on one client connection; the idle pool stores them with the connection.

    Attributes:
        invalid_calls: Number of calls answered as invalid.
        cancellations: Number of consecutive calls cancelled in the same read that delivered them.
    """

    __slots__ = ("cancellations", "invalid_calls")

    def __init__(self) -> None:
        self.invalid_calls = 0
        self.cancellations = 0

    def count_invalid_call(self) -> bool:
        """Count an invalid call, and return whether the client must be banned.

        This guards against clients that repeat the same invalid call as soon as it is answered. Side effect:
        a client that sends an occasional invalid call has to reconnect.
        """
        self.invalid_calls += 1
        return self.invalid_calls >= MAX_INVALID_CALLS

    def count_cancellation(self, is_immediate: bool) -> bool:
        """Count a cancellation, and return whether the client must be banned.

        This guards against clients that cancel hundreds of calls as they send them. Clients with short
        timeouts must not be banned: when this front is delayed, it reads their calls together with the
        cancellations. The limit has no known drawback for them, since they have few open requests at
        that time.

        Args:
            is_immediate: Whether the call was received in the same read as its cancellation.
        """
        self.cancellations = self.cancellations + 1 if is_immediate else 0
        return self.cancellations >= MAX_IMMEDIATE_CANCELLATIONS
