"""The table of routes: what callers may ask for, and who serves it.

The table comes whole, under a version; the highest version is in force.
A ``RouteTable`` is checked when it is made and never changes, so that
one request sees one table from its first byte to its last.
"""

import random
from typing import NamedTuple

from primrosehitch import errors

REPEATABLE = "repeatable"
ONCE = "once"
STREAM = "stream"


class TableError(errors.PrimrosehitchError):
    """A table of routes is not acceptable.

    Args:
        path: where in the document, e.g. ``$.routes[0].timeout_ms``.
    """

    def __init__(self, text: str, path: str):
        self.path = path
        super().__init__(f"{path}: {text}", "check table")


class Split(NamedTuple):
    """One service of a route and its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host and path prefix.

    Attributes:
        name: the operators' name for it.
        host: the host it belongs to, in lower case, without a port.
        prefix: begins and ends with a slash.
        kind: ``REPEATABLE``, ``ONCE`` or ``STREAM``.
        timeout_ms: longest time until the final answer.
        objective_ms: time to the answer, or to a stream's first event.
        gap_ms: longest pause between events of a stream.
        priority: rank, 0 is served first.
        splits: who serves it, by weight.
        attempts: how many endpoints one request may be sent to.
        public: whether it works without a key.
        resumable: whether a broken stream may go on elsewhere.
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
        """Whether a request may run more than once."""
        return self.kind == REPEATABLE or self.resumable


class Scaling(NamedTuple):
    """How many endpoints may be ordered, and at what price.

    Attributes:
        least: fewest endpoints in a failure domain.
        most: most endpoints in a failure domain.
        boot_s: time from an order until the endpoint serves.
        spot_price: price of a reclaimable endpoint, relative to others;
            0 where there are none.
        prices: price of an endpoint's second by failure domain.
    """

    min_endpoints: int
    max_endpoints: int
    boot_s: float
    spot_price: float
    prices: dict[str, float]


class Engine(NamedTuple):
    """What is the same for all model engines of a service.

    Attributes:
        slots: requests in one batch.
        kv_tokens: tokens that fit into the memory of one engine.
        stride: tokens in one event of a stream.
    """

    slots: int
    kv_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """Endpoints that are alike.

    Attributes:
        name: the operators' name for it.
        connections: connections that one endpoint takes from all callers.
        engine: set for model engines only.
        scaling: set where endpoints may be ordered.
    """

    name: str
    connections: int
    engine: Engine | None
    scaling: Scaling | None


class ClientLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class Customer(NamedTuple):
    """A customer and its keys; the priority precedes the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


class RoutingDecision(NamedTuple):
    """The route and the customer of a request."""

    route: Route
    customer: Customer | None

    @property
    def priority(self) -> int:
        """Rank of the request, 0 is served first."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority


class RouteTable:
    """All routes, services, customers and limits of one version.

    Args:
        version: the table's version.
        routes: in any order.
        services: those that routes may name.
        customers: empty where no keys are needed.
        limits: for all callers.

    Raises:
        TableError: the parts do not fit together.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        customers: tuple[Customer, ...],
        limits: ClientLimits,
    ):
        self.version = version
        self.routes = routes
        self.services = {s.name: s for s in services}
        self.limits = limits
        self.customers = customers
        self.customers_by_key: dict[str, Customer] = {}
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self._index_keys()
        self._index_routes()

    def _index_keys(self) -> None:
        for i, customer in enumerate(self.customers):
            for j, key in enumerate(customer.keys):
                if key in self.customers_by_key:
                    raise TableError(
                        "the key is another customer's too",
                        f"$.customers[{i}].keys[{j}]",
                    )
                self.customers_by_key[key] = customer

    def _index_routes(self) -> None:
        for i, route in enumerate(self.routes):
            self._check_route(route, f"$.routes[{i}]")
            prefixes = self.routes_by_host.setdefault(route.host, {})
            if route.prefix in prefixes:
                raise TableError(
                    f"{route.host}{route.prefix} has another route",
                    f"$.routes[{i}].prefix",
                )
            prefixes[route.prefix] = route

    def _check_route(self, route: Route, path: str) -> None:
        if route.timeout_ms <= 0:
            raise TableError("not above 0", f"{path}.timeout_ms")
        if sum(split.weight for split in route.splits) <= 0:
            raise TableError("the weights add up to 0", f"{path}.splits")
        for i, split in enumerate(route.splits):
            if split.service not in self.services:
                raise TableError(
                    f"no service {split.service!r}",
                    f"{path}.splits[{i}].service",
                )

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix, or None.

        Args:
            host: as the caller sent it, with or without a port.
            path: without a query.
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
        """Return who holds a key."""
        return self.customers_by_key.get(key)


def choose_service(route: Route, rng: random.Random) -> str:
    """Return one of a route's services, drawn by weight."""
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
