"""Whatever comes in whatever order: each download has one answer in time, and nothing is left behind."""

import math
import random
import re

import pytest
from fronts import TARGETS, FrontHarness, give_up, listing, process, target

WORDS = ("DONE", "KEEP", "LACK", "WAIT", "BROKE", "PAST")
SLACK = 0.058  # what the rules allow past an expiry
STEP = 0.3  # the longest standstill of the front


class Walk:
    """Random steps of clients, caches, machines, the bus and the clock, from one seed."""

    def __init__(self, seed):
        self.chance, self.harness = random.Random(seed), FrontHarness(max_streams=4)
        self.owed = {}  # number of a download -> client, and the moment after which an answer is late
        self.left, self.answered, self.closed = set(), set(), set()
        self.number = self.offset = 1
        self.members = [self.harness.connect_client() for _ in range(3)]

    def now(self):
        return self.harness.reactor.seconds()

    def links(self):
        return [link for link in self.harness.caches.values() if not link.is_lost]

    def ask(self):
        self.number += 1
        wait = self.chance.choice((0.3, 1.0, 3.0))
        client = self.chance.randrange(3)
        kind = {"class": "order", "once": f"a{self.number}"} if self.chance.random() < 0.3 else {}
        key = f"{self.chance.randrange(9):016x}"
        until = math.inf if self.members[client].writer.is_paused else self.now() + wait + SLACK
        self.owed[self.number] = client, until
        self.harness.send(self.members[client], process(self.number, key=key, wait=str(wait * 1000), **kind))

    def give_up(self):
        if self.owed:
            number = self.chance.choice(list(self.owed))
            self.left.add(number)
            self.harness.send(self.members[self.owed.pop(number)[0]], give_up(number))

    def answer(self):
        busy = [link for link in self.links() if link.in_flight]
        if busy:
            link = self.chance.choice(busy)
            name = self.chance.choice(list(link.in_flight))
            word = self.chance.choice(WORDS)
            body = b"x" * self.chance.choice((0, 5, 90_000)) if word == "DONE" else b""
            link.dataReceived(b"%b %b - %d\r\n%b\r\n" % (name.encode(), word.encode(), len(body), body))
            self.harness.advance()

    def machine(self):
        if self.links() and self.chance.random() < 0.5:
            self.chance.choice(self.links()).transport.loseConnection()
        self.harness.fail_connects() if self.chance.random() < 0.2 else self.harness.complete_connects()

    def reader(self):
        """One that reads nothing for a while can be told nothing, nor be heard."""
        at = self.chance.randrange(3)
        if self.chance.random() < 0.3:
            self.members[at].pauseProducing()
            self.owed |= {n: (at, math.inf) for n, (client, _) in self.owed.items() if client == at}
        else:
            self.members[at].resumeProducing()

    def bus(self):
        self.offset += 1
        if self.chance.random() < 0.4:
            ban = {"tag": 3} if self.chance.random() < 0.2 else {"url": f"{self.chance.randrange(9):016x}"}
            self.harness.deliver_event(
                {"offset": self.offset, "ban": ban | {"ts": self.harness.unix() * 1000}}
            )
            return
        held = self.chance.choice(TARGETS)
        boot = self.chance.choice((0, self.harness.unix() * 1000))
        state = self.chance.choice(("up", "up", "draining", "removed"))
        port = int(held["endpoint"].partition(":")[2])
        changed = target(held["uid"], held["model"], held["az"], port, state, boot)
        self.closed = self.closed - {held["uid"]} | ({held["uid"]} if state != "up" else set())
        self.harness.deliver_event(listing(self.offset, changed))

    def clock(self):
        self.harness.advance(self.chance.choice((0.001, 0.02, STEP)))

    def check(self):
        """Every answer is the first and in time, no pull goes where the list says no, and no two are out."""
        self.harness.record_output()
        for line in self.harness.trace:
            if line.startswith("client"):
                number = int(line.split()[3])
                assert number not in self.answered, f"a second answer: {line}"
                self.answered.add(number)
                late = number in self.owed and self.now() > self.owed.pop(number)[1] + STEP
                assert not late, f"late: {line}"
            elif " < do " in line:
                source = re.search(r"from=(\w+)", line)
                assert not {line.partition("/")[0], source and source[1]} & self.closed, line
        out = [name for link in self.links() for name in link.in_flight]
        assert len(out) == len(set(out)), "two pulls of one download are out"
        self.harness.trace.clear()


@pytest.mark.parametrize("seed", range(12))
def test_one_answer_each_whatever_comes(seed):
    walk = Walk(seed)
    steps = [walk.ask] * 6 + [walk.answer] * 8 + [walk.machine] * 2 + [walk.clock] * 4
    steps += [walk.give_up, walk.reader, walk.bus]
    for _ in range(500):
        walk.chance.choice(steps)()
        walk.check()
    for client in walk.members:
        client.resumeProducing()
    for _ in range(40):
        walk.harness.advance(0.1)
        for client in walk.members:
            client.resumeProducing()
        walk.check()
    door = walk.harness.front
    assert not walk.owed, walk.owed
    assert (
        not door.dispatcher.requests
        and not walk.harness.counts["internal errors"]
        and door.gateway.unsent_bytes == 0
    )
    assert not door.dispatcher.router.requests and len(walk.answered) > 50
