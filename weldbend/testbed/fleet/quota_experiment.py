"""Experiment with one rate limit shared by many fronts on a virtual network: leases and alternatives.

Under leases, the fronts run the production code (`LeaseService`, `LeasedRate`). The network delays, loses and
duplicates messages, and partitions. Fronts are killed and frozen, and have drifting clocks whose Unix time
may be stepped. Admitted requests are counted from outside, by true time and independently of quotas.
"""

import random
from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from weldbend.fleet import messages as m
from weldbend.fleet.lease_ledger import PARTS_PER_LIMIT, LeaseTimes
from weldbend.fleet.lease_service import LeasedRate, LeaseService
from weldbend.fleet.messages import Send
from weldbend.fleet.steady_unix import SteadyUnixTime
from weldbend.routing.random_source import RandomSource
from weldbend.testbed.fleet.clock_steps import ClockStep, draw_steps
from weldbend.testbed.simulation.event_queue import EventQueue

LIMIT = "type:order"
DETECTION_TIME = 1.5  # seconds until other fronts notice that a front does not answer
FAULTS = ("split", "kill", "freeze", "slow", "one-way")

SKEWED_FIRST_FRACTION = 0.9  # fraction of skewed demand that arrives at the first front
SKEWED_OTHERS_FRACTION = 0.1  # and at all other fronts together
STEADY_START = 100.0  # seconds, initial time of all steady clocks
UNIX_START = 1000.0  # seconds, initial time of all Unix clocks
MESSAGE_OVERHEAD = 80  # bytes of headers and authentication per message
MIN_LATENCY = 0.001  # seconds, one way
LATENCY_SPREAD = 0.01  # seconds of additional latency at most, uniformly distributed
DUPLICATION_PROBABILITY = 0.01  # probability that a message arrives twice
MAX_SLOW_DELAY = 1.5  # seconds of additional latency at most while the network is slow
TICK_INTERVAL = 0.05  # seconds between two ticks of a front
MANY_FRONTS = 50  # with more fronts than this, each ticks half as often
GOSSIP_PROBABILITY = 0.1  # probability that a front gossips in a tick: twice a second on average
RESUME_MARGIN = 1e-6  # seconds between the end of a freeze and the handling of queued work
RESTART_DELAY = 0.3  # seconds between the kill of a front after a clock step and its start
FIRST_STEP_AT = 1.0  # seconds after the start of a run
TOLERANCE = 1e-9  # rounding error allowed in the comparison of a window with the limit


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """Settings of one experiment. Times are in seconds, rates per second."""

    fronts: int = 4
    most: float = 60.0  # limit on the rate of all fronts together
    seconds: float = 30.0
    demand: str = "skewed"  # distribution of requests over the fronts: even, skewed, moving or wandering
    kind: str = "leases"  # method of enforcing the limit: one of KINDS
    rate: float = 90.0  # rate of requests of all clients together
    faults: tuple[tuple[float, str, float], ...] = ()  # (start, kind, duration)
    drift: float = 0.01  # allowed fraction by which clocks run fast or slow
    excess_drift: float = 0.0  # fraction by which clocks drift beyond the allowed one
    loss: float = 0.02  # probability that a message is lost
    steps: tuple[ClockStep, ...] = ()  # steps of the fronts' Unix clocks
    times: LeaseTimes = field(default_factory=lambda: LeaseTimes(1.0, 1.0, 0.01))

    def demand_at(self, number: int, at: float) -> float:
        """Return the rate of requests that arrive at a front at a time."""
        count = self.fronts
        total = self.rate
        match self.demand:
            case "even":
                return total / count
            case "skewed":
                return total * (
                    SKEWED_FIRST_FRACTION if number == 0 else SKEWED_OTHERS_FRACTION / (count - 1)
                )
            case "moving":  # all demand moves to the next front every second
                return total if int(at) % count == number else 0.0
            case "wandering":  # all demand moves to the next front every ten seconds
                return total if int(at / 10) % count == number else 0.0
        raise ValueError(self.demand)


class WallClock:
    """True time and Unix time of a front, which its `SteadyUnixTime` reads when the front starts."""

    def __init__(self, experiment: "QuotaExperiment", number: int) -> None:
        self._experiment = experiment
        self._number = number

    def now(self) -> float:
        """Return the true time in seconds."""
        return self._experiment.events.now

    def unix(self) -> float:
        """Return the time of the front's Unix clock in seconds."""
        return self._experiment.unix(self._number)


