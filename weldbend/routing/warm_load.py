"""What warm caches of each role were seen to bear: stands in where the sizes of links are not told."""

from weldbend.routing.context import Context
from weldbend.routing.records import Attempt
from weldbend.routing.settings import Role
from weldbend.routing.windows import WindowedSum


class WarmLoad:
    """Flows that one warm cache of a role carried at once, on average.

    Args:
        context: the router's.
        window: seconds that the average covers.
    """

    def __init__(self, context: Context, window: float) -> None:
        self.context = context
        self.window = window
        self.served = {role: WindowedSum(window) for role in Role}
        self.flows: dict[Role, float] = {}

    def record_served(self, attempt: Attempt) -> None:
        """Count what an attempt brought at each cache that it touched, if most of its role are warm."""
        for cache in attempt.caches():
            role_group = self.context.ready[cache.role]
            now = self.context.now
            if 2 * role_group.warming.count(now) < len(role_group) and cache.is_warm():
                served = self.served[cache.role]
                served.add(now, self.context.mean_work(attempt.request))
                self.flows[cache.role] = served.total(now) / self.window / len(role_group)
