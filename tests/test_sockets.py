"""The whole front in memory: what it says to clients and caches, trap by trap, as short traces."""

import errno

import pytest
from fronts import KEY, TARGETS, Stage, configuration, give_up, listing, message, probe, process, target
from twisted.internet.error import ConnectError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from weldbend.event_bus.events import parse_event as bus_event
from weldbend.event_bus.reader import BusReader
from weldbend.event_bus.remote_timestamps import Receipt
from weldbend.front import request_codec
from weldbend.front.clock import Clock
from weldbend.front.configuration import read_site
from weldbend.front.server import Front as Door
from weldbend.front.timers import Timers
from weldbend.invariants import anomalies
from weldbend.routing.actions import SendAttempt, SendHealthCheck
from weldbend.routing.events import AttemptEnded, AttemptResult, ConnectionOpened, LoopLagMeasured
from weldbend.thrift import binary

ORDER = "queue=order,path=7f3a9c21e0b4d655,blk=0,budget=6000,uniq=5c0f6e1a2b3d4c59,mode=j"
DO = "queue=photo,path=7f3a9c21e0b4d655,blk=0"


def test_answers_in_any_order_and_the_held_copy():
    stage = Stage()
    client = stage.client()
    stage.say(client, process(1), process(2, got="ab12"), probe(3))
    stage.connect()
    stage.answer("e2", 2, "KEEP")
    stage.answer("e2", 1, "DONE", "ver=x,born=17,use=util:0.5", b"photo")
    stage.shows(f"""
        client 0 < 3 probe: good True
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e2/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j,seen=ab12 0
        client 0 < 2 process: '' {{'ok304': '1'}}
        client 0 < 1 process: 'photo'
    """)
    assert not stage.dispatcher.requests