class Front:
    """A front that enforces the limit by leases."""

    def __init__(self, experiment: "QuotaExperiment", number: int, epoch: int, is_restarted: bool) -> None:
        self.experiment = experiment
        self.number = number
        self.name = f"n{number}"
        self.epoch = epoch
        self.is_up = True
        self.frozen_until = 0.0
        settings = experiment.settings
        limit = settings.most * settings.times.window
        self.rate = LeasedRate(limit, settings.times)
        now = experiment.clock(number)
        quiet_until = now + settings.times.recovery if is_restarted else now
        source = RandomSource(experiment.rng.randrange(1 << 30))
        self.limits = LeaseService(
            self.name,
            epoch,
            source,
            quiet_until,
            lambda limit: None,
            SteadyUnixTime(WallClock(experiment, number)),
        )
        self.limits.open(LIMIT, experiment.names, limit, settings.times, self.rate, now)

    def is_frozen(self) -> bool:
        """Return whether the front is frozen now."""
        return self.experiment.events.now < self.frozen_until

    def admit(self, now: float) -> bool:
        """Return whether one request is admitted at a time of the front's own clock."""
        return self.rate.try_admit(now)


class FixedQuotaFront(Front):
    """A front with a fixed quota, independent of the demand."""

    def admit(self, now: float) -> bool:
        """Admit within the front's own quota."""
        self.rate.set_allowance(self.limits.limits[LIMIT].ledger.own, 0, 0.0)
        return self.rate.try_admit(now)


class GossipFront(Front):
    """A front that gossips the number of its admitted requests in the last window, twice a second."""

    def __init__(self, experiment: "QuotaExperiment", number: int, epoch: int, is_restarted: bool) -> None:
        super().__init__(experiment, number, epoch, is_restarted)
        self.reported_counts: dict[str, float] = {}  # last number received from each other front
        self.admitted: deque[float] = deque()  # times of admitted requests within the last window

    def admit(self, now: float) -> bool:
        """Admit a request if the known numbers of all fronts together are below the limit."""
        while self.admitted and self.admitted[0] <= now - self.experiment.settings.times.window:
            self.admitted.popleft()
        if len(self.admitted) + sum(self.reported_counts.values()) + 1 > self.rate.limit:
            return False
        self.admitted.append(now)
        return True


class CentralFront(Front):
    """A front that has the first front count every request, which in practice costs a round trip each.

    It admits nothing while it cannot reach the first front.
    """

    def admit(self, now: float) -> bool:
        """Admit a request if the first front admits it."""
        experiment = self.experiment
        counting_front = experiment.fronts[0]
        is_reached = experiment.is_open(self.number, 0) and experiment.is_open(0, self.number)
        if not (counting_front.is_up and is_reached and not counting_front.is_frozen()):
            return False
        counting_front.rate.set_allowance(PARTS_PER_LIMIT, 0, 0.0)
        return counting_front.rate.try_admit(experiment.clock(0))


class OracleFront(Front):
    """A front with perfect knowledge of all admitted requests."""

    def admit(self, now: float) -> bool:
        """Admit a request if the limit is not reached."""
        experiment = self.experiment
        since = experiment.events.now - experiment.settings.times.window
        return len(experiment.admitted) - bisect_right(experiment.admitted, since) < self.rate.limit


KINDS: dict[str, type[Front]] = {
    "leases": Front,
    "fixed": FixedQuotaFront,
    "gossip": GossipFront,
    "central": CentralFront,
    "oracle": OracleFront,
}


