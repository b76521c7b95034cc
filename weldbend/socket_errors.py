"""What errors of socket calls say: a fault of this machine, of the other end, or nothing at all.

A fault of this machine is no evidence against the peer that a call was for. Sources: the manual pages
accept(2), connect(2), socket(2), send(2), recv(2), epoll_ctl(2) and epoll_wait(2) of Linux. Nothing here does
I/O or reads a clock.
"""

import errno
from enum import Enum, auto


class FaultSide(Enum):
    """Whom an error speaks against."""

    THIS_MACHINE = auto()
    """No descriptors, ports, buffers, memory or route at all, or the call was interrupted."""
    PEER = auto()
    """The other end, or the path to it: it refused, reset, or could not be reached in time."""


LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,  # no descriptor left to this process
        errno.ENFILE,  # no open file left to the system
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,  # epoll_ctl: the user's bound on watched descriptors
        errno.EADDRNOTAVAIL,  # no local port left
        errno.EADDRINUSE,  # the local port drawn is taken
        errno.EAGAIN,  # no local port left, or no room in the routing cache
        errno.ENETUNREACH,  # this machine has no route; EHOSTUNREACH comes from a router on the way
        errno.ENETDOWN,  # this machine's own interface
        errno.EACCES,  # a local firewall rule
        errno.EPERM,  # the same
        errno.EINTR,  # a signal; the system goes on connecting, but the socket is given up
    }
)
"""Errors of socket, connect and epoll_ctl that say nothing about the peer."""

ABORTED_CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,  # a local firewall rule rejected this one
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
"""Errors of accept that concern one waiting connection: accept(2) asks to take them for its end."""

WOULD_BLOCK_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})
"""Errors of a call that does not block, and has nothing to do now."""


def error_number(error: object) -> int | None:
    """The error number that an exception carries, be it the system's or Twisted's; None for none.

    Twisted's `ConnectError` has it as `osError`, and that may be None.
    """
    number = getattr(error, "osError", None) or getattr(error, "errno", None)
    return number if isinstance(number, int) else None


def connect_fault_side(number: int | None) -> FaultSide:
    """Whom a failed connect speaks against; without an error number (a timeout) it is the peer."""
    return FaultSide.THIS_MACHINE if number in LOCAL_ERRORS else FaultSide.PEER
