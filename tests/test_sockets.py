"""The whole front in memory: what it says to clients and caches, trap by trap, as short traces."""

import errno

import pytest
from fronts import (
    KEY,
    TARGETS,
    FrontHarness,
    configuration,
    give_up,
    listing,
    message,
    probe,
    process,
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

ORDER = "queue=order,path=7f3a9c21e0b4d655,blk=0,budget=6000,uniq=5c0f6e1a2b3d4c59,mode=j"
DO = "queue=photo,path=7f3a9c21e0b4d655,blk=0"


def test_answers_in_any_order_and_the_held_copy():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, got="ab12"), probe(3))
    harness.complete_connects()
    harness.answer("e2", 2, "KEEP")
    harness.answer("e2", 1, "DONE", "ver=x,born=17,use=util:0.5", b"photo")
    harness.assert_trace(f"""
        client 0 < 3 probe: good True
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e2/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j,seen=ab12 0
        client 0 < 2 process: '' {{'ok304': '1'}}
        client 0 < 1 process: 'photo'
    """)
    assert not harness.dispatcher.requests


def test_a_miss_is_filled_and_a_write_goes_to_the_origin_with_its_mark():
    harness = FrontHarness()
    order = {"class": "order", "once": "5c0f6e1a2b3d4c59"}
    harness.send(harness.connect_client(), process(1), process(2, b"two prints", **order))
    harness.complete_connects()
    harness.answer("e2", 1, "LACK")
    harness.complete_connects()
    harness.answer("e2", 1, "WAIT", number=1)
    harness.complete_connects()
    harness.answer("o1", 2, "BROKE")
    harness.complete_connects()
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        o1/0 < do 0000000000000002 {ORDER} 10
        o1/0 < two prints
        e2/1 < do 0000000000000001 {DO},budget=6000,from=p1,rank=1,mode=j+h 0
        e2/2 < do 0000000000000001 {DO},budget=6000,from=o1,mode=j 0
        o1/1 < do 0000000000000002 {ORDER} 10
        o1/1 < two prints
    """)


def test_a_doubled_answer_is_not_taken_for_that_of_the_next_pull():
    """Else the second LACK would end the fill, and another would go out beside it."""
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


def test_a_pull_that_waits_for_its_connection_does_not_outlive_a_drain():
    """The drain counts from the first byte sent: the pull is told to have never run, and another goes out."""
    for change in (listing(2, target("e2", port=2, state="draining")), listing(2, *TARGETS[:1], whole=True)):
        harness = FrontHarness()
        harness.send(harness.connect_client(), process(1))
        harness.deliver_event(change)
        harness.complete_connects()
        harness.assert_trace(f"e1/0 < do 0000000000000001 {DO},budget=6000,mode=j 0")


def test_a_pull_that_waits_for_its_connection_does_not_outlive_a_purge():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.advance(0.3)
    harness.deliver_event({"offset": 2, "ban": {"tag": 3, "ts": (harness.unix() - 0.1) * 1000}})
    harness.complete_connects()
    harness.assert_trace(f"e2/0 < do 0000000000000001 {DO},budget=5700,oldest=99,mode=j 0")


def test_a_repeat_that_must_not_run_twice_is_decided_anew_after_a_wait():
    """The mark is remembered for three seconds: a dial that takes 0.3 s must not carry a repeat past them."""
    for left, sent in (("-0.2", 1), ("-0.5", 2)):
        harness = FrontHarness()
        harness.send(harness.connect_client(), process(1, once="ab", wait="9000", **{"class": "order"}))
        harness.complete_connects()
        harness.advance(0.1)
        harness.answer("o1", 99, "FIT")  # the connection lives
        harness.advance(2.9 + float(left))
        harness.caches["o1", 0].transport.loseConnection()  # it may have run
        harness.advance()
        harness.advance(0.3)
        harness.complete_connects()
        harness.advance()
        assert sum("o1" in line for line in harness.trace) == sent, harness.trace


def test_what_waited_for_a_cold_cache_is_decided_anew_and_does_not_come_in_one_burst():
    for boot, results in ((0, []), (1, [AttemptResult.SUPERSEDED])):
        harness, told = FrontHarness(), []
        harness.advance(2.0)  # a front that has itself just started takes less
        harness.deliver_event(listing(2, target("e2", port=2, boot=boot * harness.unix() * 1000)))
        post, queue = harness.dispatcher.queue.post, harness.dispatcher.queue
        queue.post = lambda event, told=told, post=post: (told.append(event), post(event))
        harness.send(harness.connect_client(), process(1))
        harness.advance(0.3)
        harness.complete_connects()
        assert [event.result for event in told if isinstance(event, AttemptEnded)] == results
        assert len(harness.trace) == 1 and "budget=5700" in harness.trace[0]


def test_refused_and_silent_dials_prove_that_nothing_ran():
    ended = []
    for fail in (FrontHarness.fail_connects, lambda harness: harness.advance(0.41)):
        harness = FrontHarness()
        note, post = ended.append, harness.dispatcher.queue.post
        harness.dispatcher.queue.post = lambda event, note=note, post=post: (note(event), post(event))
        harness.send(harness.connect_client(), process(1, once="ab", **{"class": "order"}))
        fail(harness)
        assert [event.result for event in ended if isinstance(event, AttemptEnded)] == [
            AttemptResult.UNREACHABLE
        ]
        ended.clear()


def test_a_connection_that_breaks_may_have_run_its_pulls():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.caches["e2", 0].transport.loseConnection()
    harness.advance()
    harness.complete_connects()
    harness.answer("e1", 1, "DONE", "-", b"photo")
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e1/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)


def test_a_connection_that_broke_under_a_pull_is_dialled_at_once_and_told_when_it_comes_up():
    """Whether its cache can be reached again tells a broken connection from a restart."""
    harness, told = FrontHarness(), []
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    link = harness.caches["e2", 0]
    link.transport.loseConnection()
    assert [name for name, _ in harness.pending_connects()] == ["e2"]
    harness.complete_connects()
    reached = [
        harness.dispatcher.names.uids[event.cache] for event in told if isinstance(event, ConnectionOpened)
    ]
    assert reached == ["e2", "e2"]


def test_a_dial_that_is_accepted_and_reset_is_made_again_and_says_nothing_against_its_cache():
    harness, told = FrontHarness(), []
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    harness.send(harness.connect_client(), process(1))
    shown = []
    for _ in range(6):
        ((uid, dial),) = harness.pending_connects()
        dial.clientConnectionFailed(None, Failure(ConnectError(errno.ECONNRESET, "reset")))
        harness.advance()
        shown.append(f"{uid} {[event.result.name for event in told if isinstance(event, AttemptEnded)]}")
    assert shown == ["e2 []"] * 4 + ["e2 ['UNREACHABLE']", "e1 ['UNREACHABLE']"]


def test_given_up_pulls_leave_no_trace_and_a_silent_connection_is_used_no_more():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.send(client, give_up(1), process(2))
    harness.complete_connects()
    harness.answer("e2", 2, "DONE", "-", b"photo", number=1)
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e2/0 < undo 0000000000000001
        e2/1 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0
        client 0 < 2 process: 'photo'
    """)
    assert harness.caches["e2", 0].transport.disconnecting and not harness.dispatcher.requests


