"""Clients that cancel requests, or close or reset connections, some right after a burst of requests."""

from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # for annotations only: the workload imports this module
    from weldbend.testbed.simulation.workload import ClientConnection, Workload

CANCELLED_FRACTION = 0.04  # fraction of requests to cancel, unless answered before
EARLY_CANCELLATION_FRACTION = 0.5  # fraction of cancellations within SHORT_DELAY
SHORT_DELAY = 0.02  # seconds; maximum delay of early cancellations and of closes
LONG_DELAY = 1.5  # seconds; maximum delay of other cancellations
REQUESTS_PER_CLOSE = 40.0  # mean number of requests between two closes
BURST_FRACTION = 0.3  # fraction of closes right after a burst
BURST_SIZE = 6  # requests
RESET_FRACTION = 0.5  # fraction of closes that reset the connection
EARLIEST_CLOSE = 0.6  # seconds after the start of the run


class LeavingClients:
    """Draws cancellations and closes from a random generator of its own."""

    def __init__(self, workload: "Workload", seed: int) -> None:
        self.workload = workload
        self.random = Random(f"{seed} clients that leave")

    def schedule(self) -> None:
        """Schedule all closes of a run."""
        settings = self.workload.context.settings
        if not settings.rate:
            return
        at = EARLIEST_CLOSE
        while (at := at + self.random.expovariate(settings.rate / REQUESTS_PER_CLOSE)) < settings.seconds:
            self.workload.events.schedule(at, self._disconnect_client)

    def draw_cancellation(self) -> float | None:
        """Draw the seconds after which a request is cancelled; None if it is not."""
        if self.random.random() >= CANCELLED_FRACTION:
            return None
        return self.random.uniform(
            0.0, SHORT_DELAY if self.random.random() < EARLY_CANCELLATION_FRACTION else LONG_DELAY
        )

    def _disconnect_client(self) -> None:
        ready = self.workload.ready_connections()
        if not ready:
            return
        connection = self.random.choice(ready)
        if self.random.random() < BURST_FRACTION:
            for _ in range(BURST_SIZE):
                self._send_one(connection)
        is_reset = self.random.random() < RESET_FRACTION
        delay = self.random.uniform(0.0, SHORT_DELAY)
        self.workload.machine.callLater(delay, connection.disconnect, is_reset)

    def _send_one(self, connection: "ClientConnection") -> None:
        rank = self.random.randint(1, self.workload.context.settings.objects)
        if connection.is_ready():
            connection.send(self.workload.request_fields("photo", rank))
