"""Adds, changes and removes known caches according to the endpoint list."""

from collections.abc import Callable

from weldbend.routing.cache_state import Cache
from weldbend.routing.context import Context
from weldbend.routing.events import Endpoint, EndpointsListed, EndpointState, ListScope


class EndpointTable:
    """Applies endpoint lists: each cache receives its entry, and placement receives the whole list.

    Args:
        context: shared state of the router.
        make_cache: function that creates the cache for a new endpoint.
    """

    def __init__(self, context: Context, make_cache: Callable[[Endpoint], Cache]) -> None:
        self.context = context
        self.make_cache = make_cache

    def update(self, event: EndpointsListed) -> None:
        """Apply a complete list, or changes of one; its scope must not be `ListScope.FAILED`."""
        context = self.context
        for endpoint in event.endpoints:
            if endpoint.id not in context.caches:
                context.caches[endpoint.id] = self.make_cache(endpoint)
            context.post(context.caches[endpoint.id], endpoint)
        if event.scope is not ListScope.CHANGES:
            self.remove_unlisted({endpoint.id for endpoint in event.endpoints})
        context.post(context.placement, event)

    def remove_unlisted(self, listed: set[int]) -> None:
        """Mark all caches as removed whose numbers are not in `listed`, the numbers in a complete list."""
        for cache in self.context.caches.values():
            if cache.id not in listed:
                cache.state = EndpointState.REMOVED
                self.context.changed[cache] = None
