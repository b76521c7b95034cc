"""Posts events to the parts of a router that they concern. No decision is made here."""

from weldbend.routing import events
from weldbend.routing.context import Context
from weldbend.routing.messages import Suspicion


class EventDispatcher:
    """Finds who an event is for: a request, a cache, placement or admission."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def dispatch(self, event: events.Event) -> None:
        """Post an event; those of requests and caches that are not known go nowhere."""
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
                pass  # no part goes by them
            case _:
                context.post(context.admission, event)

    def dispatch_timer(self, event: events.TimerFired) -> None:
        """Tokens are `end:REQUEST` and `slow:REQUEST:ATTEMPT`."""
        purpose, name, *number = event.token.split(":")
        request = self.context.requests.get(name)
        if request is None:
            return
        if purpose == "slow":
            attempt = request.attempts[int(number[0])]
            self.context.post(request, Suspicion(attempt, event.connection_silent))
        else:
            self.context.post(request, event)

    def dispatch_settings(self, event: events.SettingsChanged) -> None:
        """Other settings hold for all that comes; caches and placement go by them at once."""
        self.context.change_settings(event.settings)
        for cache in self.context.caches.values():
            self.context.post(cache, event)
        self.context.post(self.context.placement, event)

    def dispatch_cache_event(self, event: events.CacheEvent) -> None:
        """What peers know of a cache may change whether it can be used."""
        cache = self.context.caches.get(event.cache)
        if cache is None:
            return
        self.context.post(cache, event)
        if isinstance(event, events.PeerKnowledge):
            self.context.post(self.context.placement, event)
