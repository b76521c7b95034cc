"""The reactor that waits where epoll_ctl fails, on a real pair of sockets."""

import errno
import socket

import pytest

from weldbend.front.retrying_reactor import RETRY_AFTER, RetryingEPollReactor


class Selectable:
    """What a reactor watches: one end of a pair, and what was called on it."""

    def __init__(self, end):
        self.end, self.called, self.fileno = end, [], end.fileno

    def doRead(self):
        self.called.append("read")
        self.end.recv(9)

    def doWrite(self):
        self.called.append("write")

    def logPrefix(self):
        return "test"

    def connectionLost(self, reason):
        self.called.append("lost")


class FailingPoller:
    def __init__(self, poller, errors):
        self.poller, self.errors = poller, errors

    def register(self, fd, flags):
        if self.errors:
            raise OSError(self.errors.pop(0), "injected")
        self.poller.register(fd, flags)

    def __getattr__(self, name):
        return getattr(self.poller, name)


@pytest.fixture
def watched():
    reactor = RetryingEPollReactor()
    near, far = socket.socketpair()
    near.setblocking(False)
    yield reactor, Selectable(near), far
    near.close()
    far.close()
    reactor._poller.close()


def turn(reactor, seconds=RETRY_AFTER * 4):
    end = reactor.seconds() + seconds
    while reactor.seconds() < end:
        reactor.runUntilCurrent()
        reactor.doIteration(0.005)


@pytest.mark.parametrize("number", [errno.ENOMEM, errno.ENOSPC])
def test_what_cannot_be_watched_is_watched_as_soon_as_that_works(watched, number):
    reactor, selectable, far = watched
    reactor._poller = FailingPoller(reactor._poller, [number] * 3)
    reactor.addReader(selectable)
    reactor.addWriter(selectable)
    far.sendall(b"bytes")
    turn(reactor)
    assert {"read", "write"} <= set(selectable.called) and "lost" not in selectable.called
    assert not (reactor.unwatched_readers or reactor.unwatched_writers)


def test_what_is_no_longer_wanted_is_not_watched_later(watched):
    reactor, selectable, far = watched
    reactor._poller = FailingPoller(reactor._poller, [errno.ENOMEM] * 2)
    reactor.addReader(selectable)
    reactor.addWriter(selectable)
    reactor.removeReader(selectable)
    reactor.removeWriter(selectable)
    far.sendall(b"bytes")
    turn(reactor)
    assert selectable.called == []


def test_other_errors_are_raised_as_ever(watched):
    reactor, selectable, _ = watched
    reactor._poller = FailingPoller(reactor._poller, [errno.EBADF])
    with pytest.raises(OSError, match="injected"):
        reactor.addReader(selectable)
    assert not reactor.unwatched_readers
