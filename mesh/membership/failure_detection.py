"""Which nodes are gone for good, so that their items may be dropped. No I/O; seconds of the caller's steady
clock.

A node is gone when none of the control processes that can be heard, more than half of the members among them,
has heard it for `Spans.gone_s`. Silence is counted only over time in which the listener itself ran.

A zone that is cut off falls silent at one instant, and nobody in it is heard afterwards; machines that go one
by one leave others of their zone that are. So a silent node is gone only if somebody of its zone was heard
`Spans.apart_s` after it, over a link of the listener's own that had stood for RETURN_S: when a cut is over
its nodes come back one by one. Else its zone may be cut off, and it stays until that is so or `Spans.zone_s`
is over. How many dead nodes the store still names makes no difference (docs/design/duties.md). A drop has
the next version, and who comes back says itself anew above that.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct

from mesh.replication.items import Item

LEAST_S = 20.0  # the shortest silence after which a node may be gone
CONTACTS, BEATS = 5.0, 4.0  # and so many times contact_ms and the upstreams' period of beats
ZONE_S = 600.0  # the same where the whole zone is silent
APART_SHARE = 1 / 3  # of the silence that makes suspect: what falls silent within it may be one cut
RETURN_S = 2.2  # by then all links to a zone stand again: the longest pause between two tries, and one try
GAP_S = 2.0  # between two looks; a longer one tells that this process itself stood still
MOST_ASKED = 1024  # nodes of one question
NEVER_S = float("inf")  # since a node was heard, where none that answered ever has


class Spans(Struct, frozen=True):
    """Seconds of silence: from which a node counts as silent, as gone, and as gone with most of its zone."""

    suspect_s: float
    gone_s: float
    zone_s: float

    @property
    def apart_s(self) -> float:
        """Two nodes that fell silent so far apart did not go by one cut."""
        return APART_SHARE * self.suspect_s


class Known(Struct, frozen=True):
    """A node of the membership store. ``stays``: silence never drops it. ``member``: its disk counts; a zone
    in which no other machine was left counts then as one machine, since a member that is lost alone must not
    keep the next loss from being borne."""

    zone: str
    stays: bool = False
    member: bool = False


class Report(Struct, frozen=True):
    """What one control process says of nodes, in seconds: for how long each has been ``silent`` there, and
    how long ago it was ``heard`` there over a link of its own that stood (left out: never)."""

    silent: Mapping[str, float]
    heard: Mapping[str, float] = {}


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
        self._linked: dict[str, float] = {}  # when something came over a link that had stood for RETURN_S
        self._others: dict[str, float] = {}  # when another process heard it, as that one said
        self._others_linked: dict[str, float] = {}

    def look(self, now: float, names: Collection[str]) -> None:
        """To be called at least every GAP_S. ``names``: all nodes of the roll; one that is new counts as
        heard when it came, one that is not named is forgotten."""
        if now - self._looked > GAP_S:
            self._since = now
        self._looked = now
        for name in names:
            self._heard.setdefault(name, now)
        for table in (self._heard, self._linked, self._others, self._others_linked):
            for name in [name for name in table if name not in names]:
                del table[name]

    def awake_s(self, now: float) -> float:
        """For how long it has listened without a gap."""
        return 0.0 if now - self._looked > GAP_S else now - self._since

    def heard(self, at: float, name: str) -> None:
        """Of nodes of the roll; what others say of themselves is passed over."""
        if name in self._heard:
            self._heard[name] = max(at, self._heard[name])

    def heard_over_link(self, at: float, name: str, since: float) -> None:
        """The same, over a link of its own that stands since then."""
        self.heard(at, name)
        if name in self._heard and at - since >= RETURN_S:
            self._linked[name] = max(at, self._linked.get(name, at))

    def told(self, at: float, name: str) -> None:
        """Another has heard it then. Spares a question; never said to others as this one's own."""
        if name in self._heard:
            self._others[name] = max(at, self._others.get(name, at))

    def told_linked(self, at: float, name: str) -> None:
        """The same, over a link of the other's own."""
        if name in self._heard:
            self._others_linked[name] = max(at, self._others_linked.get(name, at))

    def silent_s(self, now: float, name: str) -> float:
        """0 for a node that is not known: nothing can be said against it."""
        if name not in self._heard:
            return 0.0
        return min(now - self._heard[name], self.awake_s(now))

    def doubt_s(self, now: float, name: str) -> float:
        """The same, with what others said."""
        return min(self.silent_s(now, name), now - self._others.get(name, -1e18))

    def linked_s(self, now: float, name: str) -> float | None:
        """How long ago it was heard over a link of its own that had stood for RETURN_S; None: never."""
        return now - self._linked[name] if name in self._linked else None

    def linked_anywhere_s(self, now: float, name: str) -> float | None:
        """The same, with what others said. For this process's own judgement, never said on."""
        known = [table[name] for table in (self._linked, self._others_linked) if name in table]
        return now - max(known) if known else None


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


def judge(nodes: Mapping[str, Known], reports: Sequence[Report], spans: Spans) -> Verdict:
    """``reports``: of this process, and of each that answered. One that says nothing of a node has heard it,
    so the node is not gone; that is no proof that its zone can be reached."""
    if not reports:
        return Verdict((), ())
    silent = least_silent(nodes, reports)
    heard = {name: min(report.heard.get(name, NEVER_S) for report in reports) for name in nodes}
    zones: dict[str, list[str]] = {}
    for name, node in nodes.items():
        zones.setdefault(node.zone, []).append(name)
    latest = {zone: min(heard[name] for name in names) for zone, names in zones.items()}
    gone, kept = [], set()
    for name, node in sorted(nodes.items()):
        if node.stays or silent[name] < spans.gone_s:
            continue
        others = [heard[other] for other in zones[node.zone] if other != name]
        # Nobody else was left there: all others fell silent long before it.
        lone = all(silent[name] + spans.apart_s <= heard_s < NEVER_S for heard_s in others)
        answered = latest[node.zone] <= silent[name] - spans.apart_s
        if answered or silent[name] >= spans.zone_s or (node.member and lone):
            gone.append(name)
        else:
            kept.add(node.zone)
    return Verdict(tuple(gone), tuple(sorted(kept)))


def least_silent(names: Iterable[str], reports: Sequence[Report]) -> dict[str, float]:
    """For how long nobody who answered has heard each of these, in seconds."""
    return {name: min(report.silent.get(name, 0.0) for report in reports) for name in names}


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
