"""Tests of a whole front in memory: its messages to clients and caches in edge cases, as short traces.

Guards against requests without an answer or with two, repeated writes, state that is never freed, and
violations of the protocol that arise when closes, purges, drains, reloads or slow peers coincide with open
requests.

The caches are the edges e1 and e2, the parent p1 and the origin o1. In a trace, "e2/0 <" is followed by what
the front sends on its first connection to e2, and "client 0 <" by what it sends to the client that connected
first. Request numbers are sequence ids, from which `process` also derives the request's id. The configuration
is that of the emulated site: a photo has a deadline of 6 s, an order one of 9 s.
"""

import errno

import pytest
from fronts import (
    KEY,
    SSE_HEADER,
    TARGETS,
    FrontHarness,
    configuration,
    endpoint_uids,
    give_up,
    listing,
    message,
    open_bus_connection,
    probe,
    process,
    sse_event,
    target,
)
from twisted.internet.error import ConnectError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from weldbend.event_bus.events import parse_event
from weldbend.event_bus.reader import BusReader
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.front import request_codec
from weldbend.front.clock import Clock
from weldbend.front.configuration import read_site
from weldbend.front.server import Front
from weldbend.front.timers import Timers
from weldbend.invariants import anomalies
from weldbend.routing.actions import SendAttempt, SendHealthCheck
from weldbend.routing.events import AttemptEnded, AttemptResult, ConnectionOpened, LoopLagMeasured
from weldbend.thrift import binary

ORDER_COMMAND = "queue=order,path=7f3a9c21e0b4d655,blk=0,budget=6000,uniq=5c0f6e1a2b3d4c59,mode=j"
PHOTO_COMMAND = "queue=photo,path=7f3a9c21e0b4d655,blk=0"


def test_answers_are_passed_on_in_any_order_and_a_client_copy_that_is_still_valid_is_confirmed():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, got="ab12"), probe(3))
    harness.complete_connects()
    harness.answer("e2", 2, "KEEP")
    harness.answer("e2", 1, "DONE", "ver=x,born=17,use=util:0.5", b"photo")
    harness.assert_trace(f"""
        client 0 < 3 probe: good True
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        e2/0 < do 0000000000000002 {PHOTO_COMMAND},budget=6000,rank=2,mode=j,seen=ab12 0
        client 0 < 2 process: '' {{'ok304': '1'}}
        client 0 < 1 process: 'photo'
    """)
    assert not harness.dispatcher.requests


