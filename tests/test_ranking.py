"""The ranking of caches for an object: equal at all fronts, by weight, stable, and with few random draws."""

import math
import random
from itertools import islice

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.routing import rendezvous
from weldbend.routing.rendezvous import BUCKETS, Ranking, bucket_numbers

SIZES = (1, 2, 25, 100, 400)  # numbers of caches


def random_weights(size, seed=1):
    """Return the weights of `size` caches by cache number, drawn from four values."""
    rng = random.Random(seed)
    return {rng.getrandbits(32): rng.choice((0.5, 1.0, 2.0, 4.0)) for _ in range(size)}


def ranking_of(weights):
    ranking = Ranking()
    for cache, weight in weights.items():
        ranking.change(cache, weight)
    return ranking


def object_names(count):
    return [f"{n:016x} {n % 4}" for n in range(count)]  # key and group


def first_choices(ranking, count):
    return [next(ranking.ranked(name)) for name in object_names(count)]


def chi_square_excess(counts, expected):
    """Return by how many standard deviations the chi-square of the counts exceeds its mean."""
    degrees_of_freedom = len(expected) - 1
    chi_square = sum((counts.get(key, 0) - mean) ** 2 / mean for key, mean in expected.items())
    return (chi_square - degrees_of_freedom) / math.sqrt(2 * degrees_of_freedom)


def count_by_value(values):
    counts = {}
    for value in values:
        counts[value] = counts.get(value, 0) + 1
    return counts


weight_changes = st.lists(
    st.tuples(st.integers(0, 600), st.sampled_from([None, 0.1, 0.3, 1.0, 7.0])), min_size=1, max_size=60
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(weight_changes)
def test_the_order_does_not_depend_on_earlier_changes(steps):
    """A ranking that was changed step by step equals a new one of the caches that remain."""
    changed, weights = Ranking(), {}
    for cache, weight in steps:
        changed.change(cache, weight)
        weights[cache] = weight
    remaining = {cache: weights[cache] for cache in sorted(weights) if weights[cache]}
    for name in object_names(5):
        order = list(changed.ranked(name))
        assert order == list(ranking_of(remaining).ranked(name))
        assert sorted(order) == sorted(remaining)


@pytest.mark.parametrize("size", SIZES)
def test_the_first_choice_alone_equals_the_first_of_the_whole_order(size):
    ranking = ranking_of(random_weights(size))
    for name in object_names(300):
        assert next(ranking.ranked(name)) == next(ranking.in_order(name, bucket_numbers(name)))


@pytest.mark.parametrize("size", (25, 400))
def test_first_and_second_choices_are_proportional_to_weight(size):
    """As in plain rendezvous hashing, the second choice is proportional to weight among the other caches."""
    weights, count = random_weights(size), 10_000
    ranking, total = ranking_of(weights), sum(weights.values())
    pairs = [tuple(islice(ranking.ranked(name), 2)) for name in object_names(count)]
    expected = {cache: count * weight / total for cache, weight in weights.items()}
    assert abs(chi_square_excess(count_by_value(first for first, _ in pairs), expected)) < 4
    expected_second = {
        cache: sum(expected[first] * weight / (total - weights[first]) for first in weights if first != cache)
        for cache, weight in weights.items()
    }
    assert abs(chi_square_excess(count_by_value(second for _, second in pairs), expected_second)) < 4


def test_second_choices_spread_over_all_other_caches_also_of_a_shared_bucket():
    weights = dict.fromkeys(random_weights(100), 1.0)
    ranking = ranking_of(weights)
    shared = next(list(bucket.weights) for bucket in ranking.buckets.values() if len(bucket.weights) > 2)
    pairs = [tuple(islice(ranking.ranked(name), 2)) for name in object_names(20_000)]
    seconds = count_by_value(second for first, second in pairs if first in shared)
    # One of the bucket's 3 caches is first for 3 of 100 objects; each of the other 99 is second equally
    # often.
    expected = {cache: 3 * len(pairs) / 100 / 99 for cache in weights}
    expected_outside = {cache: mean for cache, mean in expected.items() if cache not in shared}
    assert abs(chi_square_excess(seconds, expected_outside)) < 4
    assert all(seconds.get(cache, 0) < 1.5 * expected[cache] for cache in shared)


@pytest.mark.parametrize("size", (25, 100, 400))
def test_few_objects_move_when_a_cache_joins_or_leaves(size):
    """About twice the cache's share moves: its own objects, and as many between its bucket and the others."""
    weights, count = random_weights(size), 3000
    ranking, total = ranking_of(weights), sum(weights.values())
    before, moved, expected_share = first_choices(ranking, count), 0, 0.0
    for cache in random.Random(3).sample(sorted(weights), 8):
        bucket = next(bucket for bucket in ranking.buckets.values() if cache in bucket.weights)
        siblings = set(bucket.weights)  # all caches of the bucket, the changed one included
        ranking.change(cache, None)
        after = first_choices(ranking, count)
        ranking.change(cache, weights[cache])
        changed = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
        assert all(old in siblings for old, _ in changed), "objects of other buckets must not move"
        moved += len(changed)
        expected_share += count * weights[cache] / total
    assert 0.8 * expected_share < moved < 2.2 * expected_share
    assert first_choices(ranking, count) == before, "a cache that returns is assigned its previous objects"


def test_a_change_of_weight_moves_its_difference_and_little_more():
    """The weight rises from 1 to 4, so the cache's share rises by about 3 / (total + 3) of the objects."""
    weights = random_weights(100)
    ranking, total, count = ranking_of(weights), sum(weights.values()), 8000
    cache = next(cache for cache, weight in weights.items() if weight == 1.0)
    before = first_choices(ranking, count)
    ranking.change(cache, 4.0)
    moved = sum(old != new for old, new in zip(before, first_choices(ranking, count), strict=True))
    assert 0.6 * 3 / (total + 3) * count < moved < 2.4 * 3 / (total + 3) * count


def test_a_choice_draws_random_numbers_for_few_of_many_caches(monkeypatch):
    """Plain rendezvous hashing draws a number for each cache.

    This ranking draws one number for each bucket, all from one hash, and one for each cache of the chosen
    bucket if it has several. Only the latter are counted here.
    """
    draws, original = [], rendezvous.arrival_time
    monkeypatch.setattr(rendezvous, "arrival_time", lambda *key: draws.append(key) or original(*key))
    costs = {}
    for size in (100, 3200):
        ranking = ranking_of(random_weights(size))
        draws.clear()
        first_choices(ranking, 200)
        costs[size] = len(draws) / 200
    # On average a bucket has 100 / 256 or 3200 / 256 caches; heavier buckets are chosen more often.
    assert costs[100] <= 3 and costs[3200] <= 2 * 3200 / BUCKETS


def test_any_weight_allowed_in_an_endpoint_list_is_ranked():
    """Endpoint lists allow any finite weight above 0; sums of the greatest weights are not finite."""
    weights = {1: 1.7e308, 2: 1.7e308, 3: 5e-324, 4: 1.0} | {n: 1.7e308 for n in range(10, 1200)}
    ranking = ranking_of(weights)
    assert sorted(ranking.ranked("k 0")) == sorted(weights) and math.isfinite(ranking.weight())


def test_without_caches_there_is_no_choice():
    ranking = ranking_of({5: 1.0})
    ranking.change(5, None)
    ranking.change(6, None)
    assert list(ranking.ranked("k 0")) == [] and ranking.weight() == 0
