"""Failure detection by probes: SWIM's rounds, with helpers and Lifeguard's NACKs. No I/O; time is handed in.

A front probes one member an interval, in a shuffled round; one that does not answer in time is probed through
helpers, then suspected (Das, Gupta, Motivala 2002, section 3.1).
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from weldbend.fleet import messages as m
from weldbend.fleet.local_health import LocalHealth
from weldbend.fleet.member_table import Member, MemberTable, Rank, State
from weldbend.fleet.messages import Send
from weldbend.fleet.settings import FleetSettings
from weldbend.routing.random_source import RandomSource

UNKNOWN_MEMBER_PROBE_PERIOD = 3  # one probe in so many goes to a member never heard of
LEFT_MEMBER_PROBE_PROBABILITY = 0.25  # with which a member that left is probed in its place in the round
MAX_EPOCH_LEAD = 1 << 40  # milliseconds by which another's word may lead the epoch known here


@dataclass(slots=True)
class PendingProbe:
    """A probe whose answer is still awaited.

    Attributes:
        number: names it in its answers.
        target: who is probed.
        requester: the member on whose behalf it is, empty where it is this front's own.
        requester_number: the number of that member's own probe.
        indirect_at: when helpers are asked, or the requester gets a NACK; infinite once that is done.
        ends_at: when it is judged.
        expected_nacks: NACKs of helpers that have not come yet.
        is_answered: an answer has come.
    """

    number: int
    target: Member
    requester: str = ""
    requester_number: int = 0
    indirect_at: float = math.inf
    ends_at: float = math.inf
    expected_nacks: int = 0
    is_answered: bool = False


class Prober:
    """Chooses whom to probe, sends probes and judges their outcome."""

    def __init__(
        self, table: MemberTable, health: LocalHealth, seed: int, now: float, counts: Counter[str]
    ) -> None:
        self.table = table
        self.health = health
        self.counts = counts
        self.random = RandomSource(seed)
        self.round: list[Member] = []
        self.targets_drawn = 0
        self.pending: dict[int, PendingProbe] = {}
        self.next_at = now + self.random.random() * self.settings.probe_interval  # not all fronts in step

    @property
    def settings(self) -> FleetSettings:
        """The settings in force, which a reload may replace."""
        return self.table.settings

    def drop_removed(self) -> None:
        """Forget probes of members that are no longer named."""
        members = self.table.members
        self.round = [member for member in self.round if member.name in members]
        self.pending = {n: probe for n, probe in self.pending.items() if probe.target.name in members}

    def reset_after_pause(self, now: float) -> None:
        """This process was paused: what it waited for says nothing any more."""
        self.pending.clear()
        self.next_at = now

    def postpone(self, now: float) -> None:
        """Probe nobody for another interval."""
        self.next_at = now + self.settings.probe_interval

    # Time.

    def advance_pending(self, now: float) -> list[Send]:
        """Go on with probes whose answer is overdue."""
        sends: list[Send] = []
        for probe in list(self.pending.values()):
            if not probe.is_answered and now >= probe.indirect_at:
                sends += self._probe_indirectly(probe)
            if now >= probe.ends_at:
                self._finish(probe, now)
        return sends

    def probe_next(self, now: float) -> list[Send]:
        """The probe of this interval, if it is due."""
        if now < self.next_at:
            return []
        self.next_at = now + self.health.scaled(self.settings.probe_interval)
        target = self._next_target()
        return [self.probe(target, now)] if target else []

    def _next_target(self) -> Member | None:
        """The next of a shuffled round: each is probed once a round, in another order each time.

        Members that were silent for long are probed in their place as well: that is how a healed partition is
        found. Every third probe goes to one never heard of yet. Guards against a storm of joins, in which
        there is more news than datagrams carry, so that the last ones would be found a whole round later.
        Harm: a death is noticed later by half while some that are named were never started.
        """
        self.targets_drawn += 1
        members = self.table.members
        if self.targets_drawn % UNKNOWN_MEMBER_PROBE_PERIOD == 0 and (
            unknown := [o for o in members.values() if not o.epoch]
        ):
            return unknown[int(self.random.random() * len(unknown))]
        if not self.round:
            self.round = sorted(members.values(), key=lambda _: self.random.random())
        while self.round:
            member = self.round.pop()
            if member.state is not State.LEFT or self.random.random() < LEFT_MEMBER_PROBE_PROBABILITY:
                return member
        return None

    def probe_soon(self, member: Member) -> None:
        """Probe that member next: others say that it has started again."""
        if member not in self.round[-1:]:
            self.round.append(member)

    def probe(self, target: Member, now: float, requester: str = "", requester_number: int = 0) -> Send:
        """Probe a member now, on another's behalf where `requester` is given."""
        number = int(self.random.random() * (1 << 32)) << 20 | len(self.pending)
        timeout = self.health.scaled(self.settings.probe_timeout)
        own_end = max(self.health.scaled(self.settings.probe_interval), 2 * timeout)
        self.pending[number] = PendingProbe(
            number,
            target,
            requester,
            requester_number,
            indirect_at=now + timeout,
            ends_at=now + (timeout if requester else own_end),
        )
        self.counts["probes"] += 1
        if not requester:
            target.unanswered_probes += 1
        return Send(target.name, m.Probe(number, self.table.gossip_for(target)))

    def probe_for_refutation(self, member: Member, now: float) -> list[Send]:
        """Probe a member that answers though it passes for dead: it refutes, and all learn of it.

        Guards, by once an interval, against two that answer each other without end where it does not refute.
        """
        if now - member.refutation_probed_at < self.settings.probe_interval:
            return []
        member.refutation_probed_at = now
        return [self.probe(member, now)]

    def _probe_indirectly(self, probe: PendingProbe) -> list[Send]:
        """No answer in time: others may have a path that this front lacks."""
        probe.indirect_at = math.inf
        if probe.requester:
            return [Send(probe.requester, m.Nack(probe.requester_number))]
        live = [o for o in self.table.members.values() if o.state is State.ALIVE and o is not probe.target]
        live.sort(key=lambda _: self.random.random())
        helpers = live[: self.settings.helpers]
        probe.expected_nacks = len(helpers)
        self.counts["asked through others"] += len(helpers)
        return [
            Send(o.name, m.IndirectProbe(probe.number, probe.target.name, self.table.gossip_for(o)))
            for o in helpers
        ]

    def _finish(self, probe: PendingProbe, now: float) -> None:
        del self.pending[probe.number]
        if probe.requester:
            return
        if probe.is_answered:
            self.health.improve()
            return
        # a helper that is well sends a NACK at least: where none came, this front's own line is at fault
        self.health.worsen(probe.expected_nacks)
        target = probe.target
        if target.state <= State.SUSPECT and target.epoch:
            # also where another reported it: a second reporter shortens the suspicion
            self.table.suspect(target, self.table.local.name, now)

    # Answers.

    def ack_received(self, member: Member, number: int, now: float) -> list[Send]:
        """An answer came from `member`; what to send on account of it."""
        probe = self.pending.get(number)
        if probe is None or probe.is_answered:
            return []
        if probe.target is not member:
            # a helper passes on the answer of its target
            if probe.requester or member.state >= State.DEAD:
                self.counts["answers of the wrong one"] += 1
                return []
            probe.is_answered = True
            return []
        probe.is_answered = True
        member.unanswered_probes = 0
        if probe.requester:
            requester = self.table.members.get(probe.requester)
            gossip = self.table.gossip_for(requester) if requester else []
            updates = [self.table.as_update(member), *gossip]
            return [Send(probe.requester, m.Ack(probe.requester_number, updates))]
        return self.probe_for_refutation(member, now) if member.state is State.DEAD else []

    def nack_received(self, number: int) -> None:
        """A helper says that it has probed the target and received nothing so far."""
        probe = self.pending.get(number)
        if probe and probe.expected_nacks:
            probe.expected_nacks -= 1

    def learn_from_helper(
        self, helper: Member, number: int, updates: Iterable[m.MemberUpdate], now: float
    ) -> None:
        """A helper has just received an answer of a member that this front cannot reach: take its epoch.

        Guards against a path that never worked between two fronts which others reach. Harm: a helper that
        lies can name a start that never was; that member is then told so, and goes on under a later one.
        """
        probe = self.pending.get(number)
        if probe is None or probe.requester or probe.target is helper or probe.expected_nacks == 0:
            return
        target = probe.target
        latest = self.table.local.epoch + MAX_EPOCH_LEAD
        for update in updates:
            if update.name == target.name and target.epoch < update.epoch <= latest:
                rank = Rank(update.epoch, update.incarnation, State.ALIVE)
                self.table.update(target, rank, now, f"reached by {helper.name}")
