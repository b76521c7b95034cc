"""Invariants: asserted in debug builds, counted in release builds (`python -O`).

Invalid input from other programs is an anomaly. It is counted in every build and never asserted, since it
must not stop a front.
"""

from collections import Counter

violations: Counter[str] = Counter()  # number of violations of each invariant, by its text
anomalies: Counter[str] = Counter()  # number of unusable inputs from other programs, by kind


def check_invariant(holds: object, what: str) -> bool:
    """Check an invariant and return whether it holds.

    Args:
        holds: Value that is true if the invariant holds.
        what: Text of the invariant, as the counters show it.

    Raises:
        AssertionError: The invariant does not hold, in a debug build; a release build only counts it.
    """
    if not holds:
        violations[what] += 1
        assert holds, what
    return bool(holds)
