"""The caches that the endpoint list names, kept up to date with it. No decision is made here."""

from collections.abc import Callable

from weldbend.routing.cache_state import Cache
from weldbend.routing.context import Context
from weldbend.routing.events import Endpoint, EndpointsListed, EndpointState, ListScope


class EndpointTable:
    """Applies endpoint lists to the known caches; each cache hears of its own line, placement of the list.

    Args:
        context: the router's.
        make_cache: makes what stands for an endpoint that was not known before.
    """

    def __init__(self, context: Context, make_cache: Callable[[Endpoint], Cache]) -> None:
        self.context = context
        self.make_cache = make_cache

    def update(self, event: EndpointsListed) -> None:
        """Apply a list, or changes of one; it must not be one that failed."""
        context = self.context
        for endpoint in event.endpoints:
            if endpoint.id not in context.caches:
                context.caches[endpoint.id] = self.make_cache(endpoint)
            context.post(context.caches[endpoint.id], endpoint)
        if event.scope is not ListScope.CHANGES:
            self.remove_unlisted({endpoint.id for endpoint in event.endpoints})
        context.post(context.placement, event)

    def remove_unlisted(self, listed: set[int]) -> None:
        """What a complete list does not name is removed."""
        for cache in self.context.caches.values():
            if cache.id not in listed:
                cache.state = EndpointState.REMOVED
                self.context.changed[cache] = None
