"""Guards against blaming caches for a pause of this process.

While the system has suspended a process, its connects go on in the kernel. When it resumes, timers run before
sockets are polled, so a connect that is complete by then must not count as timed out.
"""

from fronts import FrontHarness, process

from weldbend.routing.events import AttemptEnded

PAUSE = 0.6  # seconds; longer than an attempt waits for a connection (0.4 s)


def test_a_connect_that_was_completed_during_a_pause_of_the_process_is_no_evidence_against_its_cache():
    harness = FrontHarness()
    results = []
    post = harness.dispatcher.queue.post
    harness.dispatcher.queue.post = lambda event: (
        results.append(event.result.name) if isinstance(event, AttemptEnded) else None,
        post(event),
    )
    harness.send(harness.connect_client(), process(1))
    assert len(harness.pending_connects()) == 1
    harness.reactor.advance(PAUSE)  # the timers that became due during the pause
    harness.complete_connects()  # the poll that follows
    assert "UNREACHABLE" not in results
