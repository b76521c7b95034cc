"""Measured durations and sizes of answers, by request class and by role of the answering cache."""

from collections.abc import Iterable

from weldbend.routing.settings import RequestClass, Role
from weldbend.routing.windows import WindowedSum


class ClassStatistics:
    """Durations and sizes of the answers that this front received.

    Args:
        classes: request classes of the site.
        window: seconds for which durations and sizes of answers are remembered by role.
        prior: number of answers that are assumed, in addition to those received, in the mean work of a class;
            the work of each is the latency objective.
        minimum: lower bound in seconds, both of expected durations and of the known size from which one is
            computed.
    """

    def __init__(self, classes: Iterable[RequestClass], window: float, prior: int, minimum: float) -> None:
        self.window = window
        self.prior = prior
        self.minimum = minimum
        self.classes = tuple(classes)
        self.answer_sums: dict[tuple[str, Role], tuple[WindowedSum, WindowedSum]] = {}
        self.work: dict[str, tuple[float, int]] = {}
        self.keep_classes({request_class.name for request_class in self.classes})

    def change_classes(self, classes: Iterable[RequestClass], still_open: set[str]) -> None:
        """Replace the classes; classes that remain or are named in `still_open` keep their statistics."""
        self.classes = tuple(classes)
        self.keep_classes({request_class.name for request_class in self.classes} | still_open)

    def keep_classes(self, names: set[str]) -> None:
        """Keep or create the statistics of the named classes, and delete all others."""
        self.answer_sums = {
            (name, role): self.answer_sums.get((name, role))
            or (WindowedSum(self.window), WindowedSum(self.window))
            for name in names
            for role in Role
        }
        self.work = {name: self.work.get(name, (0.0, 0)) for name in names}

    def record(
        self, request_class: RequestClass, role: Role, now: float, duration: float, work: float
    ) -> None:
        """Count an answer that took `duration` seconds; `work` is its size, 0 (counted as 1) if unknown."""
        durations, sizes = self.answer_sums[request_class.name, role]
        durations.add(now, duration)
        sizes.add(now, work or 1.0)

    def record_work(self, request_class: RequestClass, work: float) -> None:
        """Count the size of an answer, in seconds of sending."""
        total, count = self.work[request_class.name]
        self.work[request_class.name] = total + work, count + 1

    def mean_work(self, request_class: RequestClass) -> float:
        """Return the mean size of an answer in seconds of sending; initially the latency objective."""
        total, count = self.work[request_class.name]
        return (total + self.prior * request_class.latency_objective) / (count + self.prior)

    def priority_density(self, request_class: RequestClass) -> float:
        """Return the priority weight per second of sending."""
        return request_class.priority_weight / self.mean_work(request_class)

    def is_densest(self, request_class: RequestClass) -> bool:
        """Return whether no other class has a higher priority weight per second of sending."""
        return self.priority_density(request_class) >= max(map(self.priority_density, self.classes))

    def expected_duration(self, request_class: RequestClass, role: Role, now: float, work: float) -> float:
        """Return the expected seconds until an answer of this size (0: unknown) from a cache of this role."""
        durations, sizes = (window.total(now) for window in self.answer_sums[request_class.name, role])
        size = max(work, self.minimum) if work else 1.0
        # mean duration per second of sending; one answer of this size that takes the objective is assumed
        expected = size * (durations + request_class.latency_objective) / (sizes + size)
        return max(expected, self.minimum)
