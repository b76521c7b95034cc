"""Fleets of complete fronts on a virtual clock, with one kind of failure per test.

The auditor checks the rules from the traffic of the sockets and the event bus alone. The tests guard against
drains and purges that a front misses while its connection to the bus, its peers or its own process are down.
"""

import pytest
from loguru import logger

from weldbend.fleet import messages as m
from weldbend.fleet.cache_states import CacheStates
from weldbend.fleet.member_table import State
from weldbend.fleet.outbox import Priority
from weldbend.fleet.peer_connections import PeerConnection, add_length_prefix
from weldbend.fleet.purges import PurgeExchange
from weldbend.routing.events import SlowStartQuota
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings
from weldbend.testbed.simulation.auditor import Auditor

NO_FAULTS = {"faults": 0, "fleet_faults": 0, "orders": 0.1}


@pytest.fixture(autouse=True)
def no_log():
    logger.remove()


def run(*scheduled, seed=1, **changed_settings):
    """Return a finished run without random faults.

    `scheduled` has pairs of a time in seconds and a function that is called at that time with the run.
    """
    fleet_run = FleetRun(
        seed, FleetRunSettings(**NO_FAULTS | {"seconds": 12.0, "calm": 0.0} | changed_settings)
    )
    for at, call in scheduled:
        fleet_run.events.schedule(at, lambda call=call: call(fleet_run))
    fleet_run.result = fleet_run.play()
    assert not fleet_run.result.errors
    return fleet_run


def fleet_adapter(fleet_run, number):
    return fleet_run.site.fronts[number][1].fleet_adapter


def drain(uid):
    """Return a function, for `run`, that publishes on the event bus that a cache is draining."""
    return lambda fleet_run: fleet_run.site.publish_state(uid, "draining")


def block_bus(numbers, seconds):
    """Return a function, for `run`, that blocks the event bus for some fronts."""
    return lambda fleet_run: fleet_run.block_bus(numbers, seconds)


def violated_rules(fleet_run):
    return sorted({violation.rule for violation in fleet_run.result.violations})


def test_fleets_with_faults_break_no_rule_and_converge():
    for seed in range(1, 7):
        fleet_run = FleetRun(seed, FleetRunSettings(seconds=24.0, calm=10.0))
        result = fleet_run.play()
        assert not result.violations and not result.errors and not result.divergences, (
            seed,
            fleet_run.injected_faults,
            result,
        )
        assert result.counts["fulfilled"] > 0.9 * result.counts["downloads"] > 200, seed


def test_a_fleet_run_repeats_exactly():
    run_settings = FleetRunSettings(seconds=8.0, calm=2.0)
    assert FleetRun(3, run_settings).play().digest() == FleetRun(3, run_settings).play().digest()


def purge_group(fleet_run):
    stamp = int(fleet_run.events.unix() * 1000)
    fleet_run.site.publish(ban={"tag": 1, "ts": stamp})


@pytest.mark.parametrize("disconnected", [{2}, {2, 3, 4}], ids=["one front", "all but one"])
def test_fronts_without_a_bus_learn_of_drains_and_purges_from_their_peers(disconnected):
    scheduled = [
        (2.0, block_bus(disconnected, 8.0)),
        (3.0, drain("e1")),
        (3.5, purge_group),
        (4.0, drain("e2")),
    ]
    with_fleet = run(*scheduled)
    assert violated_rules(with_fleet) == [] and with_fleet.result.divergences == []
    without = FleetRun(
        1, FleetRunSettings(**NO_FAULTS | {"seconds": 12.0, "rate": 60.0, "calm": 0.0, "has_fleet": False})
    )
    # without a fleet, the auditor expects a front to know of each event when the bus published it
    without.auditor.on_front_unreachable = lambda *arguments: None
    for at, call in scheduled:
        without.events.schedule(at, lambda call=call: call(without))
    assert {violation.rule for violation in without.play().violations} == {"drains kept", "purges kept"}


