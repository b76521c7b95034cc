"""State shared by all parts of a router: time, settings, random numbers, caches, requests and actions."""

import math
from typing import TYPE_CHECKING, Any

from weldbend.routing.actions import Action, SetTimer
from weldbend.routing.actor import Actor, Mailbox
from weldbend.routing.cache_group import CacheGroup, RoleGroup
from weldbend.routing.class_statistics import ClassStatistics
from weldbend.routing.events import EndpointState
from weldbend.routing.random_source import RandomSource
from weldbend.routing.settings import Role, SiteSettings

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache
    from weldbend.routing.concurrency import ParentConcurrencyLimit
    from weldbend.routing.records import Attempt
    from weldbend.routing.requests import Request


class Context:
    """Shared state of one router; what to send where is decided by the parts that use it.

    Attributes:
        settings: current settings of the site.
        now: time of the current batch in seconds.
        started_at: time of the first batch.
        random: source of all random numbers.
        actions: actions that result from the current batch, in order.
        mailbox: queue of messages between the parts.
        statistics: measured durations and sizes of answers.
        caches: all known caches by number.
        changed: caches whose membership in the groups of ready caches has to be updated.
        ready: groups of caches that this front may use, by role.
        hub_parents: ready parents of the hub.
        requests: requests that are open or have attempts in flight, by id.
        parent_fraction: this front's share of the attempts that all fronts together may have in flight at the
            parents.
        parents_in_flight: number of attempts of this front in flight at all parents.
        parent_limit: limit on that number.
        prefilter, placement, admission: parts of the router that process requests.
    """

    prefilter: "Actor[Request]"
    placement: Actor[Any]
    admission: Actor[Any]
    parent_limit: "ParentConcurrencyLimit"
    ready: dict[Role, RoleGroup]

    def __init__(self, seed: int, settings: SiteSettings, statistics: ClassStatistics) -> None:
        self.settings = settings
        self.now = 0.0
        self.started_at = math.inf
        self.random = RandomSource(seed)
        self.actions: list[Action] = []
        self.mailbox = Mailbox()
        self.post = self.mailbox.post
        self.statistics = statistics
        self.caches: dict[int, Cache] = {}
        self.changed: dict[Cache, None] = {}
        self.hub_parents = CacheGroup()
        self.requests: dict[str, Request] = {}
        self.parents_in_flight = 0
        self.parent_fraction = 1 / settings.fronts

    def begin_batch(self, now: float) -> None:
        """Start a new batch of events at the time `now`."""
        self.now = now
        self.started_at = min(now, self.started_at)
        self.actions = []

    def change_settings(self, settings: SiteSettings) -> None:
        """Apply changed settings, keeping the statistics of classes that remain or have open requests."""
        if settings.fronts != self.settings.fronts:
            self.parent_fraction = 1 / settings.fronts
        self.settings = settings
        self.changed = dict.fromkeys(self.caches.values())
        still_open = {request.request_class.name for request in self.requests.values()}
        self.statistics.change_classes(settings.classes.values(), still_open)

    def update_ready(self) -> None:
        """Update the groups of ready caches, and delete the caches that were removed from the endpoint list.

        Deletion by number is safe because a number is never reused for another cache. The cost is
        proportional to the number of changed caches.
        """
        for cache in self.changed:
            if cache.state is EndpointState.REMOVED:
                self.caches.pop(cache.id, None)
            serves_this_zone = cache.role is not Role.EDGE or cache.zone == self.settings.zone
            is_ready = cache.state is EndpointState.READY and serves_this_zone
            is_at_hub = cache.role is Role.PARENT and cache.zone == self.settings.hub
            self.put_or_remove(cache, self.ready[cache.role], is_ready)
            self.put_or_remove(cache, self.hub_parents, is_ready and is_at_hub)
        self.changed.clear()

    def put_or_remove(self, cache: "Cache", group: CacheGroup, is_member: bool) -> None:
        """Add a cache to a group or remove it; all caches have the same weight if link sizes are unknown."""
        if is_member:
            group.put(cache, cache.weight if self.settings.weighted else 1.0)
        else:
            group.remove(cache)

    def start_timer(self, delay: float, token: str, request: str = "", attempt: int = -1) -> None:
        """Request the event `TimerFired(token)` after `delay` seconds."""
        self.actions.append(SetTimer(delay, token, request, attempt))

    def post_to_participants(self, attempt: "Attempt") -> None:
        """Notify the caches involved in an attempt, and then its request, that it has started or ended."""
        for cache in attempt.caches():
            self.post(cache, attempt)
        self.post(attempt.request, attempt)

    def mean_work(self, request: "Request") -> float:
        """Return the mean size of an answer for the class of a request.

        The size is in seconds of sending at the maximum rate of a client.
        """
        return self.statistics.mean_work(request.request_class)
