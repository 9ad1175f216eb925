"""Error answers that the gateway itself gives, and their outcome tags.

``not-run`` means that no byte of the request reached a back end,
``unknown`` that the request may have run, and ``incomplete`` that it ran
but its answer could not be delivered completely.
"""

import dataclasses
from typing import Literal
from typing import TypedDict

Tag = Literal["not-run", "unknown", "incomplete"]


class RefusalBody(TypedDict):
    """The JSON error object of every error answer of the gateway."""

    outcome: str
    reason: str
    message: str
    step: str
    retry_after_s: float | None
    request_id: str


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An error answer of the gateway, not of a back end.

    Attributes:
        outcome: one of the three tags.
        reason: a short stable identifier, e.g. ``no-capacity``.
        message: a human-readable description.
        step: the step of request handling that refused or failed.
        status: the HTTP status code.
        retry_after_s: seconds until a retry may succeed, or None.
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
    """Return the refusal of a request that was not sent to a back end."""
    return Refusal("not-run", reason, message, step, status, retry_after_s)


__all__ = ["Refusal", "RefusalBody", "Tag", "not_run"]