def test_a_miss_is_filled_and_a_write_goes_to_the_origin_with_its_mark():
    stage = Stage()
    order = {"class": "order", "once": "5c0f6e1a2b3d4c59"}
    stage.say(stage.client(), process(1), process(2, b"two prints", **order))
    stage.connect()
    stage.answer("e2", 1, "LACK")
    stage.connect()
    stage.answer("e2", 1, "WAIT", number=1)
    stage.connect()
    stage.answer("o1", 2, "BROKE")
    stage.connect()
    stage.shows(f"""
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
    stage = Stage()
    stage.say(stage.client(), process(1))
    stage.connect()
    stage.answer("e2", 1, "LACK")
    stage.connect()
    stage.trace.clear()
    stage.answer("e2", 1, "LACK")
    stage.connect()
    assert not stage.trace
    stage.answer("e2", 1, "DONE", "-", b"photo", number=1)
    stage.shows("client 0 < 1 process: 'photo'")


def test_a_pull_that_waits_for_its_connection_does_not_outlive_a_drain():
    """The drain counts from the first byte sent: the pull is told to have never run, and another goes out."""
    for change in (listing(2, target("e2", port=2, state="draining")), listing(2, *TARGETS[:1], whole=True)):
        stage = Stage()
        stage.say(stage.client(), process(1))
        stage.bus(change)
        stage.connect()
        stage.shows(f"e1/0 < do 0000000000000001 {DO},budget=6000,mode=j 0")


def test_a_pull_that_waits_for_its_connection_does_not_outlive_a_purge():
    stage = Stage()
    stage.say(stage.client(), process(1))
    stage.turn(0.3)
    stage.bus({"offset": 2, "ban": {"tag": 3, "ts": (stage.unix() - 0.1) * 1000}})
    stage.connect()
    stage.shows(f"e2/0 < do 0000000000000001 {DO},budget=5700,oldest=99,mode=j 0")


def test_a_repeat_that_must_not_run_twice_is_decided_anew_after_a_wait():
    """The mark is remembered for three seconds: a dial that takes 0.3 s must not carry a repeat past them."""
    for left, sent in (("-0.2", 1), ("-0.5", 2)):
        stage = Stage()
        stage.say(stage.client(), process(1, once="ab", wait="9000", **{"class": "order"}))
        stage.connect()
        stage.turn(0.1)
        stage.answer("o1", 99, "FIT")  # the connection lives
        stage.turn(2.9 + float(left))
        stage.caches["o1", 0].transport.loseConnection()  # it may have run
        stage.turn()
        stage.turn(0.3)
        stage.connect()
        stage.turn()
        assert sum("o1" in line for line in stage.trace) == sent, stage.trace


def test_what_waited_for_a_cold_cache_is_decided_anew_and_does_not_come_in_one_burst():
    for boot, results in ((0, []), (1, [AttemptResult.SUPERSEDED])):
        stage, told = Stage(), []
        stage.turn(2.0)  # a front that has itself just started takes less
        stage.bus(listing(2, target("e2", port=2, boot=boot * stage.unix() * 1000)))
        post, queue = stage.dispatcher.queue.post, stage.dispatcher.queue
        queue.post = lambda event, told=told, post=post: (told.append(event), post(event))
        stage.say(stage.client(), process(1))
        stage.turn(0.3)
        stage.connect()
        assert [event.result for event in told if isinstance(event, AttemptEnded)] == results
        assert len(stage.trace) == 1 and "budget=5700" in stage.trace[0]


def test_refused_and_silent_dials_prove_that_nothing_ran():
    ended = []
    for fail in (Stage.refuse, lambda stage: stage.turn(0.41)):
        stage = Stage()
        note, post = ended.append, stage.dispatcher.queue.post
        stage.dispatcher.queue.post = lambda event, note=note, post=post: (note(event), post(event))
        stage.say(stage.client(), process(1, once="ab", **{"class": "order"}))
        fail(stage)
        assert [event.result for event in ended if isinstance(event, AttemptEnded)] == [
            AttemptResult.UNREACHABLE
        ]
        ended.clear()


def test_a_connection_that_breaks_may_have_run_its_pulls():
    stage = Stage()
    stage.say(stage.client(), process(1))
    stage.connect()
    stage.caches["e2", 0].transport.loseConnection()
    stage.turn()
    stage.connect()
    stage.answer("e1", 1, "DONE", "-", b"photo")
    stage.shows(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e1/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)


def test_a_connection_that_broke_under_a_pull_is_dialled_at_once_and_told_when_it_comes_up():
    """Whether its cache can be reached again tells a broken connection from a restart."""
    stage, told = Stage(), []
    post, stage.dispatcher.queue.post = (
        stage.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    stage.say(stage.client(), process(1))
    stage.connect()
    link = stage.caches["e2", 0]
    link.transport.loseConnection()
    assert [name for name, _ in stage.dials()] == ["e2"]
    stage.connect()
    reached = [
        stage.dispatcher.names.uids[event.cache] for event in told if isinstance(event, ConnectionOpened)
    ]
    assert reached == ["e2", "e2"]


def test_a_dial_that_is_accepted_and_reset_is_made_again_and_says_nothing_against_its_cache():
    stage, told = Stage(), []
    post, stage.dispatcher.queue.post = (
        stage.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    stage.say(stage.client(), process(1))
    shown = []
    for _ in range(6):
        ((uid, dial),) = stage.dials()
        dial.clientConnectionFailed(None, Failure(ConnectError(errno.ECONNRESET, "reset")))
        stage.turn()
        shown.append(f"{uid} {[event.result.name for event in told if isinstance(event, AttemptEnded)]}")
    assert shown == ["e2 []"] * 4 + ["e2 ['UNREACHABLE']", "e1 ['UNREACHABLE']"]


def test_given_up_pulls_leave_no_trace_and_a_silent_connection_is_used_no_more():
    stage = Stage()
    client = stage.client()
    stage.say(client, process(1))
    stage.connect()
    stage.say(client, give_up(1), process(2))
    stage.connect()
    stage.answer("e2", 2, "DONE", "-", b"photo", number=1)
    stage.shows(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e2/0 < undo 0000000000000001
        e2/1 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0
        client 0 < 2 process: 'photo'
    """)
    assert stage.caches["e2", 0].transport.disconnecting and not stage.dispatcher.requests


def test_an_undo_has_left_before_the_pull_that_takes_its_place_goes_out():
    """Over two connections the reactor may write the pull first: for the cache, both would be out."""
    stage, seen = Stage(), []
    stage.say(stage.client(), process(1))
    stage.connect()
    link, end = stage.caches["e2", 0], stage.dispatcher.attempts.end
    stage.dispatcher.attempts.end = lambda *told: (seen.append(link.transport.left), end(*told))
    while not seen:
        stage.turn(0.3)
    assert seen == [len(b"undo 0000000000000001\r\n")]