def test_a_miss_is_filled_and_a_write_goes_to_the_origin_with_its_idempotency_key():
    harness = FrontHarness()
    order = {"class": "order", "once": "5c0f6e1a2b3d4c59"}
    harness.send(harness.connect_client(), process(1), process(2, b"two prints", **order))
    harness.complete_connects()
    harness.answer("e2", 1, "LACK")  # a miss: the next attempt fills e2 from a copy at the parent
    harness.complete_connects()
    harness.answer("e2", 1, "WAIT", number=1)  # the fill is rejected: the next fills e2 from the origin
    harness.complete_connects()
    harness.answer("o1", 2, "BROKE")  # an error: the write is repeated with the same key
    harness.complete_connects()
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        o1/0 < do 0000000000000002 {ORDER_COMMAND} 10
        o1/0 < two prints
        e2/1 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,from=p1,rank=1,mode=j+h 0
        e2/2 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,from=o1,mode=j 0
        o1/1 < do 0000000000000002 {ORDER_COMMAND} 10
        o1/1 < two prints
    """)


def test_a_duplicate_answer_is_not_taken_for_that_of_the_next_attempt():
    """Otherwise the second LACK would end the fill attempt, and a third would be sent while that is open."""
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "LACK")
    harness.complete_connects()
    harness.trace.clear()
    harness.answer("e2", 1, "LACK")
    harness.complete_connects()
    assert not harness.trace
    harness.answer("e2", 1, "DONE", "-", b"photo", number=1)
    harness.assert_trace("client 0 < 1 process: 'photo'")


def test_an_attempt_waiting_for_its_connection_is_cancelled_by_a_drain():
    """A cache that drains or leaves the list gets no new attempt; one at e1 replaces the waiting one."""
    for change in (listing(2, target("e2", port=2, state="draining")), listing(2, *TARGETS[:1], whole=True)):
        harness = FrontHarness()
        harness.send(harness.connect_client(), process(1))
        harness.deliver_event(change)
        harness.complete_connects()
        harness.assert_trace(f"e1/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0")


def test_an_attempt_waiting_for_its_connection_is_cancelled_by_a_purge():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.advance(0.3)
    # Tag 3 is the group (`batch`) of the requested object. The purge is 100 ms old, and an acceptable copy is
    # at least 1 ms newer: "oldest=99" is the maximum age in ms.
    harness.deliver_event({"offset": 2, "ban": {"tag": 3, "ts": (harness.unix() - 0.1) * 1000}})
    harness.complete_connects()
    harness.assert_trace(f"e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=5700,oldest=99,mode=j 0")


def test_a_write_is_not_repeated_after_the_deduplication_window_when_connecting_takes_long():
    """The origin remembers the idempotency key for 3 s after the first attempt, which is sent at 0 s.

    A repeat that waits 0.3 s for its connection must not be sent after those 3 s. The first connection is
    lost at 3 s + offset: with -0.2 s the repeat could be sent at 2.8 + 0.3 = 3.1 s and is not, with -0.5 s it
    is sent at 2.5 + 0.3 = 2.8 s. The expected commands include the first attempt.
    """
    for offset, expected_commands in (("-0.2", 1), ("-0.5", 2)):
        harness = FrontHarness()
        harness.send(harness.connect_client(), process(1, once="ab", wait="9000", **{"class": "order"}))
        harness.complete_connects()
        harness.advance(0.1)
        harness.answer("o1", 99, "FIT")  # bytes since the attempt: the connection is not silent
        harness.advance(2.9 + float(offset))
        harness.caches["o1", 0].transport.loseConnection()  # the write may have been executed
        harness.advance()
        harness.advance(0.3)
        harness.complete_connects()
        harness.advance()
        assert sum("o1" in line for line in harness.trace) == expected_commands, harness.trace


def test_an_attempt_that_waited_for_a_connection_to_a_cache_in_slow_start_is_decided_again():
    """Otherwise all attempts that waited for the connection would reach the cold cache in one burst.

    With `boot` 0, e2 started long ago, and the attempt is sent after the wait. With 1, e2 has just started:
    the attempt is superseded, and the next one is sent. The budget is 6000 ms less the 300 ms of the wait.
    """
    for boot, results in ((0, []), (1, [AttemptResult.SUPERSEDED])):
        harness, events = FrontHarness(), []
        harness.advance(2.0)  # less after the front's start, the attempt is not superseded
        harness.deliver_event(listing(2, target("e2", port=2, boot=boot * harness.unix() * 1000)))
        post, queue = harness.dispatcher.queue.post, harness.dispatcher.queue
        queue.post = lambda event, events=events, post=post: (events.append(event), post(event))
        harness.send(harness.connect_client(), process(1))
        harness.advance(0.3)
        harness.complete_connects()
        assert [event.result for event in events if isinstance(event, AttemptEnded)] == results
        assert len(harness.trace) == 1 and "budget=5700" in harness.trace[0]


def test_refused_and_unanswered_connects_end_attempts_as_unreachable():
    events = []
    # An attempt waits for a connection for 0.4 s.
    for fail in (FrontHarness.fail_connects, lambda harness: harness.advance(0.41)):
        harness = FrontHarness()
        record, post = events.append, harness.dispatcher.queue.post
        harness.dispatcher.queue.post = lambda event, record=record, post=post: (record(event), post(event))
        harness.send(harness.connect_client(), process(1, once="ab", **{"class": "order"}))
        fail(harness)
        assert [event.result for event in events if isinstance(event, AttemptEnded)] == [
            AttemptResult.UNREACHABLE
        ]
        events.clear()


def test_an_attempt_whose_connection_breaks_is_retried_at_another_cache():
    """The cache may have executed the attempt, but a photo may be requested again."""
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.caches["e2", 0].transport.loseConnection()
    harness.advance()
    harness.complete_connects()
    harness.answer("e1", 1, "DONE", "-", b"photo")
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        e1/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)


def test_a_connection_that_broke_during_an_attempt_is_reopened_at_once_and_reported_when_open():
    """A new connection shows the router that only the old one broke, and that the cache did not restart."""
    harness, events = FrontHarness(), []
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (events.append(event), post(event)),
    )
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    connection = harness.caches["e2", 0]
    connection.transport.loseConnection()
    assert [name for name, _ in harness.pending_connects()] == ["e2"]
    harness.complete_connects()
    opened_caches = [
        harness.dispatcher.names.uids[event.cache] for event in events if isinstance(event, ConnectionOpened)
    ]
    assert opened_caches == ["e2", "e2"]


def test_a_connect_that_is_accepted_and_reset_is_retried_before_its_cache_counts_as_unreachable():
    harness, events = FrontHarness(), []
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (events.append(event), post(event)),
    )
    harness.send(harness.connect_client(), process(1))
    lines = []
    # The fifth reset connect in a row ends the attempt, and the request gets one at e1; the sixth connect
    # is that to e1, after which the list still has the one result of e2.
    for _ in range(6):
        ((uid, connector),) = harness.pending_connects()
        connector.clientConnectionFailed(None, Failure(ConnectError(errno.ECONNRESET, "reset")))
        harness.advance()
        lines.append(f"{uid} {[event.result.name for event in events if isinstance(event, AttemptEnded)]}")
    assert lines == ["e2 []"] * 4 + ["e2 ['UNREACHABLE']", "e1 ['UNREACHABLE']"]


def test_a_cancelled_attempt_leaves_no_state_and_its_silent_connection_is_not_used_again():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.send(client, give_up(1), process(2))
    harness.complete_connects()
    harness.answer("e2", 2, "DONE", "-", b"photo", number=1)
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        e2/0 < undo 0000000000000001
        e2/1 < do 0000000000000002 {PHOTO_COMMAND},budget=6000,rank=2,mode=j 0
        client 0 < 2 process: 'photo'
    """)
    assert harness.caches["e2", 0].transport.disconnecting and not harness.dispatcher.requests


def test_an_undo_is_written_before_the_attempt_that_replaces_the_cancelled_one():
    """The two are sent on different connections, and the reactor could write the new attempt first.

    The cache would then have two open attempts of one request. `left` is the number of bytes in the first
    connection's buffer when the front wrote that buffer to the socket itself, before the reactor would have.
    """
    harness, lengths = FrontHarness(), []
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    connection, end = harness.caches["e2", 0], harness.dispatcher.attempts.end
    harness.dispatcher.attempts.end = lambda *ended: (lengths.append(connection.transport.left), end(*ended))
    while not lengths:  # until the router cancels the unanswered attempt
        harness.advance(0.3)
    assert lengths == [len(b"undo 0000000000000001\r\n")]


