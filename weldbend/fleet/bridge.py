"""Between a front and its fleet: what the bus told goes out, what has become stricter comes in.

Whatever comes from a peer may make this front stricter at once and loosens nothing: a purge bounds the age
of copies, a drain or removal of a newer list than this front has read takes a cache out, a later start makes
it cold. What the front's own bus says of a cache holds again once it has read as far as the list that a peer
spoke of.
"""

from collections import Counter
from typing import Any

from loguru import logger

from weldbend import interface as face
from weldbend.bus.events import Ban, Numbered, Topology
from weldbend.bus.names import PHASES
from weldbend.fleet.control import Control
from weldbend.fleet.copies import Change
from weldbend.fleet.service import BadFleet, Fleet
from weldbend.fleet.strict import STATES, Purges, held_state
from weldbend.fleet.terms import Terms


class Bridge:
    """Made by a front that has a fleet; `loop` is its loop round the decisions."""

    def __init__(self, loop: Any, name: str, terms: Terms, reactor: Any, timers: Any, offset: int) -> None:
        self.loop, self.offset = loop, offset
        self.fleet, self.reactor = Fleet(reactor, timers, name, terms, self.changed), reactor
        self.control = Control(self.fleet)
        self.counts: Counter[str] = Counter()
        self.purges = Purges()

    def start(self, known: list[Numbered]) -> None:
        self.fleet.start()
        if self.fleet.terms.control:
            self.control.listen(self.reactor)
        for numbered in known:
            self.told(numbered)

    def stop(self) -> None:
        self.fleet.stop()
        self.control.stop()

    def reload(self, terms: Terms) -> None:
        """SIGHUP: members and keys as the installation file has them; one that is wrong changes nothing."""
        try:
            self.fleet.reload(terms)
        except BadFleet as wrong:
            logger.error("fleet: new installation not taken, the old one stays: {}", wrong)

    # What the front's own bus told, after the loop heard it.

    def told(self, numbered: Numbered) -> None:
        self.offset = max(self.offset, numbered.offset)
        match numbered.event:
            case Topology(_, targets):
                for target in targets:
                    if target.state != "up" or ("drain", target.uid) in self.fleet.copies.items:
                        self.fleet.say("drain", target.uid, numbered.offset, STATES.index(target.state))
                    if target.booted:
                        self.fleet.say("start", target.uid, round(target.booted * 1000))
                    self.hold(target.uid)
            case Ban(key, group, at):
                self.fleet.say("purge", f"k:{key}" if key else f"g:{group}", int(at * 1000))
        self.fleet.say("bus", self.fleet.name, self.offset)

    # What peers know.

    def changed(self, change: Change) -> None:
        match change.kind:
            case "purge":
                self.purged(change)
            case "drain" | "start":
                self.hold(change.key)

    def purged(self, change: Change) -> None:
        clock = self.loop.clock
        at = self.purges.moment(change.value[0] / 1000, clock.now(), clock.unix())
        self.counts["purges not taken"] = self.purges.odd
        if at is None:
            return
        key, group = (change.key[2:], 0) if change.key.startswith("k:") else (None, int(change.key[2:]))
        self.counts["purges from peers"] += 1
        self.loop.post(face.Purged(key, group, clock.age(at)))
        self.loop.pool.purged(key, group)

    def hold(self, uid: str) -> None:
        """Keep a cache as strictly as the newest list says that any front has read.

        Should also cover a list of this front's own that comes later but is older.
        """
        items, names = self.fleet.copies.items, self.loop.names
        if uid not in names.numbers:
            return
        drain, start = items.get(("drain", uid)), items.get(("start", uid))
        state = held_state(drain.value if drain else None, self.offset)
        phase = PHASES[state] if state else None
        started = None
        if start:
            started = names.started(uid, start.value[0] / 1000, self.loop.clock.now())
        if phase is None and started is None:
            return
        number = names.numbers[uid]
        self.counts["caches held strictly"] += phase is not None
        self.loop.post(face.Known(number, phase, started))
        if phase is not None:
            self.loop.pool.withdraw({number}, lambda pull: False)
            logger.bind(cache=uid).info(
                "fleet: {} is {} by event {}, which this front's bus has not told",
                uid,
                phase.name,
                drain.value[0],
            )