def test_an_undo_has_left_before_the_pull_that_takes_its_place_goes_out():
    """Over two connections the reactor may write the pull first: for the cache, both would be out."""
    harness, seen = FrontHarness(), []
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    link, end = harness.caches["e2", 0], harness.dispatcher.attempts.end
    harness.dispatcher.attempts.end = lambda *told: (seen.append(link.transport.left), end(*told))
    while not seen:
        harness.advance(0.3)
    assert seen == [len(b"undo 0000000000000001\r\n")]


def test_a_late_answer_is_not_taken_for_the_pull_that_came_after():
    harness = FrontHarness()
    client, other = harness.connect_client(), harness.connect_client()
    harness.send(client, process(7))
    harness.send(other, process(8))
    harness.complete_connects()
    harness.advance(0.01)
    harness.answer("e2", 8, "DONE", "-", b"eight")  # heard of since: the connection stays in use
    harness.send(client, give_up(7))
    harness.send(other, process(9, id="0000000000000007"))
    harness.complete_connects()
    harness.answer("e2", 7, "DONE", "-", b"of the first")
    harness.answer("e2", 7, "DONE", "-", b"of the second", number=1)
    harness.assert_trace(f"""
        e2/0 < do 0000000000000007 {DO},budget=6000,mode=j 0
        e2/0 < do 0000000000000008 {DO},budget=6000,rank=2,mode=j 0
        client 1 < 8 process: 'eight'
        e2/0 < undo 0000000000000007
        e2/1 < do 0000000000000007 {DO},budget=6000,rank=2,mode=j 0
        client 1 < 9 process: 'of the second'
    """)


