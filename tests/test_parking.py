"""Idle connections: which move to the pool, wake and are closed, and each edge case by its name."""

import random
from dataclasses import replace

import pytest
from fronts import Stage, probe, process
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.idle_connections import policy
from weldbend.idle_connections.connection_table import ConnectionRecord, ConnectionTable
from weldbend.idle_connections.policy import (
    ConnectionAction,
    ConnectionSettings,
    ConnectionState,
    WakeBatchSizer,
)
from weldbend.idle_connections.timer_wheel import TimerWheel
from weldbend.invariants import anomalies

LOOKED = 0.25  # seconds between two looks


def parked(count, calls=1, **held):
    """A front with so many parked clients that asked one probe, and one place for each."""
    stage = Stage(parks=True, **held)
    stage.door.listener.max_connections = 10_000
    for _ in range(count):
        stage.client().dataReceived(b"".join(probe(n + 1) for n in range(calls)))
    for _ in range(100):
        stage.reactor.advance(0.01)
    stage.note()
    assert stage.door.listener.idle_count() == count and not stage.door.listener.clients
    stage.trace.clear()
    return stage


def test_the_action_decided_for_each_connection_state():
    limits = ConnectionSettings()
    state = ConnectionState(
        is_busy=False, has_partial_request=False, request_count=1, last_active=10.0, request_started=0.0
    )
    for when, change, action in [
        (10.4, {}, ConnectionAction.KEEP),
        (10.6, {}, ConnectionAction.MOVE_TO_POOL),
        (10.6, {"is_busy": True}, ConnectionAction.KEEP),
        (99.0, {"is_busy": True, "has_partial_request": True}, ConnectionAction.KEEP),
        (14.6, {}, ConnectionAction.CLOSE_IDLE),
        (11.9, {"request_count": 0}, ConnectionAction.MOVE_TO_POOL),
        (12.1, {"request_count": 0}, ConnectionAction.CLOSE_SILENT),
        (11.9, {"has_partial_request": True, "request_started": 10.0}, ConnectionAction.KEEP),
        (12.1, {"has_partial_request": True, "request_started": 10.0}, ConnectionAction.CLOSE_INCOMPLETE),
        (
            12.1,
            {"has_partial_request": True, "request_started": 10.0, "request_count": 0},
            ConnectionAction.CLOSE_INCOMPLETE,
        ),
    ]:
        assert policy.decide(limits, replace(state, **change), when) is action, (when, change)
    assert (
        policy.decide(replace(limits, pool_after=0.0), state, 14.4, active_connections=9999)
        is ConnectionAction.KEEP
    )
    assert [policy.decide(limits, state, 10.2, live) for live in (256, 257)] == [
        ConnectionAction.KEEP,
        ConnectionAction.MOVE_TO_POOL,
    ]
    assert policy.decide(limits, replace(state, request_count=8), 10.2, 999) is ConnectionAction.KEEP


def test_the_order_of_evictions_and_when_accepting_is_paused():
    shown = [(0, 1.0), (2, 0.5), (1, 0.9), (0, 0.2), (1, 9.99)]
    assert sorted(shown, key=lambda one: policy.eviction_order(*one, 10.0)) == [
        (0, 0.2), (0, 1.0), (1, 0.9), (2, 0.5), (1, 9.99),
    ]  # fmt: skip
    assert [policy.eviction_count(n, 32) for n in (0, 31, 32, 40)] == [0, 0, 2, 2] and policy.eviction_count(
        1, 1
    ) == 1
    assert [policy.is_accept_paused(n, 32) for n in (31, 32)] == [False, True]