def test_a_late_answer_is_not_taken_for_that_of_a_later_attempt_with_the_same_id():
    harness = FrontHarness()
    client, other = harness.connect_client(), harness.connect_client()
    harness.send(client, process(7))
    harness.send(other, process(8))
    harness.complete_connects()
    harness.advance(0.01)
    # After these bytes the connection is not silent, so the cancellation of 7 does not end its use.
    harness.answer("e2", 8, "DONE", "-", b"eight")
    harness.send(client, give_up(7))
    harness.send(other, process(9, id="0000000000000007"))
    harness.complete_connects()
    harness.answer("e2", 7, "DONE", "-", b"of the first")
    harness.answer("e2", 7, "DONE", "-", b"of the second", number=1)
    harness.assert_trace(f"""
        e2/0 < do 0000000000000007 {PHOTO_COMMAND},budget=6000,mode=j 0
        e2/0 < do 0000000000000008 {PHOTO_COMMAND},budget=6000,rank=2,mode=j 0
        client 1 < 8 process: 'eight'
        e2/0 < undo 0000000000000007
        e2/1 < do 0000000000000007 {PHOTO_COMMAND},budget=6000,rank=2,mode=j 0
        client 1 < 9 process: 'of the second'
    """)


def test_one_answer_is_sent_before_the_deadline_and_none_after():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, wait="800"))
    harness.complete_connects()
    harness.advance(0.796)  # the rejection is sent some ms before the deadline of 800 ms
    harness.answer("e2", 1, "DONE", "-", b"late")
    harness.advance(1)
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=800,mode=j 0
        client 0 < 1 throttled {{'after': '500'}}
        e2/0 < undo 0000000000000001
    """)
    assert not harness.dispatcher.requests


def test_after_a_pause_that_outlasts_a_deadline_the_router_still_decides_the_answer():
    """Its answer is a rejection with a time for the retry; the dispatcher alone would abandon the request."""
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, wait="800"))
    harness.complete_connects()
    harness.advance(0.9)
    assert "client 0 < 1 throttled {'after': '500'}" in harness.trace and not harness.dispatcher.requests


def test_a_purge_in_the_current_millisecond_still_limits_the_age_of_copies():
    """The limit is at least 1 ms ("oldest=1"), since without a limit any copy would be accepted."""
    harness = FrontHarness()
    harness.deliver_event({"offset": 2, "ban": {"url": KEY, "ts": harness.unix() * 1000}})
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.assert_trace(f"e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,oldest=1,mode=j 0")


def test_an_attempt_cancelled_before_it_was_sent_ends_as_superseded():
    harness, events = FrontHarness(), []
    client = harness.connect_client()
    harness.send(client, process(1))
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (events.append(event), post(event)),
    )
    harness.send(client, give_up(1))
    harness.complete_connects()
    assert [event.result for event in events if isinstance(event, AttemptEnded)] == [AttemptResult.SUPERSEDED]
    harness.assert_trace("")


def test_an_attempt_decided_while_its_client_cancels_ends_as_superseded():
    """The cancellation of request 2 is read after the router has decided its attempt, before that is sent."""
    harness, events = FrontHarness(), []
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (events.append(event), post(event)),
    )
    client = harness.connect_client()
    harness.send(client, process(1))
    handle = harness.dispatcher.router.handle

    def handle_while_the_client_cancels(now, events):
        harness.dispatcher.router.handle = handle
        actions = handle(now, events)
        client.dataReceived(give_up(2))
        return actions

    harness.dispatcher.router.handle = handle_while_the_client_cancels
    harness.send(client, give_up(1), process(2))
    results = [event.result for event in events if isinstance(event, AttemptEnded)]
    assert results == [AttemptResult.SUPERSEDED, AttemptResult.SUPERSEDED]
    assert not harness.dispatcher.requests and not harness.dispatcher.router.requests


def test_the_lag_of_the_event_loop_is_reported_for_late_iterations_and_not_for_idle_time():
    """Each request follows 1 s without any event, which is no lag; its own delay until the iteration is."""
    harness, lines = FrontHarness(), []
    handle = harness.dispatcher.router.handle

    def record_events(now, events):
        for event in events:
            lines.append(
                f"late {event.lag:.2f}" if isinstance(event, LoopLagMeasured) else type(event).__name__
            )
            yield from ()
        handle(now, [])

    harness.dispatcher.router.handle = lambda now, events: list(record_events(now, events))
    client = harness.connect_client()
    for number, delay in ((1, 0.0), (2, 0.05), (3, 0.3)):
        harness.advance(1.0)
        client.dataReceived(process(number))
        harness.reactor.advance(delay)  # other sockets are handled first
        harness.advance()
    assert lines == ["RequestReceived", "late 0.05", "RequestReceived", "late 0.30", "RequestReceived"]


def test_requests_beyond_the_site_limit_on_open_requests_are_throttled():
    harness = FrontHarness(open_cap=2)
    harness.send(harness.connect_client(), process(1), process(2), process(3))
    harness.assert_trace("client 0 < 3 throttled {'after': '1000'}")


def test_invalid_calls_are_rejected_with_an_exception():
    """Each call is rejected before the router sees it; the fourth invalid one on a connection closes it."""
    harness = FrontHarness()
    order = {"class": "order"}
    invalid_calls = [
        process(1, **{"class": "what"}),
        process(2, id="xyz 1"),
        process(3, key=None),
        process(4, wait="soon"),
        process(5, b"x" * 48_001),
        process(6, **order),
        process(7, got="a b"),
        process(8, kb="nan"),
        message(binary.CALL, "fetch", 9),
        process(10, wait="6100"),
        process(11, nth="007"),
        process(12, batch="-1"),
        process(13, nth="99999999999"),
        process(14, kb="1e300"),
        process(15, id="00000000000000AB"),
    ]
    for start in range(0, len(invalid_calls), 3):
        client = harness.connect_client()
        harness.send(client, *invalid_calls[start : start + 3])
        assert not client.transport.disconnecting
    harness.assert_trace("""
        client 0 < 1 exception 7: unknown content type
        client 0 < 2 exception 7: id and key are 16 hex digits
        client 0 < 3 exception 7: missing field 'key'
        client 1 < 4 exception 7: a field that is no number
        client 1 < 5 exception 7: a body too large
        client 1 < 6 exception 7: missing field 'once'
        client 2 < 7 exception 7: a field that cannot be passed on
        client 2 < 8 exception 7: a field that is no number
        client 2 < 9 exception 1: unknown method 'fetch'
        client 3 < 10 exception 7: a number out of its bounds
        client 3 < 11 exception 7: a field that is no number
        client 3 < 12 exception 7: a field that is no number
        client 4 < 13 exception 7: a field that is no number
        client 4 < 14 exception 7: a field that is no number
        client 4 < 15 exception 7: id and key are 16 hex digits
    """)
    assert not harness.dispatcher.requests and not harness.counts["requests"]
    # The last client has sent three invalid calls. The fourth closes its connection, and 21 is not handled.
    harness.send(client, process(20, key=None), process(21))
    assert client.transport.disconnecting and len(harness.trace) == 1


# What a client sends after its request 1; each entry violates the protocol.
VIOLATIONS = {
    "a length of two gigabytes": (b"\x7f\xff\xff\xff",),
    "an invalid message": (b"\x00\x00\x00\x05abcde",),
    "one number twice": (process(1),),  # the sequence id of the open request
    "one id twice": (process(2, id=f"{1:016x}", key="7f3a9c21e0b4d656"),),
    # The protocol allows 32 open requests on a connection.
    "hundreds at once": tuple(process(n, key=f"{n:016x}") for n in range(2, 300)),
    "hundreds cancelled": tuple(part for n in range(2, 300) for part in (process(n), give_up(n))),
    "hundreds of rejected calls": tuple(process(n, key=None) for n in range(2, 1000)),
}


@pytest.mark.parametrize("violations", VIOLATIONS.values(), ids=VIOLATIONS)
def test_a_protocol_violation_closes_the_connection_and_abandons_its_open_requests(violations):
    harness = FrontHarness()
    client, other_client = harness.connect_client(), harness.connect_client()
    harness.send(other_client, process(7, id="00000000000000aa"))
    harness.send(client, process(1), *violations, process(3000))
    assert client.transport.disconnecting and not client.open_requests
    harness.complete_connects()
    harness.answer("e2", 0xAA, "DONE", "-", b"photo")
    assert "client 0 < 1 abandoned" in harness.trace and "fulfilled" not in str(harness.trace)
    assert (
        sum("do " in line for line in harness.trace) == 1
        and harness.trace[-1] == "client 1 < 7 process: 'photo'"
    )
    assert (
        not harness.dispatcher.requests
        and not harness.dispatcher.requests.by_client_id
        and not harness.dispatcher.router.requests
    )


def test_a_client_whose_cancellations_are_read_together_with_their_calls_stays_connected():
    """A front that is late reads a call and its cancellation at once, also for clients with short time-outs.

    64 such cancellations in a row would close the connection. Here 19 at a time are read together with their
    calls, and each twentieth call is read before its cancellation, which ends the row.
    """
    harness = FrontHarness()
    client = harness.connect_client()
    for first in range(1, 200, 20):
        cancelled_calls = [part for n in range(first, first + 19) for part in (process(n), give_up(n))]
        harness.send(client, *cancelled_calls, process(first + 19))
        harness.send(client, give_up(first + 19))
    assert not client.transport.disconnecting and not client.open_requests


def test_the_id_of_an_open_request_of_another_client_is_rejected():
    harness = FrontHarness()
    first, second = harness.connect_client(), harness.connect_client()
    harness.send(first, process(1))
    harness.send(second, process(9, id=f"{1:016x}", key="7f3a9c21e0b4d656"))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    harness.assert_trace(f"""
        client 1 < 9 exception 7: the id of an open download
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)


