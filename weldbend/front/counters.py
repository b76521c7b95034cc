"""What a front counts of its requests and attempts, and the log of exceptions that were contained."""

import traceback
from collections import Counter

from loguru import logger

MAX_LOGGED_ERRORS = 10  # internal errors logged between two lines of counters


class FrontCounters:
    """Counters by name, as the line of counters shows them.

    Attributes:
        counts: requests, attempts, served, rejected, failed, cancelled, invalid requests, internal errors.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._logged_errors = 0

    def record_error(self, context: object, trace: str | None = None) -> None:
        """Count an internal error and log it with its trace; a flood of them does not fill the log.

        Args:
            context: what was being handled.
            trace: the trace; None for that of the exception being handled.
        """
        self.counts["internal errors"] += 1
        self._logged_errors += 1
        if self._logged_errors <= MAX_LOGGED_ERRORS:
            logger.error("internal error at {:.200}: {}", str(context), trace or traceback.format_exc())

    def reset_error_limit(self) -> None:
        """Log the next errors again."""
        self._logged_errors = 0
