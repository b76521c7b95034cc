"""The router: which cache answers a request, where a miss is filled from, and where a copy stays.

Call `Router(seed, settings)`, then `handle(now, batch)` for each batch of events; it returns the actions in
order. `now` never goes back. A restarted front is a new Router. docs/design.md gives the reasons.
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

STATISTICS_WINDOW = 10.0  # seconds that durations of answers are remembered for
WORK_PRIOR = 4  # answers that a class's latency objective counts for in its mean work
MIN_EXPECTED_DURATION = 0.1  # least seconds that an answer is expected to take
LIST_RETRIES = 20  # times that a list is asked for within the time in which it has to be had
WATCH_TOKEN = "watch"


class Router:
    """The decisions of one front: events go to the parts they concern, and their actions are collected."""

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
        """What the batch that is handled, or was handled last, has led to so far."""
        return self.context.actions

    def handle(self, now: float, batch: Iterable[events.Event]) -> list[Action]:
        """Decide on a batch of events at the moment `now` (seconds)."""
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
        """Apply an endpoint list; one that failed is asked for again."""
        settings = self.context.settings
        if event.scope is not ListScope.FAILED:
            self.endpoints.update(event)
        elif settings.subscribes:
            self.context.start_timer(settings.list_refresh / LIST_RETRIES, WATCH_TOKEN)
