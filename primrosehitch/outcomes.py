"""Tagged outcomes: what a caller is told when an answer is our own.

``not-run`` says that no byte of the request reached a back end,
``unknown`` that it may have run, ``incomplete`` that it ran and the
answer could not be delivered whole.
"""

import dataclasses
from typing import Literal
from typing import TypedDict

Tag = Literal["not-run", "unknown", "incomplete"]


class RefusalBody(TypedDict):
    """The documented error shape of every HTTP answer of our own."""

    outcome: str
    reason: str
    message: str
    step: str
    retry_after_s: float | None
    request_id: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An answer that is not the back end's.

    Attributes:
        outcome: one of the three tags.
        reason: a short stable identifier, e.g. ``no-capacity``.
        message: a sentence for a person.
        step: where in the path it arose.
        status: HTTP status code.
        retry_after_s: seconds until another try may succeed, or None.
    """

    outcome: Tag
    reason: str
    message: str
    step: str
    status: int
    retry_after_s: float | None = None

    def body(self, request_id: str) -> dict[str, RefusalBody]:
        """Return the JSON body that carries this refusal."""
        return {
            "error": RefusalBody(
                outcome=self.outcome,
                reason=self.reason,
                message=self.message,
                step=self.step,
                retry_after_s=self.retry_after_s,
                request_id=request_id,
            )
        }


def not_run(
    reason: str,
    message: str,
    step: str,
    status: int = 503,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return a refusal of a request of which nothing was sent."""
    return Refusal("not-run", reason, message, step, status, retry_after_s)


__all__ = ["Refusal", "RefusalBody", "Tag", "not_run"]
