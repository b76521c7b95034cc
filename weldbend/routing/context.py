"""What all parts of one router share: time, settings, chance, caches, and what it has to return."""

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
    """Shared state of one router; it decides nothing.

    Attributes:
        settings: the site's, as they hold now.
        now: moment of the batch that is handled, in seconds.
        started_at: moment of the first batch.
        random: where every draw comes from.
        actions: what the batch leads to, in order.
        mailbox: messages between the parts.
        statistics: measured duration and size of answers.
        caches: all known caches by number.
        changed: those of which something has changed that says whether they can be used.
        ready: those that this front may use, by role.
        hub_parents: those of the parents that stand at the hub.
        requests: the open ones, and those with attempts in flight, by id.
        parent_fraction: this front's fraction of what all fronts have in flight at the parents.
        parents_in_flight: attempts of this front in flight at all parents.
        parent_limit: the limit on what is in flight there.
        prefilter, placement, admission: the parts that requests go through.
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
        """Go on to another batch of events, at the moment `now`."""
        self.now = now
        self.started_at = min(now, self.started_at)
        self.actions = []

    def change_settings(self, settings: SiteSettings) -> None:
        """Go by other settings; what was learned of classes that go on, or have open requests, stays."""
        if settings.fronts != self.settings.fronts:
            self.parent_fraction = 1 / settings.fronts
        self.settings = settings
        self.changed = dict.fromkeys(self.caches.values())
        still_open = {request.request_class.name for request in self.requests.values()}
        self.statistics.change_classes(settings.classes.values(), still_open)

    def update_ready(self) -> None:
        """Forget caches that were removed, as numbers are never used again, and find those that are ready.

        The cost is that of the caches that have changed.
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
        """Have a cache in a group or not; its weight counts where the list tells how large links are."""
        if is_member:
            group.put(cache, cache.weight if self.settings.weighted else 1.0)
        else:
            group.remove(cache)

    def start_timer(self, delay: float, token: str, request: str = "", attempt: int = -1) -> None:
        """Have `TimerFired(token)` come after `delay` seconds."""
        self.actions.append(SetTimer(delay, token, request, attempt))

    def post_to_participants(self, attempt: "Attempt") -> None:
        """Tell the start or end of an attempt to all that it touches, the request last."""
        for cache in attempt.caches():
            self.post(cache, attempt)
        self.post(attempt.request, attempt)

    def mean_work(self, request: "Request") -> float:
        """Mean seconds of sending of a request's class."""
        return self.statistics.mean_work(request.request_class)
