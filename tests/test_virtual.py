"""The deterministic simulation: repeatable runs, and an auditor that detects sabotaged fronts.

An unmodified front must break no rule, and each sabotage must break the rule that guards against it.
"""

import os
import subprocess
import sys

import pytest

from weldbend.caches.attempt import AttemptLoss
from weldbend.caches.connection import CacheConnection
from weldbend.caches.endpoint_connections import EndpointConnections
from weldbend.clients.connection import ClientConnection
from weldbend.front import request_codec
from weldbend.front.attempts import AttemptManager
from weldbend.front.endpoint_updates import EndpointUpdates
from weldbend.routing.admission import Admission
from weldbend.routing.events import AttemptResult, EndpointState
from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import RunSettings
from weldbend.thrift.messages import Process

SEEDS = range(1, 9)  # each sabotage is detected with one of these seeds
SETTINGS = RunSettings(seconds=6.0, faults=8, orders=0.1, edits=0.15)


def test_an_unmodified_front_breaks_no_rule_on_the_seeds_of_the_sabotage():
    for seed in SEEDS:
        result = Run(seed, SETTINGS).play()
        assert not result.violations and not result.errors, (seed, result.violations, result.errors)
        # Clients that leave do not wait for their answers, so these requests need not be fulfilled.
        expected = result.counts["downloads"] - result.counts["requests left open by clients"]
        assert result.counts["fulfilled"] > 0.9 * expected > 200, seed


def test_the_same_seed_gives_the_same_log_in_other_processes():
    code = (
        "from loguru import logger; logger.remove()\n"
        "from weldbend.testbed.simulation.run import Run\n"
        "from weldbend.testbed.simulation.settings import RunSettings\n"
        "print([Run(seed, RunSettings(seconds=4.0)).play().digest() for seed in (3, 4)])"
    )
    outputs = set()
    for hash_seed in ("0", "1", "2"):
        environment = os.environ | {"PYTHONHASHSEED": hash_seed}
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=90, env=environment
        )
        outputs.add(completed.stdout)
    # All processes printed the same list, and the list has two digests.
    assert len(outputs) == 1 and "', '" in outputs.pop()


def test_the_byte_digest_differs_between_runs_and_does_not_depend_on_class_names(monkeypatch):
    run_settings = RunSettings(seconds=3.0)
    first = Run(3, run_settings).play()
    assert first.byte_digest != Run(4, run_settings).play().byte_digest
    # `digest` covers the log, in which messages stand by class name; `byte_digest` covers the bytes sent.
    monkeypatch.setattr(Process, "__repr__", lambda self: "Renamed()")
    renamed = Run(3, run_settings).play()
    assert renamed.digest() != first.digest()
    assert renamed.byte_digest == first.byte_digest


def test_the_byte_digest_detects_one_changed_field(monkeypatch):
    run_settings = RunSettings(seconds=3.0)
    before = Run(3, run_settings).play().byte_digest
    attempt_fields = request_codec.attempt_fields

    def altered(request, action, source, timeout):
        """Return the fields of a command to a cache, all with the same rank."""
        return attempt_fields(request, action, source, timeout) | {"rank": "1"}

    monkeypatch.setattr(request_codec, "attempt_fields", altered)
    assert Run(3, run_settings).play().byte_digest != before


# Sabotages: each replaces a part of the front by a faulty one.


def patch_with_wrapper(monkeypatch, owner, name, wrap):
    """Replace a method by the one that `wrap` returns for the original method."""
    monkeypatch.setattr(owner, name, wrap(getattr(owner, name)))


def answers_twice(monkeypatch):
    def wrap(send):
        def twice(self, answer):
            send(self, answer)
            if len(answer) > 1000 and self.call_count % 40 == 0:
                send(self, answer)

        return twice

    patch_with_wrapper(monkeypatch, ClientConnection, "send_answer", wrap)


def omits_some_answers(monkeypatch):
    def wrap(answer_served):
        return lambda self, body, is_not_modified: (
            None if self.seqid % 50 == 7 else answer_served(self, body, is_not_modified)
        )

    from weldbend.clients.request import ClientRequest

    patch_with_wrapper(monkeypatch, ClientRequest, "answer_served", wrap)


def treats_a_reset_as_never_executed(monkeypatch):
    monkeypatch.setitem(request_codec.LOSS_RESULTS, AttemptLoss.RESET, AttemptResult.SUPERSEDED)


def allows_every_retry(monkeypatch):
    monkeypatch.setattr(Admission, "is_safe", lambda self, attempt: True)


