"""The router, which selects the cache to answer a request, the source of a fill and the copies to store.

Create `Router(seed, settings)`, then call `handle(now, batch)` for each batch of events; it returns the
actions in order. `now` must not decrease. A front that restarts creates a new Router. docs/design.md explains
the design.
"""

from collections.abc import Iterable

from weldbend.routing import events
from weldbend.routing.actions import Action, WatchEndpoints
from weldbend.routing.admission import Admission
from weldbend.routing.cache_group import RoleGroup
from weldbend.routing.cache_state import HEALTH_WINDOW, Cache
from weldbend.routing.class_statistics import ClassStatistics
from weldbend.routing.concurrency import OVERLOAD_WINDOW, ParentConcurrencyLimit
from weldbend.routing.context import Context
from weldbend.routing.endpoint_table import EndpointTable
from weldbend.routing.event_dispatch import EventDispatcher
from weldbend.routing.events import ListScope
from weldbend.routing.placement import HIGHEST_LEVEL, TABLE_SIZE, Placement
from weldbend.routing.prefilter import Prefilter
from weldbend.routing.settings import Role, SiteSettings

STATISTICS_WINDOW = 10.0  # seconds for which durations of answers are remembered
# Number of answers, each as large as the latency objective of the class, that are assumed in its mean work in
# addition to those received.
WORK_PRIOR = 4
MIN_EXPECTED_DURATION = 0.1  # minimum expected duration of an answer in seconds
LIST_RETRIES = 20  # requests for the endpoint list within the site's `list_refresh` if it cannot be fetched
WATCH_TOKEN = "watch"  # token of the timer after which the endpoint list is requested again


class Router:
    """The routing decisions of one front: dispatches events to its parts and collects their actions."""

    def __init__(self, seed: int, settings: SiteSettings) -> None:
        classes = settings.classes.values()
        statistics = ClassStatistics(classes, STATISTICS_WINDOW, WORK_PRIOR, MIN_EXPECTED_DURATION)
        self.context = context = Context(seed, settings, statistics)
        context.ready = {role: RoleGroup(context, HEALTH_WINDOW, OVERLOAD_WINDOW) for role in Role}
        context.parent_limit = ParentConcurrencyLimit(context)
        self.prefilter = context.prefilter = Prefilter(context, TABLE_SIZE, HIGHEST_LEVEL)
        self.placement = context.placement = Placement(context)
        self.admission = context.admission = Admission(context)
        self.caches = context.caches
        self.requests = context.requests
        self.endpoints = EndpointTable(context, lambda endpoint: Cache(context, endpoint))
        self.events = EventDispatcher(context)
        self.is_watching = False

    @property
    def actions(self) -> list[Action]:
        """The actions of the current batch so far, or of the last one."""
        return self.context.actions

    def handle(self, now: float, batch: Iterable[events.Event]) -> list[Action]:
        """Process a batch of events at the time `now` (seconds), and return the resulting actions."""
        self.context.begin_batch(now)
        if self.context.settings.subscribes and not self.is_watching:
            self.is_watching = True
            self.context.actions.append(WatchEndpoints())
        for event in batch:
            match event:
                case events.EndpointsListed():
                    self.update_endpoints(event)
                case events.TimerFired(token) if token == WATCH_TOKEN:
                    self.context.actions.append(WatchEndpoints())
                case _:
                    self.events.dispatch(event)
            self.context.mailbox.deliver_all()
        return self.context.actions

    def update_endpoints(self, event: events.EndpointsListed) -> None:
        """Apply an endpoint list or, if it could not be fetched, schedule another request for it."""
        settings = self.context.settings
        if event.scope is not ListScope.FAILED:
            self.endpoints.update(event)
        elif settings.subscribes:
            self.context.start_timer(settings.list_refresh / LIST_RETRIES, WATCH_TOKEN)
