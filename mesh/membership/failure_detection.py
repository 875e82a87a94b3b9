"""Failure detection: decides which nodes are gone for good, so that their items may be dropped. No I/O; all
times are seconds of the caller's monotonic clock.

A node is gone when it has been silent for `SilenceThresholds.gone_s` to every control process that answers,
and these include more than half of the members. Silence counts only while the listener itself was running.

A network partition silences a whole zone at once, and no node of it can be reached afterwards; machines that
fail one by one leave others of their zone reachable. So a silent node is gone only if the last contact with
some node of its zone is `partition_window_s` later, over a link of the listener's own that had been up for
RECONNECT_S, because the nodes of a zone reconnect one by one when a partition heals. Otherwise the zone may
be partitioned, and the node is kept until such contact or until `zone_gone_s`. The number of dead nodes still
in the store makes no difference (docs/design/duties.md). A drop takes the item's next version; a node that
returns publishes itself above that version.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence

from msgspec import Struct

from mesh.replication.items import Item

MIN_GONE_S = 20.0  # lower bound of `SilenceThresholds.gone_s`
CONTACT_PERIODS, HEARTBEAT_PERIODS = 5.0, 4.0  # multiples of contact_ms and beat_ms in `gone_s`
MIN_ZONE_GONE_S = 600.0  # lower bound of `SilenceThresholds.zone_gone_s`
PARTITION_WINDOW_SHARE = 1 / 3  # of `suspect_s`: nodes silenced within it may be behind one partition
RECONNECT_S = 2.2  # the longest pause between two connection attempts and one attempt: all links are up again
MAX_POLL_GAP_S = 2.0  # a longer gap between two polls means that this process itself was suspended
MAX_QUERIED_NODES = 1024  # nodes in one query
NEVER_S = float("inf")  # time since contact with a node that no reporter has ever had


class SilenceThresholds(Struct, frozen=True):
    """Seconds of silence after which a node is suspect, is gone, and is gone although its zone is silent."""

    suspect_s: float
    gone_s: float
    zone_gone_s: float

    @property
    def partition_window_s(self) -> float:
        """Nodes that fell silent further apart than this were not cut off by one partition."""
        return PARTITION_WINDOW_SHARE * self.suspect_s


class NodeInfo(Struct, frozen=True):
    """A node of the membership store. An ``exempt`` node is never dropped for silence. The disk of a
    ``member`` counts for durability: where it was the last machine of its zone, its loss counts as that of
    one machine, so that it does not block tolerating the next loss."""

    zone: str
    exempt: bool = False
    member: bool = False


class SilenceReport(Struct, frozen=True):
    """One control process's view, in seconds by node: how long the node has been silent there, and the time
    since its last message over an established link of that process's own (absent: never)."""

    silent_s: Mapping[str, float]
    linked_s: Mapping[str, float] = {}


class Verdict(Struct, frozen=True):
    """``gone``: nodes to drop; ``kept_zones``: zones with silent nodes that are kept."""

    gone: tuple[str, ...]
    kept_zones: tuple[str, ...]


def silence_thresholds(contact_ms: float, beat_ms: float) -> SilenceThresholds:
    """The thresholds for a deployment's contact bound and heartbeat period."""
    gone_s = max(MIN_GONE_S, (CONTACT_PERIODS * contact_ms + HEARTBEAT_PERIODS * beat_ms) / 1000.0)
    return SilenceThresholds(contact_ms / 1000.0, gone_s, max(MIN_ZONE_GONE_S, 10.0 * gone_s))


