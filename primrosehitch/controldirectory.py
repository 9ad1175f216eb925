"""The control instances that an edge knows of, whoever told it.

Does no I/O; the caller passes the current time in ms. A control instance
tells its edges which others it hears. That view is narrow while it is cut
off, has just started or has just woken, so a view adds to what is known and
never takes away.
"""

import random
from typing import Iterable
from typing import Mapping

from primrosehitch import settings as settings_module

# The seeds and all live instances of a deployment fit several times. The
# instances that were seen least recently are forgotten beyond that.
MAX_KNOWN = 32


class KnownControl:
    """One control instance.

    Attributes:
        domain: its failure domain; empty if not known yet.
        seen_ms: when it was last heard or listed as alive, negative if
            never.
    """

    def __init__(self) -> None:
        self.domain = ""
        self.seen_ms = -1


class ControlDirectory:
    """Control instances by name, which is their link address as text.

    Args:
        seeds: names of the seeds.
        rng: orders instances that were seen at the same time.
    """

    def __init__(self, seeds: Iterable[str], rng: random.Random):
        self.rng = rng
        self.known: dict[str, KnownControl] = {}
        self.seeds: frozenset[str] = frozenset()
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds; the earlier ones stay known."""
        self.seeds = frozenset(seeds)
        for name in self.seeds:
            self.known.setdefault(name, KnownControl())
        self._forget_excess()

    def record_seen(self, name: str, now: int, domain: str = "") -> None:
        """Record that an instance was heard or is listed as alive.

        Args:
            name: its name; one that is no address is passed over.
            now: the current time in ms.
            domain: its failure domain, empty if that is not told.
        """
        if not _is_address(name):
            return
        known = self.known.setdefault(name, KnownControl())
        known.domain = domain or known.domain
        known.seen_ms = now

    def apply_view(self, domains: Mapping[str, str], now: int) -> None:
        """Add the instances that one of them hears.

        Args:
            domains: their failure domains by name.
            now: the current time in ms.
        """
        for name, domain in domains.items():
            self.record_seen(name, now, domain)
        self._forget_excess()

    def domain_of(self, name: str) -> str:
        """Return an instance's failure domain, empty if not known."""
        known = self.known.get(name)
        return known.domain if known is not None else ""

    def by_last_seen(self) -> list[str]:
        """Return all names, the instance seen last first."""
        names = list(self.known)
        self.rng.shuffle(names)
        return sorted(names, key=lambda name: -self.known[name].seen_ms)

    def _forget_excess(self) -> None:
        names = [n for n in self.by_last_seen() if n not in self.seeds]
        for name in names[max(0, MAX_KNOWN - len(self.seeds)) :]:
            del self.known[name]


def _is_address(name: str) -> bool:
    try:
        settings_module.parse_address(name)
    except ValueError:
        return False
    return True


__all__ = ["ControlDirectory", "KnownControl", "MAX_KNOWN"]
