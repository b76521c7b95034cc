"""Twisted's log: failures that it caught go to the front's log and are counted."""

from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent
from zope.interface import implementer

from weldbend.front.counters import FrontCounters


@implementer(ILogObserver)
class TwistedLogObserver:
    """Records Twisted's errors as internal errors."""

    def __init__(self, counters: FrontCounters) -> None:
        self.counters = counters

    def __call__(self, event: LogEvent) -> None:
        """Record an event of Twisted's log where it is an error."""
        if event["log_level"] in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            self.counters.record_error(formatEvent(event), failure.getTraceback() if failure else " ")