def test_idle_clients_and_clients_with_a_partial_call_are_disconnected():
    harness = FrontHarness()
    silent, partial, idle, busy = (harness.connect_client() for _ in range(4))
    harness.send(partial, process(1)[:50])
    harness.send(idle, probe(1))
    harness.send(busy, process(2))
    rows = []
    # A client has 2 s for its first call and for the rest of a partial one, and may be idle for 4.5 s. The
    # rows are 0.25 s apart, so the closes are seen at 2.25 s and 4.75 s; a client with an open request stays.
    for quarter in range(1, 20):
        harness.advance(0.25)
        rows.append([quarter / 4, *(c.transport.disconnecting for c in (silent, partial, idle, busy))])
    assert [next((line[0] for line in rows if line[column]), None) for column in (1, 2, 3, 4)] == [
        2.25,
        2.25,
        4.75,
        None,
    ]


@pytest.mark.parametrize("count", [1, 32])
def test_no_attempt_starts_for_a_client_that_has_closed_its_connection(count):
    """Attempts that wait for a connection to a cache are dropped, and attempts in flight are cancelled."""
    for is_connected in (False, True):
        harness = FrontHarness()
        client = harness.connect_client()
        harness.send(client, *(process(n, once=f"a{n}", **{"class": "order"}) for n in range(1, count + 1)))
        harness.send(client, process(41)[:9])  # the client leaves in the middle of a call
        while is_connected and harness.pending_connects():
            harness.complete_connects()
        harness.trace.clear()
        client.transport.loseConnection()
        harness.advance()
        while harness.pending_connects():
            harness.complete_connects()
        assert sorted(harness.trace) == [f"o1/0 < undo {n:016x}" for n in range(1, count + 1) if is_connected]
        assert not (
            harness.dispatcher.requests
            or harness.dispatcher.requests.by_client_id
            or harness.dispatcher.router.requests
        )


