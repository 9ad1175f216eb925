"""Parser for endpoint announcements, which checks them field by field.

A caller decodes the JSON text first. A refused announcement leads to an
answer that names the field.
"""

from typing import Any

from primrosehitch import messages
from primrosehitch import settings as settings_module
from primrosehitch import web

MIN_PERIOD_MS = 100

_FIELD_TYPES: dict[str, Any] = {
    "name": str,
    "incarnation": int,
    "sequence": int,
    "address": str,
    "domain": str,
    "kind": str,
    "models": list,
    "slots": int,
    "cheap": bool,
    "running": int,
    "waiting": int,
    "leaving": bool,
    "reclaimed": bool,
    "prefixes": list,
    "fenced": bool,
    "resumes": bool,
    "period_ms": int,
}
_REQUIRED_FIELDS = {
    "name",
    "incarnation",
    "sequence",
    "address",
    "domain",
    "kind",
    "models",
    "slots",
}
# Exclusive upper bounds; the bound of other numbers is 1 << 63.
UPPER_BOUNDS = {
    "slots": 1 << 31,
    "running": 1 << 31,
    "waiting": 1 << 31,
    "period_ms": 60_001,
}


def parse_announcement(value: dict[str, Any]) -> messages.Announcement:
    """Return the announcement in a JSON object.

    Unknown fields are ignored, so that newer endpoints may send more.

    Args:
        value: the decoded object.

    Raises:
        RefusedError: a field is missing, has the wrong type or is out of
            range.
    """
    missing = _REQUIRED_FIELDS - set(value)
    if missing:
        raise web.RefusedError(
            web.bad_input("bad-announcement", f"missing {sorted(missing)}")
        )
    fields: dict[str, Any] = {}
    for name, expected_type in _FIELD_TYPES.items():
        if name in value:
            web.check_type(value[name], expected_type, name)
            fields[name] = value[name]
            if expected_type is int:
                _check_range(value[name], name)
    for name in ("models", "prefixes"):
        items = fields.get(name, [])
        if not all(isinstance(i, str) for i in items):
            raise web.RefusedError(
                web.bad_input("bad-announcement", f"{name}: not strings")
            )
        fields[name] = tuple(items)
    try:
        settings_module.parse_address(fields["address"])
    except ValueError:
        raise web.RefusedError(
            web.bad_input("bad-announcement", "address: not ip:port")
        ) from None
    return messages.Announcement(**fields)


def _check_range(value: int, name: str) -> None:
    lower_bound = MIN_PERIOD_MS if name == "period_ms" else 0
    if not lower_bound <= value < UPPER_BOUNDS.get(name, 1 << 63):
        raise web.RefusedError(
            web.bad_input("bad-announcement", f"{name}: out of range")
        )


__all__ = ["parse_announcement"]
