"""What the site and the machine allow for connections to caches."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheLimits:
    """What the site and the machine allow; times in seconds.

    Attributes:
        max_streams: Attempts that may be in flight on one connection.
        idle_timeout: After this time without a command caches close a connection.
        connect_timeout: In which a connection must come up.
        max_iteration_time: For which one iteration of the event loop may last.
        max_connections: Connections to all caches, those under way too.
        max_answer_time: The longest deadline: nobody waits for an answer beyond it.
    """

    max_streams: int
    idle_timeout: float
    connect_timeout: float
    max_iteration_time: float
    max_connections: int
    max_answer_time: float
