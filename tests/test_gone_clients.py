"""Guards against attempts for clients that have left while the front handled the requests of others.

The close is still unread in the socket at that time. The event queue therefore handles long batches in
parts, so that the reactor reads the sockets in between.
"""

from fronts import FrontHarness, give_up, listing, parse_event, process, target

from weldbend.front.event_queue import ITERATION_LIMIT
from weldbend.routing.events import LoopLagMeasured, RequestReceived


def harness_with_cache_connection():
    """Return a front with an open connection to its cache, and a client."""
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"one")
    return harness, client


def sent_commands(harness, number):
    """Return the trace lines of the commands sent to caches for one request."""
    return [line for line in harness.trace if f"do {number:016x}" in line]


def answers(harness, seqid):
    """Return the trace lines of the answers to one request of the first client."""
    return [line for line in harness.trace if line.startswith(f"client 0 < {seqid} ")]


def test_a_deadline_of_one_request_starts_no_attempt_for_a_client_whose_close_is_read_next():
    harness, client = harness_with_cache_connection()
    harness.send(client, process(2, wait="1000"))
    harness.answer("e2", 99, "FIT")  # keeps the connection in use
    other = harness.connect_client()
    for _ in range(9):
        harness.advance(0.11)
    harness.reactor.rightNow += 0.02
    other.dataReceived(process(3))
    harness.reactor.callLater(0, other.transport.loseConnection)  # found by the next poll
    harness.advance()
    assert len(answers(harness, 2)) == 1
    assert (
        not sent_commands(harness, 3) and not harness.pending_connects()
    ), "no connection is opened for it either"


def test_an_expired_request_is_answered_when_earlier_events_take_long(monkeypatch):
    harness, client = harness_with_cache_connection()
    harness.send(client, process(2, wait="1000"))
    events = harness.dispatcher.router.events
    dispatch = events.dispatch

    def slow(event):
        harness.reactor.rightNow += 2 * ITERATION_LIMIT
        dispatch(event)

    monkeypatch.setattr(events, "dispatch", slow)
    harness.reactor.rightNow += 1.1
    client.dataReceived(process(3) + process(4) + process(5))
    harness.advance()
    assert len(answers(harness, 2)) == 1
    assert all(answers(harness, number) or sent_commands(harness, number) for number in (3, 4, 5))


def test_a_long_batch_is_split_so_that_closes_are_read_in_between(monkeypatch):
    harness, _ = harness_with_cache_connection()
    clients = [harness.connect_client() for _ in range(8)]
    events = harness.dispatcher.router.events
    dispatch = events.dispatch
    handled = []

    def slow(event):
        harness.reactor.rightNow += 0.6 * ITERATION_LIMIT
        if isinstance(event, RequestReceived):
            handled.append(event.id)
        if len(handled) == 1:
            harness.reactor.callLater(0, clients[-1].transport.loseConnection)
        dispatch(event)

    monkeypatch.setattr(events, "dispatch", slow)
    for number, client in enumerate(clients, start=11):
        client.dataReceived(process(number))
    harness.advance()
    assert not sent_commands(harness, 18)
    sent_or_rejected = [
        len(sent_commands(harness, number)) + sum(f"< {number} throttled" in line for line in harness.trace)
        for number in range(11, 18)
    ]
    assert sent_or_rejected == [1] * 7, "each other request is sent, or rejected because of the lag"
    assert sent_commands(harness, 11) and sent_commands(harness, 12)


def test_requests_named_in_the_rest_of_a_long_batch_are_kept_until_it_is_handled(monkeypatch):
    harness, _ = harness_with_cache_connection()
    clients = [harness.connect_client() for _ in range(8)]
    events = harness.dispatcher.router.events
    dispatch = events.dispatch
    handled = []

    def slow(event):
        harness.reactor.rightNow += 0.6 * ITERATION_LIMIT
        handled.append(event)
        if len(handled) == 1:
            for number, client in enumerate(clients[4:], start=15):
                harness.reactor.callLater(0, client.dataReceived, give_up(number))
        dispatch(event)

    monkeypatch.setattr(events, "dispatch", slow)
    for number, client in enumerate(clients, start=11):
        client.dataReceived(process(number))
    harness.advance()
    assert harness.front.context.counters.counts["internal errors"] == 0
    assert not any(sent_commands(harness, number) for number in range(15, 19))
    assert len(harness.dispatcher.requests.by_id) == 4, "no state is kept of cancelled requests"


def test_a_removed_cache_is_known_until_the_router_has_handled_its_removal(monkeypatch):
    harness, client = harness_with_cache_connection()
    events = harness.dispatcher.router.events
    dispatch = events.dispatch
    handled = []

    def slow(event):
        harness.reactor.rightNow += 0.6 * ITERATION_LIMIT
        handled.append(event)
        if len(handled) == 1:
            removal = parse_event(
                listing(9, target("e1", state="removed"), target("e2", port=2, state="removed"))
            )
            harness.dispatcher.endpoints.handle(removal, harness.bus_receipt())
        dispatch(event)

    monkeypatch.setattr(events, "dispatch", slow)
    client.dataReceived(b"".join(process(number) for number in range(2, 9)))
    harness.advance()
    assert harness.front.context.counters.counts["internal errors"] == 0


def test_the_lag_of_deferred_events_counts_from_the_start_of_their_wait(monkeypatch):
    harness, _ = harness_with_cache_connection()
    clients = [harness.connect_client() for _ in range(8)]
    events = harness.dispatcher.router.events
    dispatch = events.dispatch
    lags = []

    def slow(event):
        harness.reactor.rightNow += 0.6 * ITERATION_LIMIT
        if isinstance(event, LoopLagMeasured):
            lags.append(event.lag)
        dispatch(event)

    monkeypatch.setattr(events, "dispatch", slow)
    for number, client in enumerate(clients, start=11):
        client.dataReceived(process(number))
    harness.advance()
    assert len(lags) >= 3 and lags == sorted(lags)
    assert lags[-1] > 3 * ITERATION_LIMIT, lags
