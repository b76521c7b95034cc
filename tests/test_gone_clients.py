"""Guards against attempts for clients that have left while the front handled the requests of others.

The client's close is still unread in its socket at that time. The event queue therefore handles a long batch
of events in parts, so that the reactor reads the sockets in between. Tests make a batch long with a `slow`
dispatch that advances the clock: at 0.6 of the time limit of an iteration, two events exceed the limit.
"""

from fronts import FrontHarness, give_up, listing, parse_event, process, target

from weldbend.front.event_queue import ITERATION_LIMIT
from weldbend.routing.events import LoopLagMeasured, RequestReceived


def harness_with_cache_connection():
    """Return a front with an open connection to its cache e2, and the client whose request 1 was served."""
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


def test_the_deadline_of_one_request_starts_no_attempt_for_another_client_whose_close_is_read_next():
    """An expired request is answered at once, but not before the sockets were polled again.

    Request 2 expires when request 3 of another client has just been read, whose close is found by the next
    poll.
    """
    harness, client = harness_with_cache_connection()
    harness.send(client, process(2, wait="1000"))
    harness.answer("e2", 99, "FIT")  # bytes since the attempt: the connection is not silent
    other = harness.connect_client()
    for _ in range(9):
        harness.advance(0.11)
    harness.reactor.rightNow += 0.02  # 9 * 0.11 + 0.02 = 1.01 s: request 2 has expired
    other.dataReceived(process(3))
    harness.reactor.callLater(0, other.transport.loseConnection)  # as a close that the next poll finds
    harness.advance()
    assert len(answers(harness, 2)) == 1
    assert (
        not sent_commands(harness, 3) and not harness.pending_connects()
    ), "no connection is opened for it either"


def test_an_expired_request_is_answered_when_earlier_events_take_long(monkeypatch):
    """Request 2 expires behind three others, and each event takes twice the time limit of an iteration."""
    harness, client = harness_with_cache_connection()
    harness.send(client, process(2, wait="1000"))
    events = harness.dispatcher.router.events
    dispatch = events.dispatch

    def slow(event):
        harness.reactor.rightNow += 2 * ITERATION_LIMIT
        dispatch(event)

    monkeypatch.setattr(events, "dispatch", slow)
    harness.reactor.rightNow += 1.1  # past the deadline of request 2, before any timer runs
    client.dataReceived(process(3) + process(4) + process(5))
    harness.advance()
    assert len(answers(harness, 2)) == 1
    assert all(answers(harness, number) or sent_commands(harness, number) for number in (3, 4, 5))


def test_a_long_batch_is_split_so_that_closes_are_read_in_between(monkeypatch):
    """The last of eight clients, with request 18, leaves when the first request (11) is handled."""
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


def test_state_of_requests_cancelled_during_a_long_batch_is_kept_until_the_batch_is_handled(monkeypatch):
    """The rest of the batch names requests 15 to 18, whose clients cancel when its first event is handled.

    Without the state of these requests, the router's handling of the rest would fail with an internal error.
    """
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
    """Both edges leave the list during a long batch, whose rest may still send attempts to them."""
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


def test_the_lag_of_events_left_to_a_later_iteration_counts_from_the_start_of_their_wait(monkeypatch):
    """The lag that is reported therefore grows from one iteration of the batch to the next."""
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
