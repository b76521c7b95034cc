"""Credit that grows with time and is spent by what is sent. It decides nothing."""


class TurnCredit:
    """Seconds of work that may be put to something whose budget is below one attempt."""

    def __init__(self) -> None:
        self.amount: float | None = None
        self.grown_at = 0.0
        self.rate = 0.0

    def grow(self, now: float, rate: float, first: float) -> float:
        """Add what came in since the last time, at the mean of the rate then and now; begin with `first`."""
        if self.amount is None:
            self.amount = first
        else:
            self.amount += (self.rate + rate) / 2 * (now - self.grown_at)
        self.grown_at = now
        self.rate = rate
        return self.amount

    def spend(self, work: float) -> None:
        """Take what was sent off, if any credit was counted yet."""
        if self.amount is not None:
            self.amount -= work
