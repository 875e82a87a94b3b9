"""Limits the permanent losses of a drawn day to what a mesh can survive. No I/O.

The bench itself holds back entries that would lose more counted machines at once than a site tolerates. It
does not hold back successive permanent losses: half of the core, then half of the rest, or five sixths of
all upstreams. A core without its majority can decide nothing, and lost upstreams serve nothing, so a broken
RECOVER or CONFIG on such a day says nothing about the mesh. The rule:

- of the machines that count, fewer than half of the initial ones leave permanently on one day, without the
  closing fault: a majority of the first members remains, whoever replaces the others;
- of each service, at most ``MAX_LOST_UPSTREAM_SHARE`` of the upstreams leave permanently on one day; the
  machine of a sidecar takes its upstream with it. More than half of a service remains, including slow and
  cold upstreams.

Entries are processed in the order of time. One that exceeds the budget is reduced to what is left. If
nothing is left, its permanent variants are removed, and an entry whose kind has no other variant is dropped.
Targets that come back, or are replaced by the same entry, are not limited.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

Entry = dict[str, Any]
Site = Mapping[str, Any]

MAX_LOST_UPSTREAM_SHARE = 0.4
DEFAULT_SHARE = 0.5  # if neither the entry nor the text of the bench states one
MIN_SHARE = 0.01  # a reduced entry with a smaller share is dropped


@dataclass
class LossBudget:
    """The permanent losses that are still allowed on one day."""

    machines: int  # of those that count
    upstream_share: float  # of each service
    core_size: int
    upstreams_at: Mapping[tuple[str, str], int]  # by service and zone

    @classmethod
    def for_site(cls, site: Site) -> LossBudget:
        """Returns the budget of a complete deployment."""
        core_size = sum(machine["count"] for machine in site["machines"] if machine["class"] == "core")
        upstreams_at: dict[tuple[str, str], int] = {}
        for machine in site["machines"]:
            if "app" in machine:
                place = (machine["app"], machine["zone"])
                upstreams_at[place] = upstreams_at.get(place, 0) + machine["count"]
        return cls(max((core_size - 1) // 2, 0), MAX_LOST_UPSTREAM_SHARE, core_size, upstreams_at)

    def limit(self, entry: Entry, figures: Mapping[str, float | None], target: str) -> Entry | None:
        """Reduces an entry to the budget and subtracts its losses; returns None if nothing is left.

        ``figures`` are the defaults of its kind, ``target`` is "machines" or "servers".
        """
        if target == "machines" and entry.get("on") == "core":
            return self._limit_machines(entry, figures)
        return self._limit_upstreams(entry, figures)

    def _limit_machines(self, entry: Entry, figures: Mapping[str, float | None]) -> Entry | None:
        requested = entry.get("count")
        if requested is None:
            requested = -(-self.core_size * requested_share(entry, figures) // 1)
        number = min(int(requested), self.machines)
        if number < 1:
            return None
        self.machines -= number
        return {**without_size(entry), "count": number}

    def _limit_upstreams(self, entry: Entry, figures: Mapping[str, float | None]) -> Entry | None:
        affected_share = self._largest_affected_share(entry)
        if "count" in entry:
            share = min(entry["count"] / max(self._smallest_affected_count(entry), 1), 1.0)
        else:
            share = requested_share(entry, figures)
        share = min(share, self.upstream_share / affected_share)
        if share < MIN_SHARE:
            return None
        self.upstream_share -= share * affected_share
        return {**without_size(entry), "share": round(share, 3)}

    def _services(self, entry: Entry) -> list[str]:
        named = entry.get("service")
        return [named] if named else sorted({service for service, _ in self.upstreams_at})

    def _upstream_count(self, service: str, entry: Entry) -> int:
        zone = entry.get("zone")
        return sum(
            count
            for (name, place), count in self.upstreams_at.items()
            if name == service and zone in (None, place)
        )

    def _largest_affected_share(self, entry: Entry) -> float:
        """Returns the share of the most affected service that an entry selects."""
        shares = [
            self._upstream_count(service, entry) / max(self._upstream_count(service, {}), 1)
            for service in self._services(entry)
        ]
        return max(shares, default=0.0) or 1.0

    def _smallest_affected_count(self, entry: Entry) -> int:
        counts = [self._upstream_count(service, entry) for service in self._services(entry)]
        return min((count for count in counts if count), default=1)


def requested_share(entry: Entry, figures: Mapping[str, float | None]) -> float:
    """Returns the share of the entry, of its kind, or the default."""
    share = entry.get("share", figures.get("share"))
    return DEFAULT_SHARE if share is None else float(share)


def without_size(entry: Entry) -> Entry:
    """Returns the entry without the number of its targets."""
    return {key: value for key, value in entry.items() if key not in ("share", "count")}
