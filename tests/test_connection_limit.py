"""Guards the limit on connections to all caches: which are closed at the limit, and which stay open.

A front with more caches than permitted connections closes idle connections to make room. It must not lose
attempts in flight, let a cache wait for a connection forever, or count its own closes and delays as failures
of a cache. By default (LIMITS), two connections are permitted, with two streams each, and an attempt waits
0.4 s (CONNECT_TIMEOUT) for a connection.
"""

import errno
import math
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from fronts import FrontHarness, process
from twisted.internet.error import ConnectError, ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.attempt import Attempt, AttemptLoss
from weldbend.caches.connect_backoff import MAX_DELAY
from weldbend.caches.limits import CacheLimits
from weldbend.caches.pool import CachePool
from weldbend.front import configuration
from weldbend.front.timers import Timers
from weldbend.testbed.simulation.run import Run

CONNECT_TIMEOUT = 0.4  # seconds
LIMITS = CacheLimits(
    max_streams=2,
    idle_timeout=15.0,
    connect_timeout=CONNECT_TIMEOUT,
    max_iteration_time=0.004,
    max_connections=2,
    max_answer_time=6.0,
)


class InMemoryConnection(StringTransport):
    """A connection in memory; like a real one, it reports its loss in a later reactor iteration."""

    def __init__(self, reactor, protocol):
        super().__init__()
        self.reactor, self.protocol = reactor, protocol

    def doWrite(self):
        pass

    def setTcpNoDelay(self, on):
        pass

    def loseConnection(self):
        self.reactor.callLater(0, self.protocol.connectionLost, Failure(ConnectionDone()))

    abortConnection = loseConnection


class LookupOnlyEndpoints(dict):
    """The endpoints by cache number; iterating raises, as no work may grow with the number of caches."""

    def __iter__(self):
        raise AssertionError("iterated over all caches")

    keys = values = items = __iter__


class PoolHarness:
    """A connection pool with caches in memory, numbered from 1; records outcomes by attempt name."""

    def __init__(self, count=3, **changes):
        self.reactor = MemoryReactorClock()
        timers = Timers(self.reactor, SimpleNamespace(now=self.reactor.seconds))
        limits = replace(LIMITS, **changes)
        self.pool = CachePool(self.reactor, timers, limits, lambda cache, answer: True, lambda cache: None)
        self.all_endpoints = []  # all that were ever added, since removed ones may still have connections
        self.connections, self.attempts, self.outcomes = [], {}, {}
        for cache in range(1, count + 1):
            self.add_endpoint(cache)

    def add_endpoint(self, cache, port=1):
        self.pool.update_endpoint(cache, f"127.0.0.{cache}", port, -math.inf, True)
        self.all_endpoints += [e for e in [self.pool.endpoints[cache]] if e not in self.all_endpoints]

    def advance(self, seconds=0.0):
        self.reactor.advance(seconds)
        for _ in range(6):  # enough iterations for calls that schedule others without a delay
            self.reactor.advance(0)

    def send(self, cache, name):
        def end(attempt, outcome):
            self.outcomes[name] = outcome.status if isinstance(outcome, Answer) else outcome

        self.attempts[name] = Attempt(name, cache, None, "key", 0, lambda: b"do\r\n", end)
        self.pool.send(self.attempts[name])
        self.advance()

    def pending_connects(self):
        return [connector for endpoint in self.all_endpoints for connector in endpoint.connecting]

    def complete_connects(self):
        for connector in self.pending_connects():
            connection = connector.buildProtocol(None)
            connection.transport = InMemoryConnection(self.reactor, connection)
            self.connections.append(connection)
            connection.connectionMade()
        self.advance()

    def answer(self, name):
        connection = self.attempts[name].connection
        connection.dataReceived(b"%b DONE - 0\r\n\r\n" % name.encode())
        self.advance()

    def serve(self, cache, name):
        """Send an attempt, complete the pending connects, and answer it."""
        self.send(cache, name)
        self.complete_connects()
        self.answer(name)

    def connected_caches(self):
        """Return the cache number of each open connection, sorted."""
        return sorted(c.owner.cache for c in self.connections if not c.is_lost)

    def descriptor_count(self):
        """Return the number of descriptors in use, counted independently of the pool's own count."""
        return len(self.pending_connects()) + sum(not connection.is_lost for connection in self.connections)


