"""Counters of requests and attempts, and the log of unexpected exceptions."""

import traceback
from collections import Counter

from loguru import logger

MAX_LOGGED_ERRORS = 10  # internal errors logged between two counters lines


class FrontCounters:
    """Counters of one front.

    Attributes:
        counts: numbers of requests, attempts, served, rejected, failed and cancelled requests, invalid
            requests, internal errors and others, by the names that the counters line shows.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._logged_errors = 0

    def record_error(self, context: object, trace: str | None = None) -> None:
        """Count an internal error, and log it with its traceback.

        At most `MAX_LOGGED_ERRORS` are logged until `reset_error_limit` is called.

        Args:
            context: object that was being handled, or the name of the task.
            trace: traceback; None for that of the exception being handled.
        """
        self.counts["internal errors"] += 1
        self._logged_errors += 1
        if self._logged_errors <= MAX_LOGGED_ERRORS:
            logger.error("internal error at {:.200}: {}", str(context), trace or traceback.format_exc())

    def reset_error_limit(self) -> None:
        """Reset the number of logged errors, so that the next ones are logged again."""
        self._logged_errors = 0