def test_a_late_answer_is_not_taken_for_the_pull_that_came_after():
    stage = Stage()
    client, other = stage.client(), stage.client()
    stage.say(client, process(7))
    stage.say(other, process(8))
    stage.connect()
    stage.turn(0.01)
    stage.answer("e2", 8, "DONE", "-", b"eight")  # heard of since: the connection stays in use
    stage.say(client, give_up(7))
    stage.say(other, process(9, id="0000000000000007"))
    stage.connect()
    stage.answer("e2", 7, "DONE", "-", b"of the first")
    stage.answer("e2", 7, "DONE", "-", b"of the second", number=1)
    stage.shows(f"""
        e2/0 < do 0000000000000007 {DO},budget=6000,mode=j 0
        e2/0 < do 0000000000000008 {DO},budget=6000,rank=2,mode=j 0
        client 1 < 8 process: 'eight'
        e2/0 < undo 0000000000000007
        e2/1 < do 0000000000000007 {DO},budget=6000,rank=2,mode=j 0
        client 1 < 9 process: 'of the second'
    """)


def test_one_answer_before_the_expiry_and_none_after():
    stage = Stage()
    stage.say(stage.client(), process(1, wait="800"))
    stage.connect()
    stage.turn(0.796)
    stage.answer("e2", 1, "DONE", "-", b"late")
    stage.turn(1)
    stage.shows(f"""
        e2/0 < do 0000000000000001 {DO},budget=800,mode=j 0
        client 0 < 1 throttled {{'after': '500'}}
        e2/0 < undo 0000000000000001
    """)
    assert not stage.dispatcher.requests


def test_after_a_standstill_past_an_expiry_the_decisions_still_have_the_last_word():
    stage = Stage()
    stage.say(stage.client(), process(1, wait="800"))
    stage.connect()
    stage.turn(0.9)
    assert "client 0 < 1 throttled {'after': '500'}" in stage.trace and not stage.dispatcher.requests


def test_a_purge_of_this_moment_is_no_leave_for_any_age():
    stage = Stage()
    stage.bus({"offset": 2, "ban": {"url": KEY, "ts": stage.unix() * 1000}})
    stage.say(stage.client(), process(1))
    stage.connect()
    stage.shows(f"e2/0 < do 0000000000000001 {DO},budget=6000,oldest=1,mode=j 0")


