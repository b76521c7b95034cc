"""Log of a run: its events in order of time."""

from weldbend.testbed.simulation.event_queue import EventQueue


class RunLog:
    """Log lines, each prefixed with its virtual time."""

    def __init__(self, events: EventQueue) -> None:
        self.events = events
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line with the current virtual time."""
        self.lines.append(f"{self.events.now:.6f} {text}")
