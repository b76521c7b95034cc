"""Rendezvous (highest random weight) hashing, by which all fronts select the same front for a subject."""

from hashlib import blake2b


def rank(subject: str, round_number: int, name: str) -> int:
    """Return the rank of the front `name` for a subject in a round; the highest-ranked front is selected.

    Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return int.from_bytes(blake2b(f"{subject} {round_number} {name}".encode(), digest_size=8).digest(), "big")
