"""What is played: the usual size of a site, and the same capacity divided among more caches. No I/O."""

from dataclasses import asdict, dataclass
from typing import Any

from weldbend.testbed.emulator.emulated_site import SiteSettings
from weldbend.testbed.load.generator import LoadPlan

PARENT_FRACTION = 0.1  # of the caches
CONNECTIONS = 16  # of the load, to each front
OBJECTS = 20_000  # that the load draws from, by Zipf's law


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """One site and its load.

    Attributes:
        caches: Edges and parents at the usual size; there is one origin beside them.
        division: Into how many caches each of them is divided: 1 is the usual size.
        fronts: How many fronts serve.
        rate: Requests a second for each front.
        seconds: Of load.
        changes: Changes of the endpoint list a second, for each hundred caches.
        seed: Draws the load and the changes.
        counts_calls: Whether the calls in each front are counted, which slows it down some times.
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
        """How many edges and parents there are."""
        return self.caches * self.division

    def site_settings(self) -> SiteSettings:
        """The site; capacity of all caches together and limits of a front are the same for each division."""
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
        """The load on all fronts."""
        return LoadPlan(
            rate=self.rate * self.fronts,
            seconds=self.seconds,
            objects=OBJECTS,
            connections=CONNECTIONS * self.fronts,
            seed=self.seed,
        )

    def changes_per_second(self) -> float:
        """Changes of the endpoint list a second."""
        return self.changes * self.cache_count() / 100

    def document(self) -> dict[str, Any]:
        """The plan in JSON."""
        return asdict(self)
