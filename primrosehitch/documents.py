"""Settings and declarations, generated from the JSON schemas.

Do not edit: run ``make messages``.
"""

from typing import NotRequired
from typing import TypedDict

ClassSpec = TypedDict(
    "ClassSpec",
    {
        "tier": int,
        "weight": NotRequired[float],
        "floor": NotRequired[float],
        "max_wait_ms": int,
        "first_token_ms": int,
        "token_gap_ms": NotRequired[int],
        "objective": NotRequired[float],
        "protected": NotRequired[bool],
    },
)

CustomerSpec = TypedDict(
    "CustomerSpec",
    {
        "label": NotRequired[str],
    },
)

GrantSpec = TypedDict(
    "GrantSpec",
    {
        "customer": str,
        "class": str,
        "weight": NotRequired[float],
        "requests_per_s": NotRequired[float],
        "concurrency": NotRequired[int],
        "tokens_per_min": NotRequired[float],
    },
)

ModelSpec = TypedDict(
    "ModelSpec",
    {
        "default_output_tokens": NotRequired[int],
    },
)

RouteSpec = TypedDict(
    "RouteSpec",
    {
        "service": str,
        "repeatable": bool,
        "class": str,
        "open": NotRequired[bool],
        "timeout_ms": NotRequired[int],
    },
)

PoolSpec = TypedDict(
    "PoolSpec",
    {
        "kind": str,
        "minimum": int,
        "maximum": NotRequired[int],
        "target_use": NotRequired[float],
        "steady_price": NotRequired[float],
        "cheap_price": NotRequired[float],
    },
)

Declaration = TypedDict(
    "Declaration",
    {
        "classes": dict[str, "ClassSpec"],
        "customers": dict[str, "CustomerSpec"],
        "grants": list["GrantSpec"],
        "models": dict[str, "ModelSpec"],
        "routes": NotRequired[dict[str, "RouteSpec"]],
        "pools": NotRequired[dict[str, "PoolSpec"]],
    },
)

ListenFile = TypedDict(
    "ListenFile",
    {
        "front": NotRequired[str],
        "ready": NotRequired[str],
        "control": NotRequired[str],
    },
)

CallsFile = TypedDict(
    "CallsFile",
    {
        "report_bytes": NotRequired[int],
        "table_bytes": NotRequired[int],
    },
)

ClientsFile = TypedDict(
    "ClientsFile",
    {
        "memory_share": NotRequired[float],
        "unread_timeout_s": NotRequired[float],
        "backlog_bytes": NotRequired[int],
        "write_buffer_bytes": NotRequired[int],
        "socket_buffer_bytes": NotRequired[int],
    },
)

BoundsFile = TypedDict(
    "BoundsFile",
    {
        "retry_ratio": NotRequired[float],
        "retry_slack": NotRequired[float],
        "retry_window_s": NotRequired[float],
        "usage_window_s": NotRequired[float],
        "usage_late_s": NotRequired[float],
        "grace_s": NotRequired[float],
        "lease_ms": NotRequired[float],
        "machines_lost": NotRequired[int],
        "cold_excess": NotRequired[float],
        "cold_slack": NotRequired[float],
        "evacuate_ms": NotRequired[float],
    },
)

OverloadFile = TypedDict(
    "OverloadFile",
    {
        "refuse": NotRequired[bool],
        "shares": NotRequired[bool],
    },
)

HedgingFile = TypedDict(
    "HedgingFile",
    {
        "share": float,
        "quantile": NotRequired[float],
        "min_delay_ms": NotRequired[int],
    },
)

InstanceFile = TypedDict(
    "InstanceFile",
    {
        "name": str,
        "domain": str,
        "host": str,
        "ports": list[int],
        "seeds": list[str],
        "listen": "ListenFile",
        "data_folder": NotRequired[str | None],
        "bootstrap": NotRequired[bool],
        "secret": NotRequired[str],
        "platform": NotRequired[str | None],
        "metrics_port": NotRequired[int],
        "bounds": NotRequired["BoundsFile"],
        "memory_mb": NotRequired[float],
        "clients": NotRequired["ClientsFile"],
        "calls": NotRequired["CallsFile"],
        "hedging": NotRequired["HedgingFile"],
        "overload": NotRequired["OverloadFile"],
    },
)

Peer = TypedDict(
    "Peer",
    {
        "name": str,
        "domain": str,
        "address": str,
        "http": str,
        "replica": NotRequired[bool],
        "cell": NotRequired[str],
    },
)

Outside = TypedDict(
    "Outside",
    {
        "address": str,
        "token": NotRequired[str],
    },
)

Settings = TypedDict(
    "Settings",
    {
        "name": str,
        "domain": str,
        "cell": NotRequired[str],
        "http": str,
        "peer": str,
        "secret": str,
        "operator_keys": list[str],
        "announce_tokens": NotRequired[dict[str, str]],
        "data_folder": NotRequired[str],
        "bootstrap": NotRequired[bool],
        "peers": NotRequired[list["Peer"]],
        "platform": NotRequired["Outside"],
        "usage": NotRequired["Outside"],
        "usage_window_s": NotRequired[float],
        "usage_flush_s": NotRequired[float],
        "key_freshness_s": NotRequired[float],
        "drain_grace_s": NotRequired[float],
        "drain_limit_s": NotRequired[float],
        "max_body_bytes": NotRequired[int],
        "max_waiting": NotRequired[int],
        "log_file": NotRequired[str],
    },
)


__all__ = [
    "BoundsFile",
    "CallsFile",
    "ClassSpec",
    "ClientsFile",
    "CustomerSpec",
    "Declaration",
    "GrantSpec",
    "HedgingFile",
    "InstanceFile",
    "ListenFile",
    "ModelSpec",
    "Outside",
    "OverloadFile",
    "Peer",
    "PoolSpec",
    "RouteSpec",
    "Settings",
]