def test_one_answer_before_the_expiry_and_none_after():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, wait="800"))
    harness.complete_connects()
    harness.advance(0.796)
    harness.answer("e2", 1, "DONE", "-", b"late")
    harness.advance(1)
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {DO},budget=800,mode=j 0
        client 0 < 1 throttled {{'after': '500'}}
        e2/0 < undo 0000000000000001
    """)
    assert not harness.dispatcher.requests


def test_after_a_standstill_past_an_expiry_the_decisions_still_have_the_last_word():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1, wait="800"))
    harness.complete_connects()
    harness.advance(0.9)
    assert "client 0 < 1 throttled {'after': '500'}" in harness.trace and not harness.dispatcher.requests


def test_a_purge_of_this_moment_is_no_leave_for_any_age():
    harness = FrontHarness()
    harness.deliver_event({"offset": 2, "ban": {"url": KEY, "ts": harness.unix() * 1000}})
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.assert_trace(f"e2/0 < do 0000000000000001 {DO},budget=6000,oldest=1,mode=j 0")


def test_what_is_given_up_before_it_went_out_never_ran():
    harness, told = FrontHarness(), []
    client = harness.connect_client()
    harness.send(client, process(1))
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    harness.send(client, give_up(1))
    harness.complete_connects()
    assert [event.result for event in told if isinstance(event, AttemptEnded)] == [AttemptResult.SUPERSEDED]
    harness.assert_trace("")


def test_a_pull_decided_for_a_client_that_has_just_left_is_told_to_have_never_run():
    harness, told = FrontHarness(), []
    post, harness.dispatcher.queue.post = (
        harness.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    client = harness.connect_client()
    harness.send(client, process(1))
    handle = harness.dispatcher.router.handle

    def leaves_meanwhile(now, events):
        harness.dispatcher.router.handle = handle
        actions = handle(now, events)
        client.dataReceived(give_up(2))
        return actions

    harness.dispatcher.router.handle = leaves_meanwhile
    harness.send(client, give_up(1), process(2))
    results = [event.result for event in told if isinstance(event, AttemptEnded)]
    assert results == [AttemptResult.SUPERSEDED, AttemptResult.SUPERSEDED]
    assert not harness.dispatcher.requests and not harness.dispatcher.router.requests


def test_the_decisions_are_told_when_turns_come_late_and_not_after_a_pause():
    harness, told = FrontHarness(), []
    handle = harness.dispatcher.router.handle

    def spy(now, events):
        for event in events:
            told.append(
                f"late {event.lag:.2f}" if isinstance(event, LoopLagMeasured) else type(event).__name__
            )
            yield from ()
        handle(now, [])

    harness.dispatcher.router.handle = lambda now, events: list(spy(now, events))
    client = harness.connect_client()
    for number, wait in ((1, 0.0), (2, 0.05), (3, 0.3)):
        harness.advance(1.0)
        client.dataReceived(process(number))
        harness.reactor.advance(wait)  # other sockets have their turn first
        harness.advance()
    assert told == ["RequestReceived", "late 0.05", "RequestReceived", "late 0.30", "RequestReceived"]


def test_more_than_the_site_allows_open_is_throttled():
    harness = FrontHarness(open_cap=2)
    harness.send(harness.connect_client(), process(1), process(2), process(3))
    harness.assert_trace("client 0 < 3 throttled {'after': '1000'}")


def test_calls_that_no_download_can_be():
    """Each is turned back, and nothing of it reaches the decisions; a fourth ends the connection."""
    harness = FrontHarness()
    order = {"class": "order"}
    wrong = [
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
    for at in range(0, len(wrong), 3):
        client = harness.connect_client()
        harness.send(client, *wrong[at : at + 3])
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
    harness.send(client, process(20, key=None), process(21))
    assert client.transport.disconnecting and len(harness.trace) == 1


CAST_OUT = {
    "a length of two gigabytes": (b"\x7f\xff\xff\xff",),
    "a message that is none": (b"\x00\x00\x00\x05abcde",),
    "one number twice": (process(1),),
    "one id twice": (process(2, id=f"{1:016x}", key="7f3a9c21e0b4d656"),),
    "hundreds at once": tuple(process(n, key=f"{n:016x}") for n in range(2, 300)),
    "hundreds withdrawn": tuple(part for n in range(2, 300) for part in (process(n), give_up(n))),
    "again when turned back": tuple(process(n, key=None) for n in range(2, 1000)),
}


@pytest.mark.parametrize("violations", CAST_OUT.values(), ids=CAST_OUT)
def test_what_no_client_of_ours_does_ends_its_connection_and_is_never_fulfilled(violations):
    harness = FrontHarness()
    client, usual = harness.connect_client(), harness.connect_client()
    harness.send(usual, process(7, id="00000000000000aa"))
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


def test_a_usual_client_whose_withdrawals_are_read_with_their_calls_is_not_cast_out():
    """When this front is late, a call and its withdrawal come in one read."""
    harness = FrontHarness()
    client = harness.connect_client()
    for first in range(1, 200, 20):
        left = [part for n in range(first, first + 19) for part in (process(n), give_up(n))]
        harness.send(client, *left, process(first + 19))
        harness.send(client, give_up(first + 19))
    assert not client.transport.disconnecting and not client.open_requests


def test_the_id_of_a_download_that_is_open_for_another_client():
    harness = FrontHarness()
    usual, other = harness.connect_client(), harness.connect_client()
    harness.send(usual, process(1))
    harness.send(other, process(9, id=f"{1:016x}", key="7f3a9c21e0b4d656"))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    harness.assert_trace(f"""
        client 1 < 9 exception 7: the id of an open download
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)


