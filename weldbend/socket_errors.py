"""Classification of errors of socket calls: local faults, faults of the peer, and calls to be repeated.

A local fault is no evidence against the peer that the call addressed. Sources: the Linux manual pages
accept(2), connect(2), socket(2), send(2), recv(2), epoll_ctl(2) and epoll_wait(2). This module does no I/O
and reads no clock.
"""

import errno
from enum import Enum, auto


class FaultSide(Enum):
    """The side that caused an error."""

    THIS_MACHINE = auto()
    """This machine lacks descriptors, ports, buffers, memory or any route, or the call was interrupted."""
    PEER = auto()
    """The peer refused or reset the connection, or it could not be reached in time."""


LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,  # the process has no descriptor left
        errno.ENFILE,  # the system has no open file left
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,  # epoll_ctl: the user's limit on watched descriptors is reached
        errno.EADDRNOTAVAIL,  # no local port left
        errno.EADDRINUSE,  # the chosen local port is in use
        errno.EAGAIN,  # no local port left, or the kernel's table of routes is full
        errno.ENETUNREACH,  # this machine has no route; EHOSTUNREACH is reported by a router on the path
        errno.ENETDOWN,  # this machine's own interface is down
        errno.EACCES,  # rejected by a local firewall rule
        errno.EPERM,  # rejected by a local firewall rule
        errno.EINTR,  # interrupted by a signal; the system goes on connecting, but the socket is discarded
    }
)
"""Errors of socket, connect and epoll_ctl that are no evidence about the peer."""

ABORTED_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,  # a local firewall rule rejected this connection
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ECONNRESET,
        errno.ETIMEDOUT,
    }
)
"""Errors of accept after which the next connection can be accepted at once.

Most are network errors that ended the pending connection; accept(2) advises to retry after them. EINTR means
that a signal interrupted the call.
"""

WOULD_BLOCK_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
"""Errors of a non-blocking call that would have to block."""


def error_number(error: object) -> int | None:
    """Return the error number of an `OSError` or of a Twisted exception; None if it has none.

    Twisted's `ConnectError` keeps it in `osError`, which may be None.
    """
    number = getattr(error, "osError", None) or getattr(error, "errno", None)
    return number if isinstance(number, int) else None


def connect_fault_side(number: int | None) -> FaultSide:
    """Return the side that caused a connect to fail; without an error number (a timeout), it is the peer."""
    return FaultSide.THIS_MACHINE if number in LOCAL_ERRORS else FaultSide.PEER
