"""The operators' configuration, decoded into a table of routes."""

import json
from typing import Any

from primrosehitch import routes
from primrosehitch.platform import fields

KINDS = {
    "idempotent": routes.REPEATABLE,
    "non_idempotent": routes.ONCE,
    "streaming": routes.STREAM,
}


def decode(body: bytes) -> routes.RouteTable:
    """Return the table that a configuration holds.

    Raises:
        TableError: the routes do not fit the services.
        FieldError: the body is no configuration; names the path.
    """
    try:
        document: Any = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise fields.FieldError(f"not JSON: {exc}", "$") from exc
    top = fields.Fields(document)
    if not top.has("routes") or not top.has("services"):
        raise fields.FieldError("no routes or no services", "$")
    return routes.RouteTable(
        top.whole("version"),
        tuple(_route(item) for item in top.objects("routes")),
        tuple(_service(item) for item in top.objects("services")),
        tuple(_customer(item) for item in top.objects("tenants")),
        _limits(top),
    )


def _route(item: fields.Fields) -> routes.Route:
    kind = KINDS.get(item.text("kind"))
    if kind is None:
        raise fields.FieldError("no such kind", f"{item.path}.kind")
    prefix = item.text("path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise fields.FieldError(
            "does not begin and end with a slash", f"{item.path}.path_prefix"
        )
    timeout_ms = item.whole("timeout_ms")
    return routes.Route(
        name=item.text("name", prefix),
        host=item.text("host").lower(),
        prefix=prefix,
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=item.whole("slo_ms", timeout_ms),
        gap_ms=item.whole("gap_slo_ms", 0),
        priority=item.whole("priority", 0),
        splits=_splits(item),
        max_attempts=max(1, item.whole("max_attempts", 1)),
        public=item.flag("public"),
        resumable=item.flag("resumable") and kind == routes.STREAM,
    )


def _splits(item: fields.Fields) -> tuple[routes.Split, ...]:
    if item.has("split"):
        return tuple(
            routes.Split(part.text("service"), part.number("weight"))
            for part in item.objects("split")
        )
    return (routes.Split(item.text("service"), 1.0),)


def _service(item: fields.Fields) -> routes.Service:
    engine = scaling = None
    if item.has("engine"):
        found = item.child("engine")
        engine = routes.Engine(
            slots=found.whole("slots", 1),
            kv_tokens=found.whole("kv_capacity", 0),
            tokens_per_event=found.whole("stride", 1),
        )
    if item.has("scaling"):
        scaling = _scaling(item.child("scaling"))
    return routes.Service(
        name=item.text("name"),
        connections=item.whole("max_conns", 0),
        engine=engine,
        scaling=scaling,
    )


def _scaling(item: fields.Fields) -> routes.Scaling:
    prices: dict[str, float] = {}
    if item.has("zone_prices"):
        found = item.child("zone_prices")
        prices = {zone: found.number(zone) for zone in found.value}
    return routes.Scaling(
        min_endpoints=item.whole("min", 0),
        max_endpoints=item.whole("max", 0),
        boot_s=item.number("boot_s", 0.0),
        spot_price=item.number("spot_price", 0.0),
        prices=prices,
    )


def _customer(item: fields.Fields) -> routes.Customer:
    keys = []
    for key, path in item.items("api_keys"):
        if not isinstance(key, str) or not key:
            raise fields.FieldError("not a text", path)
        keys.append(key)
    priority = item.whole("priority") if item.has("priority") else None
    return routes.Customer(item.text("name"), tuple(keys), priority)


def _limits(top: fields.Fields) -> routes.ClientLimits:
    default = routes.ClientLimits()
    if not top.has("limits"):
        return default
    item = top.child("limits")
    return routes.ClientLimits(
        header_bytes=item.whole("max_header_bytes", default.header_bytes),
        body_bytes=item.whole("max_body_bytes", default.body_bytes),
        header_timeout_ms=item.whole(
            "header_timeout_ms", default.header_timeout_ms
        ),
        idle_timeout_ms=item.whole("idle_timeout_ms", default.idle_timeout_ms),
    )


__all__ = ["decode"]
