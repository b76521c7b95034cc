"""Faults of this machine say nothing about a cache: they cost no budget, no attempt and no trust."""

import errno

import pytest
from fronts import FrontHarness, RouterHarness, process
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.python.failure import Failure

from weldbend.caches.connect_backoff import MAX_DELAY, MIN_DELAY, ConnectBackoff
from weldbend.routing.actions import SetTimer
from weldbend.routing.events import AttemptEnded, AttemptResult


def test_attempts_that_never_left_this_machine_spend_neither_attempts_nor_retry_budget():
    front = RouterHarness(max_attempts=2)
    front.request("d")
    for _ in range(5):
        front.end_attempt("d", AttemptResult.LOCAL_FAULT)
    front.end_attempt("d", AttemptResult.SERVED)
    assert front.attempts["d"] == 6 and not any("throttled" in line for line in front.trace)
    assert front.router.admission.retries.total(front.now) == 0


@pytest.mark.parametrize("result", [AttemptResult.LOCAL_FAULT, AttemptResult.UNREACHABLE])
def test_a_fault_of_this_machine_is_no_evidence_against_a_cache_and_a_refusal_is(result):
    front = RouterHarness()
    front.request("d")
    first = front.trace[-1].split()[2]
    front.end_attempt("d", result)
    cache = next(c for c in front.router.context.caches.values() if str(c.id) == first)
    is_known = result is AttemptResult.UNREACHABLE
    assert (cache.failures.total(front.now) > 0) == is_known
    assert (cache.breaks.broken_at > 0 or cache.breaks.unreachable_at >= 0) == is_known
    assert front.trace[-1].split()[2] != first  # this request passes it by in either case


class Refusing:
    """Has a front's connects fail in this machine, reported by Twisted or raised, while `errors` lasts."""

    def __init__(self, harness, errors, is_raised=False):
        self.reactor, self.connect = harness.reactor, harness.reactor.connectTCP
        self.errors, self.is_raised, self.count = errors, is_raised, 0
        harness.reactor.connectTCP = self.connect_tcp

    def connect_tcp(self, host, port, factory, timeout=30, bindAddress=None):
        self.count += 1
        if not self.errors:
            return self.connect(host, port, factory, timeout)
        number = self.errors.pop(0)
        if self.is_raised:
            raise OSError(number, "injected")
        connector = self.connect(host, port, factory, timeout)
        failed = Failure(number if isinstance(number, Exception) else ConnectError(number, "injected"))
        self.reactor.callLater(0, factory.clientConnectionFailed, connector, failed)
        return connector


def ends(harness):
    """The results of attempts that the router is told from now on, and that of a request's end."""
    told, post = [], harness.dispatcher.queue.post
    harness.dispatcher.queue.post = lambda event: (told.append(event), post(event))
    return lambda: [event.result.name for event in told if isinstance(event, AttemptEnded)]


LOCAL = [
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EINTR,
    ConnectError(string=Failure(ConnectionDone())),  # what Twisted makes of EAGAIN
    OSError(errno.ENOSPC, "epoll_ctl"),
]


@pytest.mark.parametrize("error", LOCAL, ids=str)
def test_a_connect_that_this_machine_could_not_make_is_made_again_while_the_attempt_waits(error):
    harness = FrontHarness()
    results = ends(harness)
    refusing = Refusing(harness, [error] * 3)
    harness.send(harness.connect_client(), process(1))
    for _ in range(30):
        harness.advance(0.01)
    assert refusing.count == 4 and not results()
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'" and results() == ["SERVED"]


