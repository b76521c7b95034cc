"""Soft limits: each front's part by its need, as all say theirs. No I/O.

Each front says each second how much it had to do. Its part is its need over that of all that are alive in its
view, itself included, and never under a floor. Where views and words are the same the parts add up to one at
most, floors apart. Over at most: by the number of sides of a split (each side counts only itself), and by
what needs grew within one word's age.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

FLOOR = 0.05  # of an equal share: what a front has that said nothing yet
OLD = 4.0  # seconds after which a word counts no more; its writer has an equal share then
SMOOTH = 0.5  # how much of a new figure counts


@dataclass(slots=True)
class DemandEstimate:
    """How much this front has to do, a second: a running mean, so that parts do not leap."""

    mean: float = 0.0
    count: float = 0.0
    at: float | None = None

    def add(self, amount: float = 1.0) -> None:
        self.count += amount

    def turn(self, now: float) -> float:
        if self.at is None or now <= self.at:
            self.at = now
            return self.mean
        rate, self.count = self.count / (now - self.at), 0.0
        self.mean += SMOOTH * (rate - self.mean)
        self.at = now
        return self.mean


def part(name: str, mine: float, others: Mapping[str, tuple[float, float]], alive: Iterable[str]) -> float:
    """This front's part, from 0 to 1; `others` have said (age in seconds, need) each.

    One alive that said nothing lately counts with the mean of the others: it may just have started.
    """
    here = [one for one in alive if one != name]
    said = {one: others[one][1] for one in here if one in others and others[one][0] <= OLD}
    total = mine + sum(said.values())
    members = len(here) + 1
    silent = len(here) - len(said)
    if not total:
        return 1 / members
    share = mine / (total + silent * total / (1 + len(said)))
    return min(1.0, max(share, FLOOR / members))
