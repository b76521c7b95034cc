"""Guards against a second execution of a request that its client retries, after a rejection or by itself.

Caches drop repeats of an idempotency key only for a window after the first execution. A request must not be
rejected if its client may retry it after that, and a front that knows of the first execution must not send
the retry to a cache that does not.
"""

import pytest
from fronts import CACHES, FrontHarness, RouterHarness, change_class, endpoint, process, request_class

from weldbend.routing.events import AttemptResult, LoopLagMeasured, PossibleExecution, RequestReceived
from weldbend.routing.retry_safety import is_retry_safe
from weldbend.routing.settings import DeduplicationScope, Idempotency

ONCE = "ab" * 16


def order_class(**changes):
    return request_class("order", idempotency=Idempotency.DEDUPLICATED, **changes)


@pytest.mark.parametrize(
    ("window", "sent_at", "answer"),
    [
        (1.5, 1.0, "abandoned"),  # the client waits until 3.0 s, the key is known until 2.5 s
        (1.99, 1.0, "abandoned"),
        (2.0, 1.0, "throttled, wait 0.5"),
        (1.5, 1.5, "throttled, wait 0.5"),  # the first cache was unreachable; the key is known until 3.0 s
    ],
)
def test_a_request_that_may_have_run_is_rejected_only_if_its_key_is_known_until_the_client_leaves(
    window, sent_at, answer
):
    """The answer of the attempt does not come, and the client's own timeout ends at 2.2 s."""
    classes = {"order": order_class(deduplication_window=window, deadline_after=2.0)}
    front = RouterHarness(classes=classes, edge_overload_factor=9.0)
    front.request("a", now=1.0, type="order", deadline=2.2)
    if sent_at > 1.0:
        front.end_attempt("a", AttemptResult.UNREACHABLE, now=sent_at)
    front.fire_timer("a", "end", now=2.196)
    assert front.trace[-2 if "cancel" in front.trace[-1] else -1] == f"2.20 a: {answer}"


@pytest.mark.parametrize(
    ("is_retry", "window", "executions", "answer"),
    [
        (False, 1.5, (), "throttled, wait 1.0"),
        (True, 1.5, (), "abandoned"),  # an attempt of another front may have been executed
        (True, 2.0, (), "throttled, wait 1.0"),
        (False, 1.5, (PossibleExecution("z", 0, 0.5),), "abandoned"),
        (False, 2.0, (PossibleExecution("z", 0, 0.5),), "throttled, wait 1.0"),
    ],
)
def test_an_overloaded_front_rejects_a_retry_only_if_another_one_is_safe(
    is_retry, window, executions, answer
):
    classes = {"order": order_class(deduplication_window=window, deadline_after=2.0)}
    front = RouterHarness(classes=classes)
    retry = RequestReceived("a", "k", 0, 3, "order", 0.0, is_retry, 3.0, 0.0, executions)
    front.handle(1.0, LoopLagMeasured(10.0), retry)
    front.assert_trace(f"1.00 a: {answer}")


@pytest.mark.parametrize("idempotency", list(Idempotency))
@pytest.mark.parametrize("scope", list(DeduplicationScope))
def test_without_a_key_known_to_all_caches_a_possible_execution_rules_out_a_rejection(idempotency, scope):
    kind = request_class(idempotency=idempotency, deduplication_scope=scope, deduplication_window=99.0)
    is_known_everywhere = idempotency is Idempotency.DEDUPLICATED and scope is DeduplicationScope.ALL
    execution = PossibleExecution("z", 0, 1.0)
    may_repeat = idempotency is Idempotency.IDEMPOTENT or is_known_everywhere
    assert is_retry_safe(kind, [execution], True, 1.0) is may_repeat
    assert is_retry_safe(kind, [], True, 1.0)


def front_with_orders(window=1.5, deadline=2.0, **options):
    harness = FrontHarness(**options)
    change_class(harness, "order", deduplication_window=window, deadline_after=deadline)
    return harness


