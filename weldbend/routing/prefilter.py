"""LRU-K prefilter: counts requests for each object at this front, in a bounded table."""

from weldbend.routing.actor import Actor
from weldbend.routing.context import Context
from weldbend.routing.messages import Popularity
from weldbend.routing.object_counts import ObjectCounts
from weldbend.routing.requests import Request


class Prefilter(Actor[Request]):
    """Determines the popularity level of a requested object; placement applies thresholds to it.

    Args:
        context: shared state of the router.
        size: number of objects in the table.
        highest: highest level.
    """

    def __init__(self, context: Context, size: int, highest: int) -> None:
        self.context = context
        self.counts = ObjectCounts(size)
        self.highest = highest

    def handle(self, message: Request) -> None:
        """Count a request, unless it is a retry, and post the level of its object.

        The number of recent requests for the object at other fronts is added to the level, up to the highest.
        """
        level = self.counts.count(message.object_name, int(not message.received.is_retry), self.highest)
        level = min(level + message.received.requested_elsewhere, self.highest)
        self.context.post(message, Popularity(level, self.counts.free_fraction()))
