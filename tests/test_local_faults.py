"""Guards against counting faults of this machine as evidence against a cache.

A connect that fails locally, for example for lack of descriptors, is no evidence about the cache. The connect
is retried while its attempt waits. An attempt that ends because of such a fault counts neither towards the
request's maximum number of attempts nor towards the retry budget.
"""

import errno

import pytest
from fronts import FrontHarness, RouterHarness, process
from twisted.internet.error import ConnectError, ConnectionDone
from twisted.python.failure import Failure

from weldbend.caches.connect_backoff import MAX_DELAY, MIN_DELAY, ConnectBackoff
from weldbend.routing.actions import SetTimer
from weldbend.routing.events import AttemptEnded, AttemptResult


def test_attempts_that_end_by_local_faults_do_not_count_against_the_attempt_limit_or_the_retry_budget():
    front = RouterHarness(max_attempts=2)  # fewer than the five local faults that follow
    front.request("d")
    for _ in range(5):
        front.end_attempt("d", AttemptResult.LOCAL_FAULT)
    front.end_attempt("d", AttemptResult.SERVED)
    assert front.attempts["d"] == 6 and not any("throttled" in line for line in front.trace)
    assert front.router.admission.retries.total(front.now) == 0


@pytest.mark.parametrize("result", [AttemptResult.LOCAL_FAULT, AttemptResult.UNREACHABLE])
def test_a_local_fault_is_no_evidence_against_a_cache_and_an_unreachable_cache_is(result):
    front = RouterHarness()
    front.request("d")
    first_cache = front.trace[-1].split()[2]
    front.end_attempt("d", result)
    cache = next(c for c in front.router.context.caches.values() if str(c.id) == first_cache)
    is_cache_failure = result is AttemptResult.UNREACHABLE
    assert (cache.failures.total(front.now) > 0) == is_cache_failure
    assert (cache.breaks.broken_at > 0 or cache.breaks.unreachable_at >= 0) == is_cache_failure
    assert front.trace[-1].split()[2] != first_cache  # in either case the next attempt is at another cache


class FailingConnects:
    """Makes one connect of a front fail for each given error; afterwards connects are passed on.

    A failure is reported later, as Twisted does, or raised by `connectTCP` if `is_raised`.
    """

    def __init__(self, harness, errors, is_raised=False):
        self.reactor, self.connect = harness.reactor, harness.reactor.connectTCP
        self.errors, self.is_raised, self.connect_count = errors, is_raised, 0
        harness.reactor.connectTCP = self.connect_tcp

    def connect_tcp(self, host, port, factory, timeout=30, bindAddress=None):
        self.connect_count += 1
        if not self.errors:
            return self.connect(host, port, factory, timeout)
        number = self.errors.pop(0)
        if self.is_raised:
            raise OSError(number, "injected")
        connector = self.connect(host, port, factory, timeout)
        failed = Failure(number if isinstance(number, Exception) else ConnectError(number, "injected"))
        self.reactor.callLater(0, factory.clientConnectionFailed, connector, failed)
        return connector


def record_attempt_results(harness):
    """Start recording events for the router; return a function that returns the attempt results so far."""
    events, post = [], harness.dispatcher.queue.post
    harness.dispatcher.queue.post = lambda event: (events.append(event), post(event))
    return lambda: [event.result.name for event in events if isinstance(event, AttemptEnded)]


LOCAL_ERRORS = [
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EINTR,
    ConnectError(string=Failure(ConnectionDone())),  # what Twisted reports if connect(2) fails with EAGAIN
    OSError(errno.ENOSPC, "epoll_ctl"),
]


@pytest.mark.parametrize("error", LOCAL_ERRORS, ids=str)
def test_a_connect_that_fails_locally_is_retried_while_the_attempt_waits(error):
    harness = FrontHarness()
    results = record_attempt_results(harness)
    failing_connects = FailingConnects(harness, [error] * 3)
    harness.send(harness.connect_client(), process(1))
    for _ in range(30):  # 0.3 s: longer than three retries take, shorter than the wait of an attempt (0.4 s)
        harness.advance(0.01)
    assert failing_connects.connect_count == 4 and not results()
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'" and results() == ["SERVED"]


