"""Invariants: asserted in debug builds, counted in release builds (`python -O`).

What others do wrong is counted in every build and never asserted: it must not stop a front.
"""

from collections import Counter

violations: Counter[str] = Counter()  # invariants that did not hold, by their text
anomalies: Counter[str] = Counter()  # protocol anomalies: input of others that cannot be used


def check_invariant(holds: object, what: str) -> bool:
    """Check an invariant and return whether it holds.

    Args:
        holds: its truth value.
        what: the invariant in words, as the counters show it.

    Raises:
        AssertionError: in a debug build, where it does not hold; a release build counts it.
    """
    if not holds:
        violations[what] += 1
        assert holds, what
    return bool(holds)