def test_clients_that_say_nothing_stop_in_the_middle_or_stay_for_good():
    harness = FrontHarness()
    silent, half, kept, busy = (harness.connect_client() for _ in range(4))
    harness.send(half, process(1)[:50])
    harness.send(kept, probe(1))
    harness.send(busy, process(2))
    gone = []
    for quarter in range(1, 20):
        harness.advance(0.25)
        gone.append([quarter / 4, *(c.transport.disconnecting for c in (silent, half, kept, busy))])
    assert [next((line[0] for line in gone if line[at]), None) for at in (1, 2, 3, 4)] == [
        2.25,
        2.25,
        4.75,
        None,
    ]


@pytest.mark.parametrize("count", [1, 32])
def test_a_client_that_closes_has_gone_and_nothing_more_is_begun_for_it(count):
    """What waits for a connection is taken back, what is out is called off."""
    for up in (False, True):
        harness = FrontHarness()
        client = harness.connect_client()
        harness.send(client, *(process(n, once=f"a{n}", **{"class": "order"}) for n in range(1, count + 1)))
        harness.send(client, process(41)[:9])
        while up and harness.pending_connects():
            harness.complete_connects()
        harness.trace.clear()
        client.transport.loseConnection()
        harness.advance()
        while harness.pending_connects():
            harness.complete_connects()
        assert sorted(harness.trace) == [f"o1/0 < undo {n:016x}" for n in range(1, count + 1) if up]
        assert not (
            harness.dispatcher.requests
            or harness.dispatcher.requests.by_client_id
            or harness.dispatcher.router.requests
        )


