"""Fleets of whole fronts on a virtual clock, each failure by name; the auditor sees sockets and bus only."""

import pytest
from loguru import logger

from weldbend.fleet import messages as m
from weldbend.fleet.cache_states import CacheStates
from weldbend.fleet.member_table import State
from weldbend.fleet.outbox import Priority
from weldbend.fleet.peer_connections import PeerConnection, add_length_prefix
from weldbend.fleet.purges import PurgeExchange
from weldbend.testbed.fleet.simulated_fleet import FleetRun, FleetRunSettings
from weldbend.testbed.simulation.auditor import Auditor

QUIET = {"faults": 0, "fleet_faults": 0, "orders": 0.1}


@pytest.fixture(autouse=True)
def no_log():
    logger.remove()


def run(*happens, seed=1, **shape):
    """A run in which the pairs of `happens` (seconds, call of the run) happen, and nothing else."""
    made = FleetRun(seed, FleetRunSettings(**QUIET | {"seconds": 12.0, "calm": 0.0} | shape))
    for at, call in happens:
        made.events.schedule(at, lambda call=call: call(made))
    made.result = made.play()
    assert not made.result.errors
    return made


def shared(made, number):
    return made.site.fronts[number][1].fleet_adapter


def drain(uid):
    return lambda made: made.site.publish_state(uid, "draining")


def cut(numbers, lasts):
    return lambda made: made.block_bus(numbers, lasts)


def violations(made):
    return sorted({violation.rule for violation in made.result.violations})


def test_seeds_of_faults_break_no_rule_and_leave_all_copies_alike():
    for seed in range(1, 7):
        made = FleetRun(seed, FleetRunSettings(seconds=24.0, calm=10.0))
        result = made.play()
        assert not result.violations and not result.errors and not result.divergences, (
            seed,
            made.injected_faults,
            result,
        )
        assert result.counts["fulfilled"] > 0.9 * result.counts["downloads"] > 200, seed


def test_a_fleet_repeats_exactly():
    shape = FleetRunSettings(seconds=8.0, calm=2.0)
    assert FleetRun(3, shape).play().digest() == FleetRun(3, shape).play().digest()


def purge_group(made):
    stamp = int(made.events.unix() * 1000)
    made.site.publish(ban={"tag": 1, "ts": stamp})


@pytest.mark.parametrize("deaf", [{2}, {2, 3, 4}], ids=["one front", "all but one"])
def test_the_bus_cut_off(deaf):
    happens = [(2.0, cut(deaf, 8.0)), (3.0, drain("e1")), (3.5, purge_group), (4.0, drain("e2"))]
    with_fleet = run(*happens)
    assert violations(with_fleet) == [] and with_fleet.result.divergences == []
    without = FleetRun(
        1, FleetRunSettings(**QUIET | {"seconds": 12.0, "rate": 60.0, "calm": 0.0, "has_fleet": False})
    )
    without.auditor.on_front_unreachable = (
        lambda *held: None
    )  # what the bus told counts as told, as on the platform
    for at, call in happens:
        without.events.schedule(at, lambda call=call: call(without))
    assert {violation.rule for violation in without.play().violations} == {"drains kept", "purges kept"}


def test_a_split_that_heals_while_a_cache_is_drained_on_one_side_and_started_on_the_other():
    def started(made):
        made.site.targets["e1"] |= {"boot_ms": int(made.events.unix() * 1000)}
        made.site.publish_state("e1", "up")

    def unknown(made):  # neither by its bus nor by its peers, until its bus is dialled again
        for number in (3, 4):
            made.auditor.on_front_unreachable(f"n{number}", 2.0, 7.0, False)

    made = run(
        (2.0, lambda m: m.split({1, 2}, 6.0)), (2.0, unknown), (2.0, cut({3, 4}, 2.5)), (3.0, drain("e1")),
        (4.0, cut({1, 2}, 5.0)), (5.0, started), seed=2, seconds=16.0,
    )  # fmt: skip
    assert violations(made) == [] and made.result.divergences == []
    for number in made.site.fronts:
        dispatcher = made.site.fronts[number][1].dispatcher
        cache = dispatcher.router.caches[dispatcher.names.numbers["e1"]]
        assert cache.state.name == "READY" and cache.started is not None, "the newer list holds for all"


def test_half_of_them_frozen_for_half_a_minute():
    made = run(
        (2.0, lambda m: m.freeze(1, 30.0)), (2.0, lambda m: m.freeze(2, 30.0)), (6.0, drain("e1")),
        (7.0, purge_group), seconds=44.0, rate=10.0,
    )  # fmt: skip
    assert violations(made) == [] and made.result.divergences == []
    for number in (1, 2):
        fleet = shared(made, number).fleet
        assert fleet.membership.counts["stood still"] >= 1 and fleet.membership.counts["known dead"] == 0


