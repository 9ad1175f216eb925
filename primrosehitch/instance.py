"""Settings of an instance that routes by a table under versions."""

import pathlib
from typing import NamedTuple

from primrosehitch import documents
from primrosehitch import errors
from primrosehitch import instance_check
from primrosehitch import jsonc
from primrosehitch import settings as settings_module


class Bounds(NamedTuple):
    """What callers, endpoints and operators were promised.

    Attributes:
        retry_ratio: retries allowed per request, over all edges.
        retry_slack: retries allowed besides, over all edges.
        retry_window_ms: the window in which both are counted.
        usage_window_ms: length of a usage window.
        usage_late_ms: when a window's report is due after its end.
        grace_ms: time from SIGTERM until the process is killed.
        lease_ms: shortest time between orders of two leaders.
        machines_lost: how many disks may be lost at once.
    """

    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window_ms: int = 10_000
    usage_window_ms: int = 60_000
    usage_late_ms: int = 10_000
    grace_ms: int = 8_000
    lease_ms: int = 3_000
    machines_lost: int = 1


class InstanceSettings(NamedTuple):
    """One instance; what it does not serve is None.

    Attributes:
        name: the instance's name, for logs and orders.
        domain: its failure domain.
        link: where other instances dial; its text names the instance.
        seeds: links of some control instances.
        control: where operators and endpoints call.
        front: where callers connect.
        ready: where the balancer in front asks.
        metrics: where counters are served.
        data_folder: where state is kept; control instances only.
        bootstrap: whether a new cluster begins with the seeds.
        platform: where orders and usage reports go.
        secret: proves instances to each other.
        bounds: what was promised.
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


def parse(document: documents.InstanceFile, source: str) -> InstanceSettings:
    """Return checked settings.

    Args:
        document: the decoded file.
        source: its name for errors.

    Raises:
        SettingsError: names the path and what was expected.
    """
    _validate(document, source)
    host, link_port = document["host"], document["ports"][0]
    listen = document["listen"]
    folder = document.get("data_folder")
    if "control" in listen and not folder:
        raise errors.SettingsError(
            "a control instance needs one",
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
    )


def _validate(document: documents.InstanceFile, source: str) -> None:
    """Check the file; only one that fails is looked at for the path."""
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
    )


def _to_ms(seconds: float | None, default: int) -> int:
    return default if seconds is None else int(seconds * 1000)


def load(path: pathlib.Path) -> InstanceSettings:
    """Return the settings of a file.

    Raises:
        SettingsError: the file is missing, not JSON, or not acceptable.
    """
    return parse(jsonc.read(path), str(path))


__all__ = ["Bounds", "InstanceSettings", "load", "parse"]