def test_a_list_that_repeats_the_start_of_a_cache_does_not_stop_attempts_at_it():
    """Late in the warm-up no parts are lent any more, so no change of a quota would end a stop."""

    def repeat_record(fleet_run):
        fleet_run.site.publish_state("e1", "up")

    fleet_run = run(
        (3.0, lambda fleet_run: fleet_run.publish_cache_state("e1", "up")),
        (11.6, repeat_record),
        seed=3,
        fronts=3,
        seconds=14.0,
        rate=40.0,
    )
    attempts = [line.split() for line in fleet_run.log.lines if " e1 Command(word='do'" in line]
    late_attempts = [at for at, *_ in attempts if 11.7 < float(at) < 13.0]
    assert violated_rules(fleet_run) == [] and late_attempts


def test_a_cache_that_takes_the_number_of_a_removed_one_gets_no_quota_of_its_limit():
    """The checksums of both uids, which give the numbers of caches, are equal."""
    limits = []

    def start(uid, host):
        def start_cache(fleet_run):
            fleet_run.site.start_cache(uid, "box", host, fleet_run.site.unix_ms("caches"))
            fleet_run.site.publish_state(uid, "up")

        return start_cache

    def remove_first(fleet_run):
        fleet_run.site.publish_state("plumless", "removed")
        fleet_run.site.machines["plumless"].kill()

    def record_limits(fleet_run):
        limits.append([*fleet_adapter(fleet_run, 1).quota_service.slow_start.budgets])

    run(
        (3.0, start("plumless", "10.0.1.91")),
        (5.9, record_limits),
        (6.0, remove_first),
        (6.05, start("buckeroo", "10.0.1.92")),
        (8.2, record_limits),  # two ticks later
        seed=3,
        fronts=3,
        seconds=10.0,
        rate=40.0,
    )
    assert [[limit.partition("@")[0] for limit in names] for names in limits] == [
        ["cold:plumless"],
        ["cold:buckeroo"],
    ]


def test_a_slow_start_quota_that_the_router_has_reset_is_passed_again_with_the_next_tick():
    """A restart that only the router knows of gives the front its fixed share of a leased budget."""
    quotas = []

    def cache(fleet_run):
        dispatcher = fleet_run.site.fronts[1][1].dispatcher
        return dispatcher.router.caches[dispatcher.names.numbers["e1"]]

    run(
        (3.0, lambda fleet_run: fleet_run.publish_cache_state("e1", "up")),
        (11.6, lambda fleet_run: setattr(cache(fleet_run), "quota", SlowStartQuota(cache(fleet_run).id))),
        (11.61, lambda fleet_run: quotas.append(cache(fleet_run).quota)),
        (12.7, lambda fleet_run: quotas.append(cache(fleet_run).quota)),
        seed=3,
        fronts=3,
        seconds=14.0,
        rate=40.0,
    )
    assert [quota.is_leased for quota in quotas] == [False, True]


def test_after_a_split_the_endpoint_list_with_the_restart_of_a_drained_cache_applies_at_all_fronts():
    def start_cache(fleet_run):
        fleet_run.site.targets["e1"] |= {"boot_ms": int(fleet_run.events.unix() * 1000)}
        fleet_run.site.publish_state("e1", "up")

    def exempt_cut_off_fronts(fleet_run):
        # until their bus connections are open again, these fronts get no events from the bus or from peers
        for number in (3, 4):
            fleet_run.auditor.on_front_unreachable(f"n{number}", 2.0, 7.0, False)

    # The drain at 3 s reaches only fronts 1 and 2, and the start at 5 s only fronts 3 and 4, which have their
    # bus again from 4.5 s on. After the split, at 8 s, both sides must use the later list, with the start.
    fleet_run = run(
        (2.0, lambda m: m.split({1, 2}, 6.0)), (2.0, exempt_cut_off_fronts), (2.0, block_bus({3, 4}, 2.5)),
        (3.0, drain("e1")), (4.0, block_bus({1, 2}, 5.0)), (5.0, start_cache), seed=2, seconds=16.0,
    )  # fmt: skip
    assert violated_rules(fleet_run) == [] and fleet_run.result.divergences == []
    for number in fleet_run.site.fronts:
        dispatcher = fleet_run.site.fronts[number][1].dispatcher
        cache = dispatcher.router.caches[dispatcher.names.numbers["e1"]]
        assert (
            cache.state.name == "READY" and cache.started is not None
        ), "each front must apply the list with the start, not the one with the drain"


