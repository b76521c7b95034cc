"""Fleet membership and failure detection: SWIM with the refinements of Lifeguard.

This module does no I/O, and callers pass in the time.

A front probes one member per interval (`probing`). A member that does not answer is probed through helpers,
then suspected, and declared dead if no refutation arrives before a deadline (Das, Gupta, Motivala 2002).
Three refinements of Lifeguard (Dadgar, Phillips, Currey 2018) keep a front that is short of CPU from
declaring its peers dead: its own health lengthens its intervals (`local_health`), a suspicion without other
reporters lasts longer, and a suspected member is notified first (`member_table`).

The effect of a false but well-formed message is bounded: a later epoch is accepted only from the member
itself, in an authenticated message, or from a helper that has just reached it (gossip may only supply the
first epoch of a member about which nothing was received yet); one update can raise an incarnation by
`MAX_INCARNATION_LEAP` at most; and updates about members that the installation does not name are dropped.
"""

from collections import Counter
from collections.abc import Iterable

from weldbend.fleet import messages as m
from weldbend.fleet.local_health import LocalHealth
from weldbend.fleet.member_table import LocalMember, Member, MemberTable, Rank, State, StateChange
from weldbend.fleet.membership_view import MembershipView, MemberView, Reachability
from weldbend.fleet.messages import Send
from weldbend.fleet.probing import MAX_EPOCH_LEAD, Prober
from weldbend.fleet.settings import FleetSettings

MAX_INCARNATION_LEAP = 1 << 16  # largest increase of an incarnation by gossip
MIN_UNANSWERED_PROBES = 2  # unanswered probes to a member, from which its probes may raise this front's epoch
CONTESTED_EPOCH_RAISES = 3  # epoch raises within `EPOCH_RAISE_WINDOW` that show another process of this name
EPOCH_RAISE_WINDOW = 30.0  # seconds


