"""Random sequences of events: each request gets one answer in time, and no state remains at the end."""

import math
import random
import re

import pytest
from fronts import TARGETS, FrontHarness, give_up, listing, process, target

ANSWER_STATUSES = ("DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST")
DEADLINE_SLACK = 0.058  # seconds after its deadline at which an answer is still in time by the rules
MAX_STEP = 0.3  # seconds; the longest step of the clock, during which the front cannot answer


class RandomWalk:
    """Random steps of clients, caches, connections, the event bus and the clock, drawn from one seed.

    Attributes:
        expected_answers: client index and latest answer time of each open request, by request number; a time
            of infinity if the client has paused its reading.
        cancelled: numbers of the requests that their clients gave up.
        answered: numbers of the requests that have got an answer.
        unavailable: names of the caches that the endpoint list shows as draining or removed.
        offset: offset of the last event published on the bus.
    """

    def __init__(self, seed):
        self.rng, self.harness = random.Random(seed), FrontHarness(max_streams=4)
        self.expected_answers = {}
        self.cancelled, self.answered, self.unavailable = set(), set(), set()
        self.number = self.offset = 1
        self.clients = [self.harness.connect_client() for _ in range(3)]

    def now(self):
        return self.harness.reactor.seconds()

    def connections(self):
        return [connection for connection in self.harness.caches.values() if not connection.is_lost]

    def request(self):
        self.number += 1
        wait = self.rng.choice((0.3, 1.0, 3.0))
        client = self.rng.randrange(3)
        fields = {"class": "order", "once": f"a{self.number}"} if self.rng.random() < 0.3 else {}
        key = f"{self.rng.randrange(9):016x}"
        latest = math.inf if self.clients[client].writer.is_paused else self.now() + wait + DEADLINE_SLACK
        self.expected_answers[self.number] = client, latest
        self.harness.send(
            self.clients[client], process(self.number, key=key, wait=str(wait * 1000), **fields)
        )

    def give_up(self):
        if self.expected_answers:
            number = self.rng.choice(list(self.expected_answers))
            self.cancelled.add(number)
            self.harness.send(self.clients[self.expected_answers.pop(number)[0]], give_up(number))

    def answer(self):
        busy = [connection for connection in self.connections() if connection.in_flight]
        if busy:
            connection = self.rng.choice(busy)
            name = self.rng.choice(list(connection.in_flight))
            status = self.rng.choice(ANSWER_STATUSES)
            body = b"x" * self.rng.choice((0, 5, 90_000)) if status == "DONE" else b""
            connection.dataReceived(
                b"%b %b - %d\r\n%b\r\n" % (name.encode(), status.encode(), len(body), body)
            )
            self.harness.advance()

    def change_connections(self):
        if self.connections() and self.rng.random() < 0.5:
            self.rng.choice(self.connections()).transport.loseConnection()
        self.harness.fail_connects() if self.rng.random() < 0.2 else self.harness.complete_connects()

    def change_reading(self):
        """Pause or resume the reading of one client; while it is paused, its answers have no deadline."""
        index = self.rng.randrange(3)
        if self.rng.random() < 0.3:
            self.clients[index].pauseProducing()
            self.expected_answers |= {
                request_id: (index, math.inf)
                for request_id, (client, _) in self.expected_answers.items()
                if client == index
            }
        else:
            self.clients[index].resumeProducing()

    def publish_event(self):
        self.offset += 1
        if self.rng.random() < 0.4:
            purge = {"tag": 3} if self.rng.random() < 0.2 else {"url": f"{self.rng.randrange(9):016x}"}
            self.harness.deliver_event(
                {"offset": self.offset, "ban": purge | {"ts": self.harness.unix() * 1000}}
            )
            return
        record = self.rng.choice(TARGETS)
        started = self.rng.choice((0, self.harness.unix() * 1000))
        state = self.rng.choice(("up", "up", "draining", "removed"))
        port = int(record["endpoint"].partition(":")[2])
        changed = target(record["uid"], record["model"], record["az"], port, state, started)
        self.unavailable = self.unavailable - {record["uid"]} | ({record["uid"]} if state != "up" else set())
        self.harness.deliver_event(listing(self.offset, changed))

    def advance_clock(self):
        self.harness.advance(self.rng.choice((0.001, 0.02, MAX_STEP)))

    def check_answers(self):
        """Check the trace since the last step.

        Each answer is the first for its request and in time, no attempt uses a cache that is listed as
        unavailable, and no request has two attempts in flight.
        """
        self.harness.record_output()
        for line in self.harness.trace:
            if line.startswith("client"):
                number = int(line.split()[3])
                assert number not in self.answered, f"a second answer: {line}"
                self.answered.add(number)
                late = (
                    number in self.expected_answers
                    and self.now() > self.expected_answers.pop(number)[1] + MAX_STEP
                )
                assert not late, f"late: {line}"
            elif " < do " in line:
                source = re.search(r"from=(\w+)", line)
                assert not {line.partition("/")[0], source and source[1]} & self.unavailable, line
        in_flight = [name for connection in self.connections() for name in connection.in_flight]
        assert len(in_flight) == len(set(in_flight)), "two attempts for one request are in flight"
        self.harness.trace.clear()


@pytest.mark.parametrize("seed", range(12))
def test_each_request_gets_one_answer_under_random_events(seed):
    walk = RandomWalk(seed)
    steps = [walk.request] * 6 + [walk.answer] * 8 + [walk.change_connections] * 2 + [walk.advance_clock] * 4
    steps += [walk.give_up, walk.change_reading, walk.publish_event]
    # More than the latest deadline, 3 s, passes after the last random step, so that no request stays open.
    for _ in range(500):
        walk.rng.choice(steps)()
        walk.check_answers()
    for client in walk.clients:
        client.resumeProducing()
    for _ in range(40):
        walk.harness.advance(0.1)
        for client in walk.clients:
            client.resumeProducing()
        walk.check_answers()
    front = walk.harness.front
    assert not walk.expected_answers, walk.expected_answers
    assert (
        not front.dispatcher.requests
        and not walk.harness.counts["internal errors"]
        and front.gateway.unsent_bytes == 0
    )
    assert not front.dispatcher.router.requests and len(walk.answered) > 50
