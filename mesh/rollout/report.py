"""Reports of sidecars about the items in force there. No I/O.

A report has the version vector of the items that the sidecar holds, the few items that it holds but has not
activated yet, and the call counts of its canary routes. Beyond MAX_NAMED_ITEMS such items the vector is the
last one for which all were named: for a moment too little is confirmed, never too much.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from msgspec import Struct

from mesh.replication.items import Item, Key

REPORTS, REPORT = "reports", "report"  # name of the store, and kind of its items
MAX_NAMED_ITEMS = 8  # items held back, and watched routes, in one report
MAX_SOURCES = 256


class CanaryCounts(Struct, frozen=True):
    """Calls and failures of the new and of the old version of a route, as a canary counted them."""

    key: Key
    version: int
    new: tuple[int, int]
    old: tuple[int, int]


class RolloutReport(Struct, frozen=True):
    """A sidecar's report of the items in force there."""

    vector: Mapping[str, int]
    held: Mapping[Key, int]  # items not in force yet, with the version received
    unnamed: int  # further items held back; the vector is then older than these
    counts: tuple[CanaryCounts, ...]

    def confirms(self, item: Item) -> bool:
        """Whether that item, in its version or a higher one, is in force there."""
        return self.vector.get(item.source, 0) >= item.number and item.key not in self.held


def required_vector(items: Iterable[Item]) -> dict[str, int]:
    """The least vector that holds all of these items: the highest number by source."""
    required: dict[str, int] = {}
    for item in items:
        required[item.source] = max(item.number, required.get(item.source, 0))
    return required


def pack(report: RolloutReport) -> dict[str, Any]:
    """The report as the value of an item."""
    fields: dict[str, Any] = {"v": dict(report.vector)}
    if report.held:
        fields["held"] = [[*key, version] for key, version in report.held.items()]
    if report.unnamed:
        fields["more"] = report.unnamed
    if report.counts:
        fields["counts"] = [[*c.key, c.version, *c.new, *c.old] for c in report.counts]
    return fields


def read(fields: Mapping[str, Any]) -> RolloutReport:
    """Parses the value of a report; ignores unknown fields. Raises KeyError, TypeError or ValueError."""
    vector = fields["v"]
    if not isinstance(vector, dict) or len(vector) > MAX_SOURCES:
        raise ValueError(f"v: give at most {MAX_SOURCES} entries by source")
    held = {
        (str(kind), str(name)): int(version)
        for kind, name, version in fields.get("held", [])[:MAX_NAMED_ITEMS]
    }
    counts = [
        CanaryCounts((str(kind), str(name)), int(version), (int(n), int(bad)), (int(old_n), int(old_bad)))
        for kind, name, version, n, bad, old_n, old_bad in fields.get("counts", [])[:MAX_NAMED_ITEMS]
    ]
    return RolloutReport(
        {str(source): int(number) for source, number in vector.items()},
        held,
        int(fields.get("more", 0)),
        tuple(counts),
    )