def test_a_client_that_reads_slowly_loses_no_answer_and_the_front_stops_reading_its_calls():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, *(process(n, key=f"{n:016x}") for n in range(1, 6)))
    for _ in range(3):
        harness.complete_connects()
    client.pauseProducing()
    for n in range(1, 6):
        uid = next(uid for (uid, _), c in harness.caches.items() if f"{n:016x}" in c.in_flight)
        harness.answer(uid, n, "DONE", "-", b"x" * 240_000)
    harness.trace.clear()
    harness.send(client, process(6))  # not read before the client has taken its answers
    assert (
        harness.front.gateway.unsent_bytes > 5 * 240_000
        and not client.open_requests
        and len(client.writer.ring) <= client.writer.ring.capacity
    )
    harness.assert_trace("")
    client.resumeProducing()
    harness.advance()
    assert [line for line in harness.trace if "client" in line] == [
        f"client 0 < {n} process: '240000 bytes'" for n in range(1, 6)
    ]
    assert list(client.open_requests) == [6] and harness.front.gateway.unsent_bytes == 0


def test_reading_from_caches_pauses_while_too_much_is_buffered_for_slow_readers():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    # As if answers for other clients were buffered. Reading resumes below half of the limit.
    harness.front.gateway.buffered_changed(harness.front.site.max_unsent_bytes + 1)
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.caches["e2", 0].transport.producerState == "paused" and list(client.open_requests) == [1]
    harness.front.gateway.buffered_changed(-harness.front.site.max_unsent_bytes)
    harness.advance()
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


def test_attempts_beyond_the_stream_limit_of_one_connection_use_another():
    harness = FrontHarness(max_streams=3)
    client = harness.connect_client()
    harness.send(client, *(process(n, **{"class": "order", "once": f"a{n}"}) for n in range(1, 33)))
    assert len(client.open_requests) == 32
    harness.complete_connects()
    assert {len(c.in_flight) for c in harness.caches.values()} <= {1, 2, 3}
    assert sum(len(c.in_flight) for c in harness.caches.values()) == 32
    harness.answer("o1", 1, "DONE", "-", b"ok")
    harness.send(client, process(33, **{"class": "order", "once": "a33"}))
    assert len(client.open_requests) == 32 and 33 in client.open_requests


def test_no_state_is_kept_of_removed_caches_closed_clients_and_ended_requests():
    """Each new cache, client and request has a new name, so state stored by name must be freed with it."""

    def state_sizes(harness):
        dispatcher = harness.dispatcher
        router, timers = dispatcher.router, harness.front.timers
        endpoints = dispatcher.endpoints
        by_cache = (dispatcher.names.uids, dispatcher.names.numbers, endpoints.listed)
        by_cache += (endpoints.started, dispatcher.pool.endpoints)
        ready = {cache.id for caches in router.context.ready.values() for cache in caches}
        by_cache += (router.caches, ready - router.caches.keys())
        requests = dispatcher.requests
        by_request = (requests.by_id, requests.by_client_id, router.requests, harness.front.listener.clients)
        return (
            [len(items) for items in by_cache],
            [len(items) for items in by_request],
            len(timers.heap) < 200,
        )

    harness = FrontHarness()
    sizes_before = state_sizes(harness)
    last_uid = "e2"
    # Each round replaces the cache at the address of e2 by one with a new uid, with a change of the list or
    # with a complete new list, and serves one request of a client that then leaves.
    for n in range(2, 202):
        new_uid = f"e{n + 1}"
        boot = harness.unix() * 1000
        if n % 2:
            harness.deliver_event(
                listing(n, target(last_uid, port=2, state="removed"), target(new_uid, port=2, boot=boot))
            )
        else:
            harness.deliver_event(
                listing(n, *TARGETS[:1], target(new_uid, port=2, boot=boot), *TARGETS[2:], whole=True)
            )
        last_uid, client = new_uid, harness.connect_client()
        harness.send(client, process(n, key=f"{n:016x}"))
        harness.complete_connects()
        uid, connection = next((key, c) for key, c in harness.caches.items() if f"{n:016x}" in c.in_flight)
        harness.answer(uid[0], n, "DONE", "-", b"ok", number=uid[1])
        client.transport.loseConnection()
        harness.advance(0.05)
    harness.deliver_event(listing(202, *TARGETS, whole=True))
    sizes_after = state_sizes(harness)
    # four names of caches, those of TARGETS
    assert sizes_after == sizes_before and sizes_after[0][0] == 4, (sizes_before, sizes_after)


