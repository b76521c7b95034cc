"""The bound on connections to all caches: which make way, which never do, and who gets the room."""

import math
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from fronts import FrontHarness, process
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.attempt import Attempt, AttemptLoss
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


class Socket(StringTransport):
    """A connection in memory; as with a real one, its end is reported in a later iteration."""

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


class EndpointsByNumber(dict):
    """The listed caches: they may be looked up, but work over all of them is an error."""

    def __iter__(self):
        raise AssertionError("work in proportion to all caches")

    keys = values = items = __iter__


class Caches:
    """A pool and the caches that it connects to; what became of each attempt, by its name."""

    def __init__(self, count=3, **changes):
        self.reactor = MemoryReactorClock()
        timers = Timers(self.reactor, SimpleNamespace(now=self.reactor.seconds))
        limits = replace(LIMITS, **changes)
        self.pool = CachePool(self.reactor, timers, limits, lambda cache, answer: True, lambda cache: None)
        self.known = []  # all endpoints that there ever were
        self.up, self.attempts, self.outcomes = [], {}, {}
        for cache in range(1, count + 1):
            self.list(cache)

    def list(self, cache, port=1):
        self.pool.update_endpoint(cache, f"127.0.0.{cache}", port, -math.inf, True)
        self.known += [e for e in [self.pool.endpoints[cache]] if e not in self.known]

    def turn(self, seconds=0.0):
        self.reactor.advance(seconds)
        for _ in range(6):
            self.reactor.advance(0)

    def send(self, cache, name):
        def end(attempt, outcome):
            self.outcomes[name] = outcome.status if isinstance(outcome, Answer) else outcome

        self.attempts[name] = Attempt(name, cache, None, "key", 0, lambda: b"do\r\n", end)
        self.pool.send(self.attempts[name])
        self.turn()

    def dials(self):
        return [dial for endpoint in self.known for dial in endpoint.connecting]

    def connect(self):
        for dial in self.dials():
            connection = dial.buildProtocol(None)
            connection.transport = Socket(self.reactor, connection)
            self.up.append(connection)
            connection.connectionMade()
        self.turn()

    def answer(self, name):
        connection = self.attempts[name].connection
        connection.dataReceived(b"%b DONE - 0\r\n\r\n" % name.encode())
        self.turn()

    def serve(self, cache, name):
        """Send an attempt, let what it needs come up, and answer it."""
        self.send(cache, name)
        self.connect()
        self.answer(name)

    def connected(self):
        """The caches to which connections are up, one after another."""
        return sorted(c.owner.cache for c in self.up if not c.is_lost)

    def held(self):
        """How many descriptors connections hold, counted one by one."""
        return len(self.dials()) + sum(not connection.is_lost for connection in self.up)


def test_at_the_bound_the_connection_that_is_idle_for_longest_makes_way():
    caches = Caches()
    caches.serve(1, "a")
    caches.serve(2, "b")
    caches.serve(1, "c")  # now cache 2 is the one not used for longest
    caches.send(3, "d")
    assert caches.connected() == [1] and len(caches.dials()) == 1
    caches.connect()
    caches.answer("d")
    assert caches.connected() == [1, 3] and set(caches.outcomes.values()) == {"DONE"}


def test_a_connection_with_an_attempt_in_flight_never_makes_way_and_the_next_idle_one_does_at_once():
    caches = Caches(4)
    for cache, name in ((1, "a"), (2, "b")):
        caches.send(cache, name)
    caches.connect()
    for cache, name in ((3, "c"), (4, "d")):
        caches.send(cache, name)
    caches.turn(0.2)
    assert caches.connected() == [1, 2] and not caches.dials()
    caches.answer("b")
    assert caches.connected() == [1] and [dial.endpoint.cache for dial in caches.dials()] == [3]
    caches.connect()
    assert caches.connected() == [1, 3]
    caches.answer("c")
    caches.connect()
    caches.answer("d")
    assert "a" not in caches.outcomes and {caches.outcomes[name] for name in "bcd"} == {"DONE"}