class SilenceTracker:
    """Tracks how long each node has been silent to this process. Bounded by the nodes passed to `poll`."""

    def __init__(self, now: float) -> None:
        self._listening_since = self._polled_at = now
        self._contacts: dict[str, float] = {}
        self._link_contacts: dict[str, float] = {}  # over a link that had been up for RECONNECT_S
        self._reported_contacts: dict[str, float] = {}  # contacts of other processes, as they reported them
        self._reported_link_contacts: dict[str, float] = {}

    def poll(self, now: float, names: Collection[str]) -> None:
        """Must be called at least every MAX_POLL_GAP_S with all nodes of the membership store. A new node
        counts as in contact now; a node that is not in ``names`` is forgotten."""
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
        """How long this process has been listening without a gap."""
        return 0.0 if now - self._polled_at > MAX_POLL_GAP_S else now - self._listening_since

    def note_contact(self, at: float, name: str) -> None:
        """Records a message from a node. Names outside the membership store are ignored."""
        if name in self._contacts:
            self._contacts[name] = max(at, self._contacts[name])

    def note_link_contact(self, at: float, name: str, since: float) -> None:
        """Records a message from a node over an own link that has been up since ``since``."""
        self.note_contact(at, name)
        if name in self._contacts and at - since >= RECONNECT_S:
            self._link_contacts[name] = max(at, self._link_contacts.get(name, at))

    def note_reported_contact(self, at: float, name: str) -> None:
        """Records a contact of another process with a node. Saves a query; never reported on as own."""
        if name in self._contacts:
            self._reported_contacts[name] = max(at, self._reported_contacts.get(name, at))

    def note_reported_link_contact(self, at: float, name: str) -> None:
        """Records a contact of another process with a node over a link of its own."""
        if name in self._contacts:
            self._reported_link_contacts[name] = max(at, self._reported_link_contacts.get(name, at))

    def silent_s(self, now: float, name: str) -> float:
        """How long a node has been silent here; 0 for an unknown node, about which nothing is known."""
        if name not in self._contacts:
            return 0.0
        return min(now - self._contacts[name], self.listening_s(now))

    def silent_anywhere_s(self, now: float, name: str) -> float:
        """How long a node has been silent here and to the processes that reported contacts."""
        return min(self.silent_s(now, name), now - self._reported_contacts.get(name, -1e18))

    def linked_s(self, now: float, name: str) -> float | None:
        """Time since the last message over an own link that had been up for RECONNECT_S; None: never."""
        return now - self._link_contacts[name] if name in self._link_contacts else None

    def linked_anywhere_s(self, now: float, name: str) -> float | None:
        """Like `linked_s`, including reported contacts. For local decisions only; never reported on."""
        known = [
            table[name] for table in (self._link_contacts, self._reported_link_contacts) if name in table
        ]
        return now - max(known) if known else None


def nodes_to_query(
    nodes: Mapping[str, NodeInfo], silences: Mapping[str, float], thresholds: SilenceThresholds
) -> list[str]:
    """The nodes to ask the other control processes about, the most silent first: none unless some node may
    be gone; then the suspect nodes of its zone too, because a zone's nodes are assessed together."""
    zones = {
        node.zone
        for name, node in nodes.items()
        if not node.exempt and silences.get(name, 0.0) >= thresholds.gone_s
    }
    found = [
        name
        for name, node in nodes.items()
        if node.zone in zones and silences.get(name, 0.0) >= thresholds.suspect_s
    ]
    return sorted(found, key=lambda name: (-silences[name], name))[:MAX_QUERIED_NODES]


def is_majority(responders: Collection[str], members: Collection[str]) -> bool:
    """Whether the responders include more than half of the members; both are addresses."""
    return 2 * len(set(responders) & set(members)) > len(members)


def assess_silence(
    nodes: Mapping[str, NodeInfo], reports: Sequence[SilenceReport], thresholds: SilenceThresholds
) -> Verdict:
    """Decides which nodes are gone, from the reports of this process and of each that answered. A report
    that omits a node counts as recent contact with the node, but not as proof that its zone is reachable."""
    if not reports:
        return Verdict((), ())
    silent = min_silence(nodes, reports)
    linked = {name: min(report.linked_s.get(name, NEVER_S) for report in reports) for name in nodes}
    zones: dict[str, list[str]] = {}
    for name, node in nodes.items():
        zones.setdefault(node.zone, []).append(name)
    latest = {zone: min(linked[name] for name in names) for zone, names in zones.items()}
    gone, kept = [], set()
    for name, node in sorted(nodes.items()):
        if node.exempt or silent[name] < thresholds.gone_s:
            continue
        others = [linked[other] for other in zones[node.zone] if other != name]
        # The node was alone in its zone: all others fell silent long before it.
        alone = all(silent[name] + thresholds.partition_window_s <= linked_s < NEVER_S for linked_s in others)
        reachable = latest[node.zone] <= silent[name] - thresholds.partition_window_s
        if reachable or silent[name] >= thresholds.zone_gone_s or (node.member and alone):
            gone.append(name)
        else:
            kept.add(node.zone)
    return Verdict(tuple(gone), tuple(sorted(kept)))


def min_silence(names: Iterable[str], reports: Sequence[SilenceReport]) -> dict[str, float]:
    """For each node, the shortest silence in any report, in seconds."""
    return {name: min(report.silent_s.get(name, 0.0) for report in reports) for name in names}


def was_dropped(item: Item | None) -> bool:
    """Whether other processes dropped this process, given the item that it published about itself."""
    return item is not None and item.value is None


def version_above(item: Item | None, version: int) -> int:
    """A version for an item that a process publishes about itself: ``version``, or the next one where the
    store already holds that or more (after a drop, or after an incarnation whose clock was ahead)."""
    return max(version, item.version + 1) if item is not None else version


def drop_writes(items: Iterable[Item]) -> list[tuple[str, str, int, None]]:
    """The writes that drop these items; already dropped ones are left out."""
    return [(item.kind, item.name, item.version + 1, None) for item in items if item.value is not None]
