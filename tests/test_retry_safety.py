"""Guards against a second execution of a request that its client retries, after a rejection or by itself.

Caches drop repeats of an idempotency key only for a window after the first execution. A request must not be
rejected if its client may retry it after that, and a front that knows of the first execution must not send
the retry to a cache that does not.
"""

from dataclasses import replace

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


# Retries of requests that another front, or this one before a restart, may have executed: this front does not
# know when. The window is 1.2 s, and clients wait 2.0 s over all their tries.


def front_without_history(**options):
    harness = front_with_orders(window=1.2, deadline=2.0, **options)
    send_order(harness, 99, once="cd" * 16)  # opens the connection to the origin
    harness.answer("o1", 99, "DONE")
    harness.trace.clear()
    return harness


@pytest.mark.parametrize(
    ("wait", "reset_after", "sent"),
    [
        (950, 0.05, [1, 1]),  # the first try was sent 1.05 s ago at most: its key is known for 0.15 s
        (950, 0.2, [1]),
        (1950, 0.2, [1, 1]),  # the first try was sent 0.05 s ago at most
        (500, 0.04, [1, 1]),  # the client itself retries only within the window
        (500, 0.06, [1]),
    ],
)
def test_a_retry_that_another_front_may_have_run_is_sent_again_only_while_its_key_is_surely_known(
    wait, reset_after, sent
):
    """The connection is reset under the attempt at this front, and the router decides on another one."""
    harness = front_without_history()
    send_order(harness, 1, wait=wait, retry="1")
    harness.advance(reset_after)
    harness.caches["o1", 0].transport.loseConnection()
    harness.complete_connects()
    assert sent_orders(harness) == sent


@pytest.mark.parametrize(("window", "is_cancelled"), [(1.3, False), (1.5, True)])
def test_a_late_attempt_is_cancelled_only_if_another_one_may_replace_it(window, is_cancelled):
    """It is suspected for the second time 1.4 s after it was sent; its answer may still come in time."""
    classes = {"order": order_class(deduplication_window=window, deadline_after=2.0)}
    front = RouterHarness(classes=classes, allows_hedging=False)
    front.request("a", now=1.0, type="order", deadline=3.0)
    front.fire_timer("a", now=1.7)
    front.fire_timer("a", now=2.4)
    assert front.trace[1:] == ["2.40 a: cancel attempt 0"] * is_cancelled


@pytest.mark.parametrize("idempotency", [Idempotency.DEDUPLICATED, Idempotency.NON_IDEMPOTENT])
def test_a_silent_connection_takes_no_further_attempts_even_if_the_attempt_on_it_may_not_be_repeated(
    idempotency,
):
    """Without a cancellation, which retires a silent connection, other orders would wait in vain as well."""
    harness = front_without_history()
    change_class(harness, "order", idempotency=idempotency)
    send_order(harness, 1, wait=1900, kb="1")
    harness.advance(0.75)
    harness.advance(0.75)
    send_order(harness, 2, once="ef" * 16)
    assert [line.split(" queue=")[0] for line in harness.trace] == [
        "o1/0 < do 0000000000000001",
        "o1/1 < do 0000000000000002",
    ]


def test_a_retry_that_waited_for_a_connection_is_sent_only_while_its_key_is_surely_known():
    """No connection is open when the retry arrives, and the connect takes longer than the key is known."""
    harness = front_with_orders(window=1.2, deadline=2.0)
    client = harness.connect_client()
    fields = {"class": "order", "once": ONCE, "wait": "500", "retry": "1"}
    harness.send(client, process(1, **fields))
    harness.advance(0.06)
    harness.complete_connects()
    assert harness.trace == ["client 0 < 1 abandoned"]


def test_a_retry_at_the_front_that_made_the_first_attempt_uses_the_whole_window():
    """The same client waits so shortly that its retry alone would not show when the first try was sent."""
    harness = front_with_orders(window=1.2, deadline=2.0)
    send_order(harness, 1, wait=300)
    harness.advance(0.4)
    send_order(harness, 2, wait=500, retry="1")
    harness.advance(0.3)
    harness.caches["o1", 1].transport.loseConnection()
    harness.complete_connects()
    assert sent_orders(harness) == [1, 2, 2]


@pytest.mark.parametrize(("marks_retry", "sent"), [(True, [1, 1]), (False, [1])])
def test_without_marks_every_request_counts_as_a_possible_retry(marks_retry, sent):
    """A first try that the client gives up after half of its time looks like a retry."""
    harness = front_without_history()
    site = harness.front.site
    settings = replace(site.settings, marks_retries=marks_retry)
    harness.dispatcher.apply_site(replace(site, settings=settings))
    send_order(harness, 1, wait=1000)
    harness.advance(0.3)
    harness.caches["o1", 0].transport.loseConnection()
    harness.complete_connects()
    assert sent_orders(harness) == sent


@pytest.mark.parametrize(
    ("fronts", "now", "line"),
    [
        (2, 9.0, "9.20 a: abandoned"),
        (1, 1.0, "1.20 a: abandoned"),  # the front before its restart may have made the first attempt
        (1, 9.0, "9.20 a: 1 lookup rank 0"),
    ],
)
def test_the_only_front_of_a_site_knows_all_attempts_since_its_start(fronts, now, line):
    classes = {"order": order_class(deduplication_window=1.2, deadline_after=2.0)}
    front = RouterHarness((endpoint(1),), classes=classes, fronts=fronts, edge_overload_factor=9.0)
    front.request("a", now=now, type="order", deadline=now + 0.95, repeat=True)
    front.end_attempt("a", AttemptResult.RESET, now=now + 0.2)
    assert front.trace[-1] == line


def test_a_retry_is_not_rejected_for_a_late_first_attempt_if_another_front_may_have_made_one():
    """The window of the known attempt lasts until the client leaves, that of an unknown one may not."""
    kind = order_class(deduplication_window=1.5, deadline_after=2.0)
    execution = PossibleExecution("z", 0, 1.5)
    assert is_retry_safe(kind, [execution], False, 1.0)
    assert not is_retry_safe(kind, [execution], True, 1.0)