def test_a_paused_front_reads_what_it_missed_before_it_sends():
    def late(made):
        made.network.extra_delay[("10.0.2.1", "10.0.0.1")] = (
            0.1  # its bus comes a moment after its clients do
        )

    frozen = (2.0, lambda m: m.freeze(1, 6.0))
    made = run((1.9, late), frozen, (4.0, drain("e1")), (4.0, drain("e2")), rate=60.0)
    assert violations(made) == []
    after = [line for line in made.log.lines if " n1 e1 Command" in line and float(line.split()[0]) > 8.0]
    assert not after, "nothing went to a cache that was drained while it stood still"


def order(made, number, once, repeat=True):
    """One order at one front; its id."""
    made.workload.request_count += 1
    fields = made.workload.request_fields("order", 1) | {
        "id": f"{made.workload.request_count:016x}",
        "once": once,
    }
    made.workload.connections[number][0].send(fields | ({"retry": "1"} if repeat else {}))
    return fields["id"]


def test_an_order_whose_front_dies_and_whose_client_comes_to_another_10_ms_later():
    once, names = "ab" * 16, []

    def first(made):
        names.append(order(made, 1, once, repeat=False))

    made = run(
        (3.0, first), (3.008, lambda m: m.site.kill_front(1, 2.0)),
        (3.018, lambda m: names.append(order(m, 2, once))),
        (8.0, lambda m: names.append(order(m, 3, once))),
    )  # fmt: skip
    assert violations(made) == []
    assert shared(made, 2).counts["requests possibly executed elsewhere"] == 1
    last = [answer.outcome for _, answer in made.auditor.requests["n3", names[2]].answers]
    assert last == ["abandoned"], "its window was over, and the first may have run"
    assert not made.auditor.requests["n3", names[2]].attempts


def test_a_peer_that_answers_probes_and_reads_nothing_costs_the_others_nothing(monkeypatch):
    heard = PeerConnection.dataReceived

    def deaf(self, data):
        if self.manager.authenticator.name != "n4" or not self.session:
            heard(self, data)

    monkeypatch.setattr(PeerConnection, "dataReceived", deaf)
    made = run((3.0, purge_group), (4.0, drain("e1")), seconds=10.0)
    assert violations(made) == []
    for number in (1, 2, 3):
        fleet = shared(made, number).fleet
        assert fleet.membership.members["n4"].state is State.ALIVE, "it answers probes"
        assert ("purge", "g:1") in fleet.store.items
        assert all(
            end.outbox.size <= fleet.settings.outbox_capacity for end in fleet.connections.all_connections
        )


def test_one_of_a_newer_version_is_left_alone_and_no_harm_to_the_others(monkeypatch):
    hello = PeerConnection.send_hello

    def newer(self):
        if self.manager.authenticator.name == "n4":
            body = m.encode(m.Hello(2, 3, self.nonce, ""))
            self.outbox.put(
                add_length_prefix(self.manager.authenticator.authenticate(self.peer, body, True)),
                Priority.CRITICAL,
            )
            self.flush()
        else:
            hello(self)

    monkeypatch.setattr(PeerConnection, "send_hello", newer)
    made = run((3.0, purge_group), seconds=8.0)
    assert violations(made) == []
    links = shared(made, 1).fleet.connections
    assert links.counts["dropped: no common version"] > 0 and sorted(links.established_by_peer) == [
        "n2",
        "n3",
    ]
    assert ("purge", "g:1") in shared(made, 3).fleet.store.items


def test_a_full_link_for_minutes_holds_up_nothing_and_what_was_dropped_is_found():
    def press(made):
        fleet = shared(made, 1).fleet
        for number in range(300):
            fleet.publish("setting", f"s{number % 60}", int(made.events.now * 1000) + number, "x" * 1500)

    def slow(seconds):
        return lambda m: m.network.extra_delay.update({("10.0.0.1", "10.0.0.2"): seconds})

    made = run(
        (2.0, slow(0.4)), *((3.0 + n / 2, press) for n in range(60)), (20.0, purge_group), (40.0, slow(0.0)),
        seconds=50.0, rate=6.0,
    )  # fmt: skip
    assert violations(made) == [] and made.result.divergences == []


SABOTAGE = {
    "drains kept": lambda mp: mp.setattr(CacheStates, "apply", lambda self, uid: None),
    "purges kept": lambda mp: mp.setattr(PurgeExchange, "apply", lambda self, change: None),
}


@pytest.mark.parametrize("rule", sorted(SABOTAGE))
def test_an_adapter_that_applies_nothing_is_caught(rule, monkeypatch):
    SABOTAGE[rule](monkeypatch)
    happens = [(2.0, cut({2}, 8.0)), (3.0, drain("e1")), (3.5, purge_group), (4.0, drain("e2"))]
    assert rule in violations(run(*happens, rate=20.0))


def test_the_auditor_knows_when_a_front_could_know():
    held = Auditor(None)
    held.on_front_unreachable("n1", 2.0, 5.0, False)
    held.on_front_unreachable("n1", 4.5, 6.0, False)
    assert [held.earliest_notice("n1", at) for at in (1.0, 2.0, 5.5, 6.0)] == [1.0, 6.0, 6.0, 6.0]
    assert held.earliest_notice("n2", 3.0) == 3.0
