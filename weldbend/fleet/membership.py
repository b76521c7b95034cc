"""Who belongs to the fleet and who is there: SWIM, refined by Lifeguard. No I/O; time is handed in.

A front probes one member an interval, in a shuffled round; one that does not answer is asked for through
others, then suspected, and known dead when nobody has heard it refute that for a while (Das, Gupta, Motivala
2002). Three refinements of Lifeguard (Dadgar, Phillips, Currey 2018) keep a front that lacks CPU from
declaring its peers dead: its own health stretches its intervals, a suspicion without other voices lasts
longer, and who is suspected is told so first.

What is believed of one member is the greatest of all that was heard, ordered by epoch (its start),
incarnation (its refutations) and state. That order is a join: rumours may come in any order, twice, or
never, and all who heard the same believe the same.

What a lie within the format can do is bounded: a later epoch is taken only from the member itself, over a
sealed message; an incarnation may leap by `LEAP` at most; and only a member that is named can be spoken of.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

from weldbend.fleet import messages as m
from weldbend.fleet.settings import Terms
from weldbend.invariants import check_invariant
from weldbend.routing.random_source import RandomSource

LEAP = 1 << 16  # by which a rumour may raise an incarnation
AHEAD = 1 << 40  # by which another may tell a front to raise its own epoch
SICKEST = 8  # Lifeguard's bound on the local health multiplier
PIGGYBACK = 12  # rumours on one datagram
RAISES, RAISED = 3, 30.0  # so many forced new epochs in this time: another process runs under this name


class State(IntEnum):
    """Later ones win over earlier ones of the same epoch and incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Reachability(IntEnum):
    """How much a front's view is worth, by its own judgement."""

    CLEAR = 0
    WAKING = 1  # it has just started or stood still, and has not heard from most of the others since
    ALONE = 2  # it hears nobody: it judges nobody


@dataclass(eq=False, slots=True)
class Member:
    """What is believed of one other front."""

    name: str
    epoch: int = 0  # 0: never heard of
    incarnation: int = 0
    state: State = State.DEAD
    since: float = -math.inf  # when the state began, here
    heard: float = -math.inf  # when a message of it last came
    voices: set[str] = field(default_factory=set)  # who suspects it
    deadline: float = math.inf  # of a suspicion
    told: float = -math.inf  # when it was last told, out of turn, what it passes for

    def rank(self) -> tuple[int, int, int]:
        return self.epoch, self.incarnation, int(self.state)


@dataclass(slots=True)
class Trial:
    """The probe of this interval."""

    number: int
    target: Member
    asked_by: str = ""  # in whose place, and under which number of theirs
    their_number: int = 0
    indirect_at: float = math.inf
    over_at: float = math.inf
    nacks: int = 0  # still to come
    done: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """One datagram to a member."""

    to: str
    body: m.Datagram


@dataclass(frozen=True, slots=True)
class Seen:
    """One line of a view. Ages in seconds; never heard of is infinite."""

    name: str
    state: State
    epoch: int
    incarnation: int
    since: float
    heard: float
    voices: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class View:
    """What a front believed at a time; never a bare yes or no."""

    at: float
    sight: Reachability
    health: int  # 0 is well, up to SICKEST
    contested: bool  # another process runs under this front's name
    members: tuple[Seen, ...]

    def alive(self) -> tuple[str, ...]:
        return tuple(one.name for one in self.members if one.state in (State.ALIVE, State.SUSPECT))