def test_a_connection_that_comes_up_and_cannot_be_watched_is_this_machines_fault():
    """Twisted makes the protocol, fails to watch the socket, and reports the end of what never opened."""
    harness = FrontHarness()
    results = ends(harness)
    harness.send(harness.connect_client(), process(1))
    ((_, dial),) = harness.pending_connects()
    dial.buildProtocol(None).connectionLost(Failure(OSError(errno.ENOMEM, "epoll_ctl")))
    assert not harness.pending_connects()  # there is a backoff
    for _ in range(45):
        harness.advance(0.01)
    assert results() == ["LOCAL_FAULT"]
    harness.complete_connects()
    harness.answer("e1", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


def test_an_error_that_connecting_raises_does_not_fail_the_request():
    harness = FrontHarness()
    Refusing(harness, [errno.EMFILE], is_raised=True)
    harness.send(harness.connect_client(), process(1))
    harness.advance(0.02)
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_a_connect_that_the_peer_or_its_path_failed_ends_the_attempt_at_once(error):
    harness = FrontHarness()
    results = ends(harness)
    refusing = Refusing(harness, [error])
    harness.send(harness.connect_client(), process(1))
    harness.advance()
    assert results() == ["UNREACHABLE"] and refusing.count == 2


def test_without_any_connection_a_request_gets_its_answer_by_its_deadline_and_connects_are_bounded():
    """Connects that never work: no cache is blamed, and their number is bounded by the backoff."""
    harness = FrontHarness()
    results = ends(harness)
    refusing = Refusing(harness, [errno.ENFILE] * 10_000)
    client = harness.connect_client()
    harness.send(client, *(process(n, wait="1500") for n in range(1, 31)))
    for _ in range(160):
        harness.advance(0.01)
    answers = [line for line in harness.trace if line.startswith("client 0 <")]
    assert len(answers) == 30 and all("throttled" in line for line in answers), answers
    assert set(results()) == {"LOCAL_FAULT"}
    context = harness.dispatcher.router.context
    assert not any(cache.failures.total(context.now) for cache in context.caches.values())
    assert all(cache.breaks.broken_at < 0 for cache in context.caches.values())
    most = 1.5 / (MAX_DELAY / 2) + 4  # in the time of the requests, the first four waits being shorter
    assert refusing.count < most * len(context.caches)


def test_what_broke_a_connection_is_found_out_also_where_the_first_new_connect_fails_in_this_machine():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    refusing = Refusing(harness, [errno.EMFILE])
    harness.caches["e2", 0].transport.loseConnection()
    harness.advance()
    harness.advance(0.02)
    assert refusing.count >= 2 and "e2" in [name for name, _ in harness.pending_connects()]


def test_an_attempt_held_up_for_longer_than_an_answer_may_take_is_not_held_against_its_cache():
    """Its cache was suspected as slow, though nothing had reached it."""
    harness = FrontHarness()
    results = ends(harness)
    Refusing(harness, [errno.EMFILE] * 1000)
    harness.send(harness.connect_client(), process(1))
    ((request_id, request),) = harness.dispatcher.requests.by_id.items()
    harness.advance(0.05)
    harness.dispatcher._fire_timer(SetTimer(0.05, f"slow:{request_id}:0", request_id, 0))
    harness.advance()
    context = harness.dispatcher.router.context
    assert request.attempts[0].is_over and results() == ["LOCAL_FAULT"]
    assert not any(cache.failures.total(context.now) for cache in context.caches.values())


def test_no_connect_says_unreachable_only_where_one_was_under_way_for_the_whole_time():
    harness = FrontHarness()
    results = ends(harness)
    Refusing(harness, [])
    harness.send(harness.connect_client(), process(1))
    harness.advance(0.41)
    assert results() == ["UNREACHABLE"]


def test_waits_between_connects_double_up_to_a_bound_differ_by_front_and_repeat_exactly():
    delays = []
    for address in ("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2"):
        backoff = ConnectBackoff(address)
        drawn = []
        for step in range(8):
            drawn.append(backoff.record_fault(step * 0.1))
            assert backoff.record_fault(step * 0.1) is None
            backoff.is_retry_scheduled = False
        delays.append(drawn)
    for step, delay in enumerate(delays[0]):
        longest = min(MIN_DELAY * 2**step, MAX_DELAY)
        assert longest / 2 <= delay <= longest
    assert delays[0] == delays[1] != delays[2]
