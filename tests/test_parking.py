"""Idle connections: when they move to the idle pool, are woken and are closed, and the edge cases.

A connection in the pool is called parked here. With the default settings, a connection is closed after 4.5 s
without a request, or after 2 s if it never sent one, and it moves to the pool after 0.5 s.
"""

import random
from dataclasses import replace

import pytest
from fronts import FrontHarness, probe, process
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

CHECK_INTERVAL = 0.25  # seconds that the tests advance at a time; the front checks a connection every 0.125 s


def harness_with_parked_clients(count, calls=1, **settings):
    """Return the harness of a front with `count` parked clients, each of which has sent `calls` probes."""
    harness = FrontHarness(parking=True, **settings)
    harness.front.listener.max_connections = 10_000
    for _ in range(count):
        harness.connect_client().dataReceived(b"".join(probe(n + 1) for n in range(calls)))
    for _ in range(100):  # 1 s, longer than the 0.5 s after which an idle connection moves to the pool
        harness.reactor.advance(0.01)
    harness.record_output()
    assert harness.front.listener.idle_count() == count and not harness.front.listener.clients
    harness.trace.clear()
    return harness


def test_the_action_decided_for_each_connection_state():
    """The connection was last active at 10.0 s; each case changes its state or the time of the check.

    With more than `OVERLOAD_CONNECTIONS` (256) active connections, it moves to the pool after 0.1 s already,
    but not if it has sent `REGULAR_CLIENT_REQUESTS` (8).
    """
    limits = ConnectionSettings()
    state = ConnectionState(
        is_busy=False, has_partial_request=False, request_count=1, last_active=10.0, request_started=0.0
    )
    for now, change, action in [
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
        assert policy.decide(limits, replace(state, **change), now) is action, (now, change)
    assert (
        policy.decide(replace(limits, pool_after=0.0), state, 14.4, active_connections=9999)
        is ConnectionAction.KEEP
    )
    assert [policy.decide(limits, state, 10.2, active_connections) for active_connections in (256, 257)] == [
        ConnectionAction.KEEP,
        ConnectionAction.MOVE_TO_POOL,
    ]
    assert policy.decide(limits, replace(state, request_count=8), 10.2, 999) is ConnectionAction.KEEP


def test_the_order_of_evictions_and_when_accepting_is_paused():
    # Pairs of number of requests and time of the last activity; they are sorted at 10.0 s.
    connections = [(0, 1.0), (2, 0.5), (1, 0.9), (0, 0.2), (1, 9.99)]
    assert sorted(connections, key=lambda connection: policy.eviction_order(*connection, 10.0)) == [
        (0, 0.2), (0, 1.0), (1, 0.9), (2, 0.5), (1, 9.99),
    ]  # fmt: skip
    # At a limit of 32, 32 / 16 (`EVICTION_DIVISOR`) = 2 are evicted at a time; at a limit of 1, one is.
    assert [policy.eviction_count(n, 32) for n in (0, 31, 32, 40)] == [0, 0, 2, 2] and policy.eviction_count(
        1, 1
    ) == 1
    assert [policy.is_accept_paused(n, 32) for n in (31, 32)] == [False, True]


def test_a_wake_batch_grows_after_short_iterations_and_halves_after_long_ones():
    """The size, 4 at first, grows by one after less than 3 ms and is halved after more than 8 ms."""
    sizer, now, sizes = WakeBatchSizer(16), 0.0, []
    for duration in [0.001] * 8 + [0.02] * 3 + [0.005] + [0.001]:
        sizes.append(sizer.next_size(now, 1000))
        now += duration
    assert sizes == [4, 5, 6, 7, 8, 9, 10, 11, 12, 6, 3, 1, 1]
    assert (
        sizer.next_size(now, 1) == 1 and sizer.next_size(now + 99.0, 1000) == 2
    )  # after a batch that left none waiting, the time until the next one is no iteration


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 40), st.floats(0, 9), st.booleans()), max_size=120))
def test_the_timer_wheel_returns_what_is_due_and_nothing_else(steps):
    """Compare with a model, a dictionary of the time at which each slot is due.

    No slot is returned before that time, nor more than one bucket (0.5 s) after it.
    """
    wheel, model, now = TimerWheel(9.0, 0.5), {}, 0.0
    for slot, delay, is_addition in steps:
        if slot in model:
            assert slot in wheel and wheel.remove(slot)
            del model[slot]
        elif is_addition:
            wheel.schedule(slot, now + delay, now)
            model[slot] = now + delay
        else:
            now += 0.4
            for popped in wheel.pop_due(now, 5):
                assert model.pop(popped) <= now
            while popped := wheel.pop_due(now, 5):
                for slot_due in popped:
                    assert model.pop(slot_due) <= now
            assert all(due > now - 0.5 for due in model.values())
        assert len(wheel) == len(model) and sorted(wheel.in_order()) == sorted(model)
        order = [int(model[slot] / 0.5) for slot in wheel.in_order()]
        assert order == sorted(order)
    assert not wheel.remove(99)


