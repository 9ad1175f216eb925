"""The configuration in force at one gateway and its withdrawn keys.

Versions of the configuration only rise. The set of withdrawn keys only
grows and is merged by union, so instances may exchange it in any order; a
withdrawn key is invalid whatever the rows say.
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
    """A class of service: tier 0 is the highest, times are in ms."""

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
    """A customer's limits within a class; 0 means no limit."""

    customer: str
    class_name: str
    weight: float
    requests_per_s: float
    concurrency: int
    tokens_per_min: float


class Route(NamedTuple):
    """A route to a plain HTTP service, with its timeout in ms."""

    name: str
    service: str
    repeatable: bool
    class_name: str
    open: bool
    timeout_ms: int


class Pool(NamedTuple):
    """The number, target utilization and prices of endpoints of a kind."""

    name: str
    kind: str
    minimum: int
    maximum: int
    target_use: float
    steady_price: float
    cheap_price: float


class Key(NamedTuple):
    """An API key of a customer, identified by its hash."""

    key_hash: str
    key_id: str
    customer: str


def _parse_class(key: str, spec: Any) -> ServiceClass:
    return ServiceClass(
        key,
        spec["tier"],
        spec.get("weight", 1.0),
        spec.get("floor", 0.0),
        spec["max_wait_ms"],
        spec["first_token_ms"],
        spec.get("token_gap_ms", 0),
        spec.get("objective", DEFAULT_OBJECTIVE),
        spec.get("protected", False),
    )


def _parse_grant(key: str, spec: Any) -> Grant:
    return Grant(
        spec["customer"],
        spec["class"],
        spec.get("weight", 1.0),
        spec.get("requests_per_s", 0.0),
        spec.get("concurrency", 0),
        spec.get("tokens_per_min", 0.0),
    )


def _parse_route(key: str, spec: Any) -> Route:
    return Route(
        key,
        spec["service"],
        spec["repeatable"],
        spec["class"],
        spec.get("open", False),
        spec.get("timeout_ms", 30_000),
    )


def _parse_pool(key: str, spec: Any) -> Pool:
    return Pool(
        key,
        spec["kind"],
        spec["minimum"],
        spec.get("maximum", 2 * spec["minimum"] + 1),
        spec.get("target_use", 0.6),
        spec.get("steady_price", 1.0),
        spec.get("cheap_price", 0.3),
    )


def _parse_key(key: str, spec: Any) -> Key:
    return Key(key, spec["id"], spec["customer"])


_PARSERS = {
    "class": _parse_class,
    "grant": _parse_grant,
    "route": _parse_route,
    "pool": _parse_pool,
    "key": _parse_key,
}


def rows_newer_than(
    rows: dict[tuple[str, str], messages.Row], version: int
) -> list[messages.Row]:
    """Return the rows changed after a version, in order of version.

    Args:
        rows: all rows in the order in which they last changed, so that
            only the newer ones are visited.
        version: the version that the requester already has.
    """
    newer = []
    for row in reversed(rows.values()):
        if row.version <= version:
            break
        newer.append(row)
    newer.reverse()
    return newer


class Catalog:
    """The rows in force, parsed by table, and the withdrawn keys."""

    def __init__(self) -> None:
        self.version = 0
        self.rows: dict[tuple[str, str], messages.Row] = {}
        self.items: dict[str, dict[str, Any]] = {
            table: {} for table in (*_PARSERS, "customer", "model")
        }
        self.withdrawals: dict[str, messages.Withdrawal] = {}
        self.withdrawals_digest = 0
        self.default_class_names: dict[str, str] = {}

    def update(self, rows: Iterable[messages.Row], version: int) -> bool:
        """Put a newer version in force.

        Args:
            rows: all rows changed since the version in force.
            version: the version that results from them.

        Returns:
            Whether anything changed; a version that is not newer is
            ignored.

        Raises:
            InvariantError: A row is older than the one in force.
        """
        if version <= self.version:
            return False
        for row in rows:
            current = self.rows.get((row.table, row.key))
            if current is not None and current.version > row.version:
                raise errors.InvariantError(
                    f"row {row.table}/{row.key} would revert to an older"
                    " version",
                    "catalog.update",
                )
            self._store_row(row)
        self.version = version
        return True

    def _store_row(self, row: messages.Row) -> None:
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
            self._update_default_class(row)

    def _update_default_class(self, row: messages.Row) -> None:
        customer, name = row.key.split("/", 1)
        if not row.deleted:
            self.default_class_names.setdefault(customer, name)
        elif self.default_class_names.get(customer) == name:
            del self.default_class_names[customer]
            for grant in self.items["grant"].values():
                if grant.customer == customer:
                    self.default_class_names[customer] = grant.class_name
                    break

    def rows_since(self, version: int) -> list[messages.Row]:
        """Return the rows changed after a version, deletions included."""
        return rows_newer_than(self.rows, version)

    def merge_withdrawals(
        self, withdrawals: Iterable[messages.Withdrawal]
    ) -> list[str]:
        """Add withdrawn keys and return the hashes of the new ones."""
        new_hashes = []
        for withdrawal in withdrawals:
            key_hash = withdrawal.key_hash
            if key_hash not in self.withdrawals:
                self.withdrawals[key_hash] = withdrawal
                self.withdrawals_digest ^= xxhash.xxh64_intdigest(
                    key_hash.encode()
                )
                new_hashes.append(key_hash)
        return new_hashes

    def find_key(self, key_hash: str) -> Key | None:
        """Return the key with a hash, or None if it is not valid.

        A key is valid unless it is withdrawn or its customer is deleted.
        """
        if key_hash in self.withdrawals:
            return None
        key = self.items["key"].get(key_hash)
        if key is None or key.customer not in self.items["customer"]:
            return None
        return key

    def find_grant(self, customer: str, class_name: str) -> Grant | None:
        """Return a customer's grant for a class, or None.

        Args:
            customer: the customer.
            class_name: the class; empty for the customer's default class,
                which is that of its first grant.
        """
        name = class_name or self.default_class_names.get(customer, "")
        return self.items["grant"].get(f"{customer}/{name}")


__all__ = [
    "Catalog",
    "Grant",
    "Key",
    "Pool",
    "Route",
    "ServiceClass",
    "rows_newer_than",
]