def test_half_of_the_fleet_paused_for_30_s_declares_no_member_dead():
    fleet_run = run(
        (2.0, lambda m: m.freeze(1, 30.0)), (2.0, lambda m: m.freeze(2, 30.0)), (6.0, drain("e1")),
        (7.0, purge_group), seconds=44.0, rate=10.0,
    )  # fmt: skip
    assert violated_rules(fleet_run) == [] and fleet_run.result.divergences == []
    for number in (1, 2):
        fleet = fleet_adapter(fleet_run, number).fleet
        # detected pauses, and members that this front declared dead
        assert fleet.membership.counts["stood still"] >= 1 and fleet.membership.counts["known dead"] == 0


def test_a_resumed_front_reads_missed_events_before_it_sends():
    def delay_bus(fleet_run):
        # events of the bus arrive 0.1 s after the requests of clients
        fleet_run.network.extra_delay[("10.0.2.1", "10.0.0.1")] = 0.1

    pause = (2.0, lambda m: m.freeze(1, 6.0))
    # Front 1 is paused from 2 s to 8 s; both drains are published in that time.
    fleet_run = run((1.9, delay_bus), pause, (4.0, drain("e1")), (4.0, drain("e2")), rate=60.0)
    assert violated_rules(fleet_run) == []
    after = [
        line for line in fleet_run.log.lines if " n1 e1 Command" in line and float(line.split()[0]) > 8.0
    ]
    assert not after, "no command may go to a cache that was drained during the pause"


def send_order(fleet_run, number, idempotency_key, is_retry=True):
    """Send a request of the class `order` to a front, marked as a retry or not; return the request's id."""
    fleet_run.workload.request_count += 1
    fields = fleet_run.workload.request_fields("order", 1) | {
        "id": f"{fleet_run.workload.request_count:016x}",
        "once": idempotency_key,
    }
    fleet_run.workload.connections[number][0].send(fields | ({"retry": "1"} if is_retry else {}))
    return fields["id"]


def test_an_order_retried_at_another_front_10_ms_after_the_first_front_was_killed_runs_at_most_once():
    idempotency_key, request_ids = "ab" * 16, []

    def send_first(fleet_run):
        request_ids.append(send_order(fleet_run, 1, idempotency_key, is_retry=False))

    fleet_run = run(
        (3.0, send_first), (3.008, lambda m: m.site.kill_front(1, 2.0)),
        (3.018, lambda m: request_ids.append(send_order(m, 2, idempotency_key))),
        (8.0, lambda m: request_ids.append(send_order(m, 3, idempotency_key))),
    )  # fmt: skip
    assert violated_rules(fleet_run) == []
    assert fleet_adapter(fleet_run, 2).counts["requests possibly executed elsewhere"] == 1
    # The third request, at front 3 and 5 s after the first, must fail without an attempt.
    last = [answer.outcome for _, answer in fleet_run.auditor.requests["n3", request_ids[2]].answers]
    assert last == [
        "abandoned"
    ], "the deduplication window was over, and the first attempt may have been executed"
    assert not fleet_run.auditor.requests["n3", request_ids[2]].attempts


