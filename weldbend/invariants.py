"""What must hold: asserted in debug builds, counted in release builds (`python -O`).

What others do wrong is counted in every build and never asserted: it must not stop a front.
"""

from collections import Counter

violations: Counter[str] = Counter()
anomalies: Counter[str] = Counter()  # what others send that nothing can be made of


def check_invariant(holds: object, what: str) -> bool:
    """Whether it holds; where it does not, stop a debug build and count it in a release build."""
    if not holds:
        violations[what] += 1
        assert holds, what
    return bool(holds)
