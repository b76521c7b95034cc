"""Observer of Twisted's log that logs and counts the exceptions caught by Twisted."""

from twisted.logger import ILogObserver, LogEvent, LogLevel, formatEvent
from zope.interface import implementer

from weldbend.front.counters import FrontCounters


@implementer(ILogObserver)
class TwistedLogObserver:
    """Log observer that records Twisted's errors as internal errors."""

    def __init__(self, counters: FrontCounters) -> None:
        self.counters = counters

    def __call__(self, event: LogEvent) -> None:
        """Record an event of Twisted's log if it is an error."""
        if event["log_level"] in (LogLevel.error, LogLevel.critical):
            failure = event.get("log_failure")
            self.counters.record_error(formatEvent(event), failure.getTraceback() if failure else " ")