def test_at_the_limit_the_connection_idle_for_longest_is_closed():
    harness = PoolHarness()
    harness.serve(1, "a")
    harness.serve(2, "b")
    harness.serve(1, "c")  # now the connection to cache 2 is the one idle for longest
    harness.send(3, "d")
    assert harness.connected_caches() == [1] and len(harness.pending_connects()) == 1
    harness.complete_connects()
    harness.answer("d")
    assert harness.connected_caches() == [1, 3] and set(harness.outcomes.values()) == {"DONE"}


def test_a_connection_with_an_attempt_in_flight_stays_open_and_the_first_to_become_idle_is_closed():
    harness = PoolHarness(4)
    for cache, name in ((1, "a"), (2, "b")):
        harness.send(cache, name)
    harness.complete_connects()
    for cache, name in ((3, "c"), (4, "d")):
        harness.send(cache, name)
    harness.advance(0.2)
    assert harness.connected_caches() == [1, 2] and not harness.pending_connects()
    harness.answer("b")  # the connection to cache 2 is idle, and closed in favour of cache 3
    assert harness.connected_caches() == [1] and [
        connector.endpoint.cache for connector in harness.pending_connects()
    ] == [3]
    harness.complete_connects()
    assert harness.connected_caches() == [1, 3]
    harness.answer("c")
    harness.complete_connects()
    harness.answer("d")
    assert "a" not in harness.outcomes and {harness.outcomes[name] for name in "bcd"} == {"DONE"}


def test_an_attempt_that_gets_no_connection_in_time_is_no_evidence_against_its_cache():
    """The attempt ends as superseded and not as unreachable, since no connect to its cache was made."""
    harness = PoolHarness()
    for cache, name in ((1, "a"), (2, "b")):
        harness.send(cache, name)
    harness.complete_connects()
    harness.send(3, "c")
    harness.advance(CONNECT_TIMEOUT - 0.1)
    assert "c" not in harness.outcomes
    harness.advance(0.2)
    assert harness.outcomes["c"] is AttemptLoss.SUPERSEDED
    harness.answer("a")  # its connection is idle, but no attempt waits any more that needs its place
    assert harness.connected_caches() == [1, 2]


def test_a_connect_that_the_limit_delayed_is_no_evidence_against_its_cache():
    """The connect to cache 3 begins 0.3 s after its attempt, and has 0.1 s left instead of 0.4 s."""
    harness = PoolHarness()
    for cache, name in ((1, "a"), (2, "b")):
        harness.send(cache, name)
    harness.complete_connects()
    harness.send(3, "c")
    harness.advance(CONNECT_TIMEOUT - 0.1)
    harness.answer("a")  # the idle connection makes room for cache 3
    assert len(harness.pending_connects()) == 1
    harness.advance(0.15)  # past the end of the wait: 0.3 + 0.15 = 0.45 s
    assert harness.outcomes["c"] is AttemptLoss.SUPERSEDED


def test_at_the_limit_a_refused_connect_ends_its_attempts_as_unreachable():
    harness = PoolHarness()
    harness.serve(1, "a")
    harness.serve(2, "b")
    harness.send(3, "c")
    harness.pending_connects()[0].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    harness.advance()
    assert harness.outcomes["c"] is AttemptLoss.UNREACHABLE
    harness.serve(3, "d")
    assert harness.outcomes["d"] == "DONE" and harness.descriptor_count() == 2


def test_a_connect_that_is_retried_at_the_limit_after_a_local_fault_joins_the_queue():
    """Between the fault and the retry, another cache takes the last permitted connection."""
    harness = PoolHarness()
    harness.send(1, "first")
    harness.complete_connects()
    harness.send(3, "waiting")
    (connector,) = harness.pending_connects()
    connector.clientConnectionFailed(None, Failure(ConnectError(errno.EADDRNOTAVAIL, "injected")))
    harness.send(2, "last")
    harness.complete_connects()
    harness.advance(MAX_DELAY)  # the backoff ends
    assert not harness.pool.endpoints[3].has_stranded_attempts()
    harness.answer("first")
    harness.complete_connects()
    assert harness.attempts["waiting"].connection and "waiting" not in harness.outcomes


