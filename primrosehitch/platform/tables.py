"""Decodes the operators' JSON configuration into a route table.

Does no I/O. Fields that are not listed here are ignored.
"""

import json
from typing import Any
from typing import Callable

from primrosehitch import errors
from primrosehitch import jsontext
from primrosehitch import routes
from primrosehitch.platform import fields

# Builds before 760969a ask nobody for a key where the list of customers is
# empty.
CUSTOMER_WITHOUT_KEYS = {"name": "none", "api_keys": []}
KINDS = {
    "idempotent": routes.REPEATABLE,
    "non_idempotent": routes.ONCE,
    "streaming": routes.STREAM,
}
# Larger values of a service's fields on cold endpoints are refused.
MAX_COLD = {"cold_start_s": 3600, "cold_per_s": 1_000_000}


def decode(body: bytes) -> routes.RouteTable:
    """Return the route table of a configuration that an operator sends.

    Args:
        body: the configuration, a JSON object.

    Raises:
        TableError: the routes do not match the services.
        FieldError: a field is missing or invalid.
    """
    return _decode(body, _load_unambiguous)


def decode_accepted(body: bytes) -> routes.RouteTable:
    """Return the route table of a configuration that is in force.

    An earlier release may have accepted what is refused now.

    Args:
        body: the configuration, a JSON object.

    Raises:
        TableError: the routes do not match the services.
        FieldError: a field is missing or invalid.
    """
    try:
        return decode(body)
    except errors.PrimrosehitchError:
        return _decode(body, _load_accepted)


def encode_without_customers(body: bytes) -> bytes:
    """Return a configuration that admits nobody, as all builds read it.

    Args:
        body: a configuration in force whose list of customers is empty.
    """
    document = jsontext.loads_accepted(body)
    document["tenants"] = [CUSTOMER_WITHOUT_KEYS]
    return json.dumps(document).encode()


def _load_unambiguous(body: bytes) -> Any:
    """Return a document that can be meant in one way only.

    A list of customers that is null may mean that no key is needed, or that
    none is valid. A route may name a service that does not exist, but has no
    part in its split.
    """
    document = jsontext.loads_in_parts(body)
    if not isinstance(document, dict):
        return document
    if document.get("tenants", ()) is None:
        raise fields.FieldError("not a list", "$.tenants")
    _check_unused_services(fields.Fields(document))
    return document


def _check_unused_services(top: fields.Fields) -> None:
    """Check the services of routes that are split among others.

    Raises:
        FieldError: one does not exist.
    """
    names = {item.string("name") for item in top.objects("services")}
    for route in top.objects("routes"):
        if not route.has("split") or not route.has("service"):
            continue
        service = route.string("service")
        if service not in names:
            name = route.string("name", route.path)
            raise fields.FieldError(
                f"service {service!r} of route {name!r} does not exist",
                f"{route.path}.service",
            )


def _load_accepted(body: bytes) -> Any:
    """Return a document that an earlier release accepted.

    Earlier releases ignored the fields on cold endpoints, so that they may
    hold anything; what is no valid value is ignored here, too.
    """
    document = jsontext.loads_accepted(body)
    services = document.get("services") if isinstance(document, dict) else None
    for service in services if isinstance(services, list) else ():
        for name in MAX_COLD if isinstance(service, dict) else ():
            try:
                _parse_cold(fields.Fields(service), name)
            except fields.FieldError:
                del service[name]
    return document


def _decode(
    body: bytes, load_json: Callable[[bytes], Any]
) -> routes.RouteTable:
    try:
        top = fields.Fields(load_json(body))
    except jsontext.JsonError as exc:
        raise fields.FieldError(exc.text, "$") from exc
    if not top.has("routes") or not top.has("services"):
        raise fields.FieldError("routes or services are missing", "$")
    return routes.RouteTable(
        top.integer("version"),
        tuple(_parse_route(item) for item in top.objects("routes")),
        tuple(_parse_service(item) for item in top.objects("services")),
        _parse_customers(top),
        _parse_limits(top),
    )