def test_a_wake_batch_grows_after_short_iterations_and_halves_after_long_ones():
    sizer, now, sizes = WakeBatchSizer(16), 0.0, []
    for took in [0.001] * 8 + [0.02] * 3 + [0.005] + [0.001]:
        sizes.append(sizer.next_size(now, 1000))
        now += took
    assert sizes == [4, 5, 6, 7, 8, 9, 10, 11, 12, 6, 3, 1, 1]
    assert sizer.next_size(now, 1) == 1 and sizer.next_size(now + 99.0, 1000) == 2  # a pause is no long turn


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0, 9), st.booleans()), max_size=120))
def test_the_timer_wheel_returns_what_is_due_and_nothing_else(steps):
    """Against a model, a dictionary of when each falls due: none is late by more than a bucket."""
    wheel, model, now = TimerWheel(9.0, 0.5), {}, 0.0
    for slot, ahead, take in steps:
        if slot in model:
            assert slot in wheel and wheel.remove(slot)
            del model[slot]
        elif take:
            wheel.schedule(slot, now + ahead, now)
            model[slot] = now + ahead
        else:
            now += 0.4
            for found in wheel.pop_due(now, 5):
                assert model.pop(found) <= now
            while found := wheel.pop_due(now, 5):
                for one in found:
                    assert model.pop(one) <= now
            assert all(due > now - 0.5 for due in model.values())
        assert len(wheel) == len(model) and sorted(wheel.in_order()) == sorted(model)
        order = [int(model[slot] / 0.5) for slot in wheel.in_order()]
        assert order == sorted(order)
    assert not wheel.remove(99)


def test_a_connection_record_is_restored_once():
    table = ConnectionTable(ConnectionSettings())
    table.add(700, ConnectionRecord(1 << 40, 3, 300, 5.0), 5.5)
    assert len(table) == 1 and table.queue_readable(700, 6.0) and not table.queue_readable(700, 6.0)
    assert table.next_waking() == 700 and table.next_waking() is None
    assert table.remove(700) == ConnectionRecord((1 << 32) - 1, 3, 255, 6.0) and len(table) == 0
    assert not table.queue_readable(700, 7.0) and not table.queue_readable(9999, 7.0) and 700 not in table


def test_short_idle_connections_wake_first_and_the_others_are_not_starved():
    table = ConnectionTable(ConnectionSettings())
    for slot in range(20):
        table.add(slot, ConnectionRecord(1, 0, 0, 9.0 if slot < 10 else 5.0), 9.5)
    for slot in reversed(range(20)):
        table.queue_readable(slot, 10.0)
    order = [table.next_waking() for _ in range(20)]
    assert order == [9, 8, 7, 19, 6, 5, 4, 18, 3, 2, 1, 17, 0, 16, 15, 14, 13, 12, 11, 10]


def test_an_idle_connection_in_the_pool_is_closed_when_an_active_one_would_have_been():
    stage = Stage(parks=True)
    stage.client()
    stage.say(stage.client(), probe(1))
    before, gone = anomalies["idle clients without a call"], {}
    for quarter in range(1, 24):
        stage.turn(LOOKED)
        for place in stage.rim.closed:
            gone.setdefault(place, quarter / 4)
    assert 2.0 < gone[0] <= 2.5 and 4.5 < gone[1] <= 5.0 and not stage.door.listener.connection_count()
    assert anomalies["idle clients without a call"] == before + 1


def test_a_woken_connection_continues_with_its_record():
    stage = parked(1)
    stage.bring(0, process(2))
    stage.turn()
    client = stage.clients[0][0]
    assert client.call_count == 2 and stage.door.listener.idle_count() == 0
    stage.connect()
    stage.answer("e2", 2, "DONE", "-", b"photo")
    assert stage.trace[-1] == "client 0 < 2 process: 'photo'"
    for _ in range(3):
        stage.turn(LOOKED)
    assert stage.door.listener.idle_count() == 1 and client.is_lost


