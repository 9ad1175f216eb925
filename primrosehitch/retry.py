"""A retry budget, so that retries never add a storm."""

RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 10.0


class RetryBudget:
    """Retries earned by requests; one may be spent while above one."""

    def __init__(self) -> None:
        self.balance = MAX_BALANCE

    def record_request(self) -> None:
        """Earn a part of a retry by a first try."""
        self.balance = min(MAX_BALANCE, self.balance + RETRIES_PER_REQUEST)

    def try_spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


__all__ = ["RetryBudget"]
