"""What a proxy reports to the control processes about keys: releases, a silent upstream, request counts. No
I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from msgspec import Struct

from mesh.ownership.assignment import Release

KEY_REPORT = "keys"  # kind of its items in the report store; they are named after the node
MAX_REPORTED_BUCKETS = 96  # of one service, those with the most requests
MAX_REPORTED_RELEASES = 64


class KeyReport(Struct, frozen=True):
    """``silent_upstream``: the upstream beside the proxy if its heartbeats have ceased; ``counts``: requests
    since the last report, by service and bucket."""

    releases: Sequence[Release]
    silent_upstream: str
    counts: Mapping[str, Mapping[int, int]]


def write_report(
    releases: Sequence[Release], silent_upstream: str, counts: Mapping[str, Counter[int]]
) -> dict[str, Any]:
    """Encodes the value of the item."""
    value: dict[str, Any] = {}
    if releases:
        value["w"] = [
            [w.instance, w.first, w.last, w.fence, w.handover] for w in releases[:MAX_REPORTED_RELEASES]
        ]
    if silent_upstream:
        value["s"] = silent_upstream
    if counts:
        value["n"] = {
            service: [number for pair in sorted(one.most_common(MAX_REPORTED_BUCKETS)) for number in pair]
            for service, one in counts.items()
        }
    return value


def read_report(value: Mapping[str, Any]) -> KeyReport:
    """Decodes a report. Raises KeyError, TypeError or ValueError for anything else."""
    releases = [
        Release(str(instance), int(first), int(last), int(fence), str(handover))
        for instance, first, last, fence, handover in value.get("w", [])[:MAX_REPORTED_RELEASES]
    ]
    counts = {}
    for service, flat in value.get("n", {}).items():
        numbers = [int(number) for number in flat[: 2 * MAX_REPORTED_BUCKETS]]
        counts[str(service)] = dict(zip(numbers[::2], numbers[1::2], strict=True))
    return KeyReport(releases, str(value.get("s", "")), counts)
