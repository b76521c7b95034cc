"""Who belongs to the fleet and who is alive: SWIM, refined by Lifeguard. No I/O; time is handed in.

A front probes one member an interval (`probing`); one that does not answer is probed through helpers, then
suspected, and known dead when no refutation of it was received for a while (Das, Gupta, Motivala 2002). Three
refinements of Lifeguard (Dadgar, Phillips, Currey 2018) keep a front that lacks CPU from declaring its peers
dead: its own health stretches its intervals (`local_health`), a suspicion without other reporters lasts
longer, and who is suspected is told so first (`member_table`).

What a lie within the format can do is bounded: a later epoch is accepted only from the member itself, over an
authenticated message; an incarnation may leap by `MAX_INCARNATION_LEAP` at most; and only a member that is
named can be spoken of.
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

MAX_INCARNATION_LEAP = 1 << 16  # by which gossip may raise an incarnation
MIN_UNANSWERED_PROBES = 2  # after which what a member's probe says of this front's epoch is taken
CONTESTED_EPOCH_RAISES = 3  # epoch raises within the window that show another process with this name
EPOCH_RAISE_WINDOW = 30.0  # seconds


class Membership:
    """Call `advance` on every tick and `receive` for each datagram; send what both return."""

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
        self.active_since = now  # when it began, or went on after a pause
        self.last_advance = now
        self.set_members(peers, now)

    @property
    def epoch(self) -> int:
        """This front's own epoch, as it stands now."""
        return self.local.epoch

    @property
    def is_contested(self) -> bool:
        """Another process runs under this front's name."""
        return self.local.is_contested

    # What may change while it runs.

    def reconfigure(self, settings: FleetSettings, now: float) -> None:
        """Go by new settings and their members from now on."""
        self.settings = self.table.settings = settings
        self.set_members([peer.name for peer in settings.peers], now)

    def set_members(self, names: Iterable[str], now: float) -> None:
        """The members that are named from now on; messages of others are dropped."""
        self.table.set_members(names, now)
        self.prober.drop_removed()

    # What is believed.

    def view(self, now: float) -> MembershipView:
        """All that is believed at this moment."""
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
        """How much this front's judgement of others is worth now.

        Guards against judging others by a front's own faults. Should cover a lost line, a pause of this
        machine and a start. Harm: where all others have died at once, the last one goes on calling them
        suspected.
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
        """Changes of members' states since the last call, for the log."""
        return self.table.drain_changes()

    # Time.

    def advance(self, now: float) -> list[Send]:
        """Do all that is due by now."""
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
        """Whether this process was paused since its last `advance`, which is overdue then."""
        return now - self.last_advance > self.settings.pause_threshold + self.health.scaled(
            self.settings.probe_interval
        )

    def _resume_after_pause(self, now: float) -> None:
        """This process was stopped, or its machine frozen: what it knew is old.

        Guards against a front that resumes and declares all others dead by its own pause, or acts on what it
        knew before. Harm: real deaths are noticed one suspicion later.
        """
        self.counts["stood still"] += 1
        self.active_since = now
        self.prober.reset_after_pause(now)
        self.health.reset_after_pause()
        self.table.extend_suspicions(now - self.last_advance)
        self.local.incarnation += 1  # others may think it dead

    def leave(self) -> list[Send]:
        """Stop in an orderly way; the messages that say so."""
        self.local.is_leaving = True
        return [Send(o.name, m.Leaving()) for o in self.members.values() if o.state is not State.DEAD]

    # What comes.

    def receive(self, now: float, sender: str, epoch: int, body: m.Datagram) -> list[Send]:
        """Handle an authenticated datagram of `sender`, which it sent in that epoch; the answers to send."""
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
            self.table.update(member, Rank(epoch, 0, State.ALIVE), now, "a new start")
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
                    answers += self.prober.probe_for_refutation(
                        member, now
                    )  # it is alive after all, or half of it
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
        """Go on above a later start of this name, of which a probe speaks whose sender never answers.

        Guards against a front whose clock went back behind all those of its runs whose numbers another
        remembers: what it sends is dropped there before anybody could say that it is out of date. Harm: one
        that lies has this front go on under a later epoch, as with `StaleEpoch`.
        """
        if prober.unanswered_probes < MIN_UNANSWERED_PROBES or self.local.is_leaving:
            return
        for update in updates:
            if update.name == self.name and update.epoch > self.epoch:
                self.raise_epoch(update.epoch, now)
                prober.unanswered_probes = 0

    def raise_epoch(self, later_epoch: int, now: float) -> None:
        """Another front knows a later start of this name: this clock went back, or there is a double.

        Guards against being ignored for ever by a fleet that knows the earlier process's later epoch. Where
        it goes on, two processes run under one name: the one that is told so last falls silent, and says it
        in its view.
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
        """Join what another front believes of members."""
        for update in updates:
            self.apply_update(update, now)

    def apply_update(self, update: m.MemberUpdate, now: float) -> None:
        """Join one belief of another front; what lies out of bounds is counted and dropped."""
        if update.name == self.name:
            self.refute(update)
            return
        member = self.members.get(update.name)
        if member is None:
            self.counts["rumours of nobody"] += 1
        elif not member.epoch and 0 < update.epoch <= self.epoch + MAX_EPOCH_LEAD:
            # what is first received of a member may be gossip, or 200 fronts would take minutes to meet
            state = State.ALIVE if update.state == State.SUSPECT else State(update.state)
            rank = Rank(update.epoch, update.incarnation, state)
            self.table.update(member, rank, now, f"reported by {update.reporter}")
        elif update.epoch != member.epoch:
            if update.epoch > member.epoch:
                self.prober.probe_soon(member)  # gossip of a start: only the member itself proves it
        elif update.incarnation > member.incarnation + MAX_INCARNATION_LEAP:
            self.counts["leaps of an incarnation"] += 1
        else:
            self._join(member, update, now)

    def _join(self, member: Member, update: m.MemberUpdate, now: float) -> None:
        """Join a belief about the epoch that is known here."""
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
        """Another front believes this one suspect or dead: say under a later incarnation that it is alive."""
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