def test_a_slow_reader_is_heard_no_further_and_loses_nothing():
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
    harness.send(client, process(6))
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


def test_caches_are_read_no_further_while_too_much_waits_for_slow_readers():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.front.gateway.buffered_changed(harness.front.site.max_unsent_bytes + 1)
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.caches["e2", 0].transport.producerState == "paused" and list(client.open_requests) == [1]
    harness.front.gateway.buffered_changed(-harness.front.site.max_unsent_bytes)
    harness.advance()
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


def test_no_more_than_so_many_streams_on_a_connection_and_more_on_another():
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


def test_nothing_is_kept_of_caches_clients_and_downloads_that_are_gone():
    """Names are ever new, on addresses used again: what is kept by one of them must end with it."""

    def kept(harness):
        dispatcher = harness.dispatcher
        router, timers = dispatcher.router, harness.front.timers
        endpoints = dispatcher.endpoints
        by_cache = (dispatcher.names.uids, dispatcher.names.numbers, endpoints.listed)
        by_cache += (endpoints.started, dispatcher.pool.endpoints)
        ready = {cache.id for caches in router.context.ready.values() for cache in caches}
        by_cache += (router.caches, ready - router.caches.keys())
        requests = dispatcher.requests
        by_request = (requests.by_id, requests.by_client_id, router.requests, harness.front.listener.clients)
        return [len(held) for held in by_cache], [len(held) for held in by_request], len(timers.heap) < 200

    harness = FrontHarness()
    before = kept(harness)
    last = "e2"
    for n in range(2, 202):
        new = f"e{n + 1}"
        boot = harness.unix() * 1000
        if n % 2:
            harness.deliver_event(
                listing(n, target(last, port=2, state="removed"), target(new, port=2, boot=boot))
            )
        else:
            harness.deliver_event(
                listing(n, *TARGETS[:1], target(new, port=2, boot=boot), *TARGETS[2:], whole=True)
            )
        last, client = new, harness.connect_client()
        harness.send(client, process(n, key=f"{n:016x}"))
        harness.complete_connects()
        uid, link = next((key, c) for key, c in harness.caches.items() if f"{n:016x}" in c.in_flight)
        harness.answer(uid[0], n, "DONE", "-", b"ok", number=uid[1])
        client.transport.loseConnection()
        harness.advance(0.05)
    harness.deliver_event(listing(202, *TARGETS, whole=True))
    held = kept(harness)
    assert held == before and held[0][0] == 4, (before, held)


def test_a_new_cache_on_an_old_address_and_one_that_started_anew():
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
    old = harness.caches["e9", 0]
    harness.deliver_event(listing(3, target("e9", port=2, boot=(harness.unix() - 2) * 1000)))
    assert not old.transport.disconnecting  # made after that start: it leads to the new process
    harness.deliver_event(listing(4, target("e9", port=2, boot=harness.unix() * 1000)))
    assert old.transport.disconnecting
    assert harness.trace[:3] == [
        f"e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0",
        f"e9/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0",
        "client 0 < 1 process: 'finished'",
    ]


def test_garbage_from_a_cache_ends_its_connection_and_an_unknown_answer_nothing():
    harness = FrontHarness()
    anomalies.clear()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.answer("e2", 99, "DONE", "-", b"whose")
    assert not harness.caches["e2", 0].is_lost
    harness.caches["e2", 0].dataReceived(b"0000000000000001 DONE - 999999\r\n")
    harness.advance()
    harness.complete_connects()
    assert harness.trace[-1] == f"e2/1 < do 0000000000000001 {DO},budget=6000,mode=j 0"
    assert anomalies == {"unmatched cache answers": 1, "malformed answers from caches": 1}


def test_a_pull_on_a_dropped_connection_has_ended_when_its_socket_is_closed_and_not_before():
    """Told sooner, it may go out again while its cache still holds this one."""
    harness, told = FrontHarness(), []
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    link, end = harness.caches["e2", 0], harness.dispatcher.attempts.end
    harness.dispatcher.attempts.end = lambda *ended: (told.append(link.transport.disconnecting), end(*ended))
    abort, link.transport.abortConnection = link.transport.abortConnection, lambda: None
    link.dataReceived(b"no answer\r\n")
    harness.advance()
    assert told == [] and not link.can_send("x")
    abort()
    assert told == [True]


