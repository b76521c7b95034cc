"""The table of a front's beliefs about the other members, and the updates still to be gossiped. No I/O.

The belief about a member is the greatest update received, ordered by epoch (the member's start), then by
incarnation (its refutations), then by state. Taking the greatest is a join: updates may arrive in any order,
repeatedly or not at all, and fronts that have received the same updates hold the same beliefs.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from weldbend.fleet import messages as m
from weldbend.fleet.settings import FleetSettings
from weldbend.invariants import check_invariant

PIGGYBACK_LIMIT = 12  # pending updates per datagram, besides those about its sender and recipient


class State(IntEnum):
    """State of a member; within one epoch and incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rank(NamedTuple):
    """The sort key by which beliefs about a member are ordered and joined."""

    epoch: int
    incarnation: int
    state: State


class StateChange(NamedTuple):
    """A change of a member's state, with the reason that is logged."""

    name: str
    before: State
    after: State
    reason: str


@dataclass(eq=False, slots=True)
class Member:
    """The belief about another front; all times are readings of this front's clock, in seconds.

    Attributes:
        name: the member's name.
        epoch: Unix milliseconds of the member's start, 0 if nothing was ever received about it.
        incarnation: number that the member raises in that epoch to refute beliefs that it is not alive.
        state: state that the member is believed to be in; dead until something is received about it.
        since: time of the last update of this belief.
        received_at: time of the last message from the member itself.
        suspected_by: names of the fronts that suspect the member.
        suspicion_deadline: time at which a suspected member is declared dead, infinite if not suspected.
        refutation_probed_at: time of the last probe, outside the scheduled ones, that was sent so that the
            member can refute the belief that it is suspect or dead.
        unanswered_probes: number of this front's probes since the member last answered one directly.
    """

    name: str
    epoch: int = 0
    incarnation: int = 0
    state: State = State.DEAD
    since: float = -math.inf
    received_at: float = -math.inf
    suspected_by: set[str] = field(default_factory=set)
    suspicion_deadline: float = math.inf
    refutation_probed_at: float = -math.inf
    unanswered_probes: int = 0

    def rank(self) -> Rank:
        """Return the sort key of the current belief."""
        return Rank(self.epoch, self.incarnation, self.state)


@dataclass(slots=True)
class LocalMember:
    """This front's own entry in the membership.

    Attributes:
        name: this front's name.
        epoch: Unix milliseconds of its start, or a later epoch if peers know a later one for its name.
        incarnation: number that it raises in that epoch with each refutation and after each pause.
        is_contested: whether another process runs under the same name; this process then sends nothing.
        is_leaving: whether it is shutting down in an orderly way.
        epoch_raises: times of recent raises of its epoch that messages from peers caused.
    """

    name: str
    epoch: int
    incarnation: int = 0
    is_contested: bool = False
    is_leaving: bool = False
    epoch_raises: list[float] = field(default_factory=list)

    def as_update(self) -> m.MemberUpdate:
        """Return the update that announces this front as alive."""
        return m.MemberUpdate(self.name, self.epoch, self.incarnation, int(State.ALIVE), self.name)


