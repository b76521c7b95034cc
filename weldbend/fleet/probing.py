"""Failure detection by probes: SWIM's rounds, with indirect probes and Lifeguard's NACKs.

A front probes one member per interval, in shuffled rounds. A member that does not answer in time is probed
through helpers, and then suspected (Das, Gupta, Motivala 2002, section 3.1). This module does no I/O, and
callers pass in the time.
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

UNKNOWN_MEMBER_PROBE_PERIOD = 3  # one scheduled probe in this many goes to a member nothing is known about
LEFT_MEMBER_PROBE_PROBABILITY = 0.25  # that a member that has left is probed when its turn comes in a round
MAX_EPOCH_LEAD = 1 << 40  # milliseconds by which a reported epoch may exceed this front's own


@dataclass(slots=True)
class PendingProbe:
    """A probe whose result is not yet known.

    Attributes:
        number: number that identifies the probe in its answers.
        target: the probed member.
        requester: name of the member on whose behalf the probe is sent, empty for this front's own probe.
        requester_number: number of that member's own probe.
        indirect_at: time at which helpers are asked, or a NACK is sent to the requester, if there is no
            answer by then; infinite once done.
        ends_at: time at which the probe ends, and this front's own probe is evaluated.
        expected_nacks: number of the helpers asked from which no NACK has arrived yet.
        is_answered: whether an answer has arrived.
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
    """The failure detector: it selects targets, creates probes and evaluates their results.

    Attributes:
        table: the beliefs about the other members.
        health: the local health multiplier.
        counts: counters of probes.
        random: source of random numbers.
        round: members still to be probed in this round; the last one in the list is probed next.
        targets_drawn: number of targets selected for scheduled probes so far.
        pending: pending probes by number.
        next_at: time of the next scheduled probe.
    """

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
        # A random offset keeps fronts that start together from probing in step.
        self.next_at = now + self.random.random() * self.settings.probe_interval

    @property
    def settings(self) -> FleetSettings:
        """The current settings, which a reload may replace."""
        return self.table.settings

    def drop_removed(self) -> None:
        """Discard probes of members that were removed from the table."""
        members = self.table.members
        self.round = [member for member in self.round if member.name in members]
        self.pending = {n: probe for n, probe in self.pending.items() if probe.target.name in members}

    def reset_after_pause(self, now: float) -> None:
        """Discard all pending probes after a pause; answers may be missing because of the pause."""
        self.pending.clear()
        self.next_at = now

    def postpone(self, now: float) -> None:
        """Postpone the next probe by one interval."""
        self.next_at = now + self.settings.probe_interval

    # Time.

    def advance_pending(self, now: float) -> list[Send]:
        """Process overdue probes: ask helpers or send NACKs, and finish probes whose time is over."""
        sends: list[Send] = []
        for probe in list(self.pending.values()):
            if not probe.is_answered and now >= probe.indirect_at:
                sends += self._probe_indirectly(probe)
            if now >= probe.ends_at:
                self._finish(probe, now)
        return sends

    def probe_next(self, now: float) -> list[Send]:
        """Return the scheduled probe if it is due."""
        if now < self.next_at:
            return []
        self.next_at = now + self.health.scaled(self.settings.probe_interval)
        target = self._next_target()
        return [self.probe(target, now)] if target else []

    def _next_target(self) -> Member | None:
        """Return the next target; each round probes all members once, in a new random order.

        Members that are believed dead are probed in their turn as well, which detects that a partition has
        healed. Every third probe goes to a member about which nothing was received yet, if there is any. When
        many fronts join at once, there are more updates than datagrams can carry, and without these probes
        the last members would be discovered a whole round later. As a side effect, while some configured
        members have never been started, only two of three probes belong to the rounds, and the detection of a
        death takes 1.5 times as long.
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
        """Schedule a member as the next target, because it is reported to have restarted."""
        if member not in self.round[-1:]:
            self.round.append(member)

    def probe(self, target: Member, now: float, requester: str = "", requester_number: int = 0) -> Send:
        """Create a pending probe of a member, and return its datagram.

        Args:
            target: the member to probe.
            now: current time in seconds.
            requester: name of the member on whose behalf the probe is sent, empty for this front's own probe.
            requester_number: number of that member's own probe.
        """
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
        """Probe a member that sends messages although it is believed suspect or dead, so that it refutes.

        The refutation is then gossiped to all. At most one such probe is sent to a member per probe interval:
        if the member does not refute, this front and the member would otherwise answer each other endlessly.
        """
        if now - member.refutation_probed_at < self.settings.probe_interval:
            return []
        member.refutation_probed_at = now
        return [self.probe(member, now)]

    def _probe_indirectly(self, probe: PendingProbe) -> list[Send]:
        """Ask helpers to probe an unresponsive target; they may reach it even if this front cannot.

        If the probe itself was sent on another member's behalf, that member gets a NACK.
        """
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
        """End a probe; an unanswered one of this front's own makes it suspect the target."""
        del self.pending[probe.number]
        if probe.requester:
            return
        if probe.is_answered:
            self.health.improve()
            return
        # A healthy helper sends at least a NACK, so each missing NACK may be due to this front's own network.
        self.health.worsen(probe.expected_nacks)
        target = probe.target
        if target.state <= State.SUSPECT and target.epoch:
            # A target that is already suspected is reported too: a second reporter shortens the suspicion.
            self.table.suspect(target, self.table.local.name, now)

    # Answers.

    def ack_received(self, member: Member, number: int, now: float) -> list[Send]:
        """Handle the answer of `member` to a probe, and return the datagrams to send in response."""
        probe = self.pending.get(number)
        if probe is None or probe.is_answered:
            return []
        if probe.target is not member:
            # A helper forwards the answer of the target.
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
        """Handle a helper's notice that it has probed the target without an answer so far."""
        probe = self.pending.get(number)
        if probe and probe.expected_nacks:
            probe.expected_nacks -= 1

    def learn_from_helper(
        self, helper: Member, number: int, updates: Iterable[m.MemberUpdate], now: float
    ) -> None:
        """Accept the epoch of a target from a helper that has just received the target's answer.

        Otherwise this front could never learn the epoch of a member that others reach but this front does
        not. As a side effect, a helper that lies can report an epoch that never existed; the member then
        learns of that epoch (`StaleEpoch`), and continues under a later one.
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
