"""The work for a request, an answer or a change of one cache does not grow with the number of caches."""

import sys
from dataclasses import replace

import pytest
from fronts import SITE, request_class
from hypothesis import given, settings
from hypothesis import strategies as st

from weldbend.routing.actions import SendAttempt
from weldbend.routing.events import (
    AttemptEnded,
    AttemptResult,
    ConnectionOpened,
    Endpoint,
    EndpointsListed,
    EndpointState,
    FillHint,
    ListScope,
    PeerKnowledge,
    RequestReceived,
    SettingsChanged,
)
from weldbend.routing.messages import Outcome
from weldbend.routing.placement import MAX_CHOICES
from weldbend.routing.router import Router
from weldbend.routing.settings import Role

FEW_CACHES, MANY_CACHES = 100, 3200
# The roles of ten caches with successive numbers: most caches of a site are edges.
ROLES = (Role.EDGE,) * 7 + (Role.PARENT,) * 2 + (Role.ORIGIN,)


def endpoint(number, weight=10.0, **changes):
    """Return an entry of the endpoint list; by default, its role follows from its number (`ROLES`)."""
    role = changes.pop("role", ROLES[number % 10])
    zone = changes.pop("zone", "z" if role is Role.EDGE else "h")
    return Endpoint(
        number, weight, zone, 0, role, changes.get("state", EndpointState.READY), changes.get("started")
    )


class Site:
    """A router with a number of caches whose combined capacity does not depend on that number."""

    def __init__(self, caches, **site):
        self.router = Router(7, replace(SITE, classes={"photo": request_class()}, **site))
        self.now = 1.0
        self.endpoints = [endpoint(n, 10.0 * FEW_CACHES / caches) for n in range(caches)]
        self.handle(EndpointsListed(ListScope.COMPLETE, tuple(self.endpoints)))

    def handle(self, *events):
        return self.router.handle(self.now, events)

    def play_request(self, number, results):
        """Play a request whose attempts end with these results, one after the other."""
        self.now += 0.02
        actions = self.handle(
            RequestReceived(f"r{number}", f"k{number}", 0, 3, "photo", 0.0, False, self.now + 6)
        )
        for attempt, result in enumerate(results):
            if not any(isinstance(action, SendAttempt) for action in actions):
                break
            is_served = result is AttemptResult.SERVED
            ended = AttemptEnded(f"r{number}", attempt, result, 0.1, is_served, FillHint.NONE, 0.1, None)
            actions = self.handle(ended)

    def count_lines(self, call):
        """Return the number of lines of the routing package that a call executes, with repetitions."""
        line_count = 0

        def trace(frame, event, argument):
            nonlocal line_count
            if "routing" not in frame.f_code.co_filename:
                return None
            line_count += 1
            return trace

        before = sys.gettrace()
        sys.settrace(trace)
        try:
            call()
        finally:
            sys.settrace(before)
        return line_count

    def set_limits(self, limit):
        for cache in self.router.caches.values():
            cache.concurrency.limit = limit


MISS, SERVED, ERROR, RESET = (
    AttemptResult.MISS,
    AttemptResult.SERVED,
    AttemptResult.ERROR,
    AttemptResult.RESET,
)
# The results of the successive attempts for one request, by the outcome of the request.
RESULTS_BY_OUTCOME = {
    "served": (SERVED,),
    "filled": (MISS, MISS, SERVED),
    "failed": (ERROR, ERROR, ERROR),
    "broken": (RESET, RESET, MISS, RESET, SERVED),
}


def lines_per_request(caches, results, **options):
    """Return the number of lines executed per request, after 30 requests with the same results."""
    site = Site(caches, **options)
    for number in range(30):
        site.play_request(number, results)
    return site.count_lines(lambda: [site.play_request(100 + number, results) for number in range(10)]) / 10


@pytest.mark.parametrize("weighted", (True, False))
@pytest.mark.parametrize("outcome", RESULTS_BY_OUTCOME)
def test_the_work_of_a_request_does_not_grow_with_the_number_of_caches(outcome, weighted):
    small, large = (
        lines_per_request(size, RESULTS_BY_OUTCOME[outcome], weighted=weighted)
        for size in (FEW_CACHES, MANY_CACHES)
    )
    assert large < 2.5 * small, (small, large)


def test_the_work_of_a_request_stays_bounded_where_every_cache_is_over_its_limit():
    costs = []
    for size in (FEW_CACHES, MANY_CACHES):
        site = Site(size)
        site.set_limits(0.0)  # concurrency limits of 0, so no cache may get an attempt
        costs.append(site.count_lines(lambda site=site: site.play_request(1, ())))
    assert costs[1] < 2.5 * costs[0], costs


def test_the_work_of_a_request_stays_bounded_where_no_cache_is_trusted():
    """At the smaller number of caches, 400, each role has more caches than one request may try (32)."""
    costs = []
    for size in (4 * FEW_CACHES, MANY_CACHES):
        site = Site(size)
        for cache in site.router.caches.values():
            for _ in range(20):  # remembered failures, after which a cache is hardly ever trusted
                cache.handle(Outcome.FAILURE)
        costs.append(site.count_lines(lambda site=site: site.play_request(1, (MISS, MISS, SERVED))))
    assert costs[1] < 2.5 * costs[0], costs