class MemberTable:
    """All members that the installation names, with the beliefs about them.

    Beliefs are changed here only, except that `Membership` joins the incarnation of a suspicion that it
    received before it calls `suspect`.

    Attributes:
        local: this front's own entry.
        settings: the fleet's settings.
        counts: counters of suspicions and deaths.
        members: the other members by name.
        pending_updates: number of times that the update about a member was sent so far, for each member whose
            update is still to be gossiped, by name.
        changes: state changes since the last `drain_changes`.
    """

    def __init__(self, local: LocalMember, settings: FleetSettings, counts: Counter[str]) -> None:
        self.local = local
        self.settings = settings
        self.counts = counts
        self.members: dict[str, Member] = {}
        self.pending_updates: dict[str, int] = {}
        self.changes: list[StateChange] = []

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Replace the set of members, and keep the beliefs about those that remain."""
        named = [name for name in names if name != self.local.name]
        for removed in set(self.members) - set(named):
            del self.members[removed]
            self.pending_updates.pop(removed, None)
        for name in named:
            self.members.setdefault(name, Member(name, since=now))

    def announce(self, name: str) -> None:
        """Queue the belief about a member for gossip."""
        self.pending_updates[name] = 0

    # Beliefs.

    def update(self, member: Member, rank: Rank, now: float, reason: str) -> None:
        """Replace the belief about a member by a newer one, and queue it for gossip."""
        check_invariant(rank >= member.rank() or rank.epoch > member.epoch, "beliefs only rise")
        if member.state is not rank.state:
            self.changes.append(StateChange(member.name, member.state, rank.state, reason))
        member.epoch, member.incarnation, member.state = rank
        member.since = now
        member.suspicion_deadline = math.inf
        if rank.state is not State.SUSPECT:
            member.suspected_by = set()
        self.announce(member.name)

    def suspect(self, member: Member, reporter: str, now: float) -> None:
        """Record that `reporter` suspects a member; each further reporter shortens the suspicion."""
        if member.state is State.ALIVE:
            member.suspected_by = set()
            rank = Rank(member.epoch, member.incarnation, State.SUSPECT)
            self.update(member, rank, now, f"suspected by {reporter}")
            self.counts["suspected"] += 1
        if reporter in member.suspected_by:
            return
        if member.suspected_by and len(member.suspected_by) <= self.settings.helpers:
            self.announce(member.name)  # so that the other fronts count this further reporter too
        member.suspected_by.add(reporter)
        confirmations = min(len(member.suspected_by) - 1, self.settings.helpers)
        member.suspicion_deadline = member.since + self.settings.suspicion_timeout(
            len(self.members) + 1, confirmations
        )

    def expire_suspicions(self, now: float) -> None:
        """Declare dead each suspected member whose deadline has passed without a refutation."""
        for member in self.members.values():
            if member.state is State.SUSPECT and now >= member.suspicion_deadline:
                rank = Rank(member.epoch, member.incarnation, State.DEAD)
                self.update(member, rank, now, "no refutation was received")
                self.counts["known dead"] += 1

    def postpone_suspicions(self, now: float) -> None:
        """Extend expired deadlines by a probe interval, for a front that cannot judge others at present."""
        for member in self.members.values():
            if member.suspicion_deadline <= now:
                member.suspicion_deadline = now + self.settings.probe_interval

    def extend_suspicions(self, seconds: float) -> None:
        """Postpone all deadlines by the duration of this process's pause."""
        for member in self.members.values():
            if member.suspicion_deadline < math.inf:
                member.suspicion_deadline += seconds

    def drain_changes(self) -> list[StateChange]:
        """Return the state changes since the last call, and clear them."""
        changes = self.changes
        self.changes = []
        return changes

    # Gossip.

    def as_update(self, member: Member) -> m.MemberUpdate:
        """Return this front's belief about a member as a gossip update."""
        if member.state is not State.SUSPECT or self.local.name in member.suspected_by:
            reporter = self.local.name
        else:
            reporter = min(member.suspected_by)
        return m.MemberUpdate(member.name, member.epoch, member.incarnation, int(member.state), reporter)

    def gossip_for(self, recipient: Member) -> list[m.MemberUpdate]:
        """Return the updates to attach to a message, those with the fewest transmissions first.

        An update about the recipient itself precedes all others, so that the recipient can refute it
        (Lifeguard's buddy system, section IV-C).
        """
        max_transmissions = self.settings.gossip_transmissions(len(self.members) + 1)
        updates: list[m.MemberUpdate] = []
        if recipient.state >= State.SUSPECT and recipient.epoch:
            updates.append(self.as_update(recipient))
        pending = sorted(self.pending_updates.items(), key=lambda entry: entry[1])
        for name, transmissions in pending[:PIGGYBACK_LIMIT]:
            if name != recipient.name:
                member = self.members.get(name)
                updates.append(self.as_update(member) if member else self.local.as_update())
            if transmissions + 1 >= max_transmissions:
                del self.pending_updates[name]
            else:
                self.pending_updates[name] = transmissions + 1
        own_name = self.local.name
        if own_name not in self.pending_updates and all(update.name != own_name for update in updates):
            updates.append(self.local.as_update())  # small, and often ends a suspicion of this front
        return updates
