"""Route table, which maps requests to services and keys to customers.

A table is distributed as a whole under a version, and the highest version
is in force. A ``RouteTable`` is validated when it is created and is
immutable from then on, so that a request uses the same table from its
first byte to its last.
"""

import random
from typing import NamedTuple

from primrosehitch import errors

REPEATABLE = "repeatable"
ONCE = "once"
STREAM = "stream"


class TableError(errors.PrimrosehitchError):
    """A route table is invalid.

    Args:
        text: what is wrong.
        path: place in the document, e.g. ``$.routes[0].timeout_ms``.
    """

    def __init__(self, text: str, path: str):
        self.path = path
        super().__init__(f"{path}: {text}", "check table")


class Split(NamedTuple):
    """One service of a route and its weight in the traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of the requests for one host and path prefix.

    Attributes:
        name: the operators' name of the route.
        host: host name in lower case, without a port.
        prefix: path prefix, which begins and ends with a slash.
        kind: ``REPEATABLE`` for idempotent requests, ``ONCE`` for requests
            that must not run twice, or ``STREAM``.
        timeout_ms: longest time to the end of the answer.
        objective_ms: objective for the time to the answer, or to the first
            event of a stream.
        gap_ms: objective for the gap between events of a stream.
        priority: rank of the requests, 0 is served first.
        splits: services that serve the route, by weight.
        max_attempts: number of endpoints to which a request may be sent.
        public: whether requests need no key.
        resumable: whether another endpoint may continue a broken stream.
    """

    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: int
    objective_ms: int
    gap_ms: int
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int
    public: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether endpoints may run a request more than once."""
        return self.kind == REPEATABLE or self.resumable


class Scaling(NamedTuple):
    """Limits and prices for ordering endpoints of a service.

    Attributes:
        min_endpoints: minimum number of endpoints in a failure domain.
        max_endpoints: maximum number of endpoints in a failure domain.
        boot_s: time from an order until the endpoint serves, in seconds.
        spot_price: price of a spot endpoint relative to an on-demand one;
            0 where spot endpoints are not offered.
        prices: price of an endpoint per second, by failure domain.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    spot_price: float
    prices: dict[str, float]


class Engine(NamedTuple):
    """Properties that all model engines of a service have in common.

    Attributes:
        slots: maximum number of requests in a batch.
        kv_tokens: size of an engine's KV cache in tokens.
        tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A group of interchangeable endpoints.

    Attributes:
        name: the operators' name of the service.
        connections: connections that an endpoint accepts from all edges
            together, 0 for no limit.
        engine: set for model engines only.
        scaling: set where endpoints may be ordered.
        cold_start_s: how long an endpoint is cold after a start during
            traffic, in seconds; 0 for not at all.
        cold_per_s: requests a second that a cold endpoint tolerates from all
            edges together; 0 if they are not limited.
    """

    name: str
    connections: int
    engine: Engine | None
    scaling: Scaling | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class ClientLimits(NamedTuple):
    """Limits on the size and the duration of a caller's requests."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Customer(NamedTuple):
    """A customer and its API keys.

    A priority here takes precedence over the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


class RoutingDecision(NamedTuple):
    """Route and customer of a request; public routes have no customer."""

    route: Route
    customer: Customer | None

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is served first."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority


class RouteTable:
    """Routes, services, customers and limits of one version.

    Args:
        version: the table's version.
        routes: the routes, in any order.
        services: the services to which routes may refer.
        customers: the customers, or None if no request needs a key. An
            empty list holds no key, so that only public routes are served.
        limits: limits for all callers.

    Attributes:
        needs_key: whether requests on routes that are not public need a key.

    Raises:
        TableError: a route is invalid or a key or prefix is not unique.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        customers: tuple[Customer, ...] | None,
        limits: ClientLimits,
    ):
        self.version = version
        self.routes = routes
        self.services = {s.name: s for s in services}
        self.limits = limits
        self.needs_key = customers is not None
        self.customers = customers or ()
        self.customers_by_key: dict[str, Customer] = {}
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self._index_keys()
        self._index_routes()

    def _index_keys(self) -> None:
        for i, customer in enumerate(self.customers):
            for j, key in enumerate(customer.keys):
                if key in self.customers_by_key:
                    raise TableError(
                        "the key also belongs to another customer",
                        f"$.customers[{i}].keys[{j}]",
                    )
                self.customers_by_key[key] = customer

    def _index_routes(self) -> None:
        for i, route in enumerate(self.routes):
            self._check_route(route, f"$.routes[{i}]")
            prefixes = self.routes_by_host.setdefault(route.host, {})
            if route.prefix in prefixes:
                raise TableError(
                    f"{route.host}{route.prefix} already has a route",
                    f"$.routes[{i}].prefix",
                )
            prefixes[route.prefix] = route

    def _check_route(self, route: Route, path: str) -> None:
        if route.timeout_ms <= 0:
            raise TableError("must be greater than 0", f"{path}.timeout_ms")
        if sum(split.weight for split in route.splits) <= 0:
            raise TableError(
                "the sum of the weights must be greater than 0",
                f"{path}.splits",
            )
        for i, split in enumerate(route.splits):
            if split.service not in self.services:
                raise TableError(
                    f"service {split.service!r} does not exist",
                    f"{path}.splits[{i}].service",
                )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or None.

        Args:
            host: value of the Host header, with or without a port.
            path: path of the request, without a query.
        """
        prefixes = self.routes_by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def customer_for_key(self, key: str) -> Customer | None:
        """Return the customer that a key belongs to, or None."""
        return self.customers_by_key.get(key)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services, drawn at random by weight."""
    splits = route.splits
    if len(splits) == 1:
        return splits[0].service
    weights = [split.weight for split in splits]
    return rng.choices(splits, weights)[0].service


__all__ = [
    "ClientLimits",
    "Customer",
    "Engine",
    "ONCE",
    "REPEATABLE",
    "Route",
    "RouteTable",
    "RoutingDecision",
    "STREAM",
    "Scaling",
    "Service",
    "Split",
    "TableError",
    "choose_service",
]
