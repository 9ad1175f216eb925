"""Tests of route tables: matching, splits, and errors with their path."""

import json
import random

import pytest
import routed

from primrosehitch import routes
from primrosehitch.platform import fields
from primrosehitch.platform import tables


def decode_table(document):
    return tables.decode(json.dumps(document).encode())


def edited_table(edit):
    document = routed.table_document()
    edit(document)
    return document


@pytest.mark.parametrize(
    "host,path,name",
    [
        ("h", "/a/x", "/a/"),
        ("h", "/a/b/x", "/a/b/"),
        ("h", "/a/b/", "/a/b/"),
        ("h", "/a/b", "/a/"),
        ("h", "/ab/x", None),
        ("H:8080", "/a/x", "/a/"),
        ("g", "/a/x", "/"),
        ("i", "/a/x", None),
        ("h", "", None),
    ],
)
def test_longest_prefix_matches(host, path, name):
    route = decode_table(routed.table_document())
    template = route.routes[0]
    table = routes.RouteTable(
        1,
        tuple(
            template._replace(host=h, prefix=p, name=p)
            for h, p in (("h", "/a/"), ("h", "/a/b/"), ("g", "/"))
        ),
        tuple(route.services.values()),
        (),
        routes.ClientLimits(),
    )
    matched = table.match(host, path)
    assert (matched.name if matched else None) == name


def set_route(name, value):
    def change(document):
        document["routes"][0][name] = value

    return change


def share_key(document):
    document["tenants"].append({"name": "b", "api_keys": [routed.KEY]})


def repeat_first_route(document):
    document["routes"].append(dict(document["routes"][0]))


def remove_weights(document):
    document["routes"][0]["split"] = [{"service": "svc", "weight": 0}]


def split_beside_unknown_service(document):
    part = {"service": "svc", "weight": 1}
    document["routes"][1].update(service="none", split=[part])


INVALID = [
    (split_beside_unknown_service, "$.routes[1].service"),
    (set_route("service", "none"), "$.routes[0].splits[0].service"),
    (set_route("timeout_ms", 0), "$.routes[0].timeout_ms"),
    (set_route("timeout_ms", "5"), "$.routes[0].timeout_ms"),
    (set_route("kind", "odd"), "$.routes[0].kind"),
    (set_route("host", 5), "$.routes[0].host"),
    (set_route("path_prefix", "a/"), "$.routes[0].path_prefix"),
    (set_route("public", 1), "$.routes[0].public"),
    (remove_weights, "$.routes[0].splits"),
    (repeat_first_route, "$.routes[6].prefix"),
    (share_key, "$.customers[1].keys[0]"),
    (lambda d: d.pop("routes"), "$"),
    (lambda d: d.pop("version"), "$.version"),
    (lambda d: d.update(version=True), "$.version"),
    (lambda d: d.update(version=-1), "$.version"),
    (lambda d: d.update(services=[{}]), "$.services[0].name"),
    (lambda d: d.update(tenants=[5]), "$.tenants[0]"),
]


@pytest.mark.parametrize("change,path", INVALID)
def test_invalid_tables_name_the_path(change, path):
    with pytest.raises((routes.TableError, fields.FieldError)) as caught:
        decode_table(edited_table(change))
    assert caught.value.path == path


# Guards against: a table is taken though a route that is split names a
# service that does not exist; one that is in force is served.
def test_unknown_service_beside_a_split_is_refused_with_its_route():
    document = edited_table(split_beside_unknown_service)
    document["routes"][1]["name"] = "orders"
    body = json.dumps(document).encode()
    with pytest.raises(fields.FieldError, match="'none' of route 'orders'"):
        tables.decode(body)
    splits = tables.decode_accepted(body).routes[1].splits
    assert splits == (routes.Split("svc", 1),)


@pytest.mark.parametrize("cut", [0, 1, 50, 200, -1])
def test_truncated_table_is_refused(cut):
    body = json.dumps(routed.table_document()).encode()
    with pytest.raises(fields.FieldError):
        tables.decode(body[:cut])