def test_connections_to_a_replaced_or_restarted_cache_are_not_used_again():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.deliver_event(
        listing(2, target("e9", port=2), target("e2", port=2, state="removed"), target("e1", state="removed"))
    )
    harness.send(client, process(2))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"finished")
    assert harness.caches["e2", 0].transport.disconnecting
    harness.advance(1)
    harness.send(client, process(3))
    old_connection = harness.caches["e9", 0]
    harness.deliver_event(listing(3, target("e9", port=2, boot=(harness.unix() - 2) * 1000)))
    assert not old_connection.transport.disconnecting  # opened after that start: leads to the new process
    harness.deliver_event(listing(4, target("e9", port=2, boot=harness.unix() * 1000)))
    assert old_connection.transport.disconnecting
    assert harness.trace[:3] == [
        f"e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0",
        f"e9/0 < do 0000000000000002 {PHOTO_COMMAND},budget=6000,rank=2,mode=j 0",
        "client 0 < 1 process: 'finished'",
    ]


def test_a_malformed_answer_closes_the_cache_connection_and_an_unmatched_one_does_not():
    harness = FrontHarness()
    anomalies.clear()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.answer("e2", 99, "DONE", "-", b"whose")
    assert not harness.caches["e2", 0].is_lost
    # malformed: the body would be longer than any answer may be
    harness.caches["e2", 0].dataReceived(b"0000000000000001 DONE - 999999\r\n")
    harness.advance()
    harness.complete_connects()
    assert harness.trace[-1] == f"e2/1 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0"
    assert anomalies == {"unmatched cache answers": 1, "malformed answers from caches": 1}


def test_an_attempt_on_an_aborted_connection_ends_only_when_the_socket_is_closed():
    """If it ended sooner, the request could get another attempt while the cache still executes this one."""
    harness, states = FrontHarness(), []
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    connection, end = harness.caches["e2", 0], harness.dispatcher.attempts.end
    harness.dispatcher.attempts.end = lambda *ended: (
        states.append(connection.transport.disconnecting),
        end(*ended),
    )
    abort, connection.transport.abortConnection = connection.transport.abortConnection, lambda: None
    connection.dataReceived(b"no answer\r\n")
    harness.advance()
    assert states == [] and not connection.can_send("x")
    abort()
    assert states == [True]


def test_an_answer_that_stalls_ends_its_connection_and_all_attempts_on_it():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1), process(2))
    harness.complete_connects()
    harness.caches["e2", 0].dataReceived(b"0000000000000001 DONE - 9\r\n")
    harness.advance(0.15)
    harness.caches["e2", 0].dataReceived(b"half")
    # No byte for longer than the timeout of 0.2 s, but a second check 0.02 s later has to confirm the stall.
    harness.advance(0.25)
    assert not harness.caches["e2", 0].is_lost
    harness.advance(0.1)  # 0.15 + 0.25 + 0.1 = 0.5 s, which leaves 5500 ms of the budget of 6000
    harness.complete_connects()
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        e2/0 < do 0000000000000002 {PHOTO_COMMAND},budget=6000,rank=2,mode=j 0
        e2/1 < do 0000000000000001 {PHOTO_COMMAND},budget=5500,mode=j 0
        e2/1 < do 0000000000000002 {PHOTO_COMMAND},budget=5500,rank=2,mode=j 0
    """)


def test_a_cache_connection_near_its_idle_timeout_is_not_used():
    harness = FrontHarness(conn_idle_us=2_000_000)
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"one")
    # A connection idle for longer than 2 s - 0.4 s (the connect timeout) = 1.6 s is not used any more.
    harness.advance(1.7)
    harness.send(client, process(2))
    assert harness.caches["e2", 0].transport.disconnecting
    harness.complete_connects()
    assert harness.trace[-1].startswith("e2/1 < do 0000000000000002")


def test_an_exception_in_one_request_abandons_only_that_request():
    harness = FrontHarness()
    router = harness.dispatcher.router
    original_handle = router.prefilter.handle
    router.prefilter.handle = (
        lambda request: 1 / 0 if request.received.part == 7 else original_handle(request)
    )
    harness.send(harness.connect_client(), process(1, nth="7"), process(2))
    harness.complete_connects()
    harness.answer("e2", 2, "DONE", "-", b"photo")
    harness.assert_trace(f"""
        client 0 < 1 abandoned
        e2/0 < do 0000000000000002 {PHOTO_COMMAND},budget=6000,mode=j 0
        client 0 < 2 process: 'photo'
    """)
    assert harness.counts["internal errors"] == 1 and not harness.dispatcher.requests


def test_an_exception_in_the_dispatcher_leaves_the_shared_cache_connection_open(monkeypatch):
    """One exception is raised when the end of attempt 1 is decoded, one when attempt 3 is sent."""
    harness = FrontHarness()
    attempt_ended = request_codec.attempt_ended
    monkeypatch.setattr(
        request_codec,
        "attempt_ended",
        lambda name, *rest: 1 / 0 if name == "1" else attempt_ended(name, *rest),
    )
    dispatcher, perform = harness.dispatcher, harness.dispatcher.perform
    dispatcher.perform = lambda act: 1 / 0 if isinstance(act, SendAttempt) and act.id == "3" else perform(act)
    harness.send(harness.connect_client(), process(1), process(2), process(3), process(4))
    harness.complete_connects()
    for number in (1, 2, 4):
        harness.answer("e2", number, "DONE", "-", b"photo")
    assert [line for line in harness.trace if "client" in line] == [
        "client 0 < 3 abandoned",
        "client 0 < 1 process: 'photo'",
        "client 0 < 2 process: 'photo'",
        "client 0 < 4 process: 'photo'",
    ]
    assert not harness.caches["e2", 0].is_lost and harness.counts["internal errors"] == 2


def test_a_health_check_reports_the_load_of_its_cache_or_that_there_is_no_connection_to_it():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    dispatcher, results = harness.dispatcher, []
    dispatcher.queue.post = results.append
    cache = dispatcher.names.number("e2")
    dispatcher.perform(SendHealthCheck(cache))
    dispatcher.perform(SendHealthCheck(dispatcher.names.number("e1")))
    harness.advance()
    harness.caches["e2", 0].dataReceived(b"p1 FIT use=util:0.61;inflight:7 0\r\n\r\n")
    assert harness.trace[-1] == "e2/0 < top p1"
    assert [(event.result.name, event.load) for event in results] == [
        ("UNREACHABLE", None),
        ("SERVED", {"util": 0.61, "inflight": 7.0}),
    ]


def test_a_front_that_shuts_down_accepts_requests_and_exits_when_all_are_answered():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.front.terminate()
    harness.send(harness.connect_client(), probe(1), process(2))
    harness.answer("e2", 2, "DONE", "-", b"taken after")
    harness.advance(0.75)  # an exit is possible from 0.7 s after SIGTERM, but request 1 is open
    assert not harness.reactor.hasStopped
    harness.answer("e2", 1, "DONE", "-", b"taken before")
    for _ in range(6):
        harness.advance(0.03)
    assert harness.reactor.hasStopped
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {PHOTO_COMMAND},budget=6000,mode=j 0
        client 1 < 1 probe: good False
        e2/0 < do 0000000000000002 {PHOTO_COMMAND},budget=6000,rank=2,mode=j 0
        client 1 < 2 process: 'taken after'
        client 0 < 1 process: 'taken before'
    """)