def test_a_new_connection_that_cannot_be_registered_is_a_local_fault():
    """Twisted builds the protocol, fails to register the socket, and reports a lost connection."""
    harness = FrontHarness()
    results = record_attempt_results(harness)
    harness.send(harness.connect_client(), process(1))
    ((_, connector),) = harness.pending_connects()
    connector.buildProtocol(None).connectionLost(Failure(OSError(errno.ENOMEM, "epoll_ctl")))
    assert not harness.pending_connects()  # the retry waits for its backoff
    for _ in range(45):  # 0.45 s: the attempt waits for a connection for 0.4 s
        harness.advance(0.01)
    assert results() == ["LOCAL_FAULT"]
    harness.complete_connects()
    harness.answer("e1", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


def test_an_exception_raised_by_connect_does_not_fail_the_request():
    harness = FrontHarness()
    FailingConnects(harness, [errno.EMFILE], is_raised=True)
    harness.send(harness.connect_client(), process(1))
    harness.advance(0.02)  # longer than the delay of the first retry
    harness.complete_connects()
    harness.answer("e2", 1, "DONE", "-", b"photo")
    assert harness.trace[-1] == "client 0 < 1 process: 'photo'"


@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT])
def test_a_connect_error_of_the_peer_or_the_network_path_ends_the_attempt_at_once(error):
    """The second connect is that of the next attempt, at another cache."""
    harness = FrontHarness()
    results = record_attempt_results(harness)
    failing_connects = FailingConnects(harness, [error])
    harness.send(harness.connect_client(), process(1))
    harness.advance()
    assert results() == ["UNREACHABLE"] and failing_connects.connect_count == 2


def test_without_any_connection_requests_are_answered_by_their_deadline_and_connects_are_bounded():
    """Even if every connect fails locally, no cache counts as failed, and the backoff bounds the connects."""
    harness = FrontHarness()
    results = record_attempt_results(harness)
    failing_connects = FailingConnects(harness, [errno.ENFILE] * 10_000)
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
    # Within the deadline of 1.5 s. A delay is at least half of its maximum. The 4 are the first connect, and
    # the three after delays that are still shorter: at most 5, 10 and 20 ms.
    max_connects_per_cache = 1.5 / (MAX_DELAY / 2) + 4
    assert failing_connects.connect_count < max_connects_per_cache * len(context.caches)


def test_the_connect_after_a_broken_connection_is_retried_when_it_fails_locally():
    harness = FrontHarness()
    harness.send(harness.connect_client(), process(1))
    harness.complete_connects()
    failing_connects = FailingConnects(harness, [errno.EMFILE])
    harness.caches["e2", 0].transport.loseConnection()
    harness.advance()
    harness.advance(0.02)  # longer than the delay of the first retry
    assert failing_connects.connect_count >= 2 and "e2" in [name for name, _ in harness.pending_connects()]


def test_an_attempt_delayed_locally_past_the_answer_timeout_is_no_evidence_against_its_cache():
    """The router asks whether the attempt is slow when it still waits for a connection.

    The cache must not count as slow, because nothing was sent to it.
    """
    harness = FrontHarness()
    results = record_attempt_results(harness)
    FailingConnects(harness, [errno.EMFILE] * 1000)
    harness.send(harness.connect_client(), process(1))
    ((request_id, request),) = harness.dispatcher.requests.by_id.items()
    harness.advance(0.05)
    harness.dispatcher._fire_timer(SetTimer(0.05, f"slow:{request_id}:0", request_id, 0))
    harness.advance()
    context = harness.dispatcher.router.context
    assert request.attempts[0].is_over and results() == ["LOCAL_FAULT"]
    assert not any(cache.failures.total(context.now) for cache in context.caches.values())


def test_a_cache_is_unreachable_if_a_connect_was_pending_for_the_whole_timeout():
    harness = FrontHarness()
    results = record_attempt_results(harness)
    FailingConnects(harness, [])  # no connect fails; all of them are pending
    harness.send(harness.connect_client(), process(1))
    harness.advance(0.41)  # an attempt waits for a connection for 0.4 s
    assert results() == ["UNREACHABLE"]


def test_delays_before_connects_double_up_to_a_maximum_and_depend_only_on_address_and_time():
    delays = []
    for address in ("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:2"):
        backoff = ConnectBackoff(address)
        drawn = []
        for step in range(8):
            drawn.append(backoff.record_fault(step * 0.1))
            assert backoff.record_fault(step * 0.1) is None  # a retry is already scheduled
            backoff.is_retry_scheduled = False
        delays.append(drawn)
    for step, delay in enumerate(delays[0]):
        longest = min(MIN_DELAY * 2**step, MAX_DELAY)
        assert longest / 2 <= delay <= longest
    assert delays[0] == delays[1] != delays[2]