@pytest.mark.parametrize("change", ("drains", "peers report removal", "restarts", "changes weight"))
def test_a_change_of_one_cache_costs_the_same_among_many(change):
    costs = []
    for size in (FEW_CACHES, MANY_CACHES):
        site = Site(size)
        number = 10  # an edge, by `ROLES`
        event = {
            "drains": EndpointsListed(ListScope.CHANGES, (endpoint(number, state=EndpointState.DRAINING),)),
            "peers report removal": PeerKnowledge(number, EndpointState.REMOVED, None),
            "restarts": EndpointsListed(ListScope.CHANGES, (endpoint(number, started=0.5),)),
            "changes weight": EndpointsListed(ListScope.CHANGES, (endpoint(number, weight=77.0),)),
        }[change]
        costs.append(site.count_lines(lambda site=site, event=event: site.handle(event)))
    assert costs[1] < 2 * costs[0], costs


def test_a_request_tries_a_bounded_number_of_caches_in_order_of_rank():
    """Only one edge has free capacity: the first in the ranking, the last one tried, or the next."""
    for index, is_found in ((0, True), (MAX_CHOICES - 1, True), (MAX_CHOICES, False)):
        site = Site(400)
        edges = list(site.router.context.ready[Role.EDGE].ranked("k1 0"))  # the object of request 1
        site.set_limits(0.0)
        edges[index].concurrency.limit = 9.0
        site.play_request(1, ())
        request = site.router.requests.get("r1")
        sent_to = [attempt.cache for attempt in request.attempts] if request else []
        assert sent_to == ([edges[index]] if is_found else [])


STATES = st.sampled_from(EndpointState)
NUMBERS = st.integers(0, 29)
WAITS = st.sampled_from((0.0, 0.05, 0.1, 0.3, 1.0, 2.9, 7.0, 30.0))
# Each step is a kind of change (see `play_step`) and its details; start times are relative to the current
# time.
STEPS = st.one_of(
    st.tuples(
        st.just("list"), NUMBERS, STATES, st.sampled_from((1.0, 3.0)), st.sampled_from((None, -2.0, 5.0))
    ),
    st.tuples(st.just("complete"), NUMBERS),
    st.tuples(
        st.just("peers"), NUMBERS, st.sampled_from((None, *EndpointState)), st.sampled_from((None, 0.0))
    ),
    st.tuples(st.just("outcome"), NUMBERS, st.sampled_from(Outcome)),
    st.tuples(st.just("break"), NUMBERS, st.booleans()),
    st.tuples(st.just("open"), NUMBERS),
    st.tuples(st.just("zone"), st.sampled_from(("z", "y"))),
    st.tuples(st.just("wait"), WAITS),
)


def play_step(site, step):
    """Apply one change drawn from `STEPS`."""
    kind, *details = step
    caches = site.router.caches
    cache = caches.get(details[0])
    match kind:
        case "list":
            number, state, weight, started = details
            start_time = None if started is None else site.now + started
            record = endpoint(number, weight, state=state, started=start_time)
            site.handle(EndpointsListed(ListScope.CHANGES, (record,)))
        case "complete":
            # The new list lacks every seventh cache.
            records = tuple(endpoint(n) for n in range(30) if n % 7 != details[0] % 7)
            site.handle(EndpointsListed(ListScope.COMPLETE, records))
        case "peers":
            number, state, started = details
            site.handle(PeerKnowledge(number, state, None if started is None else site.now))
        case "outcome" if cache:
            cache.handle(details[1])
        case "break" if cache:
            cache.breaks.record_break(site.now, details[1])
            cache.update_warming()
        case "open":
            site.handle(ConnectionOpened(details[0]))
        case "zone":
            changed_settings = replace(
                site.router.context.settings, zone=details[0], hub="h" if details[0] == "z" else "g"
            )
            site.handle(SettingsChanged(changed_settings))
        case "wait":
            site.now += details[0]
            site.handle()


def check_group_sums(site):
    """Check that the sums that a group of caches maintains incrementally equal sums over all its caches."""
    context, now = site.router.context, site.now
    for role, group in context.ready.items():
        is_local = role is not Role.EDGE or context.settings.zone == "z"
        ready = [
            candidate
            for candidate in site.router.caches.values()
            if candidate.role is role and candidate.state is EndpointState.READY and is_local
        ]
        assert set(group) == set(ready)
        assert group.weights == {cache.id: cache.weight for cache in ready}
        assert group.successes.total(now) == sum(cache.successes.total(now) for cache in ready)
        assert group.failures.total(now) == sum(cache.failures.total(now) for cache in ready)
        limits = [cache.concurrency for cache in ready]
        assert group.timely.total(now) == sum(limit.timely.total(now) for limit in limits)
        assert group.late.total(now) == sum(limit.late.total(now) for limit in limits)
        most_late = group.most_late()
        most_late_total = max((limit.late.total(now) for limit in limits), default=0.0)
        assert (most_late.late.total(now) if most_late else 0.0) == most_late_total
        assert group.warming.count(now) == sum(not cache.is_warm() for cache in ready)
    parents = [cache for cache in context.ready[Role.PARENT] if cache.zone == context.settings.hub]
    assert set(context.hub_parents) == set(parents)
    assert all(cache.state is not EndpointState.REMOVED for cache in site.router.caches.values())


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=40))
def test_incremental_group_sums_equal_sums_over_all_caches(steps):
    site = Site(30)
    for step in steps:
        play_step(site, step)
        check_group_sums(site)
