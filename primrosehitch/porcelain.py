"""Operators' actions as plain functions over HTTP.

Each takes a ``Target``: a gateway's address and an operator's key. Any
gateway will do.
"""

import json
import pathlib
import time
from typing import Any
from typing import NamedTuple
import uuid

import httpcore

from primrosehitch import burn as burn_module
from primrosehitch import catalog as catalog_module
from primrosehitch import declaration as declaration_module
from primrosehitch import errors
from primrosehitch import jsonc

REQUEST_TIMEOUT_S = 15.0


class Target(NamedTuple):
    """A gateway's ``ip:port`` and an operator's key."""

    address: str
    key: str


def request(target: Target, method: str, path: str, value: Any = None) -> Any:
    """Return the JSON answer to a call.

    Raises:
        RequestError: the status is not 2xx.
        LinkError: the gateway cannot be reached.
    """
    body = b"" if value is None else json.dumps(value).encode()
    timeouts = dict.fromkeys(
        ("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S
    )
    with httpcore.ConnectionPool() as pool:
        try:
            response = pool.request(
                method,
                f"http://{target.address}{path}",
                headers={
                    "authorization": f"Bearer {target.key}",
                    "content-type": "application/json",
                    "content-length": str(len(body)),
                },
                content=body,
                extensions={"timeout": timeouts},
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as exc:
            text = f"{type(exc).__name__} {exc}"
            raise errors.LinkError(text, "request", target.address) from exc
    try:
        answer = json.loads(response.content)
    except ValueError as exc:
        text = f"HTTP {response.status} without JSON"
        raise errors.LinkError(text, "request", target.address) from exc
    if response.status >= 300:
        raise errors.RequestError(response.status, answer, target.address)
    return answer


def init(target: Target, force: bool = False) -> Any:
    """Start a new cluster at a replica."""
    return request(target, "POST", "/admin/init", {"force": force})


def status(target: Target) -> Any:
    """Return what an instance knows of itself and the others."""
    return request(target, "GET", "/admin/status")


def endpoints(target: Target) -> Any:
    """Return the endpoints that an instance knows."""
    return request(target, "GET", "/admin/endpoints")["endpoints"]


def orders(target: Target) -> Any:
    """Return the platform orders in a replica's state."""
    return request(target, "GET", "/admin/orders")["orders"]


def usage(target: Target) -> Any:
    """Return the usage windows in a replica's state."""
    return request(target, "GET", "/admin/usage")


def current_declaration(target: Target) -> Any:
    """Return the version and the declaration in force."""
    return request(target, "GET", "/admin/declaration")


def read_declaration(path: pathlib.Path) -> Any:
    """Return a checked declaration from a file.

    Raises:
        SettingsError: names the path and what was expected.
    """
    return declaration_module.validate(jsonc.read(path), str(path))


def plan(target: Target, document: Any) -> Any:
    """Return the rows that applying a declaration would change."""
    in_force = current_declaration(target)
    old = declaration_module.to_rows(in_force["declaration"])
    new = declaration_module.to_rows(document)
    changes = [
        {
            "table": row.table,
            "key": row.key,
            "from": old.get((row.table, row.key)),
            "to": None if row.deleted else row.value,
        }
        for row in declaration_module.diff_rows(old, new)
    ]
    return {"base_version": in_force["version"], "changes": changes}


def apply(
    target: Target,
    document: Any,
    base_version: int | None = None,
    edit_id: str = "",
) -> Any:
    """Apply a declaration made on a version.

    Args:
        target: any gateway.
        document: the declaration.
        base_version: the version it was made on; the one in force where
            it is None.
        edit_id: the same for a resend; a new one where it is empty.

    Returns:
        The answer, with the instances that confirm it.

    Raises:
        RequestError: refused; with status 409 it carries the rows of
            the edit that won.
    """
    if base_version is None:
        base_version = current_declaration(target)["version"]
    value = {
        "edit_id": edit_id or uuid.uuid4().hex,
        "base_version": base_version,
        "declaration": document,
    }
    return request(target, "POST", "/admin/declaration", value)


def create_key(target: Target, customer: str, edit_id: str = "") -> Any:
    """Grant a customer a new key; the answer shows it once."""
    value = {"customer": customer}
    if edit_id:
        value["edit_id"] = edit_id
    return request(target, "POST", "/admin/keys", value)


def list_keys(target: Target) -> Any:
    """Return all keys, by identifier and hash."""
    return request(target, "GET", "/admin/keys")["keys"]


def withdraw_key(target: Target, key_id: str) -> Any:
    """Withdraw a key and say where it is in force."""
    value = {"key_id": key_id}
    return request(target, "POST", "/admin/keys/withdraw", value)


def burn(target: Target, since: float = 0) -> list[Any]:
    """Return the burn report merged over all gateways that answer."""
    addresses = [target.address]
    for member in status(target)["members"]:
        if member.get("http"):
            addresses.append(member["http"])
    reports = []
    classes: dict[str, Any] = {}
    for address in addresses:
        gateway_report = _fetch_burn(Target(address, target.key), since)
        if gateway_report is None:
            continue
        reports.append(gateway_report["buckets"])
        for spec in gateway_report["classes"]:
            classes[spec["name"]] = catalog_module.ServiceClass(**spec)
    merged = burn_module.merge_reports(reports)
    return list(burn_module.build_report(merged, classes, time.time()))


def _fetch_burn(target: Target, since: float) -> Any:
    try:
        return request(target, "GET", f"/admin/burn?since={since}")
    except errors.LinkError:
        return None


def format_table(rows: list[Any], fields: tuple[str, ...]) -> str:
    """Return rows as text in columns."""
    lines = [list(fields)]
    lines += [
        [_format_cell(row.get(field)) for field in fields] for row in rows
    ]
    widths = [max(len(line[i]) for line in lines) for i in range(len(fields))]
    return "\n".join(
        "  ".join(cell.ljust(w) for cell, w in zip(line, widths)).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.3g}"
    return "-" if value is None else str(value)


__all__ = [
    "Target",
    "apply",
    "burn",
    "create_key",
    "current_declaration",
    "endpoints",
    "init",
    "list_keys",
    "orders",
    "plan",
    "read_declaration",
    "request",
    "status",
    "format_table",
    "usage",
    "withdraw_key",
]
