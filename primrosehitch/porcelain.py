"""Operators' actions as plain functions over HTTP.

Each function sends its request to the gateway that a ``Target`` names.
Any gateway of the deployment can serve it. The calls block, and each step
of an HTTP exchange is bounded by ``REQUEST_TIMEOUT_S``.
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
    """The gateway or control instance to call, and the key for it.

    Attributes:
        address: its ``ip:port``.
        key: an operator's key, empty where none is asked for.
    """

    address: str
    key: str


def request(target: Target, method: str, path: str, value: Any = None) -> Any:
    """Send a request to a gateway and return its decoded JSON response.

    Args:
        target: the gateway to call.
        method: the HTTP method.
        path: the path, with the query if there is one.
        value: the value to send as a JSON body; no body where it is None.

    Raises:
        RequestError: the response status is 300 or above.
        LinkError: the gateway cannot be reached, does not respond in time
            or responds with something that is not JSON.
    """
    body = b"" if value is None else json.dumps(value).encode()
    headers = {
        "content-type": "application/json",
        "content-length": str(len(body)),
    }
    if target.key:
        headers["authorization"] = f"Bearer {target.key}"
    timeouts = dict.fromkeys(
        ("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S
    )
    with httpcore.ConnectionPool() as pool:
        try:
            response = pool.request(
                method,
                f"http://{target.address}{path}",
                headers=headers,
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
        text = f"HTTP {response.status} response is not JSON"
        raise errors.LinkError(text, "request", target.address) from exc
    if response.status >= 300:
        raise errors.RequestError(response.status, answer, target.address)
    return answer


def init(target: Target, force: bool = False) -> Any:
    """Bootstrap a new cluster on the target's replica.

    Args:
        target: the instance whose replica becomes the first voter.
        force: bootstrap even if configured replicas are unreachable. They
            may still hold the state of an earlier cluster.
    """
    return request(target, "POST", "/admin/init", {"force": force})


def status(target: Target) -> Any:
    """Return an instance's view of itself and the other members."""
    return request(target, "GET", "/admin/status")


def endpoints(target: Target) -> Any:
    """Return the endpoints known to an instance."""
    return request(target, "GET", "/admin/endpoints")["endpoints"]


def orders(target: Target) -> Any:
    """Return the platform orders in the state of a replica."""
    return request(target, "GET", "/admin/orders")["orders"]


def usage(target: Target) -> Any:
    """Return the usage windows in the state of a replica."""
    return request(target, "GET", "/admin/usage")


def current_declaration(target: Target) -> Any:
    """Return the version and the declaration in force."""
    return request(target, "GET", "/admin/declaration")


def read_declaration(path: pathlib.Path) -> Any:
    """Read a declaration from a file and validate it.

    Raises:
        SettingsError: the file cannot be read or is not a valid
            declaration. The error names the path and what was expected.
    """
    return declaration_module.validate(jsonc.read(path), str(path))


def plan(target: Target, document: Any) -> Any:
    """Return the rows that applying a declaration would change.

    The answer also holds the version in force, on which it is based.
    """
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
    """Apply a declaration.

    Args:
        target: any gateway.
        document: the declaration.
        base_version: the version that the declaration was edited from;
            None stands for the version in force.
        edit_id: identifies the edit. Resending a request whose answer was
            lost must repeat its identifier; where it is empty, a new one
            is generated.

    Returns:
        The answer, which lists the instances that confirmed the edit.

    Raises:
        RequestError: the declaration was rejected. With status 409 the
            error carries the rows of the conflicting edit.
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
    """Create a key for a customer.

    Only this answer contains the key; it cannot be read again later.
    """
    value = {"customer": customer}
    if edit_id:
        value["edit_id"] = edit_id
    return request(target, "POST", "/admin/keys", value)


def list_keys(target: Target) -> Any:
    """Return all keys, each with its identifier and hash."""
    return request(target, "GET", "/admin/keys")["keys"]


def withdraw_key(target: Target, key_id: str) -> Any:
    """Withdraw a key, given by its identifier or hash.

    The answer names the instances where the withdrawal is in force.
    """
    value = {"key_id": key_id}
    return request(target, "POST", "/admin/keys/withdraw", value)


def burn(target: Target, since: float = 0) -> list[Any]:
    """Return the burn report over all gateways that can be reached.

    Args:
        target: any gateway; the others are taken from its member list.
        since: buckets that start before this time, in seconds since the
            epoch, are left out.
    """
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
    """Format rows as a text table with aligned columns.

    Args:
        rows: dictionaries; a missing field is shown as ``-``.
        fields: the columns, in order.
    """
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
    "format_table",
    "init",
    "list_keys",
    "orders",
    "plan",
    "read_declaration",
    "request",
    "status",
    "usage",
    "withdraw_key",
]
