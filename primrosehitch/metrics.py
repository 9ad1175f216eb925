"""The metrics of one instance, in the registry of prometheus_client.

Other modules update the metrics; the HTTP servers serve ``exposition()``.
"""

import prometheus_client

REQUESTS = prometheus_client.Counter(
    "primrosehitch_requests", "Callers' requests by outcome.", ["outcome"]
)
FIRST_TOKEN_SECONDS = prometheus_client.Histogram(
    "primrosehitch_first_token_seconds",
    "Time from the receipt of a request to its first token or its answer.",
    buckets=(0.01, 0.03, 0.1, 0.2, 0.4, 0.7, 0.98, 1.5, 3, 6, 15),
)
OUTPUT_TOKENS = prometheus_client.Counter(
    "primrosehitch_output_tokens", "Output tokens sent to callers."
)
CONFIG_VERSION = prometheus_client.Gauge(
    "primrosehitch_version", "Configuration version in force on this instance."
)
CONFIG_AGE_SECONDS = prometheus_client.Gauge(
    "primrosehitch_version_age_seconds",
    "Time since a control instance with a quorum confirmed this edge's"
    " version; -1 before the first one.",
)
IS_LEADER = prometheus_client.Gauge(
    "primrosehitch_leads",
    "1 if this instance's replica is the leader, else 0.",
)
ENDPOINTS = prometheus_client.Gauge(
    "primrosehitch_endpoints", "Endpoints known to this instance."
)
QUARANTINED_PARTS = prometheus_client.Gauge(
    "primrosehitch_quarantined_parts",
    "Prompt parts kept from endpoints because they crashed some.",
)
QUARANTINED_REQUESTS = prometheus_client.Gauge(
    "primrosehitch_quarantined_requests",
    "Requests whose repeats are kept from endpoints that they crash.",
)
LIMITED_ENDPOINTS = prometheus_client.Gauge(
    "primrosehitch_limited_endpoints",
    "Endpoints that named a limit on the requests a second.",
)
LIMITED_REQUESTS = prometheus_client.Counter(
    "primrosehitch_limited_requests",
    "Requests sent to endpoints while a limit of theirs was in force.",
)
CONNECTION_BYTES = prometheus_client.Gauge(
    "primrosehitch_connection_bytes",
    "Bytes held for callers' connections, in the process and in the kernel.",
)
CONNECTION_LIMIT_BYTES = prometheus_client.Gauge(
    "primrosehitch_connection_limit_bytes",
    "Limit on the bytes held for callers' connections.",
)
CLOSED_CONNECTIONS = prometheus_client.Counter(
    "primrosehitch_closed_connections",
    "Callers' connections closed with a response unread, or to keep the"
    " limit on the bytes held.",
    ["cause"],
)
EVACUATED_DOMAINS = prometheus_client.Gauge(
    "primrosehitch_evacuated_domains",
    "Failure domains to whose endpoints no request is sent.",
)
COLD_ENDPOINTS = prometheus_client.Gauge(
    "primrosehitch_cold_endpoints",
    "Endpoints that are cold, or presumed cold since they may have restarted.",
)
COLD_REQUESTS = prometheus_client.Counter(
    "primrosehitch_cold_requests",
    "Requests sent to endpoints while they counted as cold.",
)
OVERLOAD_REFUSALS = prometheus_client.Counter(
    "primrosehitch_overload_refusals",
    "Requests refused for lack of room, by the limit that was exceeded.",
    ["service", "tier", "cause"],
)
SCARCE_SERVICE = prometheus_client.Gauge(
    "primrosehitch_scarce_service",
    "1 while this edge finds no room at a service's endpoints, else 0.",
    ["service"],
)
HEDGES_SENT = prometheus_client.Counter(
    "primrosehitch_hedges",
    "Second attempts sent while the first one was slow.",
)
HEDGES_WON = prometheus_client.Counter(
    "primrosehitch_hedges_won",
    "Second attempts that answered before the first one.",
)
HEDGES_DENIED = prometheus_client.Counter(
    "primrosehitch_hedges_denied",
    "Slow attempts without a second one, by reason.",
    ["reason"],
)
EVENT_GAPS = prometheus_client.Counter(
    "primrosehitch_event_gaps",
    "Identifiers of events that a stream left out: passed on, refused, or"
    " confirmed by a second endpoint.",
    ["outcome"],
)
LINK_BYTES = prometheus_client.Gauge(
    "primrosehitch_link_bytes",
    "Bytes sent to peers since the process started.",
)
LINK_MESSAGES = prometheus_client.Gauge(
    "primrosehitch_link_messages",
    "Messages sent to peers since the process started.",
)
LINK_QUEUED_BYTES = prometheus_client.Gauge(
    "primrosehitch_link_queued_bytes",
    "Bytes that wait to be written to peers.",
)
TABLE_LATE_SECONDS = prometheus_client.Gauge(
    "primrosehitch_version_late_seconds",
    "Time since a control instance with a quorum announced a newer version"
    " that is not in force on this edge yet; 0 if there is none.",
)


def exposition() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


CONTENT_TYPE = prometheus_client.CONTENT_TYPE_LATEST.encode()

__all__ = [
    "CLOSED_CONNECTIONS",
    "COLD_ENDPOINTS",
    "COLD_REQUESTS",
    "CONFIG_AGE_SECONDS",
    "CONFIG_VERSION",
    "CONNECTION_BYTES",
    "CONNECTION_LIMIT_BYTES",
    "CONTENT_TYPE",
    "ENDPOINTS",
    "EVACUATED_DOMAINS",
    "EVENT_GAPS",
    "FIRST_TOKEN_SECONDS",
    "HEDGES_DENIED",
    "HEDGES_SENT",
    "HEDGES_WON",
    "IS_LEADER",
    "LIMITED_ENDPOINTS",
    "LIMITED_REQUESTS",
    "LINK_BYTES",
    "LINK_MESSAGES",
    "LINK_QUEUED_BYTES",
    "OUTPUT_TOKENS",
    "OVERLOAD_REFUSALS",
    "QUARANTINED_PARTS",
    "QUARANTINED_REQUESTS",
    "REQUESTS",
    "SCARCE_SERVICE",
    "TABLE_LATE_SECONDS",
    "exposition",
]
