"""What a sidecar tells of what is in force there, and what a control process makes of all reports. No I/O.

A report is its vector (all that it holds, in a few numbers), the few items that it holds and does not go by
yet, and its first part's counts. Past MOST_NAMED such items the vector is the last one that had room for all:
too little is confirmed for a moment, never too much.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import Struct

from mesh.replication.items import Item, Key

REPORTS, REPORT = "reports", "report"  # the store, and the kind of its items
MAX_NAMED_ITEMS = 8  # items held back, and items under watch, that a report names
MAX_SOURCES = 256


class CanaryCounts(Struct, frozen=True):
    """What the first part saw: calls and failures by the new way, and by the old one."""

    key: Key
    version: int
    new: tuple[int, int]
    old: tuple[int, int]


class RolloutReport(Struct, frozen=True):
    vector: Mapping[str, int]
    held: Mapping[Key, int]  # known here and not in force: the version that is known
    unnamed: int  # items held back beyond those; the vector is older than them then
    counts: tuple[CanaryCounts, ...]

    def confirms(self, item: Item) -> bool:
        """Whether that item, at its rank or a higher one, is in force there."""
        return self.vector.get(item.source, 0) >= item.number and item.key not in self.held


def required_vector(items: Iterable[Item]) -> dict[str, int]:
    """What confirms these items: by source, the number to which a vector that holds all of them has risen."""
    needs: dict[str, int] = {}
    for item in items:
        needs[item.source] = max(item.number, needs.get(item.source, 0))
    return needs


def pack(report: RolloutReport) -> dict[str, Any]:
    told: dict[str, Any] = {"v": dict(report.vector)}
    if report.held:
        told["held"] = [[*key, version] for key, version in report.held.items()]
    if report.unnamed:
        told["more"] = report.unnamed
    if report.counts:
        told["counts"] = [[*c.key, c.version, *c.new, *c.old] for c in report.counts]
    return told


def read(told: Mapping[str, Any]) -> RolloutReport:
    """Raises KeyError, TypeError or ValueError for what is no report; fields unknown here are passed over."""
    vector = told["v"]
    if not isinstance(vector, dict) or len(vector) > MAX_SOURCES:
        raise ValueError(f"v: give at most {MAX_SOURCES} entries by source")
    held = {
        (str(kind), str(name)): int(version) for kind, name, version in told.get("held", [])[:MAX_NAMED_ITEMS]
    }
    counts = [
        CanaryCounts((str(kind), str(name)), int(version), (int(n), int(bad)), (int(old_n), int(old_bad)))
        for kind, name, version, n, bad, old_n, old_bad in told.get("counts", [])[:MAX_NAMED_ITEMS]
    ]
    return RolloutReport(
        {str(source): int(number) for source, number in vector.items()},
        held,
        int(told.get("more", 0)),
        tuple(counts),
    )