def test_a_shutdown_closes_no_idle_connection_on_which_a_request_may_be_in_transit():
    """A request may be in transit for 0.1 s after the last byte, or after a connection was accepted.

    From 0.7 s after SIGTERM the front accepts no connections; it closes the idle ones when none of them is
    within that time.
    """
    harness = FrontHarness()
    active, silent = harness.connect_client(), [harness.connect_client()]
    harness.send(active, process(1))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.68)
    harness.answer("e2", 1, "DONE", "-", b"one")
    for _ in range(3):
        silent.append(harness.connect_client())
        harness.advance(0.025)
    assert not active.transport.disconnecting and harness.front.listener.port is None
    harness.send(active, process(2))
    harness.answer("e2", 2, "DONE", "-", b"two")
    harness.advance(0.02)
    assert not harness.reactor.hasStopped
    for _ in range(6):
        harness.advance(0.03)
    assert harness.reactor.hasStopped and all(client.transport.disconnecting for client in (active, *silent))
    assert [line for line in harness.trace if "client" in line] == [
        "client 0 < 1 process: 'one'",
        "client 0 < 2 process: 'two'",
    ]


def test_a_shutdown_answers_open_requests_before_the_process_can_be_killed():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, once="ab", **{"class": "order", "wait": "9000"}))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.1)
    # Answers to no attempt: the connections have received bytes since the attempts, so they are not silent.
    harness.answer("e2", 99, "FIT")
    harness.answer("o1", 99, "FIT")
    harness.advance(3.29)  # 3.39 s after SIGTERM; open requests are aborted after 3 + 0.4 s
    assert len(client.open_requests) == 2 and not harness.reactor.hasStopped
    harness.trace.clear()
    harness.advance(0.02)
    harness.assert_trace("""
        client 0 < 1 abandoned
        client 0 < 2 abandoned
        e2/0 < undo 0000000000000001
        o1/0 < undo 0000000000000002
    """)
    harness.advance(0.05)
    harness.advance(0.05)
    assert harness.reactor.hasStopped