def test_an_answer_that_stops_in_the_middle_ends_its_connection_with_all_that_is_out_on_it():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1), process(2))
    harness.complete_connects()
    harness.caches["e2", 0].dataReceived(b"0000000000000001 DONE - 9\r\n")
    harness.advance(0.15)
    harness.caches["e2", 0].dataReceived(b"half")
    harness.advance(0.25)
    assert not harness.caches["e2", 0].is_lost
    harness.advance(0.1)
    harness.complete_connects()
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e2/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0
        e2/1 < do 0000000000000001 {DO},budget=5500,mode=j 0
        e2/1 < do 0000000000000002 {DO},budget=5500,rank=2,mode=j 0
    """)


def test_a_connection_about_to_be_closed_as_idle_is_not_used():
    harness = FrontHarness(conn_idle_us=2_000_000)
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"one")
    harness.advance(1.7)
    harness.send(client, process(2))
    assert harness.caches["e2", 0].transport.disconnecting
    harness.complete_connects()
    assert harness.trace[-1].startswith("e2/1 < do 0000000000000002")


def test_a_fault_in_one_download_abandons_that_one():
    harness = FrontHarness()
    router = harness.dispatcher.router
    inner = router.prefilter.handle
    router.prefilter.handle = lambda request: 1 / 0 if request.received.part == 7 else inner(request)
    harness.send(harness.connect_client(), process(1, nth="7"), process(2))
    harness.complete_connects()
    harness.answer("e2", 2, "DONE", "-", b"photo")
    harness.assert_trace(f"""
        client 0 < 1 abandoned
        e2/0 < do 0000000000000002 {DO},budget=6000,mode=j 0
        client 0 < 2 process: 'photo'
    """)
    assert harness.counts["internal errors"] == 1 and not harness.dispatcher.requests


def test_a_fault_at_the_door_leaves_the_connection_that_others_share(monkeypatch):
    harness = FrontHarness()
    ended = request_codec.attempt_ended
    monkeypatch.setattr(
        request_codec, "attempt_ended", lambda name, *rest: 1 / 0 if name == "1" else ended(name, *rest)
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


def test_probes_of_caches():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    dispatcher, told = harness.dispatcher, []
    dispatcher.queue.post = told.append
    cache = dispatcher.names.number("e2")
    dispatcher.perform(SendHealthCheck(cache))
    dispatcher.perform(SendHealthCheck(dispatcher.names.number("e1")))
    harness.advance()
    harness.caches["e2", 0].dataReceived(b"p1 FIT use=util:0.61;inflight:7 0\r\n\r\n")
    assert harness.trace[-1] == "e2/0 < top p1"
    assert [(note.result.name, note.load) for note in told] == [
        ("UNREACHABLE", None),
        ("SERVED", {"util": 0.61, "inflight": 7.0}),
    ]


def test_told_to_stop_it_goes_on_taking_and_ends_when_all_is_answered():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1))
    harness.complete_connects()
    harness.front.terminate()
    harness.send(harness.connect_client(), probe(1), process(2))
    harness.answer("e2", 2, "DONE", "-", b"taken after")
    harness.advance(0.75)
    assert not harness.reactor.hasStopped
    harness.answer("e2", 1, "DONE", "-", b"taken before")
    for _ in range(6):
        harness.advance(0.03)
    assert harness.reactor.hasStopped
    harness.assert_trace(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        client 1 < 1 probe: good False
        e2/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0
        client 1 < 2 process: 'taken after'
        client 0 < 1 process: 'taken before'
    """)


