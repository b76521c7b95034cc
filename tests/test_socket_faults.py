"""The injector at the socket layer: its plans, its audit, and real fronts under it by a few seeds."""

import errno
import json
import random
import subprocess
import sys
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from weldbend.socket_errors import (
    ABORTED_CONNECTION_ERRORS,
    FaultSide,
    connect_fault_side,
    error_number,
)
from weldbend.testbed.faults.call_faults import (
    ALL_FAULTS,
    ERRORS,
    SEED_FAULT_WINDOWS,
    Call,
    CallFaults,
    draw_plan,
    ends_connection,
    seed_fault,
)
from weldbend.testbed.faults.socket_trial import (
    DEDUPLICATION_WINDOW,
    OVERLAP_SLACK,
    AttemptAudit,
    AuditedConnection,
)


def test_a_plan_depends_on_its_seed_alone_and_as_many_seeds_as_faults_inject_each_in_all_of_the_time():
    assert draw_plan(7, 5.0) == draw_plan(7, 5.0) != draw_plan(8, 5.0)
    assert {seed_fault(seed) for seed in range(len(ALL_FAULTS))} == set(ALL_FAULTS)
    own = draw_plan(7, 5.0)[:SEED_FAULT_WINDOWS]
    assert {(episode.call, episode.error_number) for episode in own} == {seed_fault(7)}
    assert (own[0].since, own[-1].until) == (0.0, 5.0)


def test_calls_fail_between_two_moments_and_a_bounded_number_of_times():
    (episode,) = draw_plan(5, 5.0)[:1]
    episode.chance = 1.0
    faults = CallFaults([episode], random.Random(1))
    inside = (episode.since + episode.until) / 2
    assert faults.draw(Call.EPOLL_WAIT, inside) is None
    drawn = [faults.draw(Call.ACCEPT, inside) for _ in range(100)]
    assert drawn == [errno.ENFILE] * drawn.count(errno.ENFILE) + [None] * drawn.count(None)
    assert 0 < drawn.count(errno.ENFILE) <= 40 and faults.calls[Call.ACCEPT] == 100
    episode.remaining = 9
    assert faults.draw(Call.ACCEPT, episode.until + 1.0) is None


def test_errors_of_connect_are_this_machines_or_the_peers():
    peers = {errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED, errno.ECONNRESET}
    for call in (Call.SOCKET, Call.CONNECT, Call.CONNECT_RESULT, Call.EPOLL_CTL):
        for number in ERRORS[call]:
            expected = FaultSide.PEER if number in peers else FaultSide.THIS_MACHINE
            assert connect_fault_side(number) is expected, errno.errorcode[number]
    assert connect_fault_side(error_number(TimeoutError())) is FaultSide.PEER
    assert not ABORTED_CONNECTION_ERRORS & {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EBADF,
    }
    assert not ends_connection(Call.SEND, errno.ENOBUFS) and ends_connection(Call.SEND, errno.EPIPE)


def attempts(clock, audit, *, ends_first):
    server = SimpleNamespace(cache=SimpleNamespace(open=0))
    first, second = (AuditedConnection(server, audit) for _ in range(2))
    command = SimpleNamespace(name="0000000000000001", fields={"uniq": "ab"})
    audit.on_attempt_sent(command, first)
    clock.advance(0.01)
    audit.on_attempt_sent(command, second)
    if ends_first:
        audit.on_attempt_ended(command.name, first)
    clock.advance(OVERLAP_SLACK)
    return command, second


@pytest.mark.parametrize("ends_first", [True, False])
def test_the_audit_sees_two_attempts_in_flight(ends_first):
    clock = Clock()
    audit = AttemptAudit(clock)
    attempts(clock, audit, ends_first=ends_first)
    assert bool(audit.violations) is not ends_first


def test_the_audit_sees_an_effect_that_is_asked_for_beyond_its_window(monkeypatch):
    clock = Clock()
    monkeypatch.setattr("time.monotonic", clock.seconds)
    audit = AttemptAudit(clock)
    command, second = attempts(clock, audit, ends_first=True)
    clock.advance(DEDUPLICATION_WINDOW)
    audit.on_attempt_ended(command.name, second)
    audit.on_attempt_sent(command, second)
    assert audit.violations == ["effect asked for again beyond its window: ab"]


@pytest.mark.parametrize(
    "seed", [5, 12, 41], ids=["accept ENFILE", "connect ENETUNREACH", "epoll_wait EINTR"]
)
def test_a_front_whose_calls_fail_keeps_the_rules(seed):
    """Each seed injects the named fault from the start to the shutdown, and five more beside it."""
    command = [sys.executable, "-m", "weldbend.testbed.faults.socket_trial", "--seeds", str(seed)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120)
    report = json.loads(done.stdout)
    assert (done.returncode, report["violations"]) == (0, []), report
    call, number = seed_fault(seed)
    name = f"{call.value} {errno.errorcode[number]}"
    assert any(shown.startswith(name) for shown in report["injected"]), report["injected"]
