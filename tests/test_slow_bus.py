"""Guards against an event bus that is never heard because it is slow to respond.

The bus serves calls in turn. A reader that gives a call up and calls again loses its turn each time, and
drains, purges and new caches stay unknown for as long as the bus is slow.
"""

import pytest
from fronts import SSE_HEADER, FrontHarness, endpoint_uids, listing, open_bus_connection, sse_event, target
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from weldbend.event_bus.call_schedule import MAX_PENDING_CALLS
from weldbend.event_bus.reader import MAX_RETRY_DELAY, SILENCE_TIMEOUT, BusReader
from weldbend.front.timers import Timers

COMMENT = b": hm\n\n"


class Response:
    """A response to a call of the bus, which passes its stream to a protocol."""

    def __init__(self, code=200):
        self.code = code
        self.is_closed = False

    def deliverBody(self, protocol):
        self.protocol = protocol
        protocol.makeConnection(self)

    def loseConnection(self):
        self.is_closed = True


class Call:
    """A call of the bus as a test sees it."""

    def __init__(self, address, made_at):
        self.address = address
        self.made_at = made_at
        self.is_cancelled = False
        self.deferred = Deferred(self.cancel)
        self.deferred.addErrback(lambda _: None)

    def cancel(self, _):
        self.is_cancelled = True

    def respond(self, code=200):
        response = Response(code)
        self.deferred.callback(response)
        return response


class BusHarness:
    """A reader of the bus whose calls the test answers, and whose clock it controls."""

    def __init__(self):
        self.clock = Clock()
        self.clock.now = self.clock.seconds
        self.calls, self.events = [], []
        self.reader = BusReader(
            self.clock, Timers(self.clock, self.clock), "127.0.0.1:1", 1, self.events.append
        )
        self.reader.agent = self
        self.reader.start()

    def request(self, method, url, headers):
        call = Call(url.decode().split("/")[2], self.clock.seconds())
        self.calls.append(call)
        return call.deferred

    def pending(self):
        return [call for call in self.calls if not (call.is_cancelled or call.deferred.called)]

    def advance(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)


@pytest.mark.parametrize("delay", [1.7, 2.2, 5.0, 6.9, 30.0])
def test_a_call_that_waits_for_its_turn_is_not_given_up(delay):
    harness = BusHarness()
    harness.advance(delay)
    assert len(harness.pending()) <= MAX_PENDING_CALLS
    response = harness.calls[0].respond()
    response.protocol.dataReceived(sse_event(listing(2, target("e7"))))
    assert [event.offset for event in harness.events] == [2]
    assert not harness.pending() and not response.is_closed
    assert harness.reader.max_response_time == pytest.approx(delay)
    for _ in range(10):
        harness.advance(1.0)
        response.protocol.dataReceived(COMMENT)
    assert harness.calls[-1].made_at <= delay  # the stream is read, and no further call is made


@pytest.mark.parametrize("service_time", [0.1, 2.2, 4.0])
def test_a_call_that_was_lost_does_not_keep_the_front_from_the_bus(service_time):
    """The first call never gets a response, and each later one gets it after the same time."""
    harness = BusHarness()
    while not harness.reader.stream and harness.clock.seconds() < 60:
        harness.advance(0.05)
        for call in harness.pending()[1:]:
            if harness.clock.seconds() >= call.made_at + service_time - 1e-9:
                call.respond()
    assert harness.clock.seconds() <= SILENCE_TIMEOUT + service_time + 0.1


def test_the_number_of_calls_of_a_front_is_bounded_while_the_bus_does_not_respond():
    harness = BusHarness()
    for _ in range(60):
        harness.advance(1.0)
        assert len(harness.pending()) <= MAX_PENDING_CALLS and not harness.calls[0].is_cancelled
    assert len(harness.calls) <= 8


def test_a_stream_without_data_is_ended_counting_from_the_response():
    harness = BusHarness()
    harness.advance(5.0)
    response = harness.calls[0].respond()
    harness.advance(SILENCE_TIMEOUT - 0.1)
    assert not response.is_closed
    harness.advance(0.2 + MAX_RETRY_DELAY)
    assert response.is_closed and len(harness.pending()) == 1


def test_a_failed_call_is_made_again_only_if_no_other_one_is_pending():
    harness = BusHarness()
    harness.advance(2.0)
    first, second = harness.pending()
    second.respond(503)
    harness.advance(MAX_RETRY_DELAY)
    assert harness.pending() == [first]
    first.respond(503)
    harness.advance(MAX_RETRY_DELAY)
    assert len(harness.pending()) == 1


def test_all_pending_calls_move_to_a_new_address_at_once():
    harness = BusHarness()
    harness.advance(5.0)
    harness.reader.move("127.0.0.1:2")
    assert [call.address for call in harness.pending()] == ["127.0.0.1:2"]
    harness.advance(2.2)
    harness.pending()[0].respond()
    assert not harness.pending() and harness.reader.stream
    harness.reader.stop()
    harness.advance(20.0)
    assert not harness.pending()


@pytest.mark.parametrize("delay", [2.2, 6.9])
def test_a_front_hears_of_a_drain_from_a_bus_that_responds_late(delay):
    harness = FrontHarness()
    connection, _ = open_bus_connection(harness)
    for _ in range(round(delay / 0.1)):
        harness.advance(0.1)
    assert not connection.transport.disconnecting
    connection.dataReceived(SSE_HEADER + sse_event(listing(2, target("e1", state="removed"))))
    assert endpoint_uids(harness) == "e2 o1 p1"
