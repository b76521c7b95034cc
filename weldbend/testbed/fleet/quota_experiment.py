"""One limit over many fronts on a virtual network: leases against what else could be done, counted from
outside.

The fronts are the product's own books and choices (`LeaseService`, `LeasedRate`); the network delays, loses
and doubles messages, splits, and fronts die, freeze and run with clocks of their own. The auditor counts what
was let through, by true time, and knows nothing of shares.
"""

import heapq
import itertools
import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from weldbend.fleet.lease_ledger import PARTS, LeaseTimes
from weldbend.fleet.lease_service import LeasedRate, LeaseService
from weldbend.routing.random_source import RandomSource

LIMIT = "type:order"
SEEN_LATE = 1.5  # seconds after which a view knows that somebody is gone, or back
FAULTS = ("split", "kill", "freeze", "slow", "one-way")


@dataclass(frozen=True, slots=True)
class Shape:
    """`demand` gives a front's downloads a second at a moment; `kind` is how the limit is kept."""

    fronts: int = 4
    most: float = 60.0  # a second, of all together
    seconds: float = 30.0
    demand: str = "skewed"
    kind: str = "leases"
    rate: float = 90.0  # downloads a second that all clients ask for together
    faults: tuple[tuple[float, str, float], ...] = ()  # when, what, how long
    drift: float = 0.01
    beyond: float = 0.0  # by which clocks drift more than is stated
    loss: float = 0.02
    times: LeaseTimes = field(default_factory=lambda: LeaseTimes(1.0, 1.0, 0.01))


def pace(shape: Shape, number: int, at: float) -> float:
    """Downloads a second that come to a front."""
    n, total = shape.fronts, shape.rate
    match shape.demand:
        case "even":
            return total / n
        case "skewed":  # the first has nearly all
            return total * (0.9 if number == 0 else 0.1 / (n - 1))
        case "moving":  # all of it moves on each second
            return total if int(at) % n == number else 0.0
        case "wandering":  # all of it moves on each ten seconds
            return total if int(at / 10) % n == number else 0.0
    raise ValueError(shape.demand)


class Front:
    """One front under leases."""

    def __init__(self, lab: "Rates", number: int, epoch: int, quiet: bool) -> None:
        self.lab, self.number, self.name, self.epoch = lab, number, f"n{number}", epoch
        self.up, self.frozen_until = True, 0.0
        shape = lab.shape
        self.rate = LeasedRate(shape.most * shape.times.window, shape.times)
        now = lab.clock(number)
        until = now + shape.times.recovery if quiet else now
        chance = RandomSource(lab.rng.randrange(1 << 30))
        self.limits = LeaseService(
            self.name, epoch, chance, until, lambda limit: None, lambda: lab.unix(number)
        )
        self.limits.open(LIMIT, lab.names, shape.most * shape.times.window, shape.times, self.rate, now)

    def take(self, now: float) -> bool:
        return self.rate.try_admit(now)


class Fixed(Front):
    """Today's rule: each has its share, whoever needs it."""

    def take(self, now: float) -> bool:
        self.rate.set_allowance(self.limits.limits[LIMIT].ledger.own, 0, 0.0)
        return self.rate.try_admit(now)


class Gossip(Front):
    """Each tells the others how much it has let through in the last window, twice a second."""

    def __init__(self, *held: Any) -> None:
        super().__init__(*held)
        self.others: dict[str, float] = {}
        self.mine: deque[float] = deque()

    def take(self, now: float) -> bool:
        while self.mine and self.mine[0] <= now - self.lab.shape.times.window:
            self.mine.popleft()
        if len(self.mine) + sum(self.others.values()) + 1 > self.rate.limit:
            return False
        self.mine.append(now)
        return True


class Central(Front):
    """The first front counts for all; who does not reach it lets nothing through. Asking costs a trip."""

    def take(self, now: float) -> bool:
        keeper = self.lab.fronts[0]
        reach = keeper.up and self.lab.passes(self.number, 0) and self.lab.passes(0, self.number)
        if not (reach and self.lab.now >= keeper.frozen_until):
            return False
        keeper.rate.set_allowance(PARTS, 0, 0.0)
        return keeper.rate.try_admit(self.lab.clock(0))