def test_a_connection_record_is_restored_once():
    """The counts of a record are capped at the largest values of the table's arrays, 2**32 - 1 and 255.

    The record holds the numbers of requests, rejections and cancellations, and the time of the last activity,
    which becomes 6.0 s when the connection is found readable.
    """
    table = ConnectionTable(ConnectionSettings())
    table.add(700, ConnectionRecord(1 << 40, 3, 300, 5.0), 5.5)
    assert len(table) == 1 and table.queue_readable(700, 6.0) and not table.queue_readable(700, 6.0)
    assert table.next_waking() == 700 and table.next_waking() is None
    assert table.remove(700) == ConnectionRecord((1 << 32) - 1, 3, 255, 6.0) and len(table) == 0
    assert not table.queue_readable(700, 7.0) and not table.queue_readable(9999, 7.0) and 700 not in table


def test_short_idle_connections_wake_first_and_the_others_are_not_starved():
    """Slots 0 to 9 were idle for 1 s, slots 10 to 19 for 5 s.

    From 2 s (`SHORT_IDLE_SECONDS`) on, an idle time is long. One wake in four (`LONG_IDLE_INTERVAL`) is of a
    connection with a long idle time.
    """
    table = ConnectionTable(ConnectionSettings())
    for slot in range(20):
        table.add(slot, ConnectionRecord(1, 0, 0, 9.0 if slot < 10 else 5.0), 9.5)
    for slot in reversed(range(20)):
        table.queue_readable(slot, 10.0)
    order = [table.next_waking() for _ in range(20)]
    assert order == [9, 8, 7, 19, 6, 5, 4, 18, 3, 2, 1, 17, 0, 16, 15, 14, 13, 12, 11, 10]


def test_a_pooled_connection_has_the_same_idle_timeouts_as_an_active_one():
    harness = FrontHarness(parking=True)
    harness.connect_client()  # sends no call, so its timeout is 2.0 s instead of 4.5 s
    harness.send(harness.connect_client(), probe(1))
    anomalies_before, closed_at = anomalies["idle clients without a call"], {}
    for quarter in range(1, 24):  # quarters of a second, the length of CHECK_INTERVAL
        harness.advance(CHECK_INTERVAL)
        for client_index in harness.epoll_set.closed:
            closed_at.setdefault(client_index, quarter / 4)
    assert (
        2.0 < closed_at[0] <= 2.5
        and 4.5 < closed_at[1] <= 5.0
        and not harness.front.listener.connection_count()
    )
    assert anomalies["idle clients without a call"] == anomalies_before + 1


