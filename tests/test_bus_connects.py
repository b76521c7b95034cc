"""Guards against connects to the bus that never report a result, as after a failed epoll_ctl.

Without a timeout, the front would not connect again. Cancelling such a connect raises an exception, which
must not abort a shutdown.
"""

from twisted.internet.defer import Deferred
from twisted.internet.error import NotConnectingError
from twisted.internet.testing import MemoryReactorClock

from weldbend.event_bus.reader import MAX_RETRY_DELAY, SILENCE_TIMEOUT, BusReader


class UnansweredAgent:
    """An HTTP agent whose requests get no response, as if epoll_ctl had failed for each new connection."""

    def __init__(self):
        self.request_count = 0

    def request(self, method, url, headers):
        self.request_count += 1
        return Deferred(canceller=self.raise_not_connecting)

    @staticmethod
    def raise_not_connecting(deferred):
        raise NotConnectingError("injected")


class Timers:
    """Timers of the reactor; unlike the reactor's own, an expired timer may be cancelled, without effect."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.now = reactor.seconds

    def after(self, delay, call):
        timer = self.reactor.callLater(delay, call)
        timer.cancel = lambda cancel=timer.cancel: timer.active() and cancel()
        return timer


def test_a_bus_connect_that_reports_no_result_is_retried_after_the_silence_timeout():
    """Otherwise the front stays without its bus, and ignores SIGTERM (seed 39 of the socket trials)."""
    reactor = MemoryReactorClock()
    reader = BusReader(reactor, Timers(reactor), "127.0.0.1:1", 0, lambda event: None)
    reader.agent = UnansweredAgent()
    reader.start()
    for expected_count in (2, 3):  # requests so far, including the one sent by `start`
        reactor.advance(SILENCE_TIMEOUT)
        reactor.advance(MAX_RETRY_DELAY)
        assert reader.agent.request_count == expected_count
    reader.stop()
    reactor.advance(10)  # no further request
    assert reader.agent.request_count == 3
