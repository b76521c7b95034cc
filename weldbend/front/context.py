"""Objects shared by the parts of one front, and the interface of its fleet."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from weldbend.event_bus.remote_timestamps import RemoteTimestamps
from weldbend.front.clock import Clock
from weldbend.front.configuration import Site
from weldbend.front.counters import FrontCounters
from weldbend.front.timers import ReactorClock, Timers
from weldbend.routing.events import PossibleExecution
from weldbend.routing.memory_budget import MemoryBudget, max_request_memory


class Reactor(ReactorClock, Protocol):
    """The methods of Twisted's reactor used to start and stop a front."""

    def callFromThread(self, callback: Callable[..., object], /, *args: object) -> None:
        """Schedule a call in the reactor's thread; signal handlers may use this."""
        ...

    def stop(self) -> None:
        """End the event loop."""
        ...


class FleetPeers(Protocol):
    """Interface between a front and its fleet about requests and clients."""

    def count_request(self, class_name: str, key: str, part: int, is_retry: bool) -> int:
        """Count a request for an object; return how many requests for it other fronts recently received."""
        ...

    def possible_executions(
        self, class_name: str, idempotency_key: str, is_retry: bool
    ) -> tuple[PossibleExecution, ...]:
        """Return attempts with this idempotency key, of any front, that may have been executed."""
        ...

    def attempt_sent(self, class_name: str, idempotency_key: str, cache: int) -> None:
        """Replicate the record of an attempt before its bytes are sent."""
        ...

    def holds_decisions(self, now: float) -> bool:
        """Return whether the router's decisions must wait because a process pause made its state stale."""
        ...

    def is_over_limit(self, class_name: str, client: str) -> bool:
        """Return whether a request exceeds a limit shared by all fronts."""
        ...

    def is_banned(self, client: str) -> bool:
        """Return whether clients with this address are banned."""
        ...

    def report_ban(self, client: str) -> None:
        """Record that a client at this address was banned for misbehaviour."""
        ...


@dataclass(eq=False, slots=True)
class FrontContext:
    """The shared objects of one front.

    Attributes:
        reactor: Twisted's reactor, or the testbed's.
        site: current configuration, which a reload replaces.
        clock: clock of the front.
        timers: timers of the front.
        counters: counters of requests, attempts and errors.
        memory: account of the bytes that requests hold.
        process_memory: bytes that the process takes without a request; 0 if that is not known.
        timestamps: converter of Unix times from other machines.
        fleet: interface to the fleet; None if the installation file configures no fleet.
    """

    reactor: Any
    site: Site
    clock: Clock
    timers: Timers
    counters: FrontCounters
    memory: MemoryBudget
    process_memory: int = 0
    timestamps: RemoteTimestamps = field(default_factory=RemoteTimestamps)
    fleet: FleetPeers | None = None

    def update_memory_limit(self) -> None:
        """Set the memory for requests by the present configuration and what the process itself takes."""
        self.memory.limit = max_request_memory(self.site.memory_limit, self.process_memory)
