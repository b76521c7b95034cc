"""What the parts of one front share, and the interface of its fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from weldbend.event_bus.remote_timestamps import RemoteTimestamps
from weldbend.front.clock import Clock
from weldbend.front.configuration import Site
from weldbend.front.counters import FrontCounters
from weldbend.front.timers import ReactorClock, Timers
from weldbend.routing.events import PossibleExecution


class Reactor(ReactorClock, Protocol):
    """The part of Twisted's reactor that starts and stops a front."""

    def callFromThread(self, callback: Callable[..., object], /, *args: object) -> None:
        """Call back in the reactor's thread; a signal handler may call this."""
        ...

    def stop(self) -> None:
        """End the event loop."""
        ...


class FleetPeers(Protocol):
    """What a front tells its fleet of its requests, and what the fleet knows of them."""

    def count_request(self, class_name: str, key: str, part: int, is_retry: bool) -> int:
        """Count a request for an object; return how often other fronts were asked for it lately."""
        ...

    def possible_executions(
        self, class_name: str, idempotency_key: str, is_retry: bool
    ) -> tuple[PossibleExecution, ...]:
        """Return attempts with this idempotency key, by any front, that may have run."""
        ...

    def attempt_sent(self, class_name: str, idempotency_key: str, cache: int) -> None:
        """Replicate that an attempt goes out, before its bytes leave."""
        ...

    def holds_decisions(self, now: float) -> bool:
        """Return whether decisions wait, since this process was suspended and its knowledge is old."""
        ...

    def is_over_limit(self, class_name: str, client: str) -> bool:
        """Return whether a request is beyond a limit of all fronts together."""
        ...

    def is_banned(self, client: str) -> bool:
        """Return whether clients at this address are banned."""
        ...

    def report_ban(self, client: str) -> None:
        """Count a client that broke the protocol."""
        ...


@dataclass(eq=False, slots=True)
class FrontContext:
    """The shared parts of one front.

    Attributes:
        reactor: Twisted's reactor, or the testbed's.
        site: the configuration in force; another one after a reload.
        timestamps: dates what other machines stamped.
        fleet: None where the installation names no fleet, as on the platform.
    """

    reactor: Any
    site: Site
    clock: Clock
    timers: Timers
    counters: FrontCounters
    timestamps: RemoteTimestamps = field(default_factory=RemoteTimestamps)
    fleet: FleetPeers | None = None
