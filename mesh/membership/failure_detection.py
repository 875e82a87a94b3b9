"""Which nodes are gone for good, so that their items may be dropped. No I/O; seconds of the caller's steady
clock.

A node is gone when none of the control processes that can be heard, more than half of the members among them,
has heard it for `Spans.gone_s`. Silence is counted only over time in which the listener itself ran. Where
most of a zone fell silent, it is the zone that is cut off, and its nodes stay until some are heard again or
`Spans.zone_s` is over. A drop has the next version, and who comes back says itself anew above that.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct

from mesh.replication.items import Item

LEAST_S = 20.0  # the shortest silence after which a node may be gone
CONTACTS, BEATS = 5.0, 4.0  # and so many times contact_ms and the upstreams' period of beats
ZONE_S = 600.0  # the same where most of a zone is silent
GAP_S = 2.0  # between two looks; a longer one tells that this process itself stood still
MOST_ASKED = 1024  # nodes of one question


class Spans(Struct, frozen=True):
    """Seconds of silence: from which a node counts as silent, as gone, and as gone with most of its zone."""

    suspect_s: float
    gone_s: float
    zone_s: float


class Known(Struct, frozen=True):
    """A node of the roll. ``stays``: silence never drops it."""

    zone: str
    stays: bool = False


class Verdict(Struct, frozen=True):
    """``gone``: nodes to drop; ``zones``: those of which nodes are kept though they are silent."""

    gone: tuple[str, ...]
    zones: tuple[str, ...]


def spans(contact_ms: float, beat_ms: float) -> Spans:
    """Of a deployment's own figures."""
    gone_s = max(LEAST_S, (CONTACTS * contact_ms + BEATS * beat_ms) / 1000.0)
    return Spans(contact_ms / 1000.0, gone_s, max(ZONE_S, 10.0 * gone_s))


class Watch:
    """How long each node has been silent here. Bounded by the nodes that ``look`` is given."""

    def __init__(self, now: float) -> None:
        self._since = self._looked = now  # listening without a gap; the last look
        self._heard: dict[str, float] = {}
        self._others: dict[str, float] = {}  # when another process heard it, as that one said

    def look(self, now: float, names: Collection[str]) -> None:
        """To be called at least every GAP_S. ``names``: all nodes of the roll; one that is new counts as
        heard when it came, one that is not named is forgotten."""
        if now - self._looked > GAP_S:
            self._since = now
        self._looked = now
        for name in names:
            self._heard.setdefault(name, now)
        for table in (self._heard, self._others):
            for name in [name for name in table if name not in names]:
                del table[name]

    def awake_s(self, now: float) -> float:
        """For how long it has listened without a gap."""
        return 0.0 if now - self._looked > GAP_S else now - self._since

    def heard(self, at: float, name: str) -> None:
        """Of nodes of the roll; what others say of themselves is passed over."""
        if name in self._heard:
            self._heard[name] = max(at, self._heard[name])

    def told(self, at: float, name: str) -> None:
        """Another has heard it then. Spares a question; never said to others as this one's own."""
        if name in self._heard:
            self._others[name] = max(at, self._others.get(name, at))

    def silent_s(self, now: float, name: str) -> float:
        """0 for a node that is not known: nothing can be said against it."""
        if name not in self._heard:
            return 0.0
        return min(now - self._heard[name], self.awake_s(now))

    def doubt_s(self, now: float, name: str) -> float:
        """The same, with what others said."""
        return min(self.silent_s(now, name), now - self._others.get(name, -1e18))


def asks(nodes: Mapping[str, Known], doubts: Mapping[str, float], spans: Spans) -> list[str]:
    """Of which nodes the others are to be asked: none unless one may be gone; then also those that are
    silent in the same zones, since a zone's nodes are judged together. The most silent first."""
    zones = {
        node.zone for name, node in nodes.items() if not node.stays and doubts.get(name, 0.0) >= spans.gone_s
    }
    found = [
        name
        for name, node in nodes.items()
        if node.zone in zones and doubts.get(name, 0.0) >= spans.suspect_s
    ]
    return sorted(found, key=lambda name: (-doubts[name], name))[:MOST_ASKED]


def enough(heard: Collection[str], members: Collection[str]) -> bool:
    """Whether more than half of the members say something, by address."""
    return 2 * len(set(heard) & set(members)) > len(members)


def judge(nodes: Mapping[str, Known], silences: Sequence[Mapping[str, float]], spans: Spans) -> Verdict:
    """``silences``: of this process and of each that answered, seconds by node. One that says nothing of a
    node that it was asked for has heard it. Nodes that were not asked for count as heard, too, but where
    this process (the first) doubts them they count as silent against their zone."""
    if not silences:
        return Verdict((), ())
    least = {name: min(one.get(name, 0.0) for one in silences) for name in nodes}
    asked = set[str]().union(*(one.keys() for one in silences[1:])) if silences[1:] else set(nodes)
    against = {name: least[name] if name in asked else silences[0].get(name, 0.0) for name in nodes}
    there = Counter(node.zone for node in nodes.values())
    silent = Counter(node.zone for name, node in nodes.items() if against[name] >= spans.suspect_s)
    gone, kept = [], set()
    for name, node in sorted(nodes.items()):
        if node.stays or least[name] < spans.gone_s:
            continue
        if 2 * silent[node.zone] > there[node.zone] and least[name] < spans.zone_s:
            kept.add(node.zone)
        else:
            gone.append(name)
    return Verdict(tuple(gone), tuple(sorted(kept)))


def dropped(item: Item | None) -> bool:
    """Whether others gave this process up, by the item that it has said of itself."""
    return item is not None and item.value is None


def above(item: Item | None, version: int) -> int:
    """A version for what a process says of itself: ``version``, or more where the roll holds as much already
    (a drop, or an earlier life whose clock was ahead)."""
    return max(version, item.version + 1) if item is not None else version


def drops(items: Iterable[Item]) -> list[tuple[str, str, int, None]]:
    """Writes that drop these."""
    return [(item.kind, item.name, item.version + 1, None) for item in items if item.value is not None]
