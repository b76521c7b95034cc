"""Guards against requests that stay in memory after they have ended.

A request that is part of a reference cycle is freed only when the garbage collector finds the cycle, after
thousands of further requests. With bodies of 48,000 bytes, they took a front over its memory limit.
"""

import gc
import tracemalloc
from collections import Counter

import pytest
from fronts import FrontHarness, give_up, process

from weldbend.front.open_requests import OpenRequest
from weldbend.routing.requests import Request

REQUESTS = 20
BODY_SIZE = 40_000  # bytes


def send_orders(harness, client):
    """Send writes with a body, which are passed on to the origin."""
    for n in range(1, REQUESTS + 1):
        order = {"class": "order", "once": "ab", "key": f"{n:016x}"}
        client.dataReceived(process(n, b"x" * BODY_SIZE, **order))
    harness.advance()


def answer_all(harness):
    for (uid, number), connection in list(harness.caches.items()):
        for name in list(connection.in_flight):
            harness.answer(uid, int(name, 16), "DONE", body=b"ok", number=number)


def serve_after_a_connect(harness, client):
    send_orders(harness, client)
    harness.complete_connects()
    answer_all(harness)


def serve_on_a_connection(harness, client):
    harness.send(client, process(99))
    harness.complete_connects()
    answer_all(harness)
    serve_after_a_connect(harness, client)


def refuse_connects(harness, client):
    send_orders(harness, client)
    while harness.pending_connects():
        harness.fail_connects()


def cancel_before_sending(harness, client):
    send_orders(harness, client)
    harness.send(client, *(give_up(n) for n in range(1, REQUESTS + 1)))


def cancel_in_flight(harness, client):
    send_orders(harness, client)
    harness.complete_connects()
    harness.send(client, *(give_up(n) for n in range(1, REQUESTS + 1)))


def close_in_flight(harness, client):
    send_orders(harness, client)
    harness.complete_connects()
    client.transport.loseConnection()
    harness.advance()


def expire_in_flight(harness, client):
    send_orders(harness, client)
    harness.complete_connects()
    harness.advance(6.0)


def alive():
    """Return the number of requests in memory, by type."""
    return Counter(type(item).__module__ for item in gc.get_objects() if type(item) in (OpenRequest, Request))


@pytest.fixture
def only_reference_counting():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize(
    "end_requests",
    [
        serve_after_a_connect,
        serve_on_a_connection,
        refuse_connects,
        cancel_before_sending,
        cancel_in_flight,
        close_in_flight,
        expire_in_flight,
    ],
)
@pytest.mark.usefixtures("only_reference_counting")
def test_an_ended_request_is_freed_without_the_garbage_collector(end_requests):
    harness = FrontHarness()
    before = alive()
    end_requests(harness, harness.connect_client())
    assert harness.counts["requests"] >= REQUESTS and not harness.dispatcher.requests.by_id
    assert alive() == before


def test_the_bodies_of_closed_requests_are_freed_while_attempts_are_in_flight():
    """If the site does not allow cancelling, the requests of a client that left remain until they end."""
    harness = FrontHarness(cancelling=False)
    client = harness.connect_client()
    tracemalloc.start()
    send_orders(harness, client)
    harness.complete_connects()
    held = tracemalloc.get_traced_memory()[0]
    client.transport.loseConnection()
    harness.advance()
    freed = held - tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(harness.dispatcher.requests) == REQUESTS and freed > 0.9 * REQUESTS * BODY_SIZE
