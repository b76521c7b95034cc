"""LRU-K: how often this front was asked for an object, in a bounded table."""

from weldbend.routing.actor import Actor
from weldbend.routing.context import Context
from weldbend.routing.messages import Popularity
from weldbend.routing.object_counts import ObjectCounts
from weldbend.routing.requests import Request


class Prefilter(Actor[Request]):
    """Tells requests the level of their object; the thresholds on it are placement's.

    Args:
        context: the router's.
        size: objects that are remembered.
        highest: the level at which counting ends.
    """

    def __init__(self, context: Context, size: int, highest: int) -> None:
        self.context = context
        self.counts = ObjectCounts(size)
        self.highest = highest

    def handle(self, message: Request) -> None:
        """Count a request that is no retry; what other fronts were asked for counts as well."""
        level = self.counts.count(message.object_name, int(not message.received.is_retry), self.highest)
        level = min(level + message.received.requested_elsewhere, self.highest)
        self.context.post(message, Popularity(level, self.counts.free_fraction()))
