"""Backoff between connects to one cache while faults of this machine prevent them. Reads no clock.

The longest delay doubles with each fault up to `MAX_DELAY`, and the delay used is drawn at random between
that value and half of it. The draw depends only on the cache's address and the time. A simulated run is
therefore reproducible, and fronts that share a machine do not retry in lockstep, since their faults occur at
different times.
"""

import math
import random

MIN_DELAY = 0.005  # longest delay in seconds before the first retry
MAX_DELAY = 0.04  # seconds; about a tenth of the time for which an attempt waits for a connection


class ConnectBackoff:
    """Count of consecutive local faults, and the state of the scheduled retry.

    Attributes:
        is_retry_scheduled: whether a retry is scheduled; no connect may be started before that retry.
        first_fault_at: time of the first of the consecutive faults (seconds of the front's clock).
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_retry_scheduled = False
        self.first_fault_at = -math.inf
        self.consecutive_faults = 0

    def record_fault(self, now: float) -> float | None:
        """Count a fault, and return the delay of the retry to schedule; None if one is already scheduled."""
        if not self.consecutive_faults:
            self.first_fault_at = now
        if self.is_retry_scheduled:
            return None
        self.is_retry_scheduled = True
        max_delay: float = min(MIN_DELAY * 2**self.consecutive_faults, MAX_DELAY)
        self.consecutive_faults += 1
        return max_delay * (1 + random.Random(f"{self.address} {now}").random()) / 2

    def clear(self) -> None:
        """Reset the backoff: a connect succeeded, or failed because of the peer."""
        self.consecutive_faults = 0
