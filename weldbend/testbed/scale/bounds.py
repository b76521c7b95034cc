"""Bounds on the growth of a front's resource usage with the number of caches (the operators' table). No I/O.

Where the verdict must not depend on the speed of the machine, the number of function calls replaces the CPU
time. Its bound is a factor alone.
"""

from collections.abc import Callable
from dataclasses import dataclass

from weldbend.testbed.scale.figures import ScaleFigures

CALLS = "calls in a front, thousands"
MEGABYTE = 1e6  # bytes
KILOBYTE = 1e3  # bytes
THOUSAND = 1000  # unit of the numbers of caches and of function calls


@dataclass(frozen=True, slots=True)
class Bound:
    """One line of the table.

    Attributes:
        name: Name of the bounded figure, with its unit.
        value: Function that returns the figure in that unit.
        factor: Factor by which the figure at the usual size is multiplied.
        extra: Allowance that is added to the product.
        extra_per_thousand: Further allowance for each thousand caches.
        is_minimum: Whether the result is a lower bound of the figure; otherwise it is an upper bound.
        is_counted: Whether the figure is a count, which does not depend on the speed of the machine.
    """

    name: str
    value: Callable[[ScaleFigures], float]
    factor: float
    extra: float = 0.0
    extra_per_thousand: float = 0.0
    is_minimum: bool = False
    is_counted: bool = True

    def limit(self, usual: ScaleFigures, large: ScaleFigures) -> float:
        """Return the bound at the large size."""
        return (
            self.factor * self.value(usual) + self.extra + self.extra_per_thousand * large.caches / THOUSAND
        )

    def is_within(self, usual: ScaleFigures, large: ScaleFigures) -> bool:
        """Return whether the figure at the large size is within the bound."""
        limit = self.limit(usual, large)
        value = self.value(large)
        return value >= limit if self.is_minimum else value <= limit


BOUNDS = (
    Bound("CPU, s", lambda f: f.cpu, 1.4, 0.02, 0.12, is_counted=False),
    Bound(CALLS, lambda f: f.calls / THOUSAND, 1.4),
    Bound("peak memory, MB", lambda f: f.memory / MEGABYTE, 1.5, 8.0, 4.0, is_counted=False),
    Bound("descriptors", lambda f: f.descriptors, 2.0, 40.0),
    Bound("connections made", lambda f: f.connections, 2.5, 40.0),
    Bound("bytes of lists, KB", lambda f: f.list_bytes / KILOBYTE, 2.0, 64.0, 500.0),
    Bound("share served", lambda f: f.served, 0.85, is_minimum=True),
)


def broken_bounds(usual: ScaleFigures, large: ScaleFigures, is_counted_only: bool) -> list[Bound]:
    """Return the bounds that are missed; if `is_counted_only`, only counted figures are checked."""
    judged = [bound for bound in BOUNDS if bound.is_counted or not is_counted_only]
    return [bound for bound in judged if not bound.is_within(usual, large)]
