"""Connects to the bus that fail in this machine: a retry always follows, and a stop never raises."""

from twisted.internet.defer import Deferred
from twisted.internet.error import NotConnectingError
from twisted.internet.testing import MemoryReactorClock

from weldbend.event_bus.reader import MAX_RETRY_DELAY, SILENCE_TIMEOUT, BusReader


class LostConnects:
    """An agent whose requests never end, as where epoll_ctl failed when the connection came up."""

    def __init__(self):
        self.count = 0

    def request(self, method, url, headers):
        self.count += 1
        return Deferred(canceller=self.refuse)

    @staticmethod
    def refuse(deferred):
        raise NotConnectingError("injected")


class Timers:
    def __init__(self, reactor):
        self.reactor = reactor

    def after(self, delay, call):
        timer = self.reactor.callLater(delay, call)
        timer.cancel = lambda cancel=timer.cancel: timer.active() and cancel()
        return timer


def test_a_connect_that_is_lost_track_of_is_given_up_for_silence_and_made_again():
    """Found by seed 39 of the trials: no retry ever followed, and SIGTERM did not end the front."""
    reactor = MemoryReactorClock()
    reader = BusReader(reactor, Timers(reactor), "127.0.0.1:1", 0, lambda event: None)
    reader.agent = LostConnects()
    reader.start()
    for expected in (2, 3):
        reactor.advance(SILENCE_TIMEOUT)
        reactor.advance(MAX_RETRY_DELAY)
        assert reader.agent.count == expected
    reader.stop()
    reactor.advance(10)
    assert reader.agent.count == 3
