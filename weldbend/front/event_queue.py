"""The queue of events for the router: one batch in each iteration of the reactor's event loop."""

import math
from collections import deque
from collections.abc import Callable

from weldbend.front.context import FrontContext
from weldbend.routing.events import Event, LoopLagMeasured, RequestReceived

IDLE_GAP = 0.001  # seconds between two iterations that count as idle time: what follows is not late
MIN_REPORTED_LAG = 0.005  # seconds of event-loop lag from which the router is notified of it


class EventQueue:
    """Collects events and schedules the iteration that handles them.

    Attributes:
        max_iteration: seconds that an iteration took, at most.
    """

    def __init__(self, context: FrontContext, run_iteration: Callable[[], None]) -> None:
        self.context = context
        self.run_iteration = run_iteration
        self.max_iteration = 0.0
        self._events: list[Event] = []
        self._is_scheduled = False
        self._batch_began = -math.inf  # since when events of the coming batch could have been posted
        self._iteration_began = -math.inf
        self._iteration_ended = -math.inf

    def post(self, event: Event, first: bool = False) -> None:
        """Queue an event for the next iteration.

        Args:
            event: the event.
            first: whether it goes before all that is queued, so that it holds for those events as well.
        """
        self._events.insert(0 if first else len(self._events), event)
        if not self._is_scheduled:
            self._is_scheduled = True
            now = self.context.clock.now()
            if now > self._iteration_ended + IDLE_GAP:
                self._batch_began = now
            self.context.reactor.callLater(0, self._poll_again)

    def _poll_again(self) -> None:
        """Let the reactor poll its sockets once more before the iteration.

        Guards caches against attempts for clients that closed or cancelled while this front was busy: a
        request and its cancellation are read one after the other, each in a poll of its own. Harm: one more
        poll for each iteration.
        """
        self.context.reactor.callLater(0, self._run_when_allowed)

    def _run_when_allowed(self, has_waited: bool = False) -> None:
        """Run the iteration, or wait while the fleet holds decisions.

        After such a wait, events of caches and purges go before requests.
        """
        fleet = self.context.fleet
        if fleet and fleet.holds_decisions(self.context.clock.now()):
            self.context.reactor.callLater(IDLE_GAP, self._run_when_allowed, True)
            return
        if has_waited:
            self._events.sort(key=lambda event: isinstance(event, RequestReceived))
        self.run_iteration()

    def begin_iteration(self) -> deque[Event]:
        """Return the batch, with the measured lag of the event loop before it where that is large."""
        self._is_scheduled = False
        now = self.context.clock.now()
        batch, self._events = deque(self._events), []
        if batch and now > self._batch_began + MIN_REPORTED_LAG:
            batch.appendleft(LoopLagMeasured(now - self._batch_began))
        self._batch_began = self._iteration_began = now
        return batch

    def end_iteration(self) -> None:
        """Note when the iteration ended, and how long it took."""
        self._iteration_ended = self.context.clock.now()
        self.max_iteration = max(self.max_iteration, self._iteration_ended - self._iteration_began)
