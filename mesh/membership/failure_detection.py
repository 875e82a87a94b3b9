"""Which nodes are gone for good, so that their items may be dropped. No I/O; seconds of the caller's steady
clock.

A node is gone when none of the control processes that can be heard, more than half of the members among them,
has heard it for `Spans.gone_s`. Silence is counted only over time in which the listener itself ran.

A zone that is cut off falls silent at one instant, and nobody in it is heard afterwards; machines that go one
by one leave others of their zone that are. So a silent node is gone only if somebody of its zone was heard
the partition window after it, over a link of the listener's own that had stood for RECONNECT_S: when it ends
its nodes come back one by one. Else its zone may be cut off, and it stays until that is so or `zone_gone_s`
is over. How many dead nodes the store still names makes no difference (docs/design/duties.md). A drop has
the next version, and who comes back says itself anew above that.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct

from mesh.replication.items import Item

MIN_GONE_S = 20.0  # the shortest silence after which a node may be gone
CONTACT_PERIODS, HEARTBEAT_PERIODS = (
    5.0,
    4.0,
)  # and so many times contact_ms and the upstreams' period of beats
MIN_ZONE_GONE_S = 600.0  # the same where the whole zone is silent
PARTITION_WINDOW_SHARE = (
    1 / 3
)  # of the silence that makes suspect: what falls silent within it may be one cut
RECONNECT_S = 2.2  # by then all links to a zone stand again: the longest pause between two tries, and one try
MAX_POLL_GAP_S = 2.0  # between two looks; a longer one tells that this process itself stood still
MAX_QUERIED_NODES = 1024  # nodes of one question
NEVER_S = float("inf")  # since a node was heard, where none that answered ever has


class SilenceThresholds(Struct, frozen=True):
    """Seconds of silence: from which a node counts as silent, as gone, and as gone with most of its zone."""

    suspect_s: float
    gone_s: float
    zone_gone_s: float

    @property
    def partition_window_s(self) -> float:
        """Two nodes that fell silent so far apart did not go by one cut."""
        return PARTITION_WINDOW_SHARE * self.suspect_s


class NodeInfo(Struct, frozen=True):
    """A node of the membership store. ``stays``: silence never drops it. ``member``: its disk counts; a zone
    in which no other machine was left counts then as one machine, since a member that is lost alone must not
    keep the next loss from being borne."""

    zone: str
    exempt: bool = False
    member: bool = False


class SilenceReport(Struct, frozen=True):
    """What one control process says of nodes, in seconds: for how long each has been ``silent`` there, and
    how long ago it was ``heard`` there over a link of its own that stood (left out: never)."""

    silent_s: Mapping[str, float]
    linked_s: Mapping[str, float] = {}


class Verdict(Struct, frozen=True):
    """``gone``: nodes to drop; ``zones``: those of which nodes are kept though they are silent."""

    gone: tuple[str, ...]
    kept_zones: tuple[str, ...]


def silence_thresholds(contact_ms: float, beat_ms: float) -> SilenceThresholds:
    """Of a deployment's own figures."""
    gone_s = max(MIN_GONE_S, (CONTACT_PERIODS * contact_ms + HEARTBEAT_PERIODS * beat_ms) / 1000.0)
    return SilenceThresholds(contact_ms / 1000.0, gone_s, max(MIN_ZONE_GONE_S, 10.0 * gone_s))


