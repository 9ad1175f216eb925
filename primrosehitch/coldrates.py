"""The rate at which permits for cold endpoints may be issued.

Does no I/O. In any one second a cold endpoint may get a bounded number of
requests, whatever edges they come from.
"""

import math
from typing import Iterable

from primrosehitch import endpointlimits
from primrosehitch import instance
from primrosehitch import permits
from primrosehitch import routes
from primrosehitch.coldstarts import ColdPolicy

# Requests sent within a second and this much more may arrive within one
# second: they are not under way for equally long.
ARRIVAL_SPREAD_MS = 250
# Absorbs the rounding of a bound that is a whole number.
ROUNDING = 1e-9


def issue_milli_per_s(per_s: float, excess: float, slack: float) -> int:
    """Return the largest rate of permits that keeps the bound.

    Requests that arrive within one second were sent within the spread
    more. They used permits issued within that time and the time for which
    one is valid, to which come those that had been saved up. As permits are
    whole, their number is below the largest whole bound if the sum is below
    that and one more.

    Args:
        per_s: requests a second that a cold endpoint tolerates.
        excess: factor of ``per_s`` in the bound.
        slack: number of requests that is added in the bound.

    Returns:
        Thousandths of a permit a second; 0 if the bound allows no request.
    """
    most = math.floor(per_s * excess + slack + ROUNDING)
    issued_s = (1000 + ARRIVAL_SPREAD_MS + endpointlimits.PERMIT_TTL_MS) / 1000
    saved_s = permits.MAX_SAVED_MS / 1000
    # One permit can always be saved up, however low the rate is.
    below = min(most / issued_s, (most + 1) / (issued_s + saved_s))
    return max(0, min(int(1000 * per_s), math.ceil(1000 * below) - 1))


def policies(
    services: Iterable[routes.Service], bounds: instance.Bounds
) -> dict[str, ColdPolicy]:
    """Return the policies of the services with cold endpoints, by name."""
    return {
        service.name: ColdPolicy(
            start_ms=int(1000 * service.cold_start_s),
            milli_per_s=issue_milli_per_s(
                service.cold_per_s, bounds.cold_excess, bounds.cold_slack
            ),
        )
        for service in services
        if service.cold_per_s > 0
    }


__all__ = ["issue_milli_per_s", "policies"]
