"""The dispatcher, which passes events to the router in one batch per iteration and executes its actions.

All decisions are the router's. The work is divided among `admission`, `attempts`, `endpoint_updates`,
`health_checks` and `event_queue`.
"""

from collections import deque
from collections.abc import Callable, Iterator
from typing import Any

from loguru import logger

from weldbend.cache_protocol.answers import Answer
from weldbend.caches.pool import CachePool
from weldbend.event_bus.endpoint_registry import EndpointRegistry
from weldbend.front.admission import Admission
from weldbend.front.attempts import AttemptManager
from weldbend.front.clock import Clock
from weldbend.front.configuration import Site
from weldbend.front.context import FleetPeers, FrontContext
from weldbend.front.endpoint_updates import EndpointUpdates
from weldbend.front.event_queue import EventQueue
from weldbend.front.execution_history import ExecutionHistory
from weldbend.front.health_checks import HealthChecker
from weldbend.front.open_requests import RequestTable
from weldbend.front.timers import Timers
from weldbend.invariants import check_invariant
from weldbend.routing.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    RetireConnection,
    SendAttempt,
    SendHealthCheck,
    SetTimer,
    WatchEndpoints,
    WriteLog,
)
from weldbend.routing.events import ConnectionOpened, Event, RequestReceived, SettingsChanged, TimerFired
from weldbend.routing.router import Router