def send_order(harness, seqid, wait=1200, **fields):
    """Send an order on a new connection, with the same idempotency key as all others."""
    client = harness.connect_client()
    harness.send(client, process(seqid, **{"class": "order", "once": ONCE, "wait": str(wait)} | fields))
    harness.complete_connects()
    return client


def sent_orders(harness):
    """Return the ids of the requests of all commands that caches received so far."""
    return [int(line.split()[3], 16) for line in harness.trace if " < do " in line]


@pytest.mark.parametrize(
    ("retried_after", "sent"),
    [(1.4, [1, 2]), (1.6, [1])],
    ids=["within the window", "after the window"],
)
@pytest.mark.parametrize("end", ["timeout", "close"])
def test_a_retry_of_an_order_that_may_have_run_is_sent_only_within_the_window(end, retried_after, sent):
    """Its answer is lost; the client comes back by itself, without a mark, on a new connection."""
    harness = front_with_orders()
    client = send_order(harness, 1)
    if end == "close":
        client.transport.loseConnection()
    harness.advance()
    harness.advance(retried_after)
    send_order(harness, 2, wait=300)
    assert sent_orders(harness) == sent
    harness.advance(0.3)
    outcome = [line for line in harness.trace if line.startswith("client 1 <")]
    assert outcome == ["client 1 < 2 abandoned"]


def test_a_retry_is_sent_after_the_window_if_the_earlier_attempt_provably_did_not_run():
    harness = front_with_orders()
    client = send_order(harness, 1)
    attempts = 0
    while client.open_requests:
        harness.answer("o1", 1, "WAIT", number=attempts)
        harness.complete_connects()
        attempts += 1
    assert harness.trace[-1] == "client 0 < 1 throttled {'after': '500'}"
    harness.advance(1.7)
    send_order(harness, 2, wait=300)
    assert sent_orders(harness) == [1] * attempts + [2]


def test_a_retry_of_a_request_that_may_have_run_is_not_sent_to_cells_that_do_not_know_its_key():
    """The earlier attempt was sent to cell 7, which has left the endpoint list."""
    classes = {"order": order_class(deduplication_scope=DeduplicationScope.CELL)}
    caches = (endpoint(1, cell=1), endpoint(2, cell=2), CACHES[-1])
    front = RouterHarness(caches, classes=classes)
    earlier = PossibleExecution("z", 7, 0.9)
    front.handle(1.0, RequestReceived("a", "k", 0, 3, "order", 0.0, True, 7.0, 0.0, (earlier,)))
    front.assert_trace("1.00 a: abandoned")


@pytest.mark.parametrize("limit", ["open_cap", "memory", "shutdown"])
@pytest.mark.parametrize(("window", "answer"), [(1.9, "abandoned"), (2.0, "throttled {'after': '1000'}")])
def test_a_front_without_capacity_rejects_a_retry_only_if_another_one_is_safe(limit, window, answer):
    harness = front_with_orders(window, open_cap=0 if limit == "open_cap" else 100)
    if limit == "memory":
        harness.front.context.memory.limit = 0
    harness.dispatcher.admission.is_rejecting = limit == "shutdown"
    client = harness.connect_client()
    fields = {"class": "order", "once": ONCE, "wait": "1200"}
    harness.send(client, process(1, **fields), process(2, retry="1", **fields))
    harness.assert_trace(f"""
        client 0 < 1 throttled {{'after': '1000'}}
        client 0 < 2 {answer}
    """)


def test_the_history_of_attempts_is_bounded_by_the_time_in_which_clients_retry():
    harness = front_with_orders()
    for number in range(1, 21):
        send_order(harness, number, once=f"{number:032x}")
        harness.advance(0.1)
    history = harness.dispatcher.attempts.history
    assert len(history) == 20
    harness.advance(2.0)  # the first attempt was sent 4.0 s ago, the last 2.1 s
    send_order(harness, 99, once="cd" * 16)
    assert len(history) == 1