def test_unknown_fields_are_ignored():
    def add(document):
        document["new"] = {"a": 1}
        document["routes"][0]["also_new"] = []

    assert decode_table(edited_table(add)).version == 1


def test_services_are_drawn_by_weight():
    route = decode_table(routed.table_document()).routes[0]
    route = route._replace(
        splits=(routes.Split("a", 90), routes.Split("b", 10))
    )
    rng = random.Random(5)
    drawn_services = [routes.choose_service(route, rng) for _ in range(2000)]
    assert 0.07 < drawn_services.count("b") / 2000 < 0.13


def test_customer_priority_takes_precedence():
    table = decode_table(routed.table_document())
    customer = table.customer_for_key(routed.KEY)
    route = table.routes[0]
    assert routes.RoutingDecision(route, customer).priority == 1
    high_priority = customer._replace(priority=0)
    assert routes.RoutingDecision(route, high_priority).priority == 0
    assert routes.RoutingDecision(route, None).priority == 1


# Guards against: a configuration that cannot be read in full is accepted.
@pytest.mark.parametrize(
    "sound,unreadable",
    [
        (b'"svc"', b'"svc\xed\xa0\xbd"'),
        (b'"svc"', b'"svc\\ud83d"'),
        (b'"ana"', b'"\xff"'),
        (b'"version": 1', b'"version": 1, "version": 2'),
        (b'"version": 1', b'"version": 1e25'),
        (b'"version": 1', b'"version": NaN'),
    ],
)
def test_unreadable_tables_are_refused(sound, unreadable):
    body = json.dumps(routed.table_document()).encode()
    assert sound in body
    with pytest.raises(fields.FieldError):
        tables.decode(body.replace(sound, unreadable))
    with pytest.raises(fields.FieldError):
        tables.decode(json.dumps(routed.table_document()).encode("utf-16"))


# Guards against: what an earlier release accepted leaves a new one without
# a table, or ends it.
@pytest.mark.parametrize(
    "sound,unreadable",
    [
        (b'"svc"', b'"svc\xed\xa0\xbd"'),
        (b'"ana"', b'"ana\\ud83d"'),
        (b'"version": 1', b'"version": 0, "version": 1'),
        (b'"slo_ms": 500', b'"slo_ms": 10000000000000000000000000'),
    ],
)
def test_accepted_tables_are_read_as_far_as_they_can_be(sound, unreadable):
    body = json.dumps(routed.table_document()).encode()
    assert sound in body
    table = tables.decode_accepted(body.replace(sound, unreadable))
    assert table.version == 1
    assert len(table.routes) == len(routed.table_document()["routes"])
    for name in (*table.services, *(c.name for c in table.customers)):
        name.encode()
    assert tables.decode_accepted(body).routes == tables.decode(body).routes


# Guards against: an empty or unclear list of customers needs no key.
@pytest.mark.parametrize(
    "tenants,needs_key", [([], True), (None, True), ("missing", False)]
)
def test_only_a_missing_list_of_customers_needs_no_key(tenants, needs_key):
    document = routed.table_document(tenants=tenants)
    if tenants == "missing":
        del document["tenants"]
    body = json.dumps(document).encode()
    table = tables.decode_accepted(body)
    assert table.needs_key == needs_key
    assert table.customer_for_key("") is None
    if tenants is None:
        with pytest.raises(fields.FieldError, match="tenants"):
            tables.decode(body)


# Guards against: an edge of a build before 760969a takes an empty list of
# customers for "no key needed" and lets every request run.
@pytest.mark.parametrize("tenants", [[], None])
def test_older_edges_read_that_a_table_admits_nobody(tenants):
    document = routed.table_document(tenants=tenants)
    body = json.dumps(document).encode()
    table = tables.decode(tables.encode_without_customers(body))
    # Those builds need a key if there is a customer.
    assert table.customers and table.needs_key
    assert not table.customers_by_key
    accepted = tables.decode_accepted(body)
    assert table.routes == accepted.routes
    assert table.limits == accepted.limits