class QuotaExperiment:
    """One experiment, reproducible from a seed; `play` executes it."""

    def __init__(self, seed: int, settings: QuotaSettings) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.events = EventQueue()
        self.names = [f"n{number}" for number in range(settings.fronts)]
        drift = settings.drift + settings.excess_drift
        self.clock_rates = [1.0 + self.rng.choice((-1, 1)) * drift * self.rng.random() for _ in self.names]
        if settings.excess_drift:
            self.clock_rates = [1.0 + (drift if n % 2 else -drift) for n in range(settings.fronts)]
        self.admitted: list[float] = []  # true times of all admitted requests
        self.blocked_paths: set[tuple[int, int]] = set()
        self.extra_delay = 0.0  # seconds of additional latency at most
        self.clock_steps: dict[int, float] = {}  # seconds by which Unix clocks were stepped, by front
        self.unresponsive: dict[int, float] = {}  # time since which a front does not answer
        self.message_count = 0
        self.byte_count = 0
        self.fronts = [KINDS[settings.kind](self, n, 1, False) for n in range(settings.fronts)]

    def clock(self, number: int) -> float:
        """Return the time of a front's steady clock in seconds."""
        return STEADY_START + self.events.now * self.clock_rates[number]

    def unix(self, number: int) -> float:
        """Return the time of a front's Unix clock in seconds."""
        return UNIX_START + self.events.now + self.clock_steps.get(number, 0.0)

    def is_open(self, sender: int, receiver: int) -> bool:
        """Return whether the path from one front to another is not blocked."""
        return (sender, receiver) not in self.blocked_paths

    # Messages.

    def _send(self, front: Front, sends: list[Send]) -> None:
        for send in sends:
            self.message_count += 1
            self.byte_count += len(m.encode(send.body)) + MESSAGE_OVERHEAD
            to = int(send.to[1:])
            if not self.is_open(front.number, to) or self.rng.random() < self.settings.loss:
                continue
            for _ in range(1 + (self.rng.random() < DUPLICATION_PROBABILITY)):
                delay = MIN_LATENCY + LATENCY_SPREAD * self.rng.random()
                self._deliver_after(delay + self.extra_delay * self.rng.random(), front, to, send.body)

    def _deliver_after(self, delay: float, sender: Front, to: int, body: m.Datagram) -> None:
        epoch = sender.epoch
        self.events.schedule(delay, lambda: self._arrive(sender, to, epoch, body))

    def _arrive(self, sender: Front, to: int, epoch: int, body: m.Datagram) -> None:
        front = self.fronts[to]
        if not front.is_up:
            return
        if front.is_frozen():
            self._after_freeze(front, lambda: self._arrive(sender, to, epoch, body))
            return
        assert isinstance(body, m.LeaseMessage)
        self._send(front, front.limits.handle(self.clock(to), sender.name, epoch, body))

    def _after_freeze(self, front: Front, call: Callable[[], None]) -> None:
        self.events.schedule(front.frozen_until - self.events.now + RESUME_MARGIN, call)

    # Requests, ticks and faults.

    def _tick(self, number: int) -> None:
        front = self.fronts[number]
        if front.is_up and not front.is_frozen():
            if isinstance(front, GossipFront):
                self._gossip(front)
            elif self.settings.kind == "leases":
                others = (n for n in range(self.settings.fronts) if n != number)
                alive = [f"n{n}" for n in others if self._is_believed_alive(n)]
                self._send(front, front.limits.tick(self.clock(number), alive))
        tick = TICK_INTERVAL if self.settings.fronts <= MANY_FRONTS else 2 * TICK_INTERVAL
        self.events.schedule(tick, lambda: self._tick(number))

    def _is_believed_alive(self, number: int) -> bool:
        """Return whether the other fronts believe that a front is alive."""
        now = self.events.now
        return now - self.unresponsive.get(number, now) < DETECTION_TIME

    def _gossip(self, front: GossipFront) -> None:
        if self.rng.random() > GOSSIP_PROBABILITY:
            return
        for other in self.fronts:
            if other is not front and self.is_open(front.number, other.number):
                self.message_count += 1
                delay = MIN_LATENCY + LATENCY_SPREAD * self.rng.random() + self.extra_delay
                self._gossip_after(delay, front, other)

    def _gossip_after(self, delay: float, front: GossipFront, other: Front) -> None:
        amount = len(front.admitted)

        def arrive() -> None:
            if isinstance(other, GossipFront):
                other.reported_counts[front.name] = amount

        self.events.schedule(delay, arrive)

    def _request(self, number: int) -> None:
        front = self.fronts[number]
        if not front.is_up:
            return
        if front.is_frozen():  # the request is read when the front resumes
            self._after_freeze(front, lambda: self._request(number))
            return
        if front.admit(self.clock(number)):
            self.admitted.append(self.events.now)

    def _schedule_requests(self) -> None:
        settings = self.settings
        rng = self.rng
        for number in range(settings.fronts):
            at = 0.0
            while (at := at + rng.expovariate(settings.rate)) < settings.seconds:
                if rng.random() < settings.demand_at(number, at) / settings.rate:
                    self._schedule(at, self._request, number)

    def _schedule(self, delay: float, call: Callable[..., object], *args: object) -> None:
        self.events.schedule(delay, lambda: call(*args))

    def _inject(self, kind: str, duration: float) -> None:
        number = self.rng.randrange(self.settings.fronts)
        match kind:
            case "split" | "one-way":
                self._split(duration, kind == "split")
            case "kill":
                front = self.fronts[number]
                front.is_up = False
                self.unresponsive[number] = self.events.now
                self.events.schedule(duration, lambda: self.start(number, front.epoch + 1))
            case "freeze":
                self.fronts[number].frozen_until = self.events.now + duration
                self.unresponsive[number] = self.events.now
                self.events.schedule(duration, lambda: self.unresponsive.pop(number, None))
            case "slow":
                self._set_extra_delay(MAX_SLOW_DELAY)
                self._schedule(duration, self._set_extra_delay, 0.0)

    def _set_extra_delay(self, seconds: float) -> None:
        self.extra_delay = seconds

    def _split(self, duration: float, is_two_way: bool) -> None:
        numbers = range(self.settings.fronts)
        side = set(self.rng.sample(numbers, max(1, len(numbers) // 2)))
        paths = {(a, b) for a in side for b in numbers if b not in side}
        paths |= {(b, a) for a, b in paths} if is_two_way else set()
        self.blocked_paths |= paths
        self.events.schedule(duration, lambda: self.blocked_paths.difference_update(paths))

    def step_clocks(self, step: ClockStep) -> None:
        """Step the Unix clocks of some fronts, and restart one of them if `step.restarted` is set."""
        for number, seconds in step.seconds.items():
            self.clock_steps[number] = self.clock_steps.get(number, 0.0) + seconds
        if step.restarted is not None and self.fronts[step.restarted].is_up:
            front = self.fronts[step.restarted]
            front.is_up = False
            self._schedule(RESTART_DELAY, self.start, step.restarted, front.epoch + 1)

    def start(self, number: int, epoch: int) -> None:
        """Start a front that is down."""
        if not self.fronts[number].is_up:
            self.fronts[number] = KINDS[self.settings.kind](self, number, epoch, True)
            self.unresponsive.pop(number, None)

    def play(self) -> "QuotaExperiment":
        """Execute the whole experiment."""
        self._schedule_requests()
        for number in range(self.settings.fronts):
            self._schedule(0.01 * number, self._tick, number)
        for at, kind, duration in self.settings.faults:
            self._schedule(at, self._inject, kind, duration)
        for step in self.settings.steps:
            self._schedule(step.at, self.step_clocks, step)
        self.events.run(self.settings.seconds)
        return self

    # Results.

    def max_in_window(self, window: float | None = None) -> int:
        """Return the largest number of requests admitted in any window; None is the limit's window."""
        span = window or self.settings.times.window
        most = 0
        for place, at in enumerate(self.admitted):
            most = max(most, place + 1 - bisect_right(self.admitted, at - span, 0, place))
        return most

    def utilisation(self, since: float = 5.0) -> float:
        """Return the fraction of the limit that was used after the time `since`."""
        count = sum(at >= since for at in self.admitted)
        return count / ((self.settings.seconds - since) * self.settings.most)


def draw_settings(
    seed: int, fronts: int = 4, faults: int = 4, seconds: float = 20.0, steps: int = 0
) -> QuotaSettings:
    """Draw settings with faults and clock steps from a seed."""
    rng = random.Random(seed * 7919)
    drawn = tuple(
        (rng.uniform(1.0, seconds - 4.0), rng.choice(FAULTS), rng.uniform(0.2, 5.0)) for _ in range(faults)
    )
    demand = rng.choice(("even", "skewed", "moving", "wandering"))
    most = rng.choice((1.0, 3.0, 10.0, 60.0, 200.0))
    rate = 1.5 * most + 5
    return QuotaSettings(
        fronts=fronts,
        most=most,
        rate=rate,
        demand=demand,
        faults=drawn,
        seconds=seconds,
        steps=draw_steps(seed, fronts, steps, FIRST_STEP_AT, seconds),
    )


def search(seeds: range, steps: int = 0) -> dict[str, Any]:
    """Return the largest fraction of the limit over all windows and seeds, and the seeds that exceeded it."""
    over = []
    worst = 0.0
    for seed in seeds:
        settings = draw_settings(seed, steps=steps)
        fraction = QuotaExperiment(seed, settings).play().max_in_window() / (
            settings.most * settings.times.window
        )
        worst = max(worst, fraction)
        if fraction > 1 + TOLERANCE:
            over.append(seed)
    return {"seeds": len(seeds), "over": over, "worst of the limit": round(worst, 4)}
