"""Credit that grows with time and is spent by sending work."""


class TurnCredit:
    """Credit in seconds of work, for a cache whose budget per overload window is below one attempt.

    Attributes:
        amount: the credit; None until `grow` has been called.
        grown_at: time of the last call of `grow`.
        rate: growth per second at that time.
    """

    def __init__(self) -> None:
        self.amount: float | None = None
        self.grown_at = 0.0
        self.rate = 0.0

    def grow(self, now: float, rate: float, first: float) -> float:
        """Add the credit since the last call, at the mean of the old and new rate; begin with `first`."""
        if self.amount is None:
            self.amount = first
        else:
            self.amount += (self.rate + rate) / 2 * (now - self.grown_at)
        self.grown_at = now
        self.rate = rate
        return self.amount

    def spend(self, work: float) -> None:
        """Subtract work that was sent, if `grow` has been called before."""
        if self.amount is not None:
            self.amount -= work
