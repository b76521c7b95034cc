"""Plan of a run: a site of the usual size, or with the same capacity divided among more caches. No I/O."""

from dataclasses import asdict, dataclass
from typing import Any

from weldbend.testbed.emulator.emulated_site import SiteSettings
from weldbend.testbed.load.generator import LoadPlan

PARENT_FRACTION = 0.1  # fraction of the caches that are parents
CONNECTIONS = 16  # number of connections of the load to each front
OBJECTS = 20_000  # number of objects that the load requests, under Zipf's law


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """One site and its load.

    Attributes:
        caches: Number of edges and parents at the usual size; the site has one origin in addition.
        division: Number of caches into which each of them is divided; 1 for the usual size.
        fronts: Number of fronts.
        rate: Requests per second to each front.
        seconds: Duration of the load in seconds.
        changes: Changes of the endpoint list per second, for each hundred caches.
        seed: Seed of the load and of the changes.
        counts_calls: Whether function calls in each front are counted, which slows it down several times.
    """

    caches: int = 100
    division: int = 1
    fronts: int = 1
    rate: float = 40.0
    seconds: float = 25.0
    changes: float = 1.0
    seed: int = 1
    counts_calls: bool = False

    def cache_count(self) -> int:
        """Return the number of edges and parents."""
        return self.caches * self.division

    def site_settings(self) -> SiteSettings:
        """Return the settings of the site.

        The capacity of all caches together and the limits of a front are the same for each division.
        """
        usual = SiteSettings()
        parents = max(1, round(PARENT_FRACTION * self.caches)) * self.division
        return SiteSettings(
            edges=self.cache_count() - parents,
            parents=parents,
            fronts=self.fronts,
            edge_capacity=usual.edge_capacity // self.division,
            parent_capacity=usual.parent_capacity // self.division,
            edge_rate=usual.edge_rate / self.division,
            cache_rate=usual.cache_rate / self.division,
            cache_weight=usual.cache_weight / self.division,
            cache_max_open=max(1, usual.cache_max_open // self.division),
        )

    def load_plan(self) -> LoadPlan:
        """Return the plan of the load on all fronts."""
        return LoadPlan(
            rate=self.rate * self.fronts,
            seconds=self.seconds,
            objects=OBJECTS,
            connections=CONNECTIONS * self.fronts,
            seed=self.seed,
        )

    def changes_per_second(self) -> float:
        """Return the number of changes of the endpoint list per second."""
        return self.changes * self.cache_count() / 100

    def document(self) -> dict[str, Any]:
        """Return the plan as a JSON object."""
        return asdict(self)
