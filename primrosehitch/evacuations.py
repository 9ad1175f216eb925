"""Evacuated failure domains: what is in force, and what an order changes.

Does no I/O. The replicated state holds a row of table ``evacuation`` for
each failure domain whose evacuation was ordered. Edges and control instances
keep the newest set that they learned of and never apply an older one.
"""

import enum
from typing import Iterable
from typing import Mapping
from typing import NamedTuple

from primrosehitch import errors
from primrosehitch import events
from primrosehitch import messages
from primrosehitch import metrics

TABLE = "evacuation"
# Bounds the status that each edge gets several times a second.
MAX_DOMAINS = 64
MAX_NAME_BYTES = 128
# The rows of ended evacuations stay in the state, which older releases apply
# as well; this bounds them.
MAX_ROWS = 1024
ROW_VALUE = "{}"


class Verdict(enum.Enum):
    """What an order means for the rows.

    Attributes:
        CHANGES: it changes a row.
        IN_FORCE: the rows say already what it asks for.
        TOO_MANY: too many domains are evacuated, or were.
    """

    CHANGES = "changes"
    IN_FORCE = "in-force"
    TOO_MANY = "too-many"


class Decision(NamedTuple):
    """What an order changes in a version of the rows.

    Attributes:
        verdict: what it means for the rows.
        version: the version on which that was decided.
        rows: the rows that it changes, if any.
    """

    verdict: Verdict
    version: int
    rows: tuple[messages.Row, ...] = ()

    def edit(self, edit_id: str, operator: str) -> messages.Edit:
        """Return the edit of the order, which applies to no other version.

        One without rows raises the version all the same.
        """
        return messages.Edit(edit_id, self.version, operator, self.rows)


class Change(NamedTuple):
    """The failure domains whose evacuation started or ended."""

    started: frozenset[str]
    ended: frozenset[str]


NO_CHANGE = Change(frozenset(), frozenset())


class Evacuations:
    """The evacuated failure domains that one instance knows.

    Attributes:
        version: version of the replicated rows that names them, 0 before
            the first one.
        domains: the evacuated failure domains.
    """

    def __init__(self) -> None:
        self.version = 0
        self.domains: frozenset[str] = frozenset()

    def apply(self, version: int, domains: Iterable[str]) -> Change:
        """Apply a set of evacuated domains unless it is not newer.

        Args:
            version: version of the rows; one of 0 says nothing.
            domains: all failure domains that are evacuated in it.

        Returns:
            What changed.
        """
        if version <= self.version:
            return NO_CHANGE
        earlier, self.domains = self.domains, frozenset(domains)
        self.version = version
        return Change(self.domains - earlier, earlier - self.domains)

    def listed(self) -> tuple[str, ...]:
        """Return the evacuated domains in a stable order."""
        return tuple(sorted(self.domains))


def domains_in(rows: Iterable[messages.Row]) -> frozenset[str]:
    """Return the failure domains that are evacuated according to rows."""
    return frozenset(
        row.key for row in rows if row.table == TABLE and not row.deleted
    )


def decide(
    rows: Mapping[tuple[str, str], messages.Row],
    version: int,
    domain: str,
    evacuated: bool,
) -> Decision:
    """Return what an order changes.

    Args:
        rows: all rows of the replicated state by table and key.
        version: the version of the state.
        domain: the failure domain.
        evacuated: whether the order starts or ends its evacuation.
    """
    own = [row for row in rows.values() if row.table == TABLE]
    in_force = domains_in(own)
    if (domain in in_force) == evacuated:
        return Decision(Verdict.IN_FORCE, version)
    if evacuated and (
        len(in_force) >= MAX_DOMAINS
        or (len(own) >= MAX_ROWS and (TABLE, domain) not in rows)
    ):
        return Decision(Verdict.TOO_MANY, version)
    row = messages.Row(TABLE, domain, ROW_VALUE, deleted=not evacuated)
    return Decision(Verdict.CHANGES, version, (row,))


def report(change: Change, evacuations: Evacuations) -> bool:
    """Log a change and publish the number of evacuated domains.

    Returns:
        Whether anything changed.
    """
    for domain in sorted(change.started):
        events.emit(
            events.EVACUATION_STARTED,
            domain=domain,
            version=evacuations.version,
        )
    for domain in sorted(change.ended):
        events.emit(
            events.EVACUATION_ENDED, domain=domain, version=evacuations.version
        )
    metrics.EVACUATED_DOMAINS.set(len(evacuations.domains))
    return change != NO_CHANGE


def require_domain_name(name: str) -> None:
    """Check that a text can be the name of a failure domain.

    Raises:
        DomainNameError: it is empty, too long or has characters that are
            not printable.
    """
    if not name:
        raise DomainNameError("the name of the failure domain is empty")
    if len(name.encode()) > MAX_NAME_BYTES:
        raise DomainNameError(
            f"the name of a failure domain has at most {MAX_NAME_BYTES} bytes"
        )
    if not name.isprintable():
        raise DomainNameError(
            "the name of a failure domain has only printable characters"
        )


class DomainNameError(errors.PrimrosehitchError):
    """A text cannot be the name of a failure domain."""

    def __init__(self, text: str):
        super().__init__(text, "evacuation")


__all__ = [
    "Change",
    "Decision",
    "DomainNameError",
    "Evacuations",
    "MAX_DOMAINS",
    "MAX_NAME_BYTES",
    "MAX_ROWS",
    "NO_CHANGE",
    "TABLE",
    "Verdict",
    "decide",
    "domains_in",
    "report",
    "require_domain_name",
]