@pytest.mark.parametrize("in_transit", ["a cancellation", "a health check", "a part of an answer"])
def test_a_connection_with_data_in_transit_is_not_closed_to_make_room(in_transit):
    """After a cancellation or a health check, the cache's answer may still arrive.

    The connection is therefore kept for one connect timeout.
    """
    harness = PoolHarness(max_connections=1)
    harness.serve(1, "a")
    if in_transit == "a cancellation":
        # The answer to c arrives after b was sent. Without it, the connection would count as silent, and the
        # cancellation of b would end its use.
        harness.send(1, "b")
        harness.send(1, "c")
        harness.advance(0.01)
        harness.answer("c")
        harness.pool.cancel(harness.attempts["b"])
    elif in_transit == "a health check":
        assert harness.pool.send_health_check(1, "p1", wants_load=False)
    else:
        harness.connections[0].dataReceived(b"a DONE")
    harness.send(2, "d")
    harness.advance(0.1)
    assert harness.connected_caches() == [1] and not harness.pending_connects()
    if in_transit == "a part of an answer":
        harness.connections[0].dataReceived(b" - 0\r\n\r\n")
        harness.advance()
    else:
        harness.advance(CONNECT_TIMEOUT - 0.1)
        assert harness.outcomes["d"] is AttemptLoss.SUPERSEDED
        harness.send(2, "e")  # the connection may be closed now
    assert harness.connected_caches() == [] and len(harness.pending_connects()) == 1


def test_a_new_connection_carries_its_waiting_attempt_before_it_may_be_closed():
    harness = PoolHarness(max_connections=1)
    harness.send(1, "a")
    harness.send(2, "b")
    harness.complete_connects()
    assert harness.connected_caches() == [1] and harness.attempts["a"].connection
    harness.answer("a")
    harness.complete_connects()
    assert harness.connected_caches() == [2] and harness.attempts["b"].connection


def test_each_waiting_cache_gets_one_free_connection_before_any_gets_a_second():
    """Cache 3 needs two connections, since each has one stream; cache 4 comes before its second."""
    harness = PoolHarness(4, max_streams=1)
    for cache, name in ((1, "a"), (2, "b"), (3, "c"), (3, "d"), (4, "e")):
        harness.send(cache, name)
    harness.complete_connects()
    harness.answer("a")
    harness.answer("b")
    harness.complete_connects()
    assert harness.connected_caches() == [3, 4]


def test_a_changed_limit_applies_to_subsequent_connects():
    harness = PoolHarness(4, max_connections=3)
    for cache, name in ((1, "a"), (2, "b"), (3, "c")):
        harness.serve(cache, name)
    harness.pool.limits = replace(harness.pool.limits, max_connections=2)
    harness.serve(4, "d")
    assert harness.connected_caches() == [3, 4]
    harness.pool.limits = replace(harness.pool.limits, max_connections=3)
    harness.serve(1, "e")
    assert harness.connected_caches() == [1, 3, 4]


def test_connections_to_removed_caches_are_counted_and_read_until_they_are_closed():
    """The answer of a removed cache arrives while reading is paused, and is read afterwards."""
    harness = PoolHarness()
    harness.send(1, "a")
    harness.complete_connects()
    harness.pool.pause_reading(True)
    harness.pool.remove_endpoint(1)
    assert harness.pool.connection_count() == 1
    harness.connections[0].dataReceived(b"a DONE - 0\r\n\r\n")
    harness.pool.pause_reading(False)
    harness.advance()
    assert (
        harness.outcomes["a"] == "DONE" and harness.pool.connection_count() == 0 == harness.descriptor_count()
    )


def test_no_operation_iterates_over_all_caches():
    harness = PoolHarness(50)
    harness.pool.endpoints = LookupOnlyEndpoints(harness.pool.endpoints)
    for cache in range(1, 20):
        harness.serve(cache, f"a{cache}")
    harness.send(20, "waits")  # for its connect, which is never completed
    # neither the purge of another object nor a change of cache 3 concerns the waiting attempt
    harness.pool.cancel_purged("other", 1)
    harness.pool.cancel_concerning({3})
    harness.pool.pause_reading(True)
    harness.pool.pause_reading(False)
    assert harness.pool.connection_count() == 2 and "waits" not in harness.outcomes
    harness.pool.cancel_purged("key", 0)  # the object of all attempts
    assert harness.outcomes["waits"] is AttemptLoss.SUPERSEDED and not harness.pool.waiting_endpoints


