"""The auditor's rules on disconnected clients, closed connections, deadlines and calls to cold caches.

The simulated runs must contain enough events to which each rule applies, and the auditor must detect
sabotaged fronts, each of which breaks one rule.
"""

from collections import Counter

import pytest

from weldbend.clients.connection import ClientConnection
from weldbend.front import request_codec
from weldbend.front.client_gateway import ClientGateway
from weldbend.front.server import Front
from weldbend.routing.admission import Admission
from weldbend.testbed.simulation.run import Run
from weldbend.testbed.simulation.settings import RunSettings
from weldbend.testbed.simulation.slow_start_audit import max_calls

SEEDS = range(1, 7)
SETTINGS = RunSettings(seconds=6.0, faults=8, orders=0.1, edits=0.15, weight=1.5)


def test_an_unmodified_front_breaks_no_rule_and_the_runs_exercise_each_rule():
    counts = Counter()
    for seed in SEEDS:
        result = Run(seed, SETTINGS).play()
        assert not result.violations and not result.errors, (seed, result.violations, result.errors)
        counts.update(result.counts)
    # Without enough of these events in all runs together, the rules would not be checked.
    for counter, minimum in (
        ("requests left open by clients", 100),
        ("attempts for clients just gone", 3),
        ("connections ended by fronts", 50),
        ("requests open at a shutdown", 3),
        ("deadlines told late", 50),
        ("calls to cold", 20),
    ):
        assert counts[counter] >= minimum, (counter, counts)


def test_the_bound_on_calls_to_cold_caches_adds_standard_deviations_to_the_allowed_calls():
    # The standard deviation is the square root of the allowed calls: 5 for 25 calls, and 10 for 100 calls.
    # Below SMALL_CALL_LIMIT (30 allowed calls), the bound adds 3 standard deviations and 3 calls to the
    # allowed calls; from there on, it adds 2 standard deviations and 2 calls.
    assert max_calls(25) == 25 + 3 * 5 + 3
    assert max_calls(100) == 100 + 2 * 10 + 2


# Sabotages: each replaces a part of the front by a faulty one.


def continues_for_disconnected_clients(monkeypatch):
    monkeypatch.setattr(ClientGateway, "cancel_request", lambda self, request: None)


def ignores_cancellations(monkeypatch):
    monkeypatch.setattr(ClientConnection, "_cancel", lambda self, seqid: False)


def ends_at_once_on_termination(monkeypatch):
    monkeypatch.setattr(Front, "terminate", lambda self: self.timers.after(0.01, self._end))


def passes_on_the_initial_timeout(monkeypatch):
    attempt_fields = request_codec.attempt_fields

    def altered(request, action, source, timeout):
        """Return the fields of a command with the client's whole timeout instead of the time left."""
        return attempt_fields(request, action, source, request.timeout)

    monkeypatch.setattr(request_codec, "attempt_fields", altered)


def ignores_slow_start_budgets(monkeypatch):
    monkeypatch.setattr(Admission, "has_slow_start_budget", lambda self, cache, request: True)


@pytest.mark.parametrize(
    ("sabotage", "rule"),
    [
        (continues_for_disconnected_clients, "nothing for gone clients"),
        (ignores_cancellations, "nothing for gone clients"),
        (ends_at_once_on_termination, "no close without an answer"),
        (passes_on_the_initial_timeout, "deadline passed on"),
        (ignores_slow_start_budgets, "cold calls counted"),
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
