"""Guards against attempts that wait for a connection to a cache while none is being opened.

A connection is established, and in the same poll of the event loop a second client's requests are due for
routing. They are routed before the attempts that waited for the connection are sent, and take all its
streams. The attempts that still wait need another connection; without one they end as unreachable after the
connect timeout.
"""

from fronts import FrontHarness, Transport, process, target

MAX_STREAMS = 32  # most attempts in flight on one connection, by the configuration of the harness


def run_next_call(reactor):
    """Run the next due call alone; advancing the clock would also run the calls that it schedules."""
    call = reactor.calls.pop(0)
    call.called = 1
    call.func(*call.args, **call.kw)


def test_attempts_whose_connection_is_filled_by_later_requests_get_another_connection():
    # A single cache, whose capacity lets it have all attempts of this test at once.
    harness = FrontHarness(targets=(target("e1") | {"capacity_hint": 1000},))
    first, second = harness.connect_client(), harness.connect_client()
    requests = [process(number, key=f"{number:016x}") for number in range(1, 2 * MAX_STREAMS + 1)]
    harness.send(first, *requests[:MAX_STREAMS])
    [(_, pending_connect)] = harness.pending_connects()
    second.dataReceived(b"".join(requests[MAX_STREAMS:]))
    run_next_call(harness.reactor)  # the first of the two polls that precede routing
    connection = pending_connect.buildProtocol(None)
    connection.transport = Transport()
    connection.transport.protocol = connection
    harness.caches["e1", 0] = connection
    connection.connectionMade()
    harness.advance()
    sent = [line for line in harness.trace if line.startswith("e1/0 < do")]
    assert len(sent) == MAX_STREAMS, "the connection is full"
    assert len(harness.pending_connects()) == 1, "no connection is opened for the attempts that still wait"
