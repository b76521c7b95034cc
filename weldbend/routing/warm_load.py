"""Measured load of the warm caches of each role, used as their capacity if link sizes are unknown."""

from weldbend.routing.context import Context
from weldbend.routing.records import Attempt
from weldbend.routing.settings import Role
from weldbend.routing.windows import WindowedSum


class WarmLoad:
    """Average number of flows carried at once by the warm caches of a role, per ready cache of that role.

    Args:
        context: shared state of the router.
        window: seconds over which the load is averaged.
    """

    def __init__(self, context: Context, window: float) -> None:
        self.context = context
        self.window = window
        self.served = {role: WindowedSum(window) for role in Role}
        self.flows: dict[Role, float] = {}

    def record_served(self, attempt: Attempt) -> None:
        """Count a served attempt at each warm cache involved, if most caches of that role are warm."""
        for cache in attempt.caches():
            role_group = self.context.ready[cache.role]
            now = self.context.now
            if 2 * role_group.warming.count(now) < len(role_group) and cache.is_warm():
                served = self.served[cache.role]
                served.add(now, self.context.mean_work(attempt.request))
                self.flows[cache.role] = served.total(now) / self.window / len(role_group)
