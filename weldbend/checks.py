"""What must hold: asserted in debug builds, counted in release builds (`python -O`)."""

from collections import Counter

broken: Counter[str] = Counter()


def must(holds: object, what: str) -> bool:
    """Whether it holds; where it does not, stop a debug build and count it in a release build."""
    if not holds:
        broken[what] += 1
        assert holds, what
    return bool(holds)
