"""Exceptions of this package, with the failed step and the peer."""

from typing import Any


class PrimrosehitchError(Exception):
    """Base class of the errors of this package.

    Args:
        text: a description of the failure.
        step: the operation that failed, e.g. ``log.append``.
        peer: the other party (instance, endpoint, file), if any.
    """

    def __init__(self, text: str, step: str = "", peer: str = ""):
        self.text = text
        self.step = step
        self.peer = peer
        where = "".join(f" [{k} {v}]" for k, v in self._tags() if v)
        super().__init__(text + where)

    def _tags(self):
        return (("step", self.step), ("peer", self.peer))


class InvariantError(PrimrosehitchError):
    """A condition that must always hold does not."""


class LogDamagedError(PrimrosehitchError):
    """The log on disk is damaged before its last frame."""


class LogFullError(PrimrosehitchError):
    """The disk of the data folder is full."""


class ForeignFolderError(PrimrosehitchError):
    """The data folder belongs to another instance or cluster."""


class SettingsError(PrimrosehitchError):
    """A settings file or a declaration is invalid.

    Args:
        path: the location in the document, e.g. ``$.peers[0].address``.
    """

    def __init__(self, text: str, step: str, peer: str, path: str = "$"):
        self.path = path
        super().__init__(f"{path}: {text}", step, peer)


class MessageError(PrimrosehitchError):
    """A message holds a value that its schema cannot carry.

    Args:
        kind: the name of the message's type.
    """

    def __init__(self, text: str, kind: str):
        self.kind = kind
        super().__init__(f"{kind}: {text}", "encode message")


class LinkError(PrimrosehitchError):
    """A link to a peer could not be opened or was lost."""


class TransferError(PrimrosehitchError):
    """A route table did not come as it was sent."""


class ProposalError(PrimrosehitchError):
    """A proposal is not known to be applied.

    Args:
        maybe_applied: whether it may have been applied or may still be.
    """

    def __init__(self, text: str, peer: str = "", maybe_applied: bool = True):
        self.maybe_applied = maybe_applied
        super().__init__(text, "proposal", peer)


class RequestError(PrimrosehitchError):
    """An HTTP call to the system was refused.

    Args:
        status: the HTTP status code.
        body: the decoded error body.
    """

    def __init__(self, status: int, body: Any, peer: str):
        self.status = status
        self.body = body
        super().__init__(f"HTTP {status}: {body}", "request", peer)


def require(condition: bool, text: str, step: str) -> None:
    """Raise ``InvariantError`` unless the condition holds.

    Args:
        condition: the condition that must hold.
        text: the invariant's name and details.
        step: the operation that checks it.

    Raises:
        InvariantError: the condition is false.
    """
    if not condition:
        raise InvariantError(text, step)


__all__ = [
    "ForeignFolderError",
    "InvariantError",
    "LinkError",
    "LogDamagedError",
    "LogFullError",
    "MessageError",
    "PrimrosehitchError",
    "ProposalError",
    "RequestError",
    "SettingsError",
    "TransferError",
    "require",
]
