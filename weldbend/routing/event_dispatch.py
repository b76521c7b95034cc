"""Delivery of events to the parts of a router that process them."""

from weldbend.routing import events
from weldbend.routing.context import Context
from weldbend.routing.messages import Suspicion


class EventDispatcher:
    """Dispatches each event to its receiver: a request, a cache, placement or admission."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def dispatch(self, event: events.Event) -> None:
        """Post an event to its receiver; events for unknown requests and caches are ignored."""
        context = self.context
        match event:
            case events.TimerFired():
                self.dispatch_timer(event)
            case events.SettingsChanged():
                self.dispatch_settings(event)
            case events.RequestCancelled() | events.ResponseStarted() | events.ExecutedElsewhere():
                if request := context.requests.get(event.id):
                    context.post(request, event)
            case _ if isinstance(event, events.CacheEvent):
                self.dispatch_cache_event(event)
            case events.ParentQuota(fraction):
                context.parent_fraction = fraction
            case events.HealthCheckDone() | events.MessageReceived():
                pass  # no part uses these events
            case _:
                context.post(context.admission, event)

    def dispatch_timer(self, event: events.TimerFired) -> None:
        """Post a timer event to its request.

        The token is `end:REQUEST` at the end of a request's time, or `slow:REQUEST:ATTEMPT` when an attempt
        takes too long.
        """
        purpose, request_id, *number = event.token.split(":")
        request = self.context.requests.get(request_id)
        if request is None:
            return
        if purpose == "slow":
            attempt = request.attempts[int(number[0])]
            self.context.post(request, Suspicion(attempt, event.connection_silent))
        else:
            self.context.post(request, event)

    def dispatch_settings(self, event: events.SettingsChanged) -> None:
        """Apply changed settings, and notify the caches and placement of them."""
        self.context.change_settings(event.settings)
        for cache in self.context.caches.values():
            self.context.post(cache, event)
        self.context.post(self.context.placement, event)

    def dispatch_cache_event(self, event: events.CacheEvent) -> None:
        """Post an event to its cache, and information from peers to placement as well.

        Information from peers may change the state of a cache, and placement updates the groups of ready
        caches.
        """
        cache = self.context.caches.get(event.cache)
        if cache is None:
            return
        self.context.post(cache, event)
        if isinstance(event, events.PeerKnowledge):
            self.context.post(self.context.placement, event)