def test_all_idle_connections_wake_at_once_and_each_gets_its_one_answer():
    """The first are pulled; what lay too long is throttled at once with a time, whoever is busy goes on."""
    count, stage = 600, parked(600, open_cap=10_000)
    busy = stage.client()
    stage.say(busy, process(1, id="ffffffffffffffff"))
    stage.connect()
    for place in range(count):
        stage.rim.bring(place, process(2, id=f"{place:016x}", key=f"{place:016x}"))
    lot, sizes = stage.door.listener.idle_pool, []
    wake = lot.wake_batch

    def turn():
        before = lot.count()
        wake()
        sizes.append(before - lot.count())
        stage.reactor.rightNow += 0.004  # a turn takes so long

    lot.wake_batch = turn
    lot.doRead()
    stage.turn()
    assert max(sizes) <= stage.door.site.client_settings.wake_batch and lot.max_wake_delay > 0.3
    throttled = [line for line in stage.trace if "throttled {'after': '1000'}" in line]
    assert len({line.split()[1] for line in throttled}) == len(throttled) > count // 2
    for _ in range(4):
        stage.connect()
        for uid, number in list(stage.caches):
            for name in list(stage.caches[uid, number].in_flight):
                stage.answer(uid, int(name, 16), "DONE", "-", b"photo", number)
    answers = [line.split()[1] for line in stage.trace if line.startswith("client")]
    assert sorted(answers, key=int) == [str(n) for n in range(count + 1)]
    assert not stage.dispatcher.requests


def test_the_time_that_a_request_was_unread_counts_towards_its_deadline():
    stage = parked(40)
    for place in range(40):
        stage.rim.bring(place, process(2, id=f"{place:016x}", wait="1000"))
    stage.door.listener.idle_pool.doRead()
    begun = stage.door.clock.now()
    for _ in range(6):
        stage.reactor.advance(0.01)
    assert {request.deadline for request in stage.dispatcher.requests.by_id.values()} == {begun + 1.0}


def test_bytes_arrive_in_the_iteration_in_which_the_connection_is_closed_as_idle():
    stage = parked(1)
    stage.turn(3.0)
    stage.rim.bring(0, process(2))
    stage.rim.told.update(stage.rim.came)  # the system has not told of it yet
    for _ in range(4):
        stage.turn(LOOKED)
    assert not stage.rim.closed and stage.clients[0][0].open_requests


@pytest.mark.parametrize("end", [ConnectionResetError(104, "reset"), b""])
def test_a_peer_ends_or_resets_an_idle_connection(end):
    stage = parked(2)
    stage.rim.bring(0, end)
    stage.door.listener.idle_pool.doRead()
    assert (
        stage.rim.closed == [0]
        and stage.door.listener.connection_count() == 1
        and not stage.door.listener.clients
    )


def test_a_connection_is_reported_readable_without_bytes():
    stage = parked(1)
    stage.rim.came[5] = []
    stage.door.listener.idle_pool.doRead()
    del stage.rim.came[5]
    assert stage.door.listener.idle_count() == 1 and not stage.rim.told
    stage.bring(0, probe(2))
    stage.turn()
    assert stage.trace == ["client 0 < 2 probe: good True"]


def test_half_a_frame_wakes_a_connection_and_nothing_follows():
    stage = parked(1)
    stage.bring(0, process(2)[:40])
    client = stage.clients[0][0]
    for _ in range(7):
        stage.turn(LOOKED)
    assert list(stage.door.listener.clients) == [client] and not client.transport.disconnecting
    for _ in range(3):
        stage.turn(LOOKED)
    assert client.transport.disconnecting and not stage.door.listener.connection_count()


def test_the_descriptor_of_a_connection_that_ended_while_queued_is_reused():
    stage = parked(2)
    lot = stage.door.listener.idle_pool
    first = stage.rim.bring(0, probe(2))
    assert lot.queue_readable() == 1 and lot.table.waking_count == 1
    lot.close(first)
    stage.say(stage.client(), probe(1))
    for _ in range(3):
        stage.turn(LOOKED)
    assert stage.rim.places[first] == 2 and lot.count() == 2
    stage.trace.clear()
    stage.bring(2, probe(2))
    stage.turn()
    assert stage.trace == ["client 2 < 2 probe: good True"] and lot.count() == 1


