"""What a proxy tells the control processes of keys: words, a silent upstream, counts of requests. No I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from msgspec import Struct

from mesh.ownership.assignment import Word

KEY_REPORT = "keys"  # the kind of its items in the store of reports; the name is the node's
BUCKETS_TOLD = 96  # the fullest, of one service
WORDS_TOLD = 64


class KeyReport(Struct, frozen=True):
    """``silent``: the upstream beside the proxy, where its beats have ceased; ``counts``: requests since the
    last report, by service and bucket."""

    words: Sequence[Word]
    silent: str
    counts: Mapping[str, Mapping[int, int]]


def write_report(words: Sequence[Word], silent: str, counts: Mapping[str, Counter[int]]) -> dict[str, Any]:
    """As the item's value."""
    told: dict[str, Any] = {}
    if words:
        told["w"] = [[w.instance, w.first, w.last, w.fence, w.handover] for w in words[:WORDS_TOLD]]
    if silent:
        told["s"] = silent
    if counts:
        told["n"] = {
            service: [number for pair in sorted(one.most_common(BUCKETS_TOLD)) for number in pair]
            for service, one in counts.items()
        }
    return told


def read_report(told: Mapping[str, Any]) -> KeyReport:
    """Raises KeyError, TypeError or ValueError for what is no report."""
    words = [
        Word(str(instance), int(first), int(last), int(fence), str(handover))
        for instance, first, last, fence, handover in told.get("w", [])[:WORDS_TOLD]
    ]
    counts = {}
    for service, flat in told.get("n", {}).items():
        numbers = [int(number) for number in flat[: 2 * BUCKETS_TOLD]]
        counts[str(service)] = dict(zip(numbers[::2], numbers[1::2], strict=True))
    return KeyReport(words, str(told.get("s", "")), counts)