class Dispatcher:
    """Connects the router with clients, caches, the bus and the fleet.

    Attributes:
        names: registry of endpoints, which maps uids of caches to numbers and back.
        requests: table of all accepted requests that have not finished.
    """

    def __init__(self, context: FrontContext) -> None:
        site = context.site
        self.context = context
        self.router = Router(site.seed, site.settings)
        self.names = EndpointRegistry(context.timestamps, site.roles, {}, {})
        self.requests = RequestTable()
        self.queue = EventQueue(context, self.run_iteration)
        self.pool = CachePool(
            context.reactor,
            context.timers,
            site.cache_limits,
            self._handle_unmatched_answer,
            self._connection_opened,
        )
        self.health_checks = HealthChecker(context, self.queue, self.pool)
        self.endpoints = EndpointUpdates(context, self.queue, self.names, self.pool)
        history = ExecutionHistory(self.router.caches)
        self.attempts = AttemptManager(context, self.queue, self.requests, self.endpoints, self.pool, history)
        self.admission = Admission(context, self.queue, self.requests, self.attempts)
        self._current_event: Event | None = None  # the event that the router is handling
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            SendAttempt: self.attempts.send,
            CancelAttempt: self._cancel_attempt,
            RetireConnection: self._retire_connection,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            SetTimer: self._set_timer,
            SendHealthCheck: self._send_health_check,
            WriteLog: self._write_log,
            WatchEndpoints: self._watch_endpoints,
        }

    # Interface for the fleet.

    @property
    def site(self) -> Site:
        """The current configuration."""
        return self.context.site

    @property
    def clock(self) -> Clock:
        """The front's clock."""
        return self.context.clock

    @property
    def timers(self) -> Timers:
        """The front's timers."""
        return self.context.timers

    def join_fleet(self, fleet: FleetPeers) -> None:
        """Set the fleet that this front belongs to."""
        self.context.fleet = fleet

    def post(self, event: Event, first: bool = False) -> None:
        """Queue an event for the router; see `EventQueue.post`."""
        self.queue.post(event, first)

    # Events.

    def apply_site(self, site: Site) -> None:
        """Replace the configuration, and notify the router if its settings have changed."""
        previous = self.context.site.settings
        self.context.site = site
        self.context.update_memory_limit()
        self.pool.limits = site.cache_limits
        if site.settings != previous:
            self.post(SettingsChanged(site.settings))

    def _handle_unmatched_answer(self, cache: int, answer: Answer) -> bool:
        return self.health_checks.handle_answer(cache, answer)

    def _connection_opened(self, cache: int) -> None:
        self.queue.post(ConnectionOpened(cache))

    # Iterations.

    def run_iteration(self) -> None:
        """Pass the queued events to the router and execute the resulting actions."""
        batch = self.queue.begin_iteration()
        while batch and not self.queue.is_time_limit_exceeded():
            try:
                actions = self.router.handle(self.context.clock.now(), self._skip_cancelled(batch))
            except Exception:  # noqa: BLE001 - an error in one request must not end the front
                actions = self.router.actions
                self._abort_request_of(self._current_event)
            for action in actions:
                try:
                    self.perform(action)
                except Exception:  # noqa: BLE001 - an error in one action must not end the front
                    self._abort_request_of(action)
        self._remove_unreferenced(batch)
        self.queue.put_back(batch)
        self.queue.end_iteration()

    def _remove_unreferenced(self, rest: deque[Event]) -> None:
        """Remove finished requests and removed caches, except those that remaining events refer to.

        When the router handles a remaining event later, its actions may name the request or the caches of
        that event, which must then still be registered. The side effect is that removed caches stay
        registered until an iteration has handled its whole batch.
        """
        self.requests.remove_finished({getattr(event, "id", "") for event in rest})
        if not rest:
            self.endpoints.remove_unlisted()

    def _skip_cancelled(self, batch: deque[Event]) -> Iterator[Event]:
        """Yield the events in order, except requests that were closed before the router received them."""
        while batch and not self.queue.is_time_limit_exceeded():
            self._current_event = event = batch.popleft()
            self.queue.taken_count += 1
            if isinstance(event, RequestReceived):
                request = self.requests.by_id.get(event.id)
                if request and request.is_closed:
                    continue
            yield event

    def _abort_request_of(self, cause: Event | Action | None) -> None:
        """Record the exception being handled, and abort the request that the event or action refers to."""
        self.context.counters.record_error(cause)
        if request := self.requests.by_id.get(getattr(cause, "id", "")):
            self.attempts.abort(request)

    # Actions.

    def perform(self, action: Action) -> None:
        """Execute one action of the router."""
        handler = self._handlers.get(type(action))
        if handler:
            handler(action)
        else:
            check_invariant(False, f"an action that a front can carry out: {type(action).__name__}")

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        if request := self.requests.by_id.get(action.id):
            self.attempts.cancel(request, request.attempts[action.attempt])

    def _retire_connection(self, action: RetireConnection) -> None:
        request = self.requests.by_id.get(action.id)
        if request and (connection := request.attempts[action.attempt].connection):
            connection.drain()

    def _reject_request(self, action: RejectRequest) -> None:
        if request := self.requests.by_id.get(action.id):
            self.attempts.reject(request, action.retry_after, action.reason)

    def _fail_request(self, action: FailRequest) -> None:
        if request := self.requests.by_id.get(action.id):
            self.attempts.fail(request, action.reason)

    def _set_timer(self, action: SetTimer) -> None:
        timer = self.context.timers.after(action.delay, lambda: self._fire_timer(action))
        if request := self.requests.by_id.get(action.id):
            request.timers.append(timer)

    def _fire_timer(self, action: SetTimer) -> None:
        """Post that a timer is due, and whether the connection was silent since the attempt was sent.

        If the attempt is still unsent because of a local fault, it is ended instead and no timer event is
        posted: the delay is no evidence against its cache.
        """
        request = self.requests.by_id.get(action.id) if action.attempt >= 0 else None
        is_silent = False
        if request:
            attempt = request.attempts[action.attempt]
            if self.attempts.is_locally_blocked(attempt):
                self.attempts.guard(request, self.attempts.end_locally_blocked, attempt)
                return
            is_silent = bool(attempt.connection and attempt.connection.received_at <= attempt.sent_at)
        self.queue.post(TimerFired(action.token, is_silent))

    def _send_health_check(self, action: SendHealthCheck) -> None:
        self.health_checks.send(action.cache)

    @staticmethod
    def _write_log(action: WriteLog) -> None:
        logger.info("router: {}", action.text)

    @staticmethod
    def _watch_endpoints(action: WatchEndpoints) -> None:
        """Ignore the router's subscription to endpoint lists: the front reads the bus from its start."""