def test_a_peer_that_answers_probes_but_reads_no_messages_does_not_affect_the_others(monkeypatch):
    original = PeerConnection.dataReceived

    def ignore_session_data(self, data):
        if self.manager.authenticator.name != "n4" or not self.session:
            original(self, data)

    monkeypatch.setattr(PeerConnection, "dataReceived", ignore_session_data)
    fleet_run = run((3.0, purge_group), (4.0, drain("e1")), seconds=10.0)
    assert violated_rules(fleet_run) == []
    for number in (1, 2, 3):
        fleet = fleet_adapter(fleet_run, number).fleet
        assert fleet.membership.members["n4"].state is State.ALIVE, "a member that answers probes is alive"
        assert ("purge", "g:1") in fleet.store.items
        assert all(
            connection.outbox.size <= fleet.settings.outbox_capacity
            for connection in fleet.connections.all_connections
        )


def test_a_peer_without_a_common_version_is_rejected_and_does_not_affect_the_others(monkeypatch):
    original = PeerConnection.send_hello

    def send_newer_hello(self):
        if self.manager.authenticator.name == "n4":
            body = m.encode(m.Hello(2, 3, self.nonce, ""))  # supports the versions 2 to 3 only
            self.outbox.put(
                add_length_prefix(self.manager.authenticator.authenticate(self.peer, body, True)),
                Priority.CRITICAL,
            )
            self.flush()
        else:
            original(self)

    monkeypatch.setattr(PeerConnection, "send_hello", send_newer_hello)
    fleet_run = run((3.0, purge_group), seconds=8.0)
    assert violated_rules(fleet_run) == []
    connections = fleet_adapter(fleet_run, 1).fleet.connections
    assert connections.counts["dropped: no common version"] > 0 and sorted(
        connections.established_by_peer
    ) == [
        "n2",
        "n3",
    ]
    assert ("purge", "g:1") in fleet_adapter(fleet_run, 3).fleet.store.items


def test_a_saturated_link_delays_no_purge_and_changes_dropped_from_the_outbox_are_sent_again():
    def saturate(fleet_run):
        """Publish 300 changes of 1500 bytes at front 1, to 60 items in turn."""
        fleet = fleet_adapter(fleet_run, 1).fleet
        for number in range(300):
            fleet.publish("setting", f"s{number % 60}", int(fleet_run.events.now * 1000) + number, "x" * 1500)

    def delay_link(seconds):
        """Return a function, for `run`, that delays messages from front 1 to front 2."""
        return lambda m: m.network.extra_delay.update({("10.0.0.1", "10.0.0.2"): seconds})

    fleet_run = run(
        (2.0, delay_link(0.4)), *((3.0 + n / 2, saturate) for n in range(60)), (20.0, purge_group),
        (40.0, delay_link(0.0)), seconds=50.0, rate=6.0,
    )  # fmt: skip
    assert violated_rules(fleet_run) == [] and fleet_run.result.divergences == []


# For each rule, a function that installs an adapter that breaks it.
SABOTAGE = {
    "drains kept": lambda mp: mp.setattr(CacheStates, "apply", lambda self, uid: None),
    "purges kept": lambda mp: mp.setattr(PurgeExchange, "apply", lambda self, change: None),
}


@pytest.mark.parametrize("rule", sorted(SABOTAGE))
def test_the_auditor_detects_an_adapter_that_ignores_changes_from_peers(rule, monkeypatch):
    SABOTAGE[rule](monkeypatch)
    scheduled = [(2.0, block_bus({2}, 8.0)), (3.0, drain("e1")), (3.5, purge_group), (4.0, drain("e2"))]
    assert rule in violated_rules(run(*scheduled, rate=20.0))


def test_the_auditor_expects_a_front_to_know_of_an_event_only_once_it_was_reachable():
    auditor = Auditor(None)
    auditor.on_front_unreachable("n1", 2.0, 5.0, False)
    auditor.on_front_unreachable("n1", 4.5, 6.0, False)
    # The two overlapping periods, 2 s to 5 s and 4.5 s to 6 s, count as one.
    assert [auditor.earliest_notice("n1", at) for at in (1.0, 2.0, 5.5, 6.0)] == [1.0, 6.0, 6.0, 6.0]
    assert auditor.earliest_notice("n2", 3.0) == 3.0
