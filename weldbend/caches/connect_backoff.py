"""How long connects to one cache wait while this machine cannot make any. Pure: time is handed in.

The waits double up to a bound, and each is drawn from its upper half. The draw depends on the address and the
moment alone, so a virtual run repeats exactly, and fronts that share a machine do not retry in step.
"""

import math
import random

MIN_DELAY = 0.005  # seconds before the first retry
MAX_DELAY = 0.04  # seconds; a tenth of the time for which a request waits for a connection, or so


class ConnectBackoff:
    """The faults of this machine that came in a row, and the retry that is due.

    Attributes:
        is_retry_scheduled: whether a retry is due later, and no connect is to be begun before.
        first_fault_at: when the first fault in a row came (seconds of the front's clock).
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_retry_scheduled = False
        self.first_fault_at = -math.inf
        self.consecutive_faults = 0

    def record_fault(self, now: float) -> float | None:
        """Count a fault; the seconds until the retry that it needs, None where one is due already."""
        if not self.consecutive_faults:
            self.first_fault_at = now
        if self.is_retry_scheduled:
            return None
        self.is_retry_scheduled = True
        max_delay: float = min(MIN_DELAY * 2**self.consecutive_faults, MAX_DELAY)
        self.consecutive_faults += 1
        return max_delay * (1 + random.Random(f"{self.address} {now}").random()) / 2

    def clear(self) -> None:
        """Begin anew: this machine could make a connection, or learned of the other end that it cannot."""
        self.consecutive_faults = 0
