"""What a drawn day may take away for good, so that it asks nothing that no mesh can keep. No I/O.

The bench itself holds back entries that would lose more counted machines at once than a site tolerates. It
does not hold back what leaves one after the other and for good: half of the core, then half of the rest, or
five sixths of all upstreams. No order can be decided by a core whose majority has left, and upstreams that
are gone serve nothing, so that a broken RECOVER or CONFIG on such a day says nothing of the mesh. The rule:

- of the machines that count, fewer than half of those at the start leave for good on one day, the closing
  fault not among them: a majority of the first members is left, whoever replaces the others;
- of each service, at most ``MOST_GONE`` of the upstreams leave for good on one day; a sidecar's machine takes
  its upstream along. What is left of a service, slow and cold ones among it, is more than half.

Entries are looked at in the order of time. One that asks for more is cut down to what is left; where nothing
is left it strikes what comes back, and where its kind has no such variant it is dropped. What comes back, or
is replaced in the same entry, is not bounded.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

Entry = dict[str, Any]
Site = Mapping[str, Any]

MOST_GONE = 0.4
USUAL_SHARE = 0.5  # where neither the entry nor the bench's words say how many
LEAST_SHARE = 0.01  # of an entry that is cut down; below it nothing is asked


@dataclass
class Losses:
    """What may still leave on one day."""

    counted: int  # machines
    upstreams: float  # share of each service
    core_size: int
    upstreams_at: Mapping[tuple[str, str], int]  # by service and zone

    @classmethod
    def of(cls, site: Site) -> Losses:
        """What a whole deployment can spare."""
        core_size = sum(machine["count"] for machine in site["machines"] if machine["class"] == "core")
        upstreams_at: dict[tuple[str, str], int] = {}
        for machine in site["machines"]:
            if "app" in machine:
                place = (machine["app"], machine["zone"])
                upstreams_at[place] = upstreams_at.get(place, 0) + machine["count"]
        return cls(max((core_size - 1) // 2, 0), MOST_GONE, core_size, upstreams_at)

    def allowed(self, entry: Entry, figures: Mapping[str, float | None], of: str) -> Entry | None:
        """The entry as far as it can be borne, and what it takes is taken off; none where nothing is left.

        ``figures`` are the kind's defaults, ``of`` says whether it strikes machines or servers.
        """
        if of == "machines" and entry.get("on") == "core":
            return self._allowed_counted(entry, figures)
        return self._allowed_upstreams(entry, figures)

    def _allowed_counted(self, entry: Entry, figures: Mapping[str, float | None]) -> Entry | None:
        wanted = entry.get("count")
        if wanted is None:
            wanted = -(-self.core_size * asked_share(entry, figures) // 1)
        number = min(int(wanted), self.counted)
        if number < 1:
            return None
        self.counted -= number
        return {**without_size(entry), "count": number}

    def _allowed_upstreams(self, entry: Entry, figures: Mapping[str, float | None]) -> Entry | None:
        pool = self._largest_part(entry)
        if "count" in entry:
            share = min(entry["count"] / max(self._smallest_pool(entry), 1), 1.0)
        else:
            share = asked_share(entry, figures)
        share = min(share, self.upstreams / pool)
        if share < LEAST_SHARE:
            return None
        self.upstreams -= share * pool
        return {**without_size(entry), "share": round(share, 3)}

    def _services(self, entry: Entry) -> list[str]:
        named = entry.get("service")
        return [named] if named else sorted({service for service, _ in self.upstreams_at})

    def _in_place(self, service: str, entry: Entry) -> int:
        zone = entry.get("zone")
        return sum(
            count
            for (name, place), count in self.upstreams_at.items()
            if name == service and zone in (None, place)
        )

    def _largest_part(self, entry: Entry) -> float:
        """What part of a service, of the one that is struck most, an entry that takes all would take."""
        parts = [
            self._in_place(service, entry) / max(self._in_place(service, {}), 1)
            for service in self._services(entry)
        ]
        return max(parts, default=0.0) or 1.0

    def _smallest_pool(self, entry: Entry) -> int:
        sizes = [self._in_place(service, entry) for service in self._services(entry)]
        return min((size for size in sizes if size), default=1)


def asked_share(entry: Entry, figures: Mapping[str, float | None]) -> float:
    """Of the entry, of the bench's words, or the usual one."""
    share = entry.get("share", figures.get("share"))
    return USUAL_SHARE if share is None else float(share)


def without_size(entry: Entry) -> Entry:
    """A trouble without how many machines it takes."""
    return {key: value for key, value in entry.items() if key not in ("share", "count")}