def test_who_gets_no_room_in_time_says_nothing_of_its_cache():
    caches = Caches()
    for cache, name in ((1, "a"), (2, "b")):
        caches.send(cache, name)
    caches.connect()
    caches.send(3, "c")
    caches.turn(CONNECT_TIMEOUT - 0.1)
    assert "c" not in caches.outcomes
    caches.turn(0.2)
    assert caches.outcomes["c"] is AttemptLoss.SUPERSEDED
    caches.answer("a")  # nobody waits any more: nothing has to make way
    assert caches.connected() == [1, 2]


def test_a_turn_that_comes_late_leaves_its_cache_no_blame_either():
    caches = Caches()
    for cache, name in ((1, "a"), (2, "b")):
        caches.send(cache, name)
    caches.connect()
    caches.send(3, "c")
    caches.turn(CONNECT_TIMEOUT - 0.1)
    caches.answer("a")
    assert len(caches.dials()) == 1
    caches.turn(0.15)
    assert caches.outcomes["c"] is AttemptLoss.SUPERSEDED


def test_a_cache_that_refuses_has_its_attempts_end_as_unreachable_as_ever():
    caches = Caches()
    caches.serve(1, "a")
    caches.serve(2, "b")
    caches.send(3, "c")
    caches.dials()[0].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
    caches.turn()
    assert caches.outcomes["c"] is AttemptLoss.UNREACHABLE
    caches.serve(3, "d")
    assert caches.outcomes["d"] == "DONE" and caches.held() == 2


@pytest.mark.parametrize("crossing", ["a cancellation", "a health check", "a part of an answer"])
def test_a_connection_on_which_something_is_on_its_way_does_not_make_way(crossing):
    caches = Caches(max_connections=1)
    caches.serve(1, "a")
    if crossing == "a cancellation":
        caches.send(1, "b")
        caches.send(1, "c")
        caches.turn(0.01)
        caches.answer("c")
        caches.pool.cancel(caches.attempts["b"])
    elif crossing == "a health check":
        assert caches.pool.send_health_check(1, "p1", wants_load=False)
    else:
        caches.up[0].dataReceived(b"a DONE")
    caches.send(2, "d")
    caches.turn(0.1)
    assert caches.connected() == [1] and not caches.dials()
    if crossing == "a part of an answer":
        caches.up[0].dataReceived(b" - 0\r\n\r\n")
        caches.turn()
    else:
        caches.turn(CONNECT_TIMEOUT - 0.1)
        assert caches.outcomes["d"] is AttemptLoss.SUPERSEDED
        caches.send(2, "e")
    assert caches.connected() == [] and len(caches.dials()) == 1


def test_one_that_has_just_come_up_carries_what_waits_for_it_before_it_may_make_way():
    caches = Caches(max_connections=1)
    caches.send(1, "a")
    caches.send(2, "b")
    caches.connect()
    assert caches.connected() == [1] and caches.attempts["a"].connection
    caches.answer("a")
    caches.connect()
    assert caches.connected() == [2] and caches.attempts["b"].connection


def test_room_is_given_in_turn_one_connection_to_each_cache():
    caches = Caches(4, max_streams=1)
    for cache, name in ((1, "a"), (2, "b"), (3, "c"), (3, "d"), (4, "e")):
        caches.send(cache, name)
    caches.connect()
    caches.answer("a")
    caches.answer("b")
    caches.connect()
    assert caches.connected() == [3, 4]


def test_a_bound_that_the_settings_lower_or_raise_holds_from_then_on():
    caches = Caches(4, max_connections=3)
    for cache, name in ((1, "a"), (2, "b"), (3, "c")):
        caches.serve(cache, name)
    caches.pool.limits = replace(caches.pool.limits, max_connections=2)
    caches.serve(4, "d")
    assert caches.connected() == [3, 4]
    caches.pool.limits = replace(caches.pool.limits, max_connections=3)
    caches.serve(1, "e")
    assert caches.connected() == [1, 3, 4]


def test_connections_to_removed_caches_count_until_they_are_closed_and_are_read_on():
    caches = Caches()
    caches.send(1, "a")
    caches.connect()
    caches.pool.pause_reading(True)
    caches.pool.remove_endpoint(1)
    assert caches.pool.connection_count() == 1
    caches.up[0].dataReceived(b"a DONE - 0\r\n\r\n")
    caches.pool.pause_reading(False)
    caches.turn()
    assert caches.outcomes["a"] == "DONE" and caches.pool.connection_count() == 0 == caches.held()