def test_what_is_given_up_before_it_went_out_never_ran():
    stage, told = Stage(), []
    client = stage.client()
    stage.say(client, process(1))
    post, stage.dispatcher.queue.post = (
        stage.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    stage.say(client, give_up(1))
    stage.connect()
    assert [event.result for event in told if isinstance(event, AttemptEnded)] == [AttemptResult.SUPERSEDED]
    stage.shows("")


def test_a_pull_decided_for_a_client_that_has_just_left_is_told_to_have_never_run():
    stage, told = Stage(), []
    post, stage.dispatcher.queue.post = (
        stage.dispatcher.queue.post,
        lambda event: (told.append(event), post(event)),
    )
    client = stage.client()
    stage.say(client, process(1))
    handle = stage.dispatcher.router.handle

    def leaves_meanwhile(now, events):
        stage.dispatcher.router.handle = handle
        actions = handle(now, events)
        client.dataReceived(give_up(2))
        return actions

    stage.dispatcher.router.handle = leaves_meanwhile
    stage.say(client, give_up(1), process(2))
    results = [event.result for event in told if isinstance(event, AttemptEnded)]
    assert results == [AttemptResult.SUPERSEDED, AttemptResult.SUPERSEDED]
    assert not stage.dispatcher.requests and not stage.dispatcher.router.requests


def test_the_decisions_are_told_when_turns_come_late_and_not_after_a_pause():
    stage, told = Stage(), []
    handle = stage.dispatcher.router.handle

    def spy(now, events):
        for event in events:
            told.append(
                f"late {event.lag:.2f}" if isinstance(event, LoopLagMeasured) else type(event).__name__
            )
            yield from ()
        handle(now, [])

    stage.dispatcher.router.handle = lambda now, events: list(spy(now, events))
    client = stage.client()
    for number, wait in ((1, 0.0), (2, 0.05), (3, 0.3)):
        stage.turn(1.0)
        client.dataReceived(process(number))
        stage.reactor.advance(wait)  # other sockets have their turn first
        stage.turn()
    assert told == ["RequestReceived", "late 0.05", "RequestReceived", "late 0.30", "RequestReceived"]


def test_more_than_the_site_allows_open_is_throttled():
    stage = Stage(open_cap=2)
    stage.say(stage.client(), process(1), process(2), process(3))
    stage.shows("client 0 < 3 throttled {'after': '1000'}")


def test_calls_that_no_download_can_be():
    """Each is turned back, and nothing of it reaches the decisions; a fourth ends the connection."""
    stage = Stage()
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
        client = stage.client()
        stage.say(client, *wrong[at : at + 3])
        assert not client.transport.disconnecting
    stage.shows("""
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
    assert not stage.dispatcher.requests and not stage.counts["requests"]
    stage.say(client, process(20, key=None), process(21))
    assert client.transport.disconnecting and len(stage.trace) == 1


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
    stage = Stage()
    client, usual = stage.client(), stage.client()
    stage.say(usual, process(7, id="00000000000000aa"))
    stage.say(client, process(1), *violations, process(3000))
    assert client.transport.disconnecting and not client.open_requests
    stage.connect()
    stage.answer("e2", 0xAA, "DONE", "-", b"photo")
    assert "client 0 < 1 abandoned" in stage.trace and "fulfilled" not in str(stage.trace)
    assert (
        sum("do " in line for line in stage.trace) == 1 and stage.trace[-1] == "client 1 < 7 process: 'photo'"
    )
    assert (
        not stage.dispatcher.requests
        and not stage.dispatcher.requests.by_client_id
        and not stage.dispatcher.router.requests
    )


def test_a_usual_client_whose_withdrawals_are_read_with_their_calls_is_not_cast_out():
    """When this front is late, a call and its withdrawal come in one read."""
    stage = Stage()
    client = stage.client()
    for first in range(1, 200, 20):
        left = [part for n in range(first, first + 19) for part in (process(n), give_up(n))]
        stage.say(client, *left, process(first + 19))
        stage.say(client, give_up(first + 19))
    assert not client.transport.disconnecting and not client.open_requests


def test_the_id_of_a_download_that_is_open_for_another_client():
    stage = Stage()
    usual, other = stage.client(), stage.client()
    stage.say(usual, process(1))
    stage.say(other, process(9, id=f"{1:016x}", key="7f3a9c21e0b4d656"))
    stage.connect()
    stage.answer("e2", 1, "DONE", "-", b"photo")
    stage.shows(f"""
        client 1 < 9 exception 7: the id of an open download
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        client 0 < 1 process: 'photo'
    """)


def test_clients_that_say_nothing_stop_in_the_middle_or_stay_for_good():
    stage = Stage()
    silent, half, kept, busy = (stage.client() for _ in range(4))
    stage.say(half, process(1)[:50])
    stage.say(kept, probe(1))
    stage.say(busy, process(2))
    gone = []
    for quarter in range(1, 20):
        stage.turn(0.25)
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
        stage = Stage()
        client = stage.client()
        stage.say(client, *(process(n, once=f"a{n}", **{"class": "order"}) for n in range(1, count + 1)))
        stage.say(client, process(41)[:9])
        while up and stage.dials():
            stage.connect()
        stage.trace.clear()
        client.transport.loseConnection()
        stage.turn()
        while stage.dials():
            stage.connect()
        assert sorted(stage.trace) == [f"o1/0 < undo {n:016x}" for n in range(1, count + 1) if up]
        assert not (
            stage.dispatcher.requests
            or stage.dispatcher.requests.by_client_id
            or stage.dispatcher.router.requests
        )


def test_a_slow_reader_is_heard_no_further_and_loses_nothing():
    stage = Stage()
    client = stage.client()
    stage.say(client, *(process(n, key=f"{n:016x}") for n in range(1, 6)))
    for _ in range(3):
        stage.connect()
    client.pauseProducing()
    for n in range(1, 6):
        uid = next(uid for (uid, _), c in stage.caches.items() if f"{n:016x}" in c.in_flight)
        stage.answer(uid, n, "DONE", "-", b"x" * 240_000)
    stage.trace.clear()
    stage.say(client, process(6))
    assert (
        stage.door.gateway.unsent_bytes > 5 * 240_000
        and not client.open_requests
        and len(client.writer.ring) <= client.writer.ring.capacity
    )
    stage.shows("")
    client.resumeProducing()
    stage.turn()
    assert [line for line in stage.trace if "client" in line] == [
        f"client 0 < {n} process: '240000 bytes'" for n in range(1, 6)
    ]
    assert list(client.open_requests) == [6] and stage.door.gateway.unsent_bytes == 0


def test_caches_are_read_no_further_while_too_much_waits_for_slow_readers():
    stage = Stage()
    client = stage.client()
    stage.say(client, process(1))
    stage.connect()
    stage.door.gateway.buffered_changed(stage.door.site.max_unsent_bytes + 1)
    stage.answer("e2", 1, "DONE", "-", b"photo")
    assert stage.caches["e2", 0].transport.producerState == "paused" and list(client.open_requests) == [1]
    stage.door.gateway.buffered_changed(-stage.door.site.max_unsent_bytes)
    stage.turn()
    assert stage.trace[-1] == "client 0 < 1 process: 'photo'"


def test_no_more_than_so_many_streams_on_a_connection_and_more_on_another():
    stage = Stage(max_streams=3)
    client = stage.client()
    stage.say(client, *(process(n, **{"class": "order", "once": f"a{n}"}) for n in range(1, 33)))
    assert len(client.open_requests) == 32
    stage.connect()
    assert {len(c.in_flight) for c in stage.caches.values()} <= {1, 2, 3}
    assert sum(len(c.in_flight) for c in stage.caches.values()) == 32
    stage.answer("o1", 1, "DONE", "-", b"ok")
    stage.say(client, process(33, **{"class": "order", "once": "a33"}))
    assert len(client.open_requests) == 32 and 33 in client.open_requests


def test_nothing_is_kept_of_caches_clients_and_downloads_that_are_gone():
    """Names are ever new, on addresses used again: what is kept by one of them must end with it."""

    def kept(stage):
        dispatcher = stage.dispatcher
        router, timers = dispatcher.router, stage.door.timers
        endpoints = dispatcher.endpoints
        by_cache = (dispatcher.names.uids, dispatcher.names.numbers, endpoints.listed)
        by_cache += (endpoints.started, dispatcher.pool.endpoints)
        ready = {cache.id for caches in router.context.ready.values() for cache in caches}
        by_cache += (router.caches, ready - router.caches.keys())
        requests = dispatcher.requests
        by_request = (requests.by_id, requests.by_client_id, router.requests, stage.door.listener.clients)
        return [len(held) for held in by_cache], [len(held) for held in by_request], len(timers.heap) < 200

    stage = Stage()
    before = kept(stage)
    last = "e2"
    for n in range(2, 202):
        new = f"e{n + 1}"
        boot = stage.unix() * 1000
        if n % 2:
            stage.bus(listing(n, target(last, port=2, state="removed"), target(new, port=2, boot=boot)))
        else:
            stage.bus(listing(n, *TARGETS[:1], target(new, port=2, boot=boot), *TARGETS[2:], whole=True))
        last, client = new, stage.client()
        stage.say(client, process(n, key=f"{n:016x}"))
        stage.connect()
        uid, link = next((key, c) for key, c in stage.caches.items() if f"{n:016x}" in c.in_flight)
        stage.answer(uid[0], n, "DONE", "-", b"ok", number=uid[1])
        client.transport.loseConnection()
        stage.turn(0.05)
    stage.bus(listing(202, *TARGETS, whole=True))
    held = kept(stage)
    assert held == before and held[0][0] == 4, (before, held)


def test_a_new_cache_on_an_old_address_and_one_that_started_anew():
    stage = Stage()
    client = stage.client()
    stage.say(client, process(1))
    stage.connect()
    stage.bus(
        listing(2, target("e9", port=2), target("e2", port=2, state="removed"), target("e1", state="removed"))
    )
    stage.say(client, process(2))
    stage.connect()
    stage.answer("e2", 1, "DONE", "-", b"finished")
    assert stage.caches["e2", 0].transport.disconnecting
    stage.turn(1)
    stage.say(client, process(3))
    old = stage.caches["e9", 0]
    stage.bus(listing(3, target("e9", port=2, boot=(stage.unix() - 2) * 1000)))
    assert not old.transport.disconnecting  # made after that start: it leads to the new process
    stage.bus(listing(4, target("e9", port=2, boot=stage.unix() * 1000)))
    assert old.transport.disconnecting
    assert stage.trace[:3] == [
        f"e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0",
        f"e9/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0",
        "client 0 < 1 process: 'finished'",
    ]


def test_garbage_from_a_cache_ends_its_connection_and_an_unknown_answer_nothing():
    stage = Stage()
    anomalies.clear()
    stage.say(stage.client(), process(1))
    stage.connect()
    stage.answer("e2", 99, "DONE", "-", b"whose")
    assert not stage.caches["e2", 0].is_lost
    stage.caches["e2", 0].dataReceived(b"0000000000000001 DONE - 999999\r\n")
    stage.turn()
    stage.connect()
    assert stage.trace[-1] == f"e2/1 < do 0000000000000001 {DO},budget=6000,mode=j 0"
    assert anomalies == {"unmatched cache answers": 1, "malformed answers from caches": 1}


def test_a_pull_on_a_dropped_connection_has_ended_when_its_socket_is_closed_and_not_before():
    """Told sooner, it may go out again while its cache still holds this one."""
    stage, told = Stage(), []
    stage.say(stage.client(), process(1))
    stage.connect()
    link, end = stage.caches["e2", 0], stage.dispatcher.attempts.end
    stage.dispatcher.attempts.end = lambda *ended: (told.append(link.transport.disconnecting), end(*ended))
    abort, link.transport.abortConnection = link.transport.abortConnection, lambda: None
    link.dataReceived(b"no answer\r\n")
    stage.turn()
    assert told == [] and not link.can_send("x")
    abort()
    assert told == [True]


def test_an_answer_that_stops_in_the_middle_ends_its_connection_with_all_that_is_out_on_it():
    stage = Stage()
    stage.say(stage.client(), process(1), process(2))
    stage.connect()
    stage.caches["e2", 0].dataReceived(b"0000000000000001 DONE - 9\r\n")
    stage.turn(0.15)
    stage.caches["e2", 0].dataReceived(b"half")
    stage.turn(0.25)
    assert not stage.caches["e2", 0].is_lost
    stage.turn(0.1)
    stage.connect()
    stage.shows(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        e2/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0
        e2/1 < do 0000000000000001 {DO},budget=5500,mode=j 0
        e2/1 < do 0000000000000002 {DO},budget=5500,rank=2,mode=j 0
    """)


def test_a_connection_about_to_be_closed_as_idle_is_not_used():
    stage = Stage(conn_idle_us=2_000_000)
    client = stage.client()
    stage.say(client, process(1))
    stage.connect()
    stage.answer("e2", 1, "DONE", "-", b"one")
    stage.turn(1.7)
    stage.say(client, process(2))
    assert stage.caches["e2", 0].transport.disconnecting
    stage.connect()
    assert stage.trace[-1].startswith("e2/1 < do 0000000000000002")


def test_a_fault_in_one_download_abandons_that_one():
    stage = Stage()
    router = stage.dispatcher.router
    inner = router.prefilter.handle
    router.prefilter.handle = lambda request: 1 / 0 if request.received.part == 7 else inner(request)
    stage.say(stage.client(), process(1, nth="7"), process(2))
    stage.connect()
    stage.answer("e2", 2, "DONE", "-", b"photo")
    stage.shows(f"""
        client 0 < 1 abandoned
        e2/0 < do 0000000000000002 {DO},budget=6000,mode=j 0
        client 0 < 2 process: 'photo'
    """)
    assert stage.counts["internal errors"] == 1 and not stage.dispatcher.requests


def test_a_fault_at_the_door_leaves_the_connection_that_others_share(monkeypatch):
    stage = Stage()
    ended = request_codec.attempt_ended
    monkeypatch.setattr(
        request_codec, "attempt_ended", lambda name, *rest: 1 / 0 if name == "1" else ended(name, *rest)
    )
    dispatcher, perform = stage.dispatcher, stage.dispatcher.perform
    dispatcher.perform = lambda act: 1 / 0 if isinstance(act, SendAttempt) and act.id == "3" else perform(act)
    stage.say(stage.client(), process(1), process(2), process(3), process(4))
    stage.connect()
    for number in (1, 2, 4):
        stage.answer("e2", number, "DONE", "-", b"photo")
    assert [line for line in stage.trace if "client" in line] == [
        "client 0 < 3 abandoned",
        "client 0 < 1 process: 'photo'",
        "client 0 < 2 process: 'photo'",
        "client 0 < 4 process: 'photo'",
    ]
    assert not stage.caches["e2", 0].is_lost and stage.counts["internal errors"] == 2


def test_probes_of_caches():
    stage = Stage()
    stage.say(stage.client(), process(1))
    stage.connect()
    dispatcher, told = stage.dispatcher, []
    dispatcher.queue.post = told.append
    cache = dispatcher.names.number("e2")
    dispatcher.perform(SendHealthCheck(cache))
    dispatcher.perform(SendHealthCheck(dispatcher.names.number("e1")))
    stage.turn()
    stage.caches["e2", 0].dataReceived(b"p1 FIT use=util:0.61;inflight:7 0\r\n\r\n")
    assert stage.trace[-1] == "e2/0 < top p1"
    assert [(note.result.name, note.load) for note in told] == [
        ("UNREACHABLE", None),
        ("SERVED", {"util": 0.61, "inflight": 7.0}),
    ]


def test_told_to_stop_it_goes_on_taking_and_ends_when_all_is_answered():
    stage = Stage()
    client = stage.client()
    stage.say(client, process(1))
    stage.connect()
    stage.door.terminate()
    stage.say(stage.client(), probe(1), process(2))
    stage.answer("e2", 2, "DONE", "-", b"taken after")
    stage.turn(0.75)
    assert not stage.reactor.hasStopped
    stage.answer("e2", 1, "DONE", "-", b"taken before")
    for _ in range(6):
        stage.turn(0.03)
    assert stage.reactor.hasStopped
    stage.shows(f"""
        e2/0 < do 0000000000000001 {DO},budget=6000,mode=j 0
        client 1 < 1 probe: good False
        e2/0 < do 0000000000000002 {DO},budget=6000,rank=2,mode=j 0
        client 1 < 2 process: 'taken after'
        client 0 < 1 process: 'taken before'
    """)


def test_told_to_stop_among_silent_clients_it_closes_none_on_which_a_request_may_be_on_its_way():
    stage = Stage()
    usual, silent = stage.client(), [stage.client()]
    stage.say(usual, process(1))
    stage.connect()
    stage.door.terminate()
    stage.turn(0.68)
    stage.answer("e2", 1, "DONE", "-", b"one")
    for _ in range(3):
        silent.append(stage.client())
        stage.turn(0.025)
    assert not usual.transport.disconnecting and stage.door.listener.port is None
    stage.say(usual, process(2))
    stage.answer("e2", 2, "DONE", "-", b"two")
    stage.turn(0.02)
    assert not stage.reactor.hasStopped
    for _ in range(6):
        stage.turn(0.03)
    assert stage.reactor.hasStopped and all(client.transport.disconnecting for client in (usual, *silent))
    assert [line for line in stage.trace if "client" in line] == [
        "client 0 < 1 process: 'one'",
        "client 0 < 2 process: 'two'",
    ]


def test_told_to_stop_it_answers_what_is_still_open_before_it_can_be_killed():
    stage = Stage()
    client = stage.client()
    stage.say(client, process(1), process(2, once="ab", **{"class": "order", "wait": "9000"}))
    stage.connect()
    stage.door.terminate()
    stage.turn(0.1)
    stage.answer("e2", 99, "FIT")
    stage.answer("o1", 99, "FIT")
    stage.turn(3.29)
    assert len(client.open_requests) == 2 and not stage.reactor.hasStopped
    stage.trace.clear()
    stage.turn(0.02)
    stage.shows("""
        client 0 < 1 abandoned
        client 0 < 2 abandoned
        e2/0 < undo 0000000000000001
        o1/0 < undo 0000000000000002
    """)
    stage.turn(0.05)
    stage.turn(0.05)
    assert stage.reactor.hasStopped


HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"


def bus(stage, port=9092):
    """The newest connection to a bus, brought up, and what was asked on it."""
    factory = [made[2] for made in stage.reactor.tcpClients if made[1] == port][-1]
    connection, transport = factory.buildProtocol(None), Stage.transport()
    connection.makeConnection(transport)
    transport.protocol = connection
    asked = dict(line.split(": ") for line in transport.value().decode().splitlines()[1:] if line)
    return connection, asked["Last-Event-Id"]


def told(raw):
    return f"id: {raw['offset']}\ndata: {raw}\n\n".replace("'", '"').replace("False", "false").encode()


def uids(stage):
    return " ".join(sorted(stage.dispatcher.names.uids[n] for n in stage.dispatcher.pool.endpoints))


def test_the_bus_is_read_on_after_each_loss():
    stage = Stage()
    first, asked = bus(stage)
    seen = [asked]
    first.dataReceived(HEAD + told(listing(2, target("e7", port=7))) + b"id: 3\ndata: no event\n\n: hm\n\n")
    first.transport.loseConnection()
    stage.turn(0.06)
    second, asked = bus(stage)
    seen.append(asked)
    second.dataReceived(
        HEAD + told(listing(3, target("e8", port=8))) + told(listing(4, target("e9", port=9)))
    )
    stage.turn(1.9)  # not even a comment: the bus is silent
    stage.turn(1.0)
    third, asked = bus(stage)
    seen.append(asked)
    third.dataReceived(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
    stage.turn(1.1)
    seen.append(bus(stage)[1])
    assert seen == ["1", "3", "4", "4"] and uids(stage) == "e1 e2 e7 e9 o1 p1"


def test_told_to_read_its_configuration_anew_it_goes_to_the_new_bus_at_once():
    """SIGHUP, several in a row, one while stopping: numbers go on, and the old bus is heard no more."""
    stage = Stage()
    stage.say(stage.client(), process(1))
    stage.connect()
    old, asked = bus(stage)
    seen = [asked]
    old.dataReceived(HEAD + told(listing(2, target("e7", port=7))))
    reading = stage.door.bus.attempt
    for port in (9093, 9094, 9094):
        stage.door.read_new_site = lambda port=port: read_site(configuration(bus=f"127.0.0.1:{port}"))
        stage.door.reload()
    reading.dataReceived(told(listing(3, target("e8", port=8))))
    new, asked = bus(stage, 9094)
    seen.append(asked)
    stage.door.terminate()
    for wrong in ("{", configuration(bus="nowhere"), configuration().replace('"lanes"', '"lanez"')):
        stage.door.read_new_site = lambda wrong=wrong: read_site(wrong)
        stage.door.reload()
    new.dataReceived(HEAD + told(listing(3, target("e9", port=9))))
    stage.door.read_new_site = lambda: read_site(configuration(bus="127.0.0.1:9095"))
    stage.door.reload()
    seen.append(bus(stage, 9095)[1])
    stage.turn(1.0)
    stage.answer("e2", 1, "DONE", "-", b"photo")
    assert seen == ["1", "2", "3"] and uids(stage) == "e1 e2 e7 e9 o1 p1"
    assert stage.trace[-1] == "client 0 < 1 process: 'photo'"


def test_at_the_bound_of_descriptors_idle_clients_make_room_and_no_more_are_accepted():
    stage = Stage()
    listener, port = stage.door.listener, []
    listener.max_connections = 3

    class Port:
        def pauseProducing(self):
            port.append("rest")

        def resumeProducing(self):
            port.append("accept")

    listener.port = Port()
    busy, idle = stage.client(), stage.client()
    stage.say(busy, process(1))
    stage.turn(0.6)
    late = stage.client()
    assert idle.transport.disconnecting and not busy.transport.disconnecting
    stage.say(late, process(2))
    stage.say(stage.client(), process(3))
    stage.connect()
    stage.answer("e2", 1, "DONE", "-", b"photo")
    busy.transport.loseConnection()
    assert port == ["rest", "accept"] and len(listener.clients) == 2


def test_at_the_bound_those_go_first_that_said_nothing_or_asked_once_and_those_just_connected_last():
    stage = Stage()
    listener, shown = stage.door.listener, []
    listener.port = None
    once, usual, silent = stage.client(), stage.client(), stage.client()
    stage.say(once, probe(1))
    stage.say(usual, probe(1), probe(2))
    stage.turn(0.6)
    fresh = stage.client()
    for most in (4, 3, 2, 1):
        listener.max_connections = most
        listener.evict_idle()
        shown.append("".join(str(int(c.transport.disconnecting)) for c in (once, usual, silent, fresh)))
    assert shown == ["0010", "1010", "1110", "1111"]


def starting():
    """A front that has started and not yet opened its port."""
    reactor = MemoryReactorClock()
    door = Door(reactor, read_site(configuration()))
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
    told = bus_event({"offset": 9, "ban": {"url": KEY, "ts": 1}})
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
    stage = Stage()
    client = stage.client()
    stage.turn(0.2)
    stage.reactor.advance(6.0)  # one jump: the process was stopped, timers come first
    stage.say(client, probe(1))
    stage.shows("client 0 < 1 probe: good True")
    for _ in range(60):
        stage.turn(0.1)
    assert client.transport.disconnecting or client not in stage.door.listener.clients
