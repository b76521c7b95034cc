"""What a front believes of the other members, and which of it is still to be gossiped. No I/O.

The belief about one member is the greatest of all that was received, ordered by epoch (its start),
incarnation (its refutations) and state. That order is a join: updates may come in any order, twice, or never,
and all who received the same believe the same.
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

PIGGYBACK_LIMIT = 12  # pending updates on one datagram, besides those about its ends


class State(IntEnum):
    """State of a member; later ones win over earlier ones of the same epoch and incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rank(NamedTuple):
    """The place of a belief in the order by which beliefs are joined."""

    epoch: int
    incarnation: int
    state: State


class StateChange(NamedTuple):
    """A change of a member's state, for the log."""

    name: str
    before: State
    after: State
    reason: str


@dataclass(eq=False, slots=True)
class Member:
    """What is believed of one other front; moments are in this front's time.

    Attributes:
        name: the member's name.
        epoch: Unix milliseconds of its start, 0 where nothing was ever received about it.
        incarnation: how often it has refuted a suspicion in that epoch.
        state: the state it is believed to be in.
        since: when that state began, here.
        heard_at: when a message from the member itself last came.
        suspected_by: names of the fronts that suspect it.
        suspicion_deadline: when the suspicion becomes a death, infinite where there is none.
        refutation_probed_at: when it was last probed, out of schedule, because it passes for suspect or dead.
        unanswered_probes: of this front's own since it last answered one itself.
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
        """The place of the current belief in the order of beliefs."""
        return Rank(self.epoch, self.incarnation, self.state)


@dataclass(slots=True)
class LocalMember:
    """What this front says of itself.

    Attributes:
        name: its name.
        epoch: Unix milliseconds of its start, or later where another process had a later one.
        incarnation: how often it has refuted a suspicion in that epoch.
        is_contested: another process runs under the same name, so this one has fallen silent.
        is_leaving: it is stopping in an orderly way.
        epoch_raises: when others last made it raise its epoch.
    """

    name: str
    epoch: int
    incarnation: int = 0
    is_contested: bool = False
    is_leaving: bool = False
    epoch_raises: list[float] = field(default_factory=list)

    def as_update(self) -> m.MemberUpdate:
        """The update that says that this front is alive."""
        return m.MemberUpdate(self.name, self.epoch, self.incarnation, int(State.ALIVE), self.name)


class MemberTable:
    """All members that the installation names, the one place at which beliefs change.

    `pending_updates` says of whom news is to be gossiped, and how often it has been passed on.
    """

    def __init__(self, local: LocalMember, settings: FleetSettings, counts: Counter[str]) -> None:
        self.local = local
        self.settings = settings
        self.counts = counts
        self.members: dict[str, Member] = {}
        self.pending_updates: dict[str, int] = {}
        self.changes: list[StateChange] = []

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Replace the named members; what is believed of those that stay is retained."""
        named = [name for name in names if name != self.local.name]
        for removed in set(self.members) - set(named):
            del self.members[removed]
            self.pending_updates.pop(removed, None)
        for name in named:
            self.members.setdefault(name, Member(name, since=now))

    def announce(self, name: str) -> None:
        """Gossip the belief about that member from now on."""
        self.pending_updates[name] = 0

    # Beliefs.

    def update(self, member: Member, rank: Rank, now: float, reason: str) -> None:
        """Believe something newer of a member, and gossip it."""
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
        """Have `reporter` suspect a member: each further reporter shortens the suspicion."""
        if member.state is State.ALIVE:
            member.suspected_by = set()
            rank = Rank(member.epoch, member.incarnation, State.SUSPECT)
            self.update(member, rank, now, f"suspected by {reporter}")
            self.counts["suspected"] += 1
        if reporter in member.suspected_by:
            return
        if member.suspected_by and len(member.suspected_by) <= self.settings.helpers:
            self.announce(member.name)  # another reporter is news
        member.suspected_by.add(reporter)
        confirmations = min(len(member.suspected_by) - 1, self.settings.helpers)
        member.suspicion_deadline = member.since + self.settings.suspicion_timeout(
            len(self.members) + 1, confirmations
        )

    def expire_suspicions(self, now: float) -> None:
        """Believe dead who has not refuted a suspicion by its deadline."""
        for member in self.members.values():
            if member.state is State.SUSPECT and now >= member.suspicion_deadline:
                rank = Rank(member.epoch, member.incarnation, State.DEAD)
                self.update(member, rank, now, "no refutation was received")
                self.counts["known dead"] += 1

    def postpone_suspicions(self, now: float) -> None:
        """Give those whose deadline has passed another interval: this front can judge nobody now."""
        for member in self.members.values():
            if member.suspicion_deadline <= now:
                member.suspicion_deadline = now + self.settings.probe_interval

    def extend_suspicions(self, seconds: float) -> None:
        """Move all deadlines by the time for which this process was paused."""
        for member in self.members.values():
            if member.suspicion_deadline < math.inf:
                member.suspicion_deadline += seconds

    def drain_changes(self) -> list[StateChange]:
        """Changes of state since the last call."""
        changes = self.changes
        self.changes = []
        return changes

    # Gossip.

    def as_update(self, member: Member) -> m.MemberUpdate:
        """What this front believes of a member, as a message says it."""
        if member.state is not State.SUSPECT or self.local.name in member.suspected_by:
            reporter = self.local.name
        else:
            reporter = min(member.suspected_by)
        return m.MemberUpdate(member.name, member.epoch, member.incarnation, int(member.state), reporter)

    def gossip_for(self, recipient: Member) -> list[m.MemberUpdate]:
        """Updates to pass on with a message, the least often passed on first.

        What concerns the recipient itself goes before all, so that it can refute it (Lifeguard's buddy
        system, section IV-C).
        """
        most_transmissions = self.settings.gossip_transmissions(len(self.members) + 1)
        updates: list[m.MemberUpdate] = []
        if recipient.state >= State.SUSPECT and recipient.epoch:
            updates.append(self.as_update(recipient))
        pending = sorted(self.pending_updates.items(), key=lambda entry: entry[1])
        for name, transmissions in pending[:PIGGYBACK_LIMIT]:
            if name != recipient.name:
                member = self.members.get(name)
                updates.append(self.as_update(member) if member else self.local.as_update())
            if transmissions + 1 >= most_transmissions:
                del self.pending_updates[name]
            else:
                self.pending_updates[name] = transmissions + 1
        own_name = self.local.name
        if own_name not in self.pending_updates and all(update.name != own_name for update in updates):
            updates.append(self.local.as_update())  # costs little, and ends many a suspicion
        return updates