def test_told_to_stop_among_silent_clients_it_closes_none_on_which_a_request_may_be_on_its_way():
    harness = FrontHarness()
    usual, silent = harness.connect_client(), [harness.connect_client()]
    harness.send(usual, process(1))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.68)
    harness.answer("e2", 1, "DONE", "-", b"one")
    for _ in range(3):
        silent.append(harness.connect_client())
        harness.advance(0.025)
    assert not usual.transport.disconnecting and harness.front.listener.port is None
    harness.send(usual, process(2))
    harness.answer("e2", 2, "DONE", "-", b"two")
    harness.advance(0.02)
    assert not harness.reactor.hasStopped
    for _ in range(6):
        harness.advance(0.03)
    assert harness.reactor.hasStopped and all(client.transport.disconnecting for client in (usual, *silent))
    assert [line for line in harness.trace if "client" in line] == [
        "client 0 < 1 process: 'one'",
        "client 0 < 2 process: 'two'",
    ]


def test_told_to_stop_it_answers_what_is_still_open_before_it_can_be_killed():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.send(client, process(1), process(2, once="ab", **{"class": "order", "wait": "9000"}))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.1)
    harness.answer("e2", 99, "FIT")
    harness.answer("o1", 99, "FIT")
    harness.advance(3.29)
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


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def bus(harness, port=9092):
    """The newest connection to a bus, brought up, and what was asked on it."""
    factory = [made[2] for made in harness.reactor.tcpClients if made[1] == port][-1]
    connection, transport = factory.buildProtocol(None), FrontHarness.transport()
    connection.makeConnection(transport)
    transport.protocol = connection
    asked = dict(line.split(": ") for line in transport.value().decode().splitlines()[1:] if line)
    return connection, asked["Last-Event-Id"]


def told(raw):
    return f"id: {raw['offset']}\ndata: {raw}\n\n".replace("'", '"').replace("False", "false").encode()


def uids(harness):
    return " ".join(sorted(harness.dispatcher.names.uids[n] for n in harness.dispatcher.pool.endpoints))


