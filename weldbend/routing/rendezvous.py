"""Weighted rendezvous hashing: the same ranking of caches for an object at every front."""

import math
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from weldbend.routing.cache_state import Cache
    from weldbend.routing.requests import Request

DIGEST_BYTES = 7
DIGEST_RANGE = 2 ** (8 * DIGEST_BYTES)


def hash_rank(object_name: str, cache: int, weight: float) -> float:
    """The rank of a cache for an object: the highest one is chosen, in proportion to the weights.

    The logarithm of a number drawn by a hash from (0, 1], over the weight (Schindelhauer and Schomaker 2005).
    """
    digest = blake2b(f"{object_name} {cache}".encode(), digest_size=DIGEST_BYTES).digest()
    return math.log((int.from_bytes(digest) + 1) / (DIGEST_RANGE + 1)) / weight


def rank_by_hash(request: "Request", caches: "list[Cache]") -> "list[Cache]":
    """The caches that are not ruled out for a request, the first choice first."""
    left = [cache for cache in caches if cache not in request.ruled_out]
    ranks, is_weighted = request.hash_ranks, request.context.settings.weighted
    for cache in left:
        if cache not in ranks:
            ranks[cache] = hash_rank(request.object_name, cache.id, cache.weight if is_weighted else 1.0)
    return sorted(left, key=ranks.__getitem__, reverse=True)
