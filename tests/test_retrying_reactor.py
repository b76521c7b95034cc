"""Guards against descriptors that stay unwatched after epoll_ctl failed, on a real pair of sockets.

epoll_ctl can fail for some time, for example at the user's limit on watched descriptors. The reactor has to
retry until it succeeds.
"""

import errno
import socket

import pytest

from weldbend.front.retrying_reactor import RETRY_AFTER, RetryingEPollReactor


class Selectable:
    """One end of a socket pair; records which of its methods the reactor calls."""

    def __init__(self, connected_socket):
        self.connected_socket, self.calls, self.fileno = connected_socket, [], connected_socket.fileno

    def doRead(self):
        self.calls.append("read")
        self.connected_socket.recv(9)

    def doWrite(self):
        self.calls.append("write")

    def logPrefix(self):
        return "test"

    def connectionLost(self, reason):
        self.calls.append("lost")


class FailingPoller:
    """An epoll object whose first registrations fail, one for each given error."""

    def __init__(self, poller, errors):
        self.poller, self.errors = poller, errors

    def register(self, fd, flags):
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        self.poller.register(fd, flags)

    def __getattr__(self, name):
        return getattr(self.poller, name)


@pytest.fixture
def reactor_and_sockets():
    reactor = RetryingEPollReactor()
    local_end, remote_end = socket.socketpair()
    local_end.setblocking(False)
    yield reactor, Selectable(local_end), remote_end
    local_end.close()
    remote_end.close()
    reactor._poller.close()


def run_reactor(reactor, seconds=RETRY_AFTER * 4):
    stop_at = reactor.seconds() + seconds
    while reactor.seconds() < stop_at:
        reactor.runUntilCurrent()
        reactor.doIteration(0.005)


@pytest.mark.parametrize("error_number", [errno.ENOMEM, errno.ENOSPC])
def test_a_descriptor_that_epoll_rejects_is_registered_by_a_retry(reactor_and_sockets, error_number):
    reactor, selectable, remote_end = reactor_and_sockets
    reactor._poller = FailingPoller(reactor._poller, [error_number] * 3)
    reactor.addReader(selectable)
    reactor.addWriter(selectable)
    remote_end.sendall(b"bytes")  # makes the local end readable
    run_reactor(reactor)
    assert {"read", "write"} <= set(selectable.calls) and "lost" not in selectable.calls
    assert not (reactor.unwatched_readers or reactor.unwatched_writers)


def test_a_descriptor_removed_before_the_retry_is_not_registered(reactor_and_sockets):
    reactor, selectable, remote_end = reactor_and_sockets
    reactor._poller = FailingPoller(reactor._poller, [errno.ENOMEM] * 2)
    reactor.addReader(selectable)
    reactor.addWriter(selectable)
    reactor.removeReader(selectable)
    reactor.removeWriter(selectable)
    remote_end.sendall(b"bytes")
    run_reactor(reactor)
    assert selectable.calls == []


def test_other_errors_of_epoll_are_raised(reactor_and_sockets):
    reactor, selectable, _ = reactor_and_sockets
    reactor._poller = FailingPoller(reactor._poller, [errno.EBADF])
    with pytest.raises(OSError, match="injected"):
        reactor.addReader(selectable)
    assert not reactor.unwatched_readers