def test_the_bus_is_read_on_after_each_loss():
    harness = FrontHarness()
    first, asked = bus(harness)
    seen = [asked]
    first.dataReceived(HEAD + told(listing(2, target("e7", port=7))) + b"id: 3\ndata: no event\n\n: hm\n\n")
    first.transport.loseConnection()
    harness.advance(0.06)
    second, asked = bus(harness)
    seen.append(asked)
    second.dataReceived(
        HEAD + told(listing(3, target("e8", port=8))) + told(listing(4, target("e9", port=9)))
    )
    harness.advance(1.9)  # not even a comment: the bus is silent
    harness.advance(1.0)
    third, asked = bus(harness)
    seen.append(asked)
    third.dataReceived(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    harness.advance(1.1)
    seen.append(bus(harness)[1])
    assert seen == ["1", "3", "4", "4"] and uids(harness) == "e1 e2 e7 e9 o1 p1"


def test_told_to_read_its_configuration_anew_it_goes_to_the_new_bus_at_once():
    """SIGHUP, several in a row, one while stopping: numbers go on, and the old bus is heard no more."""
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    old, asked = bus(harness)
    seen = [asked]
    old.dataReceived(HEAD + told(listing(2, target("e7", port=7))))
    reading = harness.front.bus.attempt
    for port in (9093, 9094, 9094):
        harness.front.read_new_site = lambda port=port: read_site(configuration(bus=f"127.0.0.1:{port}"))
        harness.front.reload()
    reading.dataReceived(told(listing(3, target("e8", port=8))))
    new, asked = bus(harness, 9094)
    seen.append(asked)
    harness.front.terminate()
    for wrong in ("{", configuration(bus="nowhere"), configuration().replace('"lanes"', '"lanez"')):
        harness.front.read_new_site = lambda wrong=wrong: read_site(wrong)
        harness.front.reload()
    new.dataReceived(HEAD + told(listing(3, target("e9", port=9))))
    harness.front.read_new_site = lambda: read_site(configuration(bus="127.0.0.1:9095"))
    harness.front.reload()
    seen.append(bus(harness, 9095)[1])
    harness.advance(1.0)
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert seen == ["1", "2", "3"] and uids(harness) == "e1 e2 e7 e9 o1 p1"
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


def test_at_the_bound_of_descriptors_idle_clients_make_room_and_no_more_are_accepted():
    harness = FrontHarness()
    listener, port = harness.front.listener, []
    listener.max_connections = 3

    class Port:
        def pauseProducing(self):
            port.append("rest")

        def resumeProducing(self):
            port.append("accept")

    listener.port = Port()
    busy, idle = harness.connect_client(), harness.connect_client()
    harness.send(busy, process(1))
    harness.advance(0.6)
    late = harness.connect_client()
    assert idle.transport.disconnecting and not busy.transport.disconnecting
    harness.send(late, process(2))
    harness.send(harness.connect_client(), process(3))
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    busy.transport.loseConnection()
    assert port == ["rest", "accept"] and len(listener.clients) == 2


def test_at_the_bound_those_go_first_that_said_nothing_or_asked_once_and_those_just_connected_last():
    harness = FrontHarness()
    listener, shown = harness.front.listener, []
    listener.port = None
    once, usual, silent = harness.connect_client(), harness.connect_client(), harness.connect_client()
    harness.send(once, probe(1))
    harness.send(usual, probe(1), probe(2))
    harness.advance(0.6)
    fresh = harness.connect_client()
    for most in (4, 3, 2, 1):
        listener.max_connections = most
        listener.evict_idle()
        shown.append("".join(str(int(c.transport.disconnecting)) for c in (once, usual, silent, fresh)))
    assert shown == ["0010", "1010", "1110", "1111"]


def starting():
    """A front that has started and not yet opened its port."""
    reactor = MemoryReactorClock()
    door = Front(reactor, read_site(configuration()))
    door.listener.set_keepalive = lambda: None
    door.clock.now = lambda: reactor.seconds() + 1.0
    door.start()
    return reactor, door


def test_a_start_takes_no_download_before_the_bus_told_what_came_while_it_loaded():
    reactor, door = starting()
    assert not reactor.tcpServers and not door.gateway.is_serving()
    door.bus.on_connected()
    reactor.advance(0.01)
    assert not reactor.tcpServers
    told = parse_event({"offset": 9, "ban": {"url": KEY, "ts": 1}})
    door.dispatcher.endpoints.handle(told, Receipt(door.clock.now()))
    reactor.advance(0.02)
    assert len(reactor.tcpServers) == 1 and door.gateway.is_serving()
    assert KEY in door.dispatcher.router.admission.purges.purge_times


def test_a_start_without_its_bus_waits_for_a_bounded_time_only():
    reactor, door = starting()
    reactor.advance(0.29)
    assert not reactor.tcpServers
    reactor.advance(0.02)
    assert len(reactor.tcpServers) == 1
    reactor.advance(1.0)
    assert len(reactor.tcpServers) == 1, "opened once"


def test_an_answer_of_the_bus_is_told_before_what_it_holds():
    """What opens the port of a starting front."""
    heard = []

    class Response:
        code = 200

        def deliverBody(self, reading):
            heard.append("body")

    reactor = MemoryReactorClock()
    timers = Timers(reactor, Clock())
    reader = BusReader(reactor, timers, "127.0.0.1:9092", 0, heard.append, lambda: heard.append("answered"))
    reader.start()
    reader.attempt.pending_request.cancel = lambda: None
    reader.attempt.response_received(Response())
    assert heard == ["answered", "body"]
    Response.code = 503
    reader.start()
    reader.attempt.pending_request.cancel = lambda: None
    reader.attempt.transport = None
    reader.attempt.response_received(Response())
    assert heard.count("answered") == 1, "one that refuses has told nothing"


def test_a_client_whose_call_lay_unread_while_the_front_stood_still_is_not_closed_as_idle():
    harness = FrontHarness()
    client = harness.connect_client()
    harness.advance(0.2)
    harness.reactor.advance(6.0)  # one jump: the process was stopped, timers come first
    harness.send(client, probe(1))
    harness.assert_trace("client 0 < 1 probe: good True")
    for _ in range(60):
        harness.advance(0.1)
    assert client.transport.disconnecting or client not in harness.front.listener.clients