def test_the_bus_is_read_from_the_last_event_id_after_each_lost_connection():
    harness = FrontHarness()
    first, last_event_id = open_bus_connection(harness)
    last_event_ids = [last_event_id]
    first.dataReceived(
        SSE_HEADER + sse_event(listing(2, target("e7", port=7))) + b"id: 3\ndata: no event\n\n: hm\n\n"
    )
    first.transport.loseConnection()
    harness.advance(0.06)  # longer than the first delay before a reconnection
    second, last_event_id = open_bus_connection(harness)
    last_event_ids.append(last_event_id)
    second.dataReceived(
        SSE_HEADER + sse_event(listing(3, target("e8", port=8))) + sse_event(listing(4, target("e9", port=9)))
    )
    harness.advance(1.9)  # 1.8 s without even a comment: the front ends the connection
    harness.advance(1.0)  # longer than any delay before a reconnection
    third, last_event_id = open_bus_connection(harness)
    last_event_ids.append(last_event_id)
    third.dataReceived(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    harness.advance(1.1)
    last_event_ids.append(open_bus_connection(harness)[1])
    assert last_event_ids == ["1", "3", "4", "4"] and endpoint_uids(harness) == "e1 e2 e7 e9 o1 p1"


def test_a_reload_switches_to_the_new_bus_at_once():
    """The front reloads several times in a row, and again during a shutdown, also with unusable settings.

    The offsets of events continue on the new bus, and events that the old connection still delivers are
    ignored.
    """
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    old_connection, last_event_id = open_bus_connection(harness)
    last_event_ids = [last_event_id]
    old_connection.dataReceived(SSE_HEADER + sse_event(listing(2, target("e7", port=7))))
    old_attempt = harness.front.bus.attempt
    for port in (9093, 9094, 9094):
        harness.front.read_new_site = lambda port=port: read_site(configuration(bus=f"127.0.0.1:{port}"))
        harness.front.reload()
    old_attempt.dataReceived(sse_event(listing(3, target("e8", port=8))))
    new_connection, last_event_id = open_bus_connection(harness, 9094)
    last_event_ids.append(last_event_id)
    harness.front.terminate()
    for unusable in ("{", configuration(bus="nowhere"), configuration().replace('"lanes"', '"lanez"')):
        harness.front.read_new_site = lambda unusable=unusable: read_site(unusable)
        harness.front.reload()
    new_connection.dataReceived(SSE_HEADER + sse_event(listing(3, target("e9", port=9))))
    harness.front.read_new_site = lambda: read_site(configuration(bus="127.0.0.1:9095"))
    harness.front.reload()
    last_event_ids.append(open_bus_connection(harness, 9095)[1])
    harness.advance(1.0)
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert last_event_ids == ["1", "2", "3"] and endpoint_uids(harness) == "e1 e2 e7 e9 o1 p1"
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


def test_at_the_connection_limit_idle_clients_are_closed_and_accepting_pauses():
    harness = FrontHarness()
    listener, port_calls = harness.front.listener, []
    listener.max_connections = 3

    class Port:
        def pauseProducing(self):
            port_calls.append("pause")

        def resumeProducing(self):
            port_calls.append("resume")

    listener.port = Port()
    busy, idle = harness.connect_client(), harness.connect_client()
    harness.send(busy, process(1))
    harness.advance(0.6)  # longer than another request of the idle client may be in transit
    late_client = harness.connect_client()
    assert idle.transport.disconnecting and not busy.transport.disconnecting
    harness.send(late_client, process(2))
    harness.send(harness.connect_client(), process(3))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    busy.transport.loseConnection()
    assert port_calls == ["pause", "resume"] and len(listener.clients) == 2


def test_at_the_connection_limit_silent_clients_are_closed_first_and_new_ones_last():
    """Of the others, the client with one call so far is closed before the one with two."""
    harness = FrontHarness()
    listener, rows = harness.front.listener, []
    listener.port = None
    single_call, active, silent = harness.connect_client(), harness.connect_client(), harness.connect_client()
    harness.send(single_call, probe(1))
    harness.send(active, probe(1), probe(2))
    harness.advance(0.6)
    new_client = harness.connect_client()
    for limit in (4, 3, 2, 1):
        listener.max_connections = limit
        listener.evict_idle()
        rows.append(
            "".join(str(int(c.transport.disconnecting)) for c in (single_call, active, silent, new_client))
        )
    assert rows == ["0010", "1010", "1110", "1111"]


def starting_front():
    """Return the reactor and a front that has started but not yet opened its port."""
    reactor = MemoryReactorClock()
    front = Front(reactor, read_site(configuration()))
    front.listener.set_keepalive = lambda: None
    front.clock.now = lambda: reactor.seconds() + 1.0
    front.start()
    return reactor, front


def test_a_starting_front_opens_its_port_after_the_events_published_while_it_loaded():
    reactor, front = starting_front()
    assert not reactor.tcpServers and not front.gateway.is_serving()
    front.bus.on_connected()
    reactor.advance(0.01)  # the port opens 0.02 s after the bus's response
    assert not reactor.tcpServers
    purge = parse_event({"offset": 9, "ban": {"url": KEY, "ts": 1}})
    front.dispatcher.endpoints.handle(purge, Receipt(front.clock.now()))
    reactor.advance(0.02)
    assert len(reactor.tcpServers) == 1 and front.gateway.is_serving()
    assert KEY in front.dispatcher.router.admission.purges.purge_times


def test_a_start_without_its_bus_waits_for_a_bounded_time():
    reactor, front = starting_front()
    reactor.advance(0.29)  # the wait for the bus ends after 0.3 s
    assert not reactor.tcpServers
    reactor.advance(0.02)
    assert len(reactor.tcpServers) == 1
    reactor.advance(1.0)
    assert len(reactor.tcpServers) == 1, "the port is opened once only"


def test_a_bus_connection_is_reported_before_its_events():
    """A starting front opens its port shortly after this report, when it must have read the missed events.

    A response other than a success is not reported.
    """
    calls = []

    class Response:
        code = 200

        def deliverBody(self, body_reader):
            calls.append("body")

    reactor = MemoryReactorClock()
    timers = Timers(reactor, Clock())
    reader = BusReader(reactor, timers, "127.0.0.1:9092", 0, calls.append, lambda: calls.append("answered"))
    reader.start()
    reader.attempt.pending_request.cancel = lambda: None
    reader.attempt.response_received(Response())
    assert calls == ["answered", "body"]
    Response.code = 503
    reader.start()
    reader.attempt.pending_request.cancel = lambda: None  # the answer below is not that of a real request
    reader.attempt.transport = None
    reader.attempt.response_received(Response())
    assert calls.count("answered") == 1, "a refused request is not reported as connected"


def test_a_client_whose_call_was_unread_while_the_front_was_suspended_is_not_closed_as_idle():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.advance(0.2)
    harness.reactor.advance(6.0)  # in one step, as when the process was suspended: timers run before reads
    harness.send(client, probe(1))
    harness.assert_trace("client 0 < 1 probe: good True")
    for _ in range(60):  # 6 s without a call, longer than the idle timeout of 4.5 s
        harness.advance(0.1)
    assert client.transport.disconnecting or client not in harness.front.listener.clients