class SilenceTracker:
    """How long each node has been silent here. Bounded by the nodes that ``look`` is given."""

    def __init__(self, now: float) -> None:
        self._listening_since = self._polled_at = now  # listening without a gap; the last look
        self._contacts: dict[str, float] = {}
        self._link_contacts: dict[
            str, float
        ] = {}  # when something came over a link that had stood for RECONNECT_S
        self._reported_contacts: dict[str, float] = {}  # when another process heard it, as that one said
        self._reported_link_contacts: dict[str, float] = {}

    def poll(self, now: float, names: Collection[str]) -> None:
        """To be called at least every GAP_S. ``names``: all nodes of the roll; one that is new counts as
        heard when it came, one that is not named is forgotten."""
        if now - self._polled_at > MAX_POLL_GAP_S:
            self._listening_since = now
        self._polled_at = now
        for name in names:
            self._contacts.setdefault(name, now)
        for table in (
            self._contacts,
            self._link_contacts,
            self._reported_contacts,
            self._reported_link_contacts,
        ):
            for name in [name for name in table if name not in names]:
                del table[name]

    def listening_s(self, now: float) -> float:
        """For how long it has listened without a gap."""
        return 0.0 if now - self._polled_at > MAX_POLL_GAP_S else now - self._listening_since

    def note_contact(self, at: float, name: str) -> None:
        """Of nodes of the roll; what others say of themselves is passed over."""
        if name in self._contacts:
            self._contacts[name] = max(at, self._contacts[name])

    def note_link_contact(self, at: float, name: str, since: float) -> None:
        """The same, over a link of its own that stands since then."""
        self.note_contact(at, name)
        if name in self._contacts and at - since >= RECONNECT_S:
            self._link_contacts[name] = max(at, self._link_contacts.get(name, at))

    def note_reported_contact(self, at: float, name: str) -> None:
        """Another has heard it then. Spares a question; never said to others as this one's own."""
        if name in self._contacts:
            self._reported_contacts[name] = max(at, self._reported_contacts.get(name, at))

    def note_reported_link_contact(self, at: float, name: str) -> None:
        """The same, over a link of the other's own."""
        if name in self._contacts:
            self._reported_link_contacts[name] = max(at, self._reported_link_contacts.get(name, at))

    def silent_s(self, now: float, name: str) -> float:
        """0 for a node that is not known: nothing can be said against it."""
        if name not in self._contacts:
            return 0.0
        return min(now - self._contacts[name], self.listening_s(now))

    def silent_anywhere_s(self, now: float, name: str) -> float:
        """The same, with what others said."""
        return min(self.silent_s(now, name), now - self._reported_contacts.get(name, -1e18))

    def linked_s(self, now: float, name: str) -> float | None:
        """How long ago it was heard over a link of its own that had stood for RECONNECT_S; None: never."""
        return now - self._link_contacts[name] if name in self._link_contacts else None

    def linked_anywhere_s(self, now: float, name: str) -> float | None:
        """The same, with what others said. For this process's own judgement, never said on."""
        known = [
            table[name] for table in (self._link_contacts, self._reported_link_contacts) if name in table
        ]
        return now - max(known) if known else None


def nodes_to_query(
    nodes: Mapping[str, NodeInfo], doubts: Mapping[str, float], spans: SilenceThresholds
) -> list[str]:
    """Of which nodes the others are to be asked: none unless one may be gone; then also those that are
    silent in the same zones, since a zone's nodes are judged together. The most silent first."""
    zones = {
        node.zone for name, node in nodes.items() if not node.exempt and doubts.get(name, 0.0) >= spans.gone_s
    }
    found = [
        name
        for name, node in nodes.items()
        if node.zone in zones and doubts.get(name, 0.0) >= spans.suspect_s
    ]
    return sorted(found, key=lambda name: (-doubts[name], name))[:MAX_QUERIED_NODES]


def is_majority(heard: Collection[str], members: Collection[str]) -> bool:
    """Whether more than half of the members say something, by address."""
    return 2 * len(set(heard) & set(members)) > len(members)


def assess_silence(
    nodes: Mapping[str, NodeInfo], reports: Sequence[SilenceReport], spans: SilenceThresholds
) -> Verdict:
    """``reports``: of this process, and of each that answered. One that says nothing of a node has heard it,
    so the node is not gone; that is no proof that its zone can be reached."""
    if not reports:
        return Verdict((), ())
    silent = min_silence(nodes, reports)
    heard = {name: min(report.linked_s.get(name, NEVER_S) for report in reports) for name in nodes}
    zones: dict[str, list[str]] = {}
    for name, node in nodes.items():
        zones.setdefault(node.zone, []).append(name)
    latest = {zone: min(heard[name] for name in names) for zone, names in zones.items()}
    gone, kept = [], set()
    for name, node in sorted(nodes.items()):
        if node.exempt or silent[name] < spans.gone_s:
            continue
        others = [heard[other] for other in zones[node.zone] if other != name]
        # Nobody else was left there: all others fell silent long before it.
        lone = all(silent[name] + spans.partition_window_s <= heard_s < NEVER_S for heard_s in others)
        answered = latest[node.zone] <= silent[name] - spans.partition_window_s
        if answered or silent[name] >= spans.zone_gone_s or (node.member and lone):
            gone.append(name)
        else:
            kept.add(node.zone)
    return Verdict(tuple(gone), tuple(sorted(kept)))


def min_silence(names: Iterable[str], reports: Sequence[SilenceReport]) -> dict[str, float]:
    """For how long nobody who answered has heard each of these, in seconds."""
    return {name: min(report.silent_s.get(name, 0.0) for report in reports) for name in names}


def was_dropped(item: Item | None) -> bool:
    """Whether others gave this process up, by the item that it has said of itself."""
    return item is not None and item.value is None


def version_above(item: Item | None, version: int) -> int:
    """A version for what a process says of itself: ``version``, or more where the roll holds as much already
    (a drop, or an earlier life whose clock was ahead)."""
    return max(version, item.version + 1) if item is not None else version


def drop_writes(items: Iterable[Item]) -> list[tuple[str, str, int, None]]:
    """Writes that drop these."""
    return [(item.kind, item.name, item.version + 1, None) for item in items if item.value is not None]