def test_a_shutdown_with_thousands_of_idle_connections_ends_in_time_and_answers_those_that_wake():
    stage = parked(2000)
    stage.say(stage.client(), process(1))
    stage.connect()
    stage.door.terminate()
    stage.turn(0.3)
    stage.bring(7, process(2, id="00000000000000aa"))
    stage.turn()
    stage.answer("e2", 1, "DONE", "-", b"one")
    for uid, number in list(stage.caches):
        if "00000000000000aa" in stage.caches[uid, number].in_flight:
            stage.answer(uid, 0xAA, "DONE", "-", b"two", number)
    stage.turn(0.41)
    turns = 0
    while not stage.reactor.hasStopped:
        before = len(stage.rim.closed)
        stage.turn(0.02)
        assert len(stage.rim.closed) - before <= 10 * stage.door.site.client_settings.close_batch
        turns += 1
    assert turns < 30 and sorted(stage.rim.closed) == [n for n in range(2000) if n != 7]
    assert {"client 2000 < 1 process: 'one'", "client 7 < 2 process: 'two'"} <= set(stage.trace)


def test_a_reload_with_thousands_of_idle_connections_moves_the_bus_and_keeps_them():
    stage = parked(2000)
    stage.door.read_new_site = lambda: replace(stage.door.site, bus_address="127.0.0.1:9999")
    stage.door.reload()
    stage.turn()
    assert stage.door.bus.address == "127.0.0.1:9999" and stage.door.listener.idle_count() == 2000
    stage.bring(5, probe(2))
    stage.turn()
    assert stage.trace == ["client 5 < 2 probe: good True"]


def test_at_the_connection_limit_idle_connections_are_evicted_for_regular_clients():
    stage = parked(64)
    listener, port = stage.door.listener, []
    listener.max_connections = 64
    for _ in range(30):
        usual = stage.client()
        port.append(listener.is_paused)
        stage.say(usual, process(1, id=f"{random.Random(len(port)).getrandbits(64):016x}"))
        assert listener.connection_count() <= 64 and usual in listener.clients and usual.open_requests
    assert not any(port) and len(stage.rim.closed) >= 26
    assert sorted(stage.rim.closed) == list(range(len(stage.rim.closed)))  # the longest idle went first


def test_a_hundred_wakes_and_returns_to_the_pool_leave_nothing_behind():
    stage = parked(3)
    table, sizes = stage.door.listener.idle_pool.table, []
    for number in range(2, 102):
        stage.bring(1, probe(number))
        for _ in range(4):
            stage.turn(LOOKED / 2)
        if number % 3 == 0:  # the others must not fall due meanwhile
            for place in (0, 2):
                stage.bring(place, probe(number))
        for _ in range(3):
            stage.turn(LOOKED)
        wheels = [len(wheel.next) for wheel in table.wheels]
        sizes.append((len(table.states), wheels, len(table.long_idle_queue), len(stage.door.listener.checks)))
    assert sizes[5:] == sizes[5:6] * 95 and stage.door.listener.idle_count() == 3
    assert sum("client 1 <" in line for line in stage.trace) == 100 and not stage.rim.closed


def test_closing_many_expired_connections_is_spread_over_iterations():
    stage = parked(700, terms=ConnectionSettings(close_batch=50))
    closed = []
    for _ in range(2000):
        before = len(stage.rim.closed)
        stage.reactor.advance(0.0021)
        closed.append(len(stage.rim.closed) - before)
    assert sum(closed) == 700 and max(closed) <= 50


def test_a_fault_in_handling_first_bytes_ends_that_connection_only(monkeypatch):
    stage = parked(2)
    monkeypatch.setattr(
        "weldbend.clients.connection.next_frame", lambda *_: (_ for _ in ()).throw(RuntimeError("fault"))
    )
    stage.bring(0, probe(2))
    monkeypatch.undo()
    assert stage.clients[0][0].transport.disconnecting and stage.counts["internal errors"] == 1
    stage.bring(1, probe(2))
    stage.turn()
    assert stage.trace == ["client 1 < 2 probe: good True"]