def test_a_woken_connection_continues_with_its_record_and_returns_to_the_pool():
    harness = harness_with_parked_clients(1)
    harness.deliver(0, process(2))
    harness.advance()
    client = harness.clients[0][0]
    assert client.call_count == 2 and harness.front.listener.idle_count() == 0
    harness.complete_connects()
    harness.answer("e2", 2, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 2 process: 'photo'"
    for _ in range(3):
        harness.advance(CHECK_INTERVAL)
    assert harness.front.listener.idle_count() == 1 and client.is_lost


def test_all_idle_connections_wake_at_once_and_each_gets_its_one_answer():
    """The first requests are sent to caches; those that waited too long to be read are throttled.

    A throttled answer has a retry time of 1000 ms. The request of a client that was already active is served.
    """
    count, harness = 600, harness_with_parked_clients(600, open_cap=10_000)
    busy = harness.connect_client()
    harness.send(busy, process(1, id="ffffffffffffffff"))
    harness.complete_connects()
    for client_index in range(count):
        harness.epoll_set.deliver(
            client_index, process(2, id=f"{client_index:016x}", key=f"{client_index:016x}")
        )
    # Record the size of each batch, and let each event-loop iteration take 4 ms.
    idle_pool, sizes = harness.front.listener.idle_pool, []
    wake_batch = idle_pool.wake_batch

    def timed_wake():
        before = idle_pool.count()
        wake_batch()
        sizes.append(before - idle_pool.count())
        harness.reactor.rightNow += 0.004

    idle_pool.wake_batch = timed_wake
    idle_pool.doRead()
    harness.advance()
    assert max(sizes) <= harness.front.site.client_settings.wake_batch and idle_pool.max_wake_delay > 0.3
    throttled = [line for line in harness.trace if "throttled {'after': '1000'}" in line]
    assert len({line.split()[1] for line in throttled}) == len(throttled) > count // 2
    for _ in range(4):  # in each round, all requests that are in flight at a cache are answered
        harness.complete_connects()
        for uid, number in list(harness.caches):
            for name in list(harness.caches[uid, number].in_flight):
                harness.answer(uid, int(name, 16), "DONE", "-", b"photo", number)
    answers = [line.split()[1] for line in harness.trace if line.startswith("client")]
    assert sorted(answers, key=int) == [str(n) for n in range(count + 1)]
    assert not harness.dispatcher.requests


def test_the_time_a_request_stays_unread_counts_towards_its_deadline():
    harness = harness_with_parked_clients(40)
    for client_index in range(40):
        harness.epoll_set.deliver(client_index, process(2, id=f"{client_index:016x}", wait="1000"))
    harness.front.listener.idle_pool.doRead()
    begun = harness.front.clock.now()
    for _ in range(6):
        harness.reactor.advance(0.01)
    assert {request.deadline for request in harness.dispatcher.requests.by_id.values()} == {begun + 1.0}


def test_bytes_that_arrive_as_the_idle_timeout_expires_keep_the_connection_open():
    harness = harness_with_parked_clients(1)
    harness.advance(3.0)
    harness.epoll_set.deliver(0, process(2))
    # Keep the epoll set from reporting the bytes: they arrive just as the connection is checked.
    harness.epoll_set.reported.update(harness.epoll_set.pending)
    for _ in range(4):
        harness.advance(CHECK_INTERVAL)
    assert not harness.epoll_set.closed and harness.clients[0][0].open_requests


@pytest.mark.parametrize("end", [ConnectionResetError(104, "reset"), b""])
def test_an_idle_connection_that_its_peer_ends_or_resets_is_closed(end):
    harness = harness_with_parked_clients(2)
    harness.epoll_set.deliver(0, end)
    harness.front.listener.idle_pool.doRead()
    assert (
        harness.epoll_set.closed == [0]
        and harness.front.listener.connection_count() == 1
        and not harness.front.listener.clients
    )


def test_a_readable_event_without_bytes_leaves_the_connection_idle():
    harness = harness_with_parked_clients(1)
    harness.epoll_set.pending[5] = []  # 5 is the lowest descriptor, that of the only client
    harness.front.listener.idle_pool.doRead()
    del harness.epoll_set.pending[5]
    assert harness.front.listener.idle_count() == 1 and not harness.epoll_set.reported
    harness.deliver(0, probe(2))
    harness.advance()
    assert harness.trace == ["client 0 < 2 probe: good True"]


def test_a_connection_woken_by_half_a_frame_is_closed_if_nothing_follows():
    harness = harness_with_parked_clients(1)
    harness.deliver(0, process(2)[:40])
    client = harness.clients[0][0]
    for _ in range(7):  # 1.75 s, less than the timeout of 2 s for the rest of a partial call
        harness.advance(CHECK_INTERVAL)
    assert list(harness.front.listener.clients) == [client] and not client.transport.disconnecting
    for _ in range(3):
        harness.advance(CHECK_INTERVAL)
    assert client.transport.disconnecting and not harness.front.listener.connection_count()


def test_the_descriptor_of_a_connection_closed_while_queued_can_be_reused():
    """A connection is queued to be woken and then closed; a new client, number 2, gets its descriptor."""
    harness = harness_with_parked_clients(2)
    idle_pool = harness.front.listener.idle_pool
    first = harness.epoll_set.deliver(0, probe(2))
    assert idle_pool.queue_readable() == 1 and idle_pool.table.waking_count == 1
    idle_pool.close(first)
    harness.send(harness.connect_client(), probe(1))
    for _ in range(3):
        harness.advance(CHECK_INTERVAL)
    assert harness.epoll_set.client_indexes[first] == 2 and idle_pool.count() == 2
    harness.trace.clear()
    harness.deliver(2, probe(2))
    harness.advance()
    assert harness.trace == ["client 2 < 2 probe: good True"] and idle_pool.count() == 1


def test_a_shutdown_with_thousands_of_idle_connections_ends_in_time_and_answers_those_that_wake():
    harness = harness_with_parked_clients(2000)
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    harness.front.terminate()
    harness.advance(0.3)
    harness.deliver(7, process(2, id="00000000000000aa"))  # client 7 wakes during the shutdown
    harness.advance()
    harness.answer("e2", 1, "DONE", "-", b"one")
    for uid, number in list(harness.caches):
        if "00000000000000aa" in harness.caches[uid, number].in_flight:
            harness.answer(uid, 0xAA, "DONE", "-", b"two", number)
    harness.advance(0.41)
    iterations = 0
    while not harness.reactor.hasStopped:
        before = len(harness.epoll_set.closed)
        harness.advance(0.02)
        assert len(harness.epoll_set.closed) - before <= 10 * harness.front.site.client_settings.close_batch
        iterations += 1
    assert iterations < 30 and sorted(harness.epoll_set.closed) == [n for n in range(2000) if n != 7]
    assert {"client 2000 < 1 process: 'one'", "client 7 < 2 process: 'two'"} <= set(harness.trace)


def test_a_reload_with_thousands_of_idle_connections_moves_the_bus_and_keeps_them():
    harness = harness_with_parked_clients(2000)
    harness.front.read_new_site = lambda: replace(harness.front.site, bus_address="127.0.0.1:9999")
    harness.front.reload()
    harness.advance()
    assert harness.front.bus.address == "127.0.0.1:9999" and harness.front.listener.idle_count() == 2000
    harness.deliver(5, probe(2))
    harness.advance()
    assert harness.trace == ["client 5 < 2 probe: good True"]


def test_at_the_connection_limit_idle_connections_are_evicted_for_clients_with_requests():
    harness = harness_with_parked_clients(64)
    listener, paused = harness.front.listener, []
    listener.max_connections = 64
    for _ in range(30):
        client = harness.connect_client()
        paused.append(listener.is_paused)
        # The id only has to differ between the clients.
        harness.send(client, process(1, id=f"{random.Random(len(paused)).getrandbits(64):016x}"))
        assert listener.connection_count() <= 64 and client in listener.clients and client.open_requests
    assert not any(paused) and len(harness.epoll_set.closed) >= 26
    assert sorted(harness.epoll_set.closed) == list(
        range(len(harness.epoll_set.closed))
    )  # the longest idle connections were closed first


def test_a_hundred_wakes_and_returns_to_the_pool_leak_no_state():
    """After five rounds, the tables of the pool do not grow any more."""
    harness = harness_with_parked_clients(3)
    table, sizes = harness.front.listener.idle_pool.table, []
    for number in range(2, 102):
        harness.deliver(1, probe(number))
        for _ in range(4):
            harness.advance(CHECK_INTERVAL / 2)
        if number % 3 == 0:  # keeps the other connections from reaching their idle timeout
            for client_index in (0, 2):
                harness.deliver(client_index, probe(number))
        for _ in range(3):
            harness.advance(CHECK_INTERVAL)
        wheels = [len(wheel.next) for wheel in table.wheels]
        sizes.append(
            (len(table.states), wheels, len(table.long_idle_queue), len(harness.front.listener.checks))
        )
    assert sizes[5:] == sizes[5:6] * 95 and harness.front.listener.idle_count() == 3
    assert sum("client 1 <" in line for line in harness.trace) == 100 and not harness.epoll_set.closed


def test_closing_many_expired_connections_is_spread_over_iterations():
    harness = harness_with_parked_clients(700, client_settings=ConnectionSettings(close_batch=50))
    closed = []
    for _ in range(2000):
        before = len(harness.epoll_set.closed)
        harness.reactor.advance(0.0021)  # 2000 steps of 2.1 ms are 4.2 s, past the idle timeout
        closed.append(len(harness.epoll_set.closed) - before)
    assert sum(closed) == 700 and max(closed) <= 50


def test_a_fault_in_handling_first_bytes_ends_that_connection_only(monkeypatch):
    harness = harness_with_parked_clients(2)
    # The parser of the first bytes raises an exception for client 0 only.
    monkeypatch.setattr(
        "weldbend.clients.incoming_calls.next_frame", lambda *_: (_ for _ in ()).throw(RuntimeError("fault"))
    )
    harness.deliver(0, probe(2))
    monkeypatch.undo()
    assert harness.clients[0][0].transport.disconnecting and harness.counts["internal errors"] == 1
    harness.deliver(1, probe(2))
    harness.advance()
    assert harness.trace == ["client 1 < 2 probe: good True"]
