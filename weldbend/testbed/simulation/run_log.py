"""The log of a run: what happened, in the order of time."""

from weldbend.testbed.simulation.event_queue import EventQueue


class RunLog:
    """Lines with the virtual time before each."""

    def __init__(self, events: EventQueue) -> None:
        self.events = events
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line at the present time."""
        self.lines.append(f"{self.events.now:.6f} {text}")
