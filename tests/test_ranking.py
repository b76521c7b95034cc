"""The ranking of caches for an object: alike at every front, by weight, stable, and with few draws."""

import math
import random
from itertools import islice

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.routing import rendezvous
from weldbend.routing.rendezvous import BUCKETS, Ranking, bucket_numbers

SIZES = (1, 2, 25, 100, 400)


def fleet(size, seed=1):
    """Weights of so many caches, of four sizes, by number."""
    chance = random.Random(seed)
    return {chance.getrandbits(32): chance.choice((0.5, 1.0, 2.0, 4.0)) for _ in range(size)}


def ranking_of(weights):
    ranking = Ranking()
    for cache, weight in weights.items():
        ranking.change(cache, weight)
    return ranking


def names(count):
    return [f"{n:016x} {n % 4}" for n in range(count)]


def first_choices(ranking, count):
    return [next(ranking.ranked(name)) for name in names(count)]


def excess(counts, expected):
    """How many standard deviations a chi-square lies above its mean."""
    freedom = len(expected) - 1
    square = sum((counts.get(key, 0) - mean) ** 2 / mean for key, mean in expected.items())
    return (square - freedom) / math.sqrt(2 * freedom)


def counted(keys):
    counts = {}
    for key in keys:
        counts[key] = counts.get(key, 0) + 1
    return counts


changes = st.lists(
    st.tuples(st.integers(0, 600), st.sampled_from([None, 0.1, 0.3, 1.0, 7.0])), min_size=1, max_size=60
)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(changes)
def test_the_order_is_the_same_whatever_changes_led_there(steps):
    changed, held = Ranking(), {}
    for cache, weight in steps:
        changed.change(cache, weight)
        held[cache] = weight
    left = {cache: held[cache] for cache in sorted(held) if held[cache]}
    for name in names(5):
        order = list(changed.ranked(name))
        assert order == list(ranking_of(left).ranked(name))
        assert sorted(order) == sorted(left)


@pytest.mark.parametrize("size", SIZES)
def test_the_first_choice_found_alone_begins_the_whole_order(size):
    ranking = ranking_of(fleet(size))
    for name in names(300):
        assert next(ranking.ranked(name)) == next(ranking.in_order(name, bucket_numbers(name)))


@pytest.mark.parametrize("size", (25, 400))
def test_first_and_second_choices_go_by_weight(size):
    """As in plain rendezvous hashing, the second goes by weight among those that are left."""
    weights, count = fleet(size), 10_000
    ranking, whole = ranking_of(weights), sum(weights.values())
    pairs = [tuple(islice(ranking.ranked(name), 2)) for name in names(count)]
    expected = {cache: count * weight / whole for cache, weight in weights.items()}
    assert abs(excess(counted(first for first, _ in pairs), expected)) < 4
    after = {
        cache: sum(expected[first] * weight / (whole - weights[first]) for first in weights if first != cache)
        for cache, weight in weights.items()
    }
    assert abs(excess(counted(second for _, second in pairs), after)) < 4


def test_what_a_cache_cannot_take_spreads_over_all_others_also_where_it_shares_its_bucket():
    weights = dict.fromkeys(fleet(100), 1.0)
    ranking = ranking_of(weights)
    shared = next(list(bucket.weights) for bucket in ranking.buckets.values() if len(bucket.weights) > 2)
    pairs = [tuple(islice(ranking.ranked(name), 2)) for name in names(20_000)]
    seconds = counted(second for first, second in pairs if first in shared)
    expected = {cache: 3 * len(pairs) / 100 / 99 for cache in weights}
    alone = {cache: mean for cache, mean in expected.items() if cache not in shared}
    assert abs(excess(seconds, alone)) < 4
    assert all(seconds.get(cache, 0) < 1.5 * expected[cache] for cache in shared)


@pytest.mark.parametrize("size", (25, 100, 400))
def test_few_objects_move_when_a_cache_joins_or_leaves(size):
    """At most those of its share twice: its own, and as many between its bucket and the others."""
    weights, count = fleet(size), 3000
    ranking, whole = ranking_of(weights), sum(weights.values())
    before, moved, own = first_choices(ranking, count), 0, 0.0
    for cache in random.Random(3).sample(sorted(weights), 8):
        bucket = next(bucket for bucket in ranking.buckets.values() if cache in bucket.weights)
        siblings = set(bucket.weights)
        ranking.change(cache, None)
        after = first_choices(ranking, count)
        ranking.change(cache, weights[cache])
        moves = [(old, new) for old, new in zip(before, after, strict=True) if old != new]
        assert all(old in siblings for old, _ in moves), "what lies in other buckets stays"
        moved += len(moves)
        own += count * weights[cache] / whole
    assert 0.8 * own < moved < 2.2 * own
    assert first_choices(ranking, count) == before, "a cache that returns gets back what it had"


def test_a_change_of_weight_moves_its_difference_and_little_more():
    weights = fleet(100)
    ranking, whole, count = ranking_of(weights), sum(weights.values()), 8000
    cache = next(cache for cache, weight in weights.items() if weight == 1.0)
    before = first_choices(ranking, count)
    ranking.change(cache, 4.0)
    moved = sum(old != new for old, new in zip(before, first_choices(ranking, count), strict=True))
    assert 0.6 * 3 / (whole + 3) * count < moved < 2.4 * 3 / (whole + 3) * count


def test_a_choice_draws_for_few_caches_of_many(monkeypatch):
    """Plain rendezvous hashing draws for each; here for those of a bucket, and one number for each bucket."""
    drawn, plain = [], rendezvous.arrival_time
    monkeypatch.setattr(rendezvous, "arrival_time", lambda *key: drawn.append(key) or plain(*key))
    costs = {}
    for size in (100, 3200):
        ranking = ranking_of(fleet(size))
        drawn.clear()
        first_choices(ranking, 200)
        costs[size] = len(drawn) / 200
    assert costs[100] <= 3 and costs[3200] <= 2 * 3200 / BUCKETS


def test_no_caches_no_choice():
    ranking = ranking_of({5: 1.0})
    ranking.change(5, None)
    ranking.change(6, None)
    assert list(ranking.ranked("k 0")) == [] and ranking.weight() == 0