class Membership:
    """This front's membership protocol.

    The owner calls `advance` on every tick and `receive` for each datagram, and sends the datagrams that
    these two methods return.

    Attributes:
        name: this front's name.
        settings: the fleet's settings.
        counts: counters of events of the protocol.
        local: this front's own entry.
        health: the local health multiplier.
        table: the beliefs about the other members.
        prober: the failure detector.
        members: the other members by name.
        active_since: time at which this front started, or resumed after its last pause.
        last_advance: time of the last `advance`.
    """

    def __init__(
        self, name: str, epoch: int, settings: FleetSettings, peers: Iterable[str], seed: int, now: float
    ) -> None:
        self.name = name
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.local = LocalMember(name, epoch)
        self.health = LocalHealth()
        self.table = MemberTable(self.local, settings, self.counts)
        self.prober = Prober(self.table, self.health, seed, now, self.counts)
        self.members = self.table.members
        self.active_since = now
        self.last_advance = now
        self.set_members(peers, now)

    @property
    def epoch(self) -> int:
        """This front's current epoch."""
        return self.local.epoch

    @property
    def is_contested(self) -> bool:
        """Whether another process runs under this front's name."""
        return self.local.is_contested

    # Reconfiguration.

    def reconfigure(self, settings: FleetSettings, now: float) -> None:
        """Apply new settings and the members that they name."""
        self.settings = self.table.settings = settings
        self.set_members([peer.name for peer in settings.peers], now)

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Replace the set of members; messages of fronts outside it are dropped."""
        self.table.set_members(names, now)
        self.prober.drop_removed()

    # View.

    def view(self, now: float) -> MembershipView:
        """Return the current view of the fleet."""
        members = tuple(
            MemberView(
                name=member.name,
                state=member.state,
                epoch=member.epoch,
                incarnation=member.incarnation,
                state_age=now - member.since,
                message_age=now - member.received_at,
                suspected_by=tuple(sorted(member.suspected_by)),
            )
            for member in sorted(self.members.values(), key=lambda member: member.name)
        )
        return MembershipView(now, self.reachability(now), self.health.multiplier, self.is_contested, members)

    def reachability(self, now: float) -> Reachability:
        """Return how far this front can rely on its own judgement of others.

        This prevents a front from judging others while the fault is its own: a lost network connection, a
        pause of the machine or a recent start. As a side effect, if all other members die at once, the only
        one that is left keeps them in the suspected state.
        """
        if not self.members:
            return Reachability.CLEAR
        latest = max(member.received_at for member in self.members.values())
        if now - max(latest, self.active_since) > self.settings.isolation_timeout:
            return Reachability.ALONE
        active = dead = 0
        for member in self.members.values():
            if member.received_at >= self.active_since:
                active += 1
            elif member.state >= State.DEAD:
                dead += 1
        is_clear = active and 2 * (active + dead) >= len(self.members)
        return Reachability.CLEAR if is_clear else Reachability.WAKING

    def drain_changes(self) -> list[StateChange]:
        """Return the members' state changes since the last call, and clear them."""
        return self.table.drain_changes()

    # Time.

    def advance(self, now: float) -> list[Send]:
        """Perform all actions that are due, and return the datagrams to send."""
        if self.was_paused(now):
            self._resume_after_pause(now)
        self.last_advance = now
        if self.is_contested or self.local.is_leaving:
            self.prober.postpone(now)
            return []
        sends = self.prober.advance_pending(now)
        if self.reachability(now) is Reachability.ALONE:
            self.table.postpone_suspicions(now)
        else:
            self.table.expire_suspicions(now)
        return sends + self.prober.probe_next(now)

    def was_paused(self, now: float) -> bool:
        """Return whether this process was paused, judging by the time since the last `advance`."""
        return now - self.last_advance > self.settings.pause_threshold + self.health.scaled(
            self.settings.probe_interval
        )

    def _resume_after_pause(self, now: float) -> None:
        """Reset the failure detection after this process was stopped or its machine frozen.

        This keeps a resuming front from declaring all others dead because of its own pause, and from acting
        on outdated beliefs. As a side effect, real deaths are detected one suspicion period later.
        """
        self.counts["stood still"] += 1
        self.active_since = now
        self.prober.reset_after_pause(now)
        self.health.reset_after_pause()
        self.table.extend_suspicions(now - self.last_advance)
        self.local.incarnation += 1  # refutes a belief of others that this front died during the pause

    def leave(self) -> list[Send]:
        """Begin an orderly shutdown, and return the messages that announce it."""
        self.local.is_leaving = True
        return [Send(o.name, m.Leaving()) for o in self.members.values() if o.state is not State.DEAD]

    # Received messages.

    def receive(self, now: float, sender: str, epoch: int, body: m.Datagram) -> list[Send]:
        """Handle an authenticated datagram that `sender` sent in its given epoch, and return the answers."""
        member = self.members.get(sender)
        if member is None:
            self.counts["not a member"] += 1
            return []
        if self.is_contested:
            return []
        if epoch < member.epoch:
            self.counts["of an older run"] += 1
            return [Send(sender, m.StaleEpoch(member.epoch))]
        if epoch > member.epoch:
            self.table.update(member, Rank(epoch, 0, State.ALIVE), now, "started a new epoch")
            member.suspected_by = set()
        member.received_at = now
        return self._handle(member, body, now)

    def _handle(self, member: Member, body: m.Datagram, now: float) -> list[Send]:
        match body:
            case m.Probe(number, updates):
                self._check_own_epoch(member, updates, now)
                self.apply_updates(updates, now)
                answers = [Send(member.name, m.Ack(number, self.table.gossip_for(member)))]
                if member.state >= State.SUSPECT:
                    # The member can at least send, so it is probed, with gossip that it can refute.
                    answers += self.prober.probe_for_refutation(member, now)
                return answers
            case m.Ack(number, updates):
                self.prober.learn_from_helper(member, number, updates, now)
                self.apply_updates(updates, now)
                return self.prober.ack_received(member, number, now)
            case m.IndirectProbe(number, name, updates):
                self.apply_updates(updates, now)
                probed = self.members.get(name)
                return [self.prober.probe(probed, now, member.name, number)] if probed else []
            case m.Nack(number):
                self.prober.nack_received(number)
            case m.StaleEpoch(later_epoch):
                self.raise_epoch(later_epoch, now)
            case m.Leaving(updates):
                self.apply_updates(updates, now)
                self.table.update(member, Rank(member.epoch, member.incarnation, State.LEFT), now, "left")
        return []

    def _check_own_epoch(self, prober: Member, updates: Iterable[m.MemberUpdate], now: float) -> None:
        """Raise this front's epoch if an unresponsive member's probe reports a later one.

        If this front's clock went back behind all epochs of this front that the peer remembers, the peer's
        authenticator drops this front's messages, so the peer never answers with `StaleEpoch`. The probes
        that the peer itself sends still report the later epoch. As a side effect, a peer that lies makes this
        front continue under a later epoch, as it can with `StaleEpoch`.
        """
        if prober.unanswered_probes < MIN_UNANSWERED_PROBES or self.local.is_leaving:
            return
        for update in updates:
            if update.name == self.name and update.epoch > self.epoch:
                self.raise_epoch(update.epoch, now)
                prober.unanswered_probes = 0

    def raise_epoch(self, later_epoch: int, now: float) -> None:
        """Raise this front's epoch above a later one that another front knows for its name.

        Either this machine's clock went back, or another process runs under the same name. Without the raise,
        a fleet that knows the later epoch would ignore this front for ever. If raises recur
        (`CONTESTED_EPOCH_RAISES`), two processes share the name: the first one to have its epoch raised that
        often stops sending and marks its view as contested.
        """
        local = self.local
        if not local.epoch <= later_epoch <= local.epoch + MAX_EPOCH_LEAD:
            self.counts["leaps of an epoch"] += 1
            return
        recent = [at for at in local.epoch_raises if now - at < EPOCH_RAISE_WINDOW]
        local.epoch_raises = [*recent, now]
        local.epoch = later_epoch + 1
        local.incarnation = 0
        self.counts["own epoch raised"] += 1
        if len(local.epoch_raises) >= CONTESTED_EPOCH_RAISES:
            local.is_contested = True
            self.table.changes.append(
                StateChange(self.name, State.ALIVE, State.LEFT, "another process runs under this name")
            )

    # Gossip.

    def apply_updates(self, updates: Iterable[m.MemberUpdate], now: float) -> None:
        """Join the beliefs of another front with this front's own, as `member_table` describes."""
        for update in updates:
            self.apply_update(update, now)

    def apply_update(self, update: m.MemberUpdate, now: float) -> None:
        """Join one belief of another front; an update out of bounds is counted and dropped."""
        if update.name == self.name:
            self.refute(update)
            return
        member = self.members.get(update.name)
        if member is None:
            self.counts["rumours of nobody"] += 1
        elif not member.epoch and 0 < update.epoch <= self.epoch + MAX_EPOCH_LEAD:
            # Nothing was received about the member yet. Its first epoch is accepted from gossip, because by
            # direct probes alone, 200 fronts would take minutes to discover each other.
            state = State.ALIVE if update.state == State.SUSPECT else State(update.state)
            rank = Rank(update.epoch, update.incarnation, state)
            self.table.update(member, rank, now, f"reported by {update.reporter}")
        elif update.epoch != member.epoch:
            if update.epoch > member.epoch:
                self.prober.probe_soon(member)  # a new start must be confirmed by the member itself
        elif update.incarnation > member.incarnation + MAX_INCARNATION_LEAP:
            self.counts["leaps of an incarnation"] += 1
        else:
            self._join(member, update, now)

    def _join(self, member: Member, update: m.MemberUpdate, now: float) -> None:
        """Join a belief about a member in the epoch that this front knows for it."""
        rank = Rank(update.epoch, update.incarnation, State(update.state))
        if rank.state is State.SUSPECT and rank.incarnation >= member.incarnation:
            if member.state is State.ALIVE or rank.incarnation > member.incarnation:
                member.incarnation = rank.incarnation
                member.state = State.ALIVE
            if member.state <= State.SUSPECT:
                self.table.suspect(member, update.reporter, now)
        elif rank > member.rank():
            self.table.update(member, rank, now, f"reported by {update.reporter}")

    def refute(self, update: m.MemberUpdate) -> None:
        """Refute another front's belief that this front is not alive, by a later incarnation."""
        local = self.local
        if update.epoch != local.epoch or update.state == State.ALIVE or local.is_leaving:
            return
        if update.incarnation > local.incarnation + MAX_INCARNATION_LEAP:
            self.counts["leaps of an incarnation"] += 1
        elif update.incarnation >= local.incarnation:
            local.incarnation = update.incarnation + 1
            self.health.worsen()
            self.table.announce(self.name)
            self.counts["refuted"] += 1
