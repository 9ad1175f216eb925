"""Operators' calls that evacuate zones, over HTTP.

Each function calls the control instance that a target names; any one of the
deployment can serve it. An order can be repeated at will.
"""

from typing import Any
from urllib import parse

from primrosehitch import porcelain
from primrosehitch.platform import calls


def start(target: porcelain.Target, zone: str) -> Any:
    """Order that nothing more is sent to the endpoints of a zone.

    Raises:
        RequestError: the order was refused; with status 503 it may still
            come into force, and another control instance can be tried.
        LinkError: the control instance cannot be reached or does not respond.
    """
    return _order(target, calls.EVACUATE_START_PATH, zone)


def end(target: porcelain.Target, zone: str) -> Any:
    """Revoke such an order; raises the same errors."""
    return _order(target, calls.EVACUATE_END_PATH, zone)


def listed(target: porcelain.Target) -> Any:
    """Return the evacuated zones and the version that names them."""
    return porcelain.request(target, "GET", calls.EVACUATE_LIST_PATH)


def _order(target: porcelain.Target, path: str, zone: str) -> Any:
    return porcelain.request(target, "POST", path + parse.quote(zone, ""))


__all__ = ["end", "listed", "start"]
