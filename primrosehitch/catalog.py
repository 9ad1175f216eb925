"""The configuration in force at one gateway, with its keys.

Rows come in versions that only rise. Withdrawn keys are a set that only
grows, merged by union, and beat any row.
"""

import json
from typing import Any
from typing import Iterable
from typing import NamedTuple

import xxhash

from primrosehitch import errors
from primrosehitch import messages

DEFAULT_OBJECTIVE = 0.95


class ServiceClass(NamedTuple):
    """A class of work: tier 0 is the highest; times in ms."""

    name: str
    tier: int
    weight: float
    floor: float
    max_wait_ms: int
    first_token_ms: int
    token_gap_ms: int
    objective: float
    protected: bool


class Grant(NamedTuple):
    """What a customer may use of a class; 0 means no limit."""

    customer: str
    class_name: str
    weight: float
    requests_per_s: float
    concurrency: int
    tokens_per_min: float


class Route(NamedTuple):
    """A path to a plain service."""

    name: str
    service: str
    repeatable: bool
    class_name: str
    open: bool
    timeout_ms: int


class Pool(NamedTuple):
    """How many endpoints of a kind the planner keeps, and their price."""

    name: str
    kind: str
    minimum: int
    maximum: int
    target_use: float
    steady_price: float
    cheap_price: float


class Key(NamedTuple):
    """A caller's key, known by its hash."""

    key_hash: str
    key_id: str
    customer: str


def _class(key: str, v: Any) -> ServiceClass:
    return ServiceClass(
        key,
        v["tier"],
        v.get("weight", 1.0),
        v.get("floor", 0.0),
        v["max_wait_ms"],
        v["first_token_ms"],
        v.get("token_gap_ms", 0),
        v.get("objective", DEFAULT_OBJECTIVE),
        v.get("protected", False),
    )


def _grant(key: str, v: Any) -> Grant:
    return Grant(
        v["customer"],
        v["class"],
        v.get("weight", 1.0),
        v.get("requests_per_s", 0.0),
        v.get("concurrency", 0),
        v.get("tokens_per_min", 0.0),
    )


def _route(key: str, v: Any) -> Route:
    return Route(
        key,
        v["service"],
        v["repeatable"],
        v["class"],
        v.get("open", False),
        v.get("timeout_ms", 30_000),
    )


def _pool(key: str, v: Any) -> Pool:
    return Pool(
        key,
        v["kind"],
        v["minimum"],
        v.get("maximum", 2 * v["minimum"] + 1),
        v.get("target_use", 0.6),
        v.get("steady_price", 1.0),
        v.get("cheap_price", 0.3),
    )


def _key(key: str, v: Any) -> Key:
    return Key(key, v["id"], v["customer"])


_PARSERS = {
    "class": _class,
    "grant": _grant,
    "route": _route,
    "pool": _pool,
    "key": _key,
}


def newest_rows(
    rows: dict[tuple[str, str], messages.Row], version: int
) -> list[messages.Row]:
    """Return rows changed after a version, in order of version.

    Args:
        rows: all rows, in the order in which they last changed; only
            the newer ones are looked at.
        version: the version already held.
    """
    found = []
    for row in reversed(rows.values()):
        if row.version <= version:
            break
        found.append(row)
    found.reverse()
    return found


class Catalog:
    """Rows in force and withdrawn keys."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], messages.Row] = {}
        self.items: dict[str, dict[str, Any]] = {
            table: {} for table in (*_PARSERS, "customer", "model")
        }
        self.withdrawals: dict[str, messages.Withdrawal] = {}
        self.withdrawals_digest = 0
        self.default_class: dict[str, str] = {}

    def update(self, rows: Iterable[messages.Row], version: int) -> bool:
        """Put a newer version in force.

        Args:
            rows: all rows changed since the version in force.
            version: the version they lead to.

        Returns:
            Whether anything changed; an older version changes nothing.
        """
        if version <= self.version:
            return False
        for row in rows:
            known = self.rows.get((row.table, row.key))
            if known is not None and known.version > row.version:
                raise errors.InvariantError(
                    f"row {row.table}/{row.key} would revert",
                    "catalog.update",
                )
            self._put(row)
        self.version = version
        return True

    def _put(self, row: messages.Row) -> None:
        self.rows.pop((row.table, row.key), None)
        self.rows[row.table, row.key] = row
        table = self.items.get(row.table)
        if table is None:
            return
        if row.deleted:
            table.pop(row.key, None)
        else:
            value = json.loads(row.value)
            parser = _PARSERS.get(row.table)
            table[row.key] = parser(row.key, value) if parser else value
        if row.table == "grant":
            self._note_grant(row)

    def _note_grant(self, row: messages.Row) -> None:
        customer, name = row.key.split("/", 1)
        if not row.deleted:
            self.default_class.setdefault(customer, name)
        elif self.default_class.get(customer) == name:
            del self.default_class[customer]
            for grant in self.items["grant"].values():
                if grant.customer == customer:
                    self.default_class[customer] = grant.class_name
                    break

    def rows_since(self, version: int) -> list[messages.Row]:
        """Return rows changed after a version, deletions included."""
        return newest_rows(self.rows, version)

    def merge_withdrawals(
        self, withdrawals: Iterable[messages.Withdrawal]
    ) -> list[str]:
        """Take in withdrawn keys and return the hashes that are new."""
        fresh = []
        for withdrawal in withdrawals:
            key_hash = withdrawal.key_hash
            if key_hash not in self.withdrawals:
                self.withdrawals[key_hash] = withdrawal
                self.withdrawals_digest ^= xxhash.xxh64_intdigest(
                    key_hash.encode()
                )
                fresh.append(key_hash)
        return fresh

    def find_key(self, key_hash: str) -> Key | None:
        """Return a key that works, or None."""
        if key_hash in self.withdrawals:
            return None
        key = self.items["key"].get(key_hash)
        if key is None or key.customer not in self.items["customer"]:
            return None
        return key

    def find_grant(self, customer: str, class_name: str) -> Grant | None:
        """Return a customer's grant; its first one for an empty name."""
        name = class_name or self.default_class.get(customer, "")
        return self.items["grant"].get(f"{customer}/{name}")


__all__ = [
    "Catalog",
    "Grant",
    "Key",
    "Pool",
    "Route",
    "ServiceClass",
    "newest_rows",
]