def _parse_route(item: fields.Fields) -> routes.Route:
    kind = KINDS.get(item.string("kind"))
    if kind is None:
        raise fields.FieldError("not a known kind", f"{item.path}.kind")
    prefix = item.string("path_prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise fields.FieldError(
            "does not begin and end with a slash", f"{item.path}.path_prefix"
        )
    timeout_ms = item.integer("timeout_ms")
    return routes.Route(
        name=item.string("name", prefix),
        host=item.string("host").lower(),
        prefix=prefix,
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=item.integer("slo_ms", timeout_ms),
        gap_ms=item.integer("gap_slo_ms", 0),
        priority=item.integer("priority", 0),
        splits=_parse_splits(item),
        max_attempts=max(1, item.integer("max_attempts", 1)),
        public=item.boolean("public"),
        resumable=item.boolean("resumable") and kind == routes.STREAM,
    )


def _parse_splits(item: fields.Fields) -> tuple[routes.Split, ...]:
    if item.has("split"):
        return tuple(
            routes.Split(part.string("service"), part.number("weight"))
            for part in item.objects("split")
        )
    return (routes.Split(item.string("service"), 1.0),)


def _parse_service(item: fields.Fields) -> routes.Service:
    engine = scaling = None
    if item.has("engine"):
        engine_fields = item.child("engine")
        engine = routes.Engine(
            slots=engine_fields.integer("slots", 1),
            kv_tokens=engine_fields.integer("kv_capacity", 0),
            tokens_per_event=engine_fields.integer("stride", 1),
        )
    if item.has("scaling"):
        scaling = _parse_scaling(item.child("scaling"))
    return routes.Service(
        name=item.string("name"),
        connections=item.integer("max_conns", 0),
        engine=engine,
        scaling=scaling,
        cold_start_s=_parse_cold(item, "cold_start_s"),
        cold_per_s=_parse_cold(item, "cold_per_s"),
    )


def _parse_cold(item: fields.Fields, name: str) -> float:
    """Return a field on cold endpoints, 0 if it is missing or null."""
    if not item.has(name):
        return 0.0
    value = item.number(name)
    if value > MAX_COLD[name]:
        raise fields.FieldError(
            f"greater than {MAX_COLD[name]}", f"{item.path}.{name}"
        )
    return float(value)


def _parse_scaling(item: fields.Fields) -> routes.Scaling:
    prices: dict[str, float] = {}
    if item.has("zone_prices"):
        zone_prices = item.child("zone_prices")
        prices = {zone: zone_prices.number(zone) for zone in zone_prices.value}
    return routes.Scaling(
        min_endpoints=item.integer("min", 0),
        max_endpoints=item.integer("max", 0),
        boot_s=item.number("boot_s", 0.0),
        spot_price=item.number("spot_price", 0.0),
        prices=prices,
    )


def _parse_customers(top: fields.Fields) -> tuple[routes.Customer, ...] | None:
    """Return the customers, or None if the field is missing.

    A list without an item is none of the two: it takes away all keys.
    """
    if "tenants" not in top.value:
        return None
    return tuple(_parse_customer(item) for item in top.objects("tenants"))


def _parse_customer(item: fields.Fields) -> routes.Customer:
    keys = []
    for key, path in item.items("api_keys"):
        if not isinstance(key, str) or not key:
            raise fields.FieldError("not a non-empty string", path)
        keys.append(key)
    priority = item.integer("priority") if item.has("priority") else None
    return routes.Customer(item.string("name"), tuple(keys), priority)


def _parse_limits(top: fields.Fields) -> routes.ClientLimits:
    default = routes.ClientLimits()
    if not top.has("limits"):
        return default
    item = top.child("limits")
    return routes.ClientLimits(
        header_bytes=item.integer("max_header_bytes", default.header_bytes),
        body_bytes=item.integer("max_body_bytes", default.body_bytes),
        header_timeout_ms=item.integer(
            "header_timeout_ms", default.header_timeout_ms
        ),
        idle_timeout_ms=item.integer(
            "idle_timeout_ms", default.idle_timeout_ms
        ),
    )


__all__ = ["decode", "decode_accepted", "encode_without_customers"]