class Oracle(Front):
    """Knows all at once."""

    def take(self, now: float) -> bool:
        spent, window = self.lab.spent, self.lab.shape.times.window
        return len(spent) - bisect_right(spent, self.lab.now - window) < self.rate.limit


KINDS: dict[str, type[Front]] = {
    "leases": Front, "fixed": Fixed, "gossip": Gossip, "central": Central, "oracle": Oracle,
}  # fmt: skip


class Rates:
    def __init__(self, seed: int, shape: Shape) -> None:
        self.shape, self.rng = shape, random.Random(seed)
        self.now, self.heap, self.order = 0.0, [], itertools.count()
        self.names = [f"n{n}" for n in range(shape.fronts)]
        drift = shape.drift + shape.beyond
        self.pace = [1.0 + self.rng.choice((-1, 1)) * drift * self.rng.random() for _ in self.names]
        if shape.beyond:
            self.pace = [1.0 + (drift if n % 2 else -drift) for n in range(shape.fronts)]
        self.spent: list[float] = []
        self.asked = 0
        self.cut: set[tuple[int, int]] = set()
        self.slow = 0.0
        self.steps: dict[int, float] = {}  # by which Unix clocks were set apart
        self.gone: dict[int, float] = {}  # since when a front does not answer
        self.messages = self.bytes = 0
        self.lines: list[str] = []
        self.held: list[tuple[float, list[int]]] = []  # what each held, over time: for a picture
        self.fronts = [KINDS[shape.kind](self, n, 1, False) for n in range(shape.fronts)]

    def clock(self, number: int) -> float:
        return 100.0 + self.now * self.pace[number]

    def unix(self, number: int) -> float:
        return 1000.0 + self.now + self.steps.get(number, 0.0)

    def passes(self, one: int, other: int) -> bool:
        return (one, other) not in self.cut

    def after(self, delay: float, call: Callable[[], object]) -> None:
        heapq.heappush(self.heap, (self.now + delay, next(self.order), call))

    # Messages.

    def send(self, front: Front, sends: list[Any]) -> None:
        from weldbend.fleet import messages as m

        for send in sends:
            self.messages += 1
            self.bytes += len(m.encode(send.body)) + 80
            to = int(send.to[1:])
            if not self.passes(front.number, to) or self.rng.random() < self.shape.loss:
                continue
            for _ in range(1 + (self.rng.random() < 0.01)):
                delay = 0.001 + 0.01 * self.rng.random() + self.slow * self.rng.random()
                epoch = front.epoch
                self.after(
                    delay, lambda to=to, body=send.body, epoch=epoch: self.arrive(front, to, epoch, body)
                )  # type: ignore[misc]

    def arrive(self, sender: Front, to: int, epoch: int, body: Any) -> None:
        front = self.fronts[to]
        if not front.up:
            return
        if self.now < front.frozen_until:
            self.after(front.frozen_until - self.now + 1e-6, lambda: self.arrive(sender, to, epoch, body))
            return
        self.send(front, front.limits.handle(self.clock(to), sender.name, epoch, body))

    # What happens.

    def turn(self, number: int) -> None:
        front = self.fronts[number]
        if front.up and self.now >= front.frozen_until:
            if isinstance(front, Gossip):
                self.gossip(front)
            elif self.shape.kind == "leases":
                here = [f"n{n}" for n in range(self.shape.fronts) if n != number and self.seen(number, n)]
                self.send(front, front.limits.tick(self.clock(number), here))
        self.after(0.05 if self.shape.fronts <= 50 else 0.1, lambda: self.turn(number))

    def seen(self, number: int, other: int) -> bool:
        return self.now - self.gone.get(other, self.now) < SEEN_LATE

    def gossip(self, front: Gossip) -> None:
        if self.rng.random() > 0.1:  # twice a second, of twenty turns
            return
        for other in self.fronts:
            if other is not front and self.passes(front.number, other.number):

                def tell(other: Front = other, amount: int = len(front.mine)) -> None:
                    if isinstance(other, Gossip):
                        other.others[front.name] = amount

                self.messages += 1
                self.after(0.001 + 0.01 * self.rng.random() + self.slow, tell)

    def ask(self, number: int) -> None:
        front = self.fronts[number]
        if not front.up:
            return
        if self.now < front.frozen_until:  # it is read when the process goes on
            self.after(front.frozen_until - self.now + 1e-6, lambda: self.ask(number))
            return
        self.asked += 1
        if front.take(self.clock(number)):
            self.spent.append(self.now)

    def arrivals(self) -> None:
        for number in range(self.shape.fronts):
            at = 0.0
            while (at := at + self.rng.expovariate(self.shape.rate)) < self.shape.seconds:
                if self.rng.random() < pace(self.shape, number, at) / self.shape.rate:
                    heapq.heappush(self.heap, (at, next(self.order), lambda n=number: self.ask(n)))  # type: ignore[misc]

    def fault(self, kind: str, lasts: float) -> None:
        number = self.rng.randrange(self.shape.fronts)
        self.lines.append(f"{self.now:.2f} {kind} {number} for {lasts:.2f}")
        match kind:
            case "split" | "one-way":
                side = set(self.rng.sample(range(self.shape.fronts), max(1, self.shape.fronts // 2)))
                cut = {(a, b) for a in side for b in range(self.shape.fronts) if b not in side}
                cut |= {(b, a) for a, b in cut} if kind == "split" else set()
                self.cut |= cut
                self.after(lasts, lambda: self.cut.difference_update(cut))
            case "kill":
                front = self.fronts[number]
                front.up = False
                self.gone[number] = self.now
                self.after(lasts, lambda: self.start(number, front.epoch + 1))
            case "freeze":
                self.fronts[number].frozen_until = self.now + lasts
                self.gone[number] = self.now
                self.after(lasts, lambda: self.gone.pop(number, None))
            case "slow":
                self.slow = 1.5
                self.after(lasts, lambda: setattr(self, "slow", 0.0))

    def start(self, number: int, epoch: int) -> None:
        if not self.fronts[number].up:
            self.fronts[number] = KINDS[self.shape.kind](self, number, epoch, True)
            self.gone.pop(number, None)

    def play(self) -> "Rates":
        self.arrivals()
        for number in range(self.shape.fronts):
            self.after(0.01 * number, lambda number=number: self.turn(number))  # type: ignore[misc]
        for at, kind, lasts in self.shape.faults:
            self.after(at, lambda kind=kind, lasts=lasts: self.fault(kind, lasts))  # type: ignore[misc]
        self.after(0.1, self.look)
        while self.heap and self.heap[0][0] <= self.shape.seconds:
            self.now, _, call = heapq.heappop(self.heap)
            call()
        return self

    def look(self) -> None:
        if self.shape.kind == "leases":
            held = [
                f.limits.limits[LIMIT].ledger.available(self.clock(f.number)) if f.up else 0
                for f in self.fronts
            ]
            self.held.append((self.now, held))
        self.after(0.1, self.look)

    # What it came to.

    def worst(self, window: float | None = None) -> int:
        """The most that was let through in any window."""
        span, most = window or self.shape.times.window, 0
        for place, at in enumerate(self.spent):
            most = max(most, place + 1 - bisect_right(self.spent, at - span, 0, place))
        return most

    def used(self, since: float = 5.0) -> float:
        """Let through a second, of what the limit allows, after a start."""
        count = sum(at >= since for at in self.spent)
        return count / ((self.shape.seconds - since) * self.shape.most)


def drawn(seed: int, fronts: int = 4, faults: int = 4, seconds: float = 20.0) -> Shape:
    """A shape with faults drawn from a seed."""
    rng = random.Random(seed * 7919)
    found = tuple(
        (rng.uniform(1.0, seconds - 4.0), rng.choice(FAULTS), rng.uniform(0.2, 5.0)) for _ in range(faults)
    )
    demand = rng.choice(("even", "skewed", "moving", "wandering"))
    most = rng.choice((1.0, 3.0, 10.0, 60.0, 200.0))
    return Shape(fronts=fronts, most=most, rate=1.5 * most + 5, demand=demand, faults=found, seconds=seconds)


def search(seeds: range) -> dict[str, Any]:
    """How near to the limit all windows of many seeds came; the seeds that passed it."""
    over, worst = [], 0.0
    for seed in seeds:
        shape = drawn(seed)
        came = Rates(seed, shape).play().worst() / (shape.most * shape.times.window)
        worst = max(worst, came)
        if came > 1 + 1e-9:
            over.append(seed)
    return {"seeds": len(seeds), "over": over, "worst of the limit": round(worst, 4)}