@pytest.mark.parametrize("seed", range(30))
def test_the_running_count_matches_the_number_of_connections_after_random_events(seed):
    rng, harness = random.Random(seed), PoolHarness(6, max_connections=3)
    print(f"seed {seed}")  # shown if the test fails

    def answer(name):
        if harness.attempts[name].connection and not harness.attempts[name].is_over:
            harness.answer(name)

    def lose_connections():
        for connection in [c for c in harness.connections if not c.is_lost and rng.random() < 0.3]:
            connection.connectionLost(Failure(ConnectionDone()))

    def refuse_connects():
        for connector in harness.pending_connects():
            connector.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def remove_endpoint(cache):
        harness.pool.remove_endpoint(cache)
        # The reactor reports a failed connect when a pending connect is abandoned.
        for connector in [d for d in harness.pending_connects() if d.endpoint.is_closed]:
            connector.clientConnectionFailed(None, Failure(ConnectionDone()))

    # Each of the 120 steps is drawn from this list; an entry that is repeated is drawn more often.
    for number in range(120):
        cache, names = rng.randint(1, 6), list(harness.attempts) or ["none"]
        name = rng.choice(names)
        steps = [
            *[lambda n=number, c=cache: harness.send(c, f"a{n}")] * 4,
            *[harness.complete_connects] * 3,
            *[lambda n=name: n in harness.attempts and answer(n)] * 4,
            lambda n=name: n in harness.attempts and harness.pool.cancel(harness.attempts[n]),
            lambda c=cache: harness.pool.send_health_check(c, f"p{c}", wants_load=False),
            lambda c=cache: remove_endpoint(c),
            lambda c=cache: harness.add_endpoint(c, port=rng.randint(1, 2)),
            lambda: harness.advance(rng.choice((0.05, 0.5, 16.0))),
            lose_connections,
            refuse_connects,
        ]
        rng.choice(steps)()
        harness.advance()
        assert harness.pool.connection_count() == harness.descriptor_count() <= 3
    # Let all waits for a connection expire: each lasts 0.4 s.
    harness.advance(1.0)
    refuse_connects()
    harness.advance(1.0)
    ended = {name for name, attempt in harness.attempts.items() if attempt.is_over}
    # every attempt that was never sent has ended
    assert ended >= {name for name, attempt in harness.attempts.items() if attempt.connection is None}
    assert not harness.pool.limiter.queue and not harness.pool.waiting_endpoints


def test_a_connection_closed_to_make_room_is_no_evidence_against_its_cache():
    harness = FrontHarness()
    pool = harness.dispatcher.pool
    pool.limits = replace(pool.limits, max_connections=1)
    for number in range(1, 13):
        harness.send(harness.connect_client(), process(number, key=f"{number:016x}"))
        harness.complete_connects()
        uid, index = next(key for key, connection in harness.caches.items() if connection.in_flight)
        harness.answer(uid, number, "DONE", "-", b"photo", number=index)
    assert harness.counts["served"] == 12 and harness.counts["attempts"] == 12
    # More connections than caches: some were closed to make room and opened again.
    assert {uid for uid, _ in harness.caches} == {"e1", "e2"} and len(harness.caches) > 2
    caches = harness.dispatcher.router.caches.values()
    assert all(cache.breaks.broken_at == -math.inf and cache.failure_rate() < 0.5 for cache in caches)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_simulated_site_at_the_limit_keeps_all_rules_and_rejects_few_requests(monkeypatch, seed):
    """A site of seven caches and faults of all kinds, whose fronts may open 6 connections to caches each.

    If no idle connections were closed to make room, 40 to 50 % of the requests would be rejected.
    """
    monkeypatch.setattr(configuration, "CACHE_DESCRIPTORS", 6)
    result = Run(seed).play()
    assert not result.violations and not result.errors
    assert result.counts.get("throttled", 0) < 0.2 * result.counts["downloads"]
