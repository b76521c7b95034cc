"""Limits on connections to caches, set by the site's settings and by the machine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CacheLimits:
    """Limits on connections to caches; times are in seconds.

    Attributes:
        max_streams: Maximum number of attempts in flight on one connection.
        idle_timeout: Time without a command after which caches close a connection.
        connect_timeout: Time within which a connection must be established.
        max_iteration_time: Duration that one iteration of the event loop is expected not to exceed. A
            short-lived attempt that has waited longer for a connection is cancelled instead of sent.
        max_connections: Maximum number of connections to all caches, including pending connects.
        max_answer_time: Longest deadline of a request, beyond which no answer is awaited.
    """

    max_streams: int
    idle_timeout: float
    connect_timeout: float
    max_iteration_time: float
    max_connections: int
    max_answer_time: float
