"""Drawing one of several fronts alike at all fronts: highest random weight (rendezvous) hashing."""

from hashlib import blake2b


def rank(subject: str, round_number: int, name: str) -> int:
    """Return the rank of the front `name` for a subject in a round: the highest of all fronts is drawn.

    Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    return int.from_bytes(blake2b(f"{subject} {round_number} {name}".encode(), digest_size=8).digest(), "big")
