"""Tests of the socket fault injector: its plans, its audit, and real fronts that run under a few seeds.

The injector makes system calls of a front fail. A plan, drawn from a seed, has episodes in which one kind of
call fails. The audit checks at the emulated caches that the attempts of a request do not overlap, and that no
attempt arrives after the deduplication window of its idempotency key.
"""

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


def test_a_plan_depends_only_on_its_seed_and_consecutive_seeds_inject_each_fault_throughout_a_run():
    assert draw_plan(7, 5.0) == draw_plan(7, 5.0) != draw_plan(8, 5.0)
    assert {seed_fault(seed) for seed in range(len(ALL_FAULTS))} == set(ALL_FAULTS)
    seed_episodes = draw_plan(7, 5.0)[:SEED_FAULT_WINDOWS]  # those of the fault that belongs to the seed
    assert {(episode.call, episode.error_number) for episode in seed_episodes} == {seed_fault(7)}
    assert (seed_episodes[0].since, seed_episodes[-1].until) == (0.0, 5.0)


def test_calls_fail_only_during_an_episode_and_a_bounded_number_of_times():
    (episode,) = draw_plan(5, 5.0)[:1]  # the fault of seed 5 is that accept fails with ENFILE
    episode.chance = 1.0
    faults = CallFaults([episode], random.Random(1))
    during_episode = (episode.since + episode.until) / 2
    assert faults.draw(Call.EPOLL_WAIT, during_episode) is None
    drawn = [faults.draw(Call.ACCEPT, during_episode) for _ in range(100)]
    # at first all calls fail, then none: 40 is the largest number of faults of an episode
    assert drawn == [errno.ENFILE] * drawn.count(errno.ENFILE) + [None] * drawn.count(None)
    assert 0 < drawn.count(errno.ENFILE) <= 40 and faults.calls[Call.ACCEPT] == 100
    episode.remaining = 9  # more faults would be allowed, but the episode is over
    assert faults.draw(Call.ACCEPT, episode.until + 1.0) is None


def test_connect_errors_are_attributed_to_this_machine_or_to_the_peer():
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


def record_two_attempts(clock, audit, *, ends_first):
    """Record two attempts of one request with an idempotency key, sent 10 ms apart.


    With `ends_first`, the first attempt ends when the second has arrived, within the permitted slack.

    Returns:
        The command, which is the same for both attempts, and the connection of the second attempt.
    """
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
def test_the_audit_reports_a_second_attempt_in_flight_unless_the_first_ends_in_time(ends_first):
    clock = Clock()
    audit = AttemptAudit(clock)
    record_two_attempts(clock, audit, ends_first=ends_first)
    assert bool(audit.violations) is not ends_first


def test_the_audit_reports_an_effect_requested_again_after_its_deduplication_window(monkeypatch):
    clock = Clock()
    monkeypatch.setattr("time.monotonic", clock.seconds)  # the audit's clock for idempotency keys
    audit = AttemptAudit(clock)
    command, second = record_two_attempts(clock, audit, ends_first=True)
    clock.advance(DEDUPLICATION_WINDOW)
    audit.on_attempt_ended(command.name, second)
    audit.on_attempt_sent(command, second)
    assert audit.violations == ["effect asked for again beyond its window: ab"]


@pytest.mark.parametrize(
    "seed", [5, 12, 41], ids=["accept ENFILE", "connect ENETUNREACH", "epoll_wait EINTR"]
)
def test_a_front_whose_system_calls_fail_keeps_the_rules(seed):
    """Check the rules, which are listed in `weldbend.testbed.faults.socket_trial`.

    A seed injects the fault named in its test id from start to shutdown, and five randomly drawn faults, each
    in one short episode.
    """
    command = [sys.executable, "-m", "weldbend.testbed.faults.socket_trial", "--seeds", str(seed)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=120)
    report = json.loads(result.stdout)
    assert (result.returncode, report["violations"]) == (0, []), report
    call, number = seed_fault(seed)
    name = f"{call.value} {errno.errorcode[number]}"
    assert any(description.startswith(name) for description in report["injected"]), report["injected"]