def test_no_step_works_through_all_caches():
    caches = Caches(50)
    caches.pool.endpoints = EndpointsByNumber(caches.pool.endpoints)
    for cache in range(1, 20):
        caches.serve(cache, f"a{cache}")
    caches.send(20, "waits")
    caches.pool.cancel_purged("other", 1)
    caches.pool.cancel_concerning({3})
    caches.pool.pause_reading(True)
    caches.pool.pause_reading(False)
    assert caches.pool.connection_count() == 2 and "waits" not in caches.outcomes
    caches.pool.cancel_purged("key", 0)
    assert caches.outcomes["waits"] is AttemptLoss.SUPERSEDED and not caches.pool.waiting_endpoints


@pytest.mark.parametrize("seed", range(30))
def test_the_running_count_is_that_of_all_connections_whatever_happens(seed):
    chance, caches = random.Random(seed), Caches(6, max_connections=3)
    print(f"seed {seed}")

    def answer(name):
        if caches.attempts[name].connection and not caches.attempts[name].is_over:
            caches.answer(name)

    def lose():
        for connection in [c for c in caches.up if not c.is_lost and chance.random() < 0.3]:
            connection.connectionLost(Failure(ConnectionDone()))

    def refuse():
        for dial in caches.dials():
            dial.clientConnectionFailed(None, Failure(ConnectionRefusedError()))

    def remove(cache):
        caches.pool.remove_endpoint(cache)
        for dial in [d for d in caches.dials() if d.endpoint.is_closed]:  # as the reactor does on disconnect
            dial.clientConnectionFailed(None, Failure(ConnectionDone()))

    for number in range(120):
        cache, names = chance.randint(1, 6), list(caches.attempts) or ["none"]
        name = chance.choice(names)
        steps = [
            *[lambda n=number, c=cache: caches.send(c, f"a{n}")] * 4,
            *[caches.connect] * 3,
            *[lambda n=name: n in caches.attempts and answer(n)] * 4,
            lambda n=name: n in caches.attempts and caches.pool.cancel(caches.attempts[n]),
            lambda c=cache: caches.pool.send_health_check(c, f"p{c}", wants_load=False),
            lambda c=cache: remove(c),
            lambda c=cache: caches.list(c, port=chance.randint(1, 2)),
            lambda: caches.turn(chance.choice((0.05, 0.5, 16.0))),
            lose,
            refuse,
        ]
        chance.choice(steps)()
        caches.turn()
        assert caches.pool.connection_count() == caches.held() <= 3
    caches.turn(1.0)
    refuse()
    caches.turn(1.0)
    ended = {name for name, attempt in caches.attempts.items() if attempt.is_over}
    assert ended >= {name for name, attempt in caches.attempts.items() if attempt.connection is None}
    assert not caches.pool.limiter.queue and not caches.pool.waiting_endpoints


def test_a_close_to_make_way_is_no_evidence_against_its_cache():
    harness = FrontHarness()
    pool = harness.dispatcher.pool
    pool.limits = replace(pool.limits, max_connections=1)
    for number in range(1, 13):
        harness.send(harness.connect_client(), process(number, key=f"{number:016x}"))
        harness.complete_connects()
        uid, place = next(held for held, link in harness.caches.items() if link.in_flight)
        harness.answer(uid, number, "DONE", "-", b"photo", number=place)
    assert harness.counts["served"] == 12 and harness.counts["attempts"] == 12
    assert {uid for uid, _ in harness.caches} == {"e1", "e2"} and len(harness.caches) > 2
    known = harness.dispatcher.router.caches.values()
    assert all(cache.breaks.broken_at == -math.inf and cache.failure_rate() < 0.5 for cache in known)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_a_virtual_site_at_the_bound_keeps_all_rules_and_rejects_few(monkeypatch, seed):
    """Seven caches, faults of all kinds, six connections for each front; before, a quarter was rejected."""
    monkeypatch.setattr(configuration, "CACHE_DESCRIPTORS", 6)
    result = Run(seed).play()
    assert not result.violations and not result.errors
    assert result.counts.get("throttled", 0) < 0.2 * result.counts["downloads"]
