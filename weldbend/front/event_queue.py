"""The queue of events for the router: one batch in each iteration of the reactor's event loop."""

import math
from collections import deque
from collections.abc import Callable

from weldbend.front.context import FrontContext
from weldbend.routing.events import Event, LoopLagMeasured, RequestReceived

# Seconds after an iteration; if the next event is posted later than that, it counts as having arrived just
# now, and otherwise as having possibly waited in a socket since the iteration began. Also the delay after
# which an iteration is tried again while the fleet delays decisions.
IDLE_GAP = 0.001
MIN_REPORTED_LAG = 0.005  # seconds of event-loop lag above which the lag is reported to the router
ITERATION_LIMIT = 0.03  # seconds after which an iteration leaves its remaining events to the next one
MIN_EVENTS_PER_ITERATION = 2  # taken even after the limit: the lag event, and one posted event for progress


class EventQueue:
    """Queue of events for the router; it schedules the iterations in which they are handled.

    Attributes:
        max_iteration: duration of the longest iteration, in seconds.
        taken_count: number of events that the current iteration has taken.
    """

    def __init__(self, context: FrontContext, run_iteration: Callable[[], None]) -> None:
        self.context = context
        self.run_iteration = run_iteration
        self.max_iteration = 0.0
        self.taken_count = 0
        self._events: list[Event] = []
        self._waiting_since: list[float] = []  # earliest possible arrival time of each event
        self._batch_waiting_since: list[float] = []  # the same for the batch being handled
        self._is_scheduled = False
        self._unread_since = -math.inf  # earliest possible arrival time of events posted now
        self._iteration_began = -math.inf
        self._iteration_ended = -math.inf

    def post(self, event: Event, first: bool = False) -> None:
        """Queue an event for the next iteration.

        Args:
            event: event to queue.
            first: whether the event goes before all queued events, so that the router knows of it when it
                handles them.
        """
        if not self._is_scheduled:
            now = self.context.clock.now()
            if now > self._iteration_ended + IDLE_GAP:
                self._unread_since = now
            self._schedule()
        if first and self._events:
            self._events.insert(0, event)
            self._waiting_since.insert(0, self._waiting_since[0])
        else:
            self._events.append(event)
            self._waiting_since.append(self._unread_since)

    def _schedule(self) -> None:
        self._is_scheduled = True
        self.after_polls(self._run_when_allowed)

    def after_polls(self, call: Callable[[], None]) -> None:
        """Schedule a call after the reactor has polled its sockets twice.

        This guards caches against attempts for clients that disconnected or cancelled while this front was
        busy: if a poll reads a request, its cancellation may be read only by the next poll. The side effect
        is one more poll in each iteration.
        """
        reactor = self.context.reactor
        reactor.callLater(0, lambda: reactor.callLater(0, call))

    def _run_when_allowed(self, has_waited: bool = False) -> None:
        """Run the iteration, or wait while the fleet delays decisions.

        After such a wait, requests are moved behind all other events, such as purges and events of caches.
        """
        fleet = self.context.fleet
        if fleet and fleet.holds_decisions(self.context.clock.now()):
            self.context.reactor.callLater(IDLE_GAP, self._run_when_allowed, True)
            return
        if has_waited:
            self._events.sort(key=lambda event: isinstance(event, RequestReceived))
        self.run_iteration()

    def begin_iteration(self) -> deque[Event]:
        """Return the batch of events, preceded by the event-loop lag if that is large.

        The lag is the time for which the oldest event of the batch may have waited, including earlier
        iterations.
        """
        self._is_scheduled = False
        now = self.context.clock.now()
        batch = deque(self._events)
        self._events = []
        self._batch_waiting_since = self._waiting_since
        self._waiting_since = []
        if batch and now > self._batch_waiting_since[0] + MIN_REPORTED_LAG:
            batch.appendleft(LoopLagMeasured(now - self._batch_waiting_since[0]))
        self._unread_since = self._iteration_began = now
        self.taken_count = 0
        return batch

    def is_time_limit_exceeded(self) -> bool:
        """Return whether the iteration has taken so long that the sockets must be polled again first.

        This guards caches against attempts for clients that disconnect or cancel while a long batch is
        handled. Its side effect is that the remaining events of the batch wait for two polls.
        """
        is_late = self.context.clock.now() > self._iteration_began + ITERATION_LIMIT
        return is_late and self.taken_count >= MIN_EVENTS_PER_ITERATION

    def has_events(self) -> bool:
        """Return whether events wait for an iteration."""
        return bool(self._events)

    def put_back(self, batch: deque[Event]) -> None:
        """Return the rest of a batch to the front of the queue, for the next iteration."""
        if batch:
            self._events[:0] = batch
            self._waiting_since[:0] = self._batch_waiting_since[-len(batch) :]
            if not self._is_scheduled:
                self._schedule()

    def end_iteration(self) -> None:
        """Record the end and the duration of the iteration."""
        self._iteration_ended = self.context.clock.now()
        self.max_iteration = max(self.max_iteration, self._iteration_ended - self._iteration_began)
