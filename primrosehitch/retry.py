"""Retry budget of one gateway, which prevents retry storms.

The budget is a token bucket that requests fill and retries drain.
"""

# One retry per ten requests over time.
RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Token bucket of retries.

    Attributes:
        balance: retries available; a retry needs at least one.
    """

    def __init__(self) -> None:
        self.balance = MAX_BALANCE

    def record_request(self) -> None:
        """Add a request's fraction of a retry to the balance."""
        self.balance = min(MAX_BALANCE, self.balance + RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take one retry from the balance.

        Returns:
            Whether a retry was available.
        """
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


__all__ = ["RetryBudget"]
