"""Settings of an edge or a control instance of the routed services.

``load`` reads and checks an instance's settings file; the file must be
JSON and may have comments.
"""

import pathlib
from typing import NamedTuple

from primrosehitch import documents
from primrosehitch import errors
from primrosehitch import instance_check
from primrosehitch import jsonc
from primrosehitch import settings as settings_module


class Bounds(NamedTuple):
    """Limits agreed with callers, endpoints and operators.

    Attributes:
        retry_ratio: retries allowed per request, over all edges.
        retry_slack: additional retries allowed, over all edges.
        retry_window_ms: the window in which both are counted.
        usage_window_ms: length of a usage window.
        usage_late_ms: time after a window's end by which its report is
            due.
        grace_ms: time from SIGTERM until SIGKILL.
        lease_ms: minimum time between the orders of two leaders.
        machines_lost: number of machines, with their disks, that may be
            lost at once.
        cold_excess: requests that a cold endpoint may get in any one second,
            relative to those that it tolerates, over all edges.
        cold_slack: additional requests that it may get in that time.
        evacuate_ms: within which an evacuation is in force at all edges; 0
            where none is agreed.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_ms: int = 10_000
    usage_window_ms: int = 60_000
    usage_late_ms: int = 10_000
    grace_ms: int = 8_000
    lease_ms: int = 3_000
    machines_lost: int = 1
    cold_excess: float = 1.0
    cold_slack: float = 0.0
    evacuate_ms: int = 0


class ClientBounds(NamedTuple):
    """Bounds on what callers may make the process hold.

    Attributes:
        memory_share: the share of the process's memory that the connections
            of callers may hold together, 0 to 1.
        unread_timeout_ms: how long a caller may read nothing of a response.
        backlog_bytes: requests sent ahead that are held for a connection.
        write_buffer_bytes: responses held for a connection before its next
            request is taken.
        socket_buffer_bytes: size of each of the kernel's buffers of a
            connection.
    """

    memory_share: float = 0.125
    unread_timeout_ms: int = 15_000
    backlog_bytes: int = 16_384
    write_buffer_bytes: int = 16_384
    socket_buffer_bytes: int = 65_536


class CallBounds(NamedTuple):
    """Largest bodies of calls to a control instance.

    Attributes:
        report_bytes: of what an endpoint reports of itself, and of any other
            call but a route table.
        table_bytes: of a route table.
    """

    report_bytes: int = 65_536
    table_bytes: int = 16 << 20


class HedgingSettings(NamedTuple):
    """When a second attempt may race with a slow first one.

    Attributes:
        share: largest number of second attempts per request.
        quantile: the first attempt is slow once it takes longer than this
            quantile of the times of its route.
        min_delay_ms: it is not slow before this time.
    """

    share: float
    quantile: float = 0.95
    min_delay_ms: int = 30


class OverloadSettings(NamedTuple):
    """What an edge does where places are scarce.

    Attributes:
        refuse: whether requests that cannot be answered in time are refused.
        shares: whether customers above their share are refused first, where
            requests are refused.
    """

    refuse: bool = False
    shares: bool = True


class InstanceSettings(NamedTuple):
    """Settings of one instance.

    An address is None if the instance does not serve or use it.

    Attributes:
        name: the instance's name, in logs and as the holder of orders.
        domain: its failure domain.
        link: listening address for other instances, which identify the
            instance by this address as text.
        seeds: link addresses of some control instances.
        control: listening address for operators and endpoints.
        front: listening address for callers.
        ready: listening address for readiness checks of the load
            balancer in front of the edges.
        metrics: listening address for metrics.
        data_folder: folder of the durable state; control instances only.
        bootstrap: whether to start a new cluster with the seeds.
        platform: address that gets orders and usage reports.
        secret: shared secret for authentication between instances.
        bounds: the agreed limits.
        memory_mb: the memory of the VM in MB, 0 if the system tells it.
        clients: bounds on what callers may make the process hold.
        calls: largest bodies of calls to a control instance.
        hedging: settings of hedged requests, or None if there are none.
        overload: what an edge does where places are scarce.
    """

    name: str
    domain: str
    link: settings_module.Address
    seeds: tuple[settings_module.Address, ...]
    control: settings_module.Address | None
    front: settings_module.Address | None
    ready: settings_module.Address | None
    metrics: settings_module.Address | None
    data_folder: pathlib.Path | None
    bootstrap: bool
    platform: settings_module.Address | None
    secret: bytes
    bounds: Bounds
    memory_mb: float = 0
    clients: ClientBounds = ClientBounds()
    calls: CallBounds = CallBounds()
    hedging: HedgingSettings | None = None
    overload: OverloadSettings = OverloadSettings()


def parse(document: documents.InstanceFile, source: str) -> InstanceSettings:
    """Return checked settings.

    Args:
        document: the decoded file.
        source: the file's name in errors.

    Raises:
        SettingsError: a value is missing or invalid; the error has its
            path and what was expected.
    """
    _validate(document, source)
    host, link_port = document["host"], document["ports"][0]
    listen = document["listen"]
    folder = document.get("data_folder")
    if "control" in listen and not folder:
        raise errors.SettingsError(
            "a control instance requires a data folder",
            "check instance",
            source,
            "$.data_folder",
        )
    metrics_port = document.get("metrics_port", 0)
    metrics = settings_module.Address(host, metrics_port)
    return InstanceSettings(
        name=document["name"],
        domain=document["domain"],
        link=settings_module.Address(host, link_port),
        seeds=tuple(
            settings_module.parse_address(seed)._replace(port=link_port)
            for seed in document["seeds"]
        ),
        control=_parse_optional_address(listen.get("control")),
        front=_parse_optional_address(listen.get("front")),
        ready=_parse_optional_address(listen.get("ready")),
        metrics=metrics if metrics_port else None,
        data_folder=pathlib.Path(folder) if folder else None,
        bootstrap=document.get("bootstrap", False),
        platform=_parse_optional_address(document.get("platform")),
        secret=document.get("secret", "").encode(),
        bounds=_parse_bounds(document.get("bounds", {})),
        memory_mb=document.get("memory_mb", 0),
        clients=_parse_clients(document.get("clients", {})),
        calls=CallBounds(**document.get("calls", {})),
        hedging=_parse_hedging(document.get("hedging")),
        overload=OverloadSettings(**document.get("overload", {})),
    )


def _validate(document: documents.InstanceFile, source: str) -> None:
    """Check the settings against the schema.

    The generated check is fast but does not return the path of the
    invalid value. Only a file that fails it is checked again with the
    schema library, which is slow to import, to get that path.

    Raises:
        SettingsError: the settings do not match the schema.
    """
    try:
        instance_check.validate(document)
    except ValueError as exc:
        jsonc.check(document, "instance", source)
        raise errors.SettingsError(str(exc), "check instance", source) from exc


def _parse_optional_address(
    text: str | None,
) -> settings_module.Address | None:
    return settings_module.parse_address(text) if text else None


def _parse_bounds(document: documents.BoundsFile) -> Bounds:
    default = Bounds()
    return Bounds(
        retry_ratio=document.get("retry_ratio", default.retry_ratio),
        retry_slack=document.get("retry_slack", default.retry_slack),
        retry_window_ms=_to_ms(
            document.get("retry_window_s"), default.retry_window_ms
        ),
        usage_window_ms=_to_ms(
            document.get("usage_window_s"), default.usage_window_ms
        ),
        usage_late_ms=_to_ms(
            document.get("usage_late_s"), default.usage_late_ms
        ),
        grace_ms=_to_ms(document.get("grace_s"), default.grace_ms),
        lease_ms=int(document.get("lease_ms", default.lease_ms)),
        machines_lost=document.get("machines_lost", default.machines_lost),
        cold_excess=document.get("cold_excess", default.cold_excess),
        cold_slack=document.get("cold_slack", default.cold_slack),
        evacuate_ms=int(document.get("evacuate_ms", default.evacuate_ms)),
    )


def _parse_clients(document: documents.ClientsFile) -> ClientBounds:
    default = ClientBounds()
    return ClientBounds(
        memory_share=document.get("memory_share", default.memory_share),
        unread_timeout_ms=_to_ms(
            document.get("unread_timeout_s"), default.unread_timeout_ms
        ),
        backlog_bytes=document.get("backlog_bytes", default.backlog_bytes),
        write_buffer_bytes=document.get(
            "write_buffer_bytes", default.write_buffer_bytes
        ),
        socket_buffer_bytes=document.get(
            "socket_buffer_bytes", default.socket_buffer_bytes
        ),
    )


def _parse_hedging(
    document: documents.HedgingFile | None,
) -> HedgingSettings | None:
    """Return the settings of hedged requests; a share of 0 means none."""
    return (
        HedgingSettings(**document) if document and document["share"] else None
    )


def _to_ms(seconds: float | None, default: int) -> int:
    return default if seconds is None else int(seconds * 1000)


def load(path: pathlib.Path) -> InstanceSettings:
    """Return the checked settings of a file.

    Args:
        path: the settings file.

    Raises:
        SettingsError: the file is missing, not JSON, or invalid.
    """
    return parse(jsonc.read(path), str(path))


__all__ = [
    "Bounds",
    "ClientBounds",
    "HedgingSettings",
    "InstanceSettings",
    "OverloadSettings",
    "load",
    "parse",
]