class Membership:
    """Hand it `turn(now)` when `due()` comes and `hear(...)` for each datagram; send what both give back."""

    def __init__(
        self, name: str, epoch: int, terms: Terms, peers: Iterable[str], seed: int, now: float
    ) -> None:
        self.name, self.epoch, self.terms = name, epoch, terms
        self.incarnation = 0
        self.chance = RandomSource(seed)
        self.members: dict[str, Member] = {}
        self.round: list[Member] = []
        self.draws = 0
        self.trials: dict[int, Trial] = {}
        self.rumours: dict[str, int] = {}  # about whom, and how often it was passed on
        self.health = 0
        self.started = self.last = now  # when it began, or went on after a standstill; and the last turn
        self.next = now + self.chance.random() * terms.interval  # not all fronts in step
        self.leaving = self.contested = False
        self.raises: list[float] = []
        self.counts: Counter[str] = Counter()
        self.changes: list[tuple[str, State, State, str]] = []  # name, from, to, why: for the log
        self.rename(peers, now)

    # What may change while it runs.

    def rename(self, peers: Iterable[str], now: float) -> None:
        """The members that are named from now on; one that is no longer named is not heard."""
        named = [peer for peer in peers if peer != self.name]
        for gone in set(self.members) - set(named):
            del self.members[gone]
            self.rumours.pop(gone, None)
        for peer in named:
            self.members.setdefault(peer, Member(peer, since=now))
        self.round = [member for member in self.round if member.name in self.members]
        self.trials = {n: t for n, t in self.trials.items() if t.target.name in self.members}

    def due(self) -> float:
        """When the next turn must come, at the latest."""
        ends = [min(t.indirect_at, t.over_at) for t in self.trials.values()]
        suspected = [member.deadline for member in self.members.values()]
        return min([self.next, *ends, *suspected])

    def view(self, now: float) -> View:
        lines = tuple(
            Seen(
                o.name, o.state, o.epoch, o.incarnation, now - o.since, now - o.heard, tuple(sorted(o.voices))
            )
            for o in sorted(self.members.values(), key=lambda o: o.name)
        )
        return View(now, self.sight(now), self.health, self.contested, lines)

    def sight(self, now: float) -> Reachability:
        """Guards against judging others by a front's own trouble.

        Should cover a lost line, a standstill of this machine and a start. Harm: where all others have died
        at once, the last one goes on calling them suspected.
        """
        if not self.members:
            return Reachability.CLEAR
        if now - max(max(o.heard for o in self.members.values()), self.started) > self.terms.alone:
            return Reachability.ALONE
        since = [o for o in self.members.values() if o.heard >= self.started]
        dead = sum(o.state >= State.DEAD for o in self.members.values() if o not in since)
        return (
            Reachability.CLEAR
            if 2 * (len(since) + dead) >= len(self.members) and since
            else Reachability.WAKING
        )

    # Time.

    def turn(self, now: float) -> list[Send]:
        """All that is due by now."""
        out: list[Send] = []
        if self.stands_still(now):
            self.stood_still(now)
        self.last = now
        if self.contested or self.leaving:
            self.next = now + self.terms.interval
            return out
        for trial in list(self.trials.values()):
            if not trial.done and now >= trial.indirect_at:
                out += self.ask_others(trial)
            if now >= trial.over_at:
                self.end(trial, now)
        if self.sight(now) is not Reachability.ALONE:
            self.judge(now)
        else:
            for member in self.members.values():
                if member.deadline <= now:
                    member.deadline = now + self.terms.interval
        if now >= self.next:
            self.next = now + self.stretched(self.terms.interval)
            if target := self.draw():
                out.append(self.probe(target, now))
        return out

    def stands_still(self, now: float) -> bool:
        """Whether this process has stood still since its last turn; that turn is owed by now."""
        return now - self.last > self.terms.stalled + self.stretched(self.terms.interval)

    def stretched(self, time: float) -> float:
        return time * (1 + self.health)

    def stood_still(self, now: float) -> None:
        """This process was stopped, or its machine frozen: what it knew is old, nobody was heard.

        Guards against a front that wakes up and declares all others dead by its own standstill, or acts on
        what it knew before. Harm: real deaths are noticed one suspicion later.
        """
        self.counts["stood still"] += 1
        gap = now - self.last
        self.started = now
        self.trials.clear()
        self.health = SICKEST // 2
        for member in self.members.values():
            if member.deadline < math.inf:
                member.deadline += gap
        self.incarnation += 1  # others may think it dead
        self.next = now

    def judge(self, now: float) -> None:
        for member in self.members.values():
            if member.state is State.SUSPECT and now >= member.deadline:
                self.believe(
                    member, member.epoch, member.incarnation, State.DEAD, now, "nobody heard it refute"
                )
                self.counts["known dead"] += 1

    # Probing.

    def draw(self) -> Member | None:
        """The next of a shuffled round: each is probed once a round, in another order each time.

        Those not heard of for long are probed in their turn as well: a split that heals is found by it.
        Every third probe goes to one never heard of yet. Guards against a storm of joins, in which more is
        told than datagrams carry, so that the last ones would be found a whole round later. Harm: a death is
        noticed later by half while some that are named were never started.
        """
        self.draws += 1
        if self.draws % 3 == 0 and (unheard := [o for o in self.members.values() if not o.epoch]):
            return unheard[int(self.chance.random() * len(unheard))]
        if not self.round:
            self.round = sorted(self.members.values(), key=lambda _: self.chance.random())
        while self.round:
            member = self.round.pop()
            if member.state is not State.LEFT or self.chance.random() < 0.25:
                return member
        return None

    def probe(self, target: Member, now: float, asked_by: str = "", theirs: int = 0) -> Send:
        number = int(self.chance.random() * (1 << 32)) << 20 | len(self.trials)
        trial = Trial(number, target, asked_by, theirs)
        wait = self.stretched(self.terms.timeout)
        trial.indirect_at = now + wait
        trial.over_at = now + (wait if asked_by else max(self.stretched(self.terms.interval), 2 * wait))
        self.trials[number] = trial
        self.counts["probes"] += 1
        return Send(target.name, m.Probe(number, self.gossip(target)))

    def ask_others(self, trial: Trial) -> list[Send]:
        """No answer in time: others may have a path that this front lacks."""
        trial.indirect_at = math.inf
        if trial.asked_by:
            return [Send(trial.asked_by, m.Nack(trial.their_number))]
        live = [o for o in self.members.values() if o.state is State.ALIVE and o is not trial.target]
        live.sort(key=lambda _: self.chance.random())
        helpers = live[: self.terms.helpers]
        trial.nacks = len(helpers)
        self.counts["asked through others"] += len(helpers)
        return [Send(o.name, m.Ask(trial.number, trial.target.name, self.gossip(o))) for o in helpers]

    def end(self, trial: Trial, now: float) -> None:
        del self.trials[trial.number]
        if trial.asked_by:
            return
        if trial.done:
            self.health = max(0, self.health - 1)
            return
        # a helper that is well says at least that it heard nothing: its silence is this front's own trouble
        self.health = min(SICKEST, self.health + max(trial.nacks, 1 if trial.nacks else 0))
        target = trial.target
        if target.state <= State.SUSPECT and target.epoch:
            self.suspect(target, self.name, now)  # also where another did: a second voice shortens it

    def suspect(self, member: Member, voice: str, now: float) -> None:
        if member.state is State.ALIVE:
            member.voices = set()
            self.believe(
                member, member.epoch, member.incarnation, State.SUSPECT, now, f"suspected by {voice}"
            )
            self.counts["suspected"] += 1
        if voice in member.voices:
            return
        if member.voices and len(member.voices) <= self.terms.helpers:
            self.rumours[member.name] = 0  # another voice is news
        member.voices.add(voice)
        lasts = self.terms.suspicion(len(self.members) + 1, min(len(member.voices) - 1, self.terms.helpers))
        member.deadline = member.since + lasts

    # What comes.

    def hear(self, now: float, sender: str, epoch: int, body: m.Datagram) -> list[Send]:
        """A sealed datagram of a named member."""
        member = self.members.get(sender)
        if member is None:
            self.counts["not a member"] += 1
            return []
        if self.contested:
            return []
        if epoch < member.epoch:
            self.counts["of an older run"] += 1
            return [Send(sender, m.StaleEpoch(member.epoch))]
        if epoch > member.epoch:
            self.believe(member, epoch, 0, State.ALIVE, now, "a new start")
            member.voices = set()
        member.heard = now
        out: list[Send] = []
        match body:
            case m.Probe(number, rumours):
                self.learn(now, rumours)
                out = [Send(sender, m.Ack(number, self.gossip(member)))]
                if member.state >= State.SUSPECT:
                    out += self.tell(member, now)  # it is there after all, or its half: find out
            case m.Ack(number, rumours):
                self.vouched(member, number, rumours, now)
                self.learn(now, rumours)
                out = self.answered(member, number, now)
            case m.Ask(number, target, rumours):
                self.learn(now, rumours)
                if asked := self.members.get(target):
                    out = [self.probe(asked, now, sender, number)]
            case m.Nack(number):
                if (trial := self.trials.get(number)) and trial.nacks:
                    trial.nacks -= 1
            case m.StaleEpoch(ahead):
                self.overtaken(ahead, now)
            case m.Leaving(rumours):
                self.learn(now, rumours)
                self.believe(member, epoch, member.incarnation, State.LEFT, now, "left")
        return out

    def vouched(self, helper: Member, number: int, rumours: Iterable[m.MemberUpdate], now: float) -> None:
        """A helper that was asked has just heard the one we cannot reach: its start is taken from there.

        Guards against a path that never worked between two fronts which others reach. Harm: a helper that
        lies can name a start that never was; that member is then told so by us, and goes on under a later
        one.
        """
        trial = self.trials.get(number)
        if trial is None or trial.asked_by or trial.target is helper or trial.nacks == 0:
            return
        for told in rumours:
            target = trial.target
            if told.name == target.name and target.epoch < told.epoch <= self.epoch + AHEAD:
                self.believe(
                    target, told.epoch, told.incarnation, State.ALIVE, now, f"heard by {helper.name}"
                )

    def answered(self, member: Member, number: int, now: float) -> list[Send]:
        trial = self.trials.get(number)
        if trial is None or trial.done:
            return []
        if trial.target is not member:
            # a helper passes on the answer of the one that was asked for
            if trial.asked_by or member.state >= State.DEAD:
                self.counts["answers of the wrong one"] += 1
                return []
            trial.done = True
            return []
        trial.done = True
        if trial.asked_by:
            asker = self.members.get(trial.asked_by)
            told = [self.word(member), *(self.gossip(asker) if asker else [])]
            return [Send(trial.asked_by, m.Ack(trial.their_number, told))]
        return self.tell(member, now) if member.state is State.DEAD else []

    def tell(self, member: Member, now: float) -> list[Send]:
        """Tell one that is there what it passes for: it refutes, and all hear of it.

        Guards, by once an interval, against two that answer each other without end where it does not refute.
        """
        if now - member.told < self.terms.interval:
            return []
        member.told = now
        return [self.probe(member, now)]

    def overtaken(self, epoch: int, now: float) -> None:
        """Somebody knows a later start of this name: this front's clock went back, or it has a double.

        Guards against being deaf for ever to a fleet that knows the older run's later epoch. Where it goes
        on, two processes run under one name: the one that is told so last falls silent, and says it in its
        view.
        """
        if not self.epoch <= epoch <= self.epoch + AHEAD:
            self.counts["leaps of an epoch"] += 1
            return
        self.raises = [at for at in self.raises if now - at < RAISED] + [now]
        self.epoch, self.incarnation = epoch + 1, 0
        self.counts["own epoch raised"] += 1
        if len(self.raises) >= RAISES:
            self.contested = True
            self.changes.append((self.name, State.ALIVE, State.LEFT, "another process runs under this name"))

    def learn(self, now: float, rumours: Iterable[m.MemberUpdate]) -> None:
        for rumour in rumours:
            self.rumour(now, rumour)

    def rumour(self, now: float, rumour: m.MemberUpdate) -> None:
        if rumour.name == self.name:
            self.refute(rumour)
            return
        member = self.members.get(rumour.name)
        if member is None:
            self.counts["rumours of nobody"] += 1
            return
        if not member.epoch and 0 < rumour.epoch <= self.epoch + AHEAD:
            # the first word of a member may be hearsay, or 200 fronts would take minutes to know each other
            state = State.ALIVE if rumour.state == State.SUSPECT else State(rumour.state)
            self.believe(member, rumour.epoch, rumour.incarnation, state, now, f"told by {rumour.by}")
            return
        if rumour.epoch != member.epoch:
            if rumour.epoch > member.epoch and member not in self.round[-1:]:
                self.round.append(member)  # hearsay of a start: ask it next
            return
        if rumour.incarnation > member.incarnation + LEAP:
            self.counts["leaps of an incarnation"] += 1
            return
        state = State(rumour.state)
        told = rumour.epoch, rumour.incarnation, rumour.state
        if state is State.SUSPECT and rumour.incarnation >= member.incarnation:
            if member.state is State.ALIVE or rumour.incarnation > member.incarnation:
                member.incarnation, member.state = rumour.incarnation, State.ALIVE
            if member.state <= State.SUSPECT:
                self.suspect(member, rumour.by, now)
        elif told > member.rank():
            self.believe(member, rumour.epoch, rumour.incarnation, state, now, f"told by {rumour.by}")

    def refute(self, rumour: m.MemberUpdate) -> None:
        """Somebody holds this front for suspect or dead: say that it is not, louder than they did."""
        if rumour.epoch != self.epoch or rumour.state == State.ALIVE or self.leaving:
            return
        if rumour.incarnation > self.incarnation + LEAP:
            self.counts["leaps of an incarnation"] += 1
        elif rumour.incarnation >= self.incarnation:
            self.incarnation = rumour.incarnation + 1
            self.health = min(SICKEST, self.health + 1)
            self.rumours[self.name] = 0
            self.counts["refuted"] += 1

    def believe(
        self, member: Member, epoch: int, incarnation: int, state: State, now: float, why: str
    ) -> None:
        """The one place at which a belief changes."""
        before = member.rank()
        check_invariant(
            (epoch, incarnation, int(state)) >= before or epoch > member.epoch, "beliefs only rise"
        )
        if member.state is not state:
            self.changes.append((member.name, member.state, state, why))
        member.epoch, member.incarnation, member.state, member.since = epoch, incarnation, state, now
        member.deadline = math.inf
        if state is not State.SUSPECT:
            member.voices = set()
        self.rumours[member.name] = 0

    def gossip(self, to: Member) -> list[m.MemberUpdate]:
        """Rumours to pass on, the least told first; what concerns the listener itself goes before all."""
        most = self.terms.repeats(len(self.members) + 1)
        told: list[m.MemberUpdate] = []
        if to.state >= State.SUSPECT and to.epoch:
            told.append(self.word(to))
        for name, times in sorted(self.rumours.items(), key=lambda held: held[1])[:PIGGYBACK]:
            if name != to.name:
                told.append(self.word(self.members[name]) if name in self.members else self.own())
            if times + 1 >= most:
                del self.rumours[name]
            else:
                self.rumours[name] = times + 1
        if self.name not in self.rumours and not any(one.name == self.name for one in told):
            told.append(self.own())  # one's own word costs little, and ends many a suspicion
        return told

    def own(self) -> m.MemberUpdate:
        return m.MemberUpdate(self.name, self.epoch, self.incarnation, int(State.ALIVE), self.name)

    def word(self, member: Member) -> m.MemberUpdate:
        by = (
            self.name
            if member.state is not State.SUSPECT or self.name in member.voices
            else min(member.voices)
        )
        return m.MemberUpdate(member.name, member.epoch, member.incarnation, int(member.state), by)

    def leave(self) -> list[Send]:
        """This front stops in an orderly way."""
        self.leaving = True
        return [Send(o.name, m.Leaving()) for o in self.members.values() if o.state is not State.DEAD]

    def end_of_round(self) -> list[tuple[str, State, State, str]]:
        """Changes since this was last asked for."""
        changes, self.changes = self.changes, []
        return changes