def omits_undo_commands(monkeypatch):
    def cancel(self, attempt):
        """Forget an attempt as the original method does, without the `undo` command to the cache."""
        self.in_flight.pop(attempt.name, None)
        self.cancelled_names[attempt.name] = None

    monkeypatch.setattr(CacheConnection, "cancel", cancel)


def ends_attempts_without_cancelling_them(monkeypatch):
    def wrap(original):
        return (
            lambda self, request, attempt: self.end(request, attempt, AttemptResult.CANCELLED)
            if not attempt.is_over
            else None
        )

    patch_with_wrapper(monkeypatch, AttemptManager, "cancel", wrap)


def treats_draining_as_ready(monkeypatch):
    from weldbend.event_bus import endpoint_registry

    monkeypatch.setitem(endpoint_registry.ENDPOINT_STATES, "draining", EndpointState.READY)


def ignores_endpoint_list_changes(monkeypatch):
    patch_with_wrapper(
        monkeypatch,
        EndpointUpdates,
        "update_list",
        lambda update: lambda self, is_complete, records, receipt: (
            update(self, is_complete, records, receipt) if is_complete else None
        ),
    )


def ignores_slow_start_budgets(monkeypatch):
    monkeypatch.setattr(Admission, "has_slow_start_budget", lambda self, cache, request: True)


def ignores_cache_starts(monkeypatch):
    from weldbend.event_bus.endpoint_registry import EndpointRegistry

    def wrap(entry):
        def without_start(self, target, receipt):
            endpoint = entry(self, target, receipt)
            return type(endpoint)(
                endpoint.id,
                endpoint.weight,
                endpoint.zone,
                endpoint.cell,
                endpoint.role,
                endpoint.state,
                None,
            )

        return without_start

    patch_with_wrapper(monkeypatch, EndpointRegistry, "endpoint", wrap)


def ignores_purges(monkeypatch):
    monkeypatch.setattr(Admission, "record_purge", lambda self, purge: None)


def accepts_any_age(monkeypatch):
    monkeypatch.setattr(Admission, "max_age", lambda self, attempt: 0.0)


@pytest.mark.parametrize(
    ("sabotage", "rule"),
    [
        (answers_twice, "one answer"),
        (omits_some_answers, "one answer"),
        (treats_a_reset_as_never_executed, "no effect twice"),
        (allows_every_retry, "no effect twice"),
        (omits_undo_commands, "no effect twice"),
        (ends_attempts_without_cancelling_them, "no effect twice"),
        (treats_draining_as_ready, "drains kept"),
        (ignores_endpoint_list_changes, "drains kept"),
        (ignores_slow_start_budgets, "cold not pushed over"),
        (ignores_cache_starts, "cold not pushed over"),
        (ignores_purges, "purges kept"),
        (accepts_any_age, "purges kept"),
    ],
)
def test_the_auditor_detects_each_sabotage(monkeypatch, sabotage, rule):
    sabotage(monkeypatch)
    for seed in SEEDS:
        violations = [
            violation for violation in Run(seed, SETTINGS).play().violations if violation.rule == rule
        ]
        if violations:
            assert violations[0].proof and rule in str(violations[0])
            return
    raise AssertionError(f"{sabotage.__name__} was not detected within {len(SEEDS)} seeds")


# Few attempts per connection, so that connections are full, and several sockets read in one poll, so that
# requests overtake the attempts that wait for a connection. `WaitingAudit` checks these runs.
FULL_CONNECTIONS = RunSettings(
    seconds=4.0,
    fronts=1,
    edges=2,
    parents=1,
    rate=200.0,
    connection_faults=0,
    max_streams=2,
    poll_interval=0.005,
)


def sends_waiting_attempts_without_connecting(monkeypatch):
    def wrap(send_waiting_now):
        def without_connects(self):
            self._connect = lambda minimum=0: None
            send_waiting_now(self)
            del self._connect

        return without_connects

    patch_with_wrapper(monkeypatch, EndpointConnections, "_send_waiting_now", wrap)


def test_no_attempt_waits_at_a_cache_without_a_connect_under_way():
    for seed in SEEDS:
        assert not Run(seed, FULL_CONNECTIONS).play().errors, seed


def test_attempts_that_wait_without_a_connect_under_way_are_detected(monkeypatch):
    sends_waiting_attempts_without_connecting(monkeypatch)
    for seed in SEEDS:
        errors = Run(seed, FULL_CONNECTIONS).play().errors
        assert any("no connection is being opened" in error for error in errors), seed
