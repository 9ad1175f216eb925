"""A retry budget, so that retries never add a storm."""

EARNED_PER_REQUEST = 0.1
BUDGET_MAX = 10.0


class RetryBudget:
    """Retries earned by requests; one may be spent while above one."""

    def __init__(self) -> None:
        self.balance = BUDGET_MAX

    def note_request(self) -> None:
        """Earn a part of a retry by a first try."""
        self.balance = min(BUDGET_MAX, self.balance + EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Take one retry; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


__all__ = ["RetryBudget"]
