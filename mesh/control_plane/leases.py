"""The lease `reaping`: its holder drops nodes that are gone for good.

The holder queries all reachable control processes, under its epoch, for how long the nodes that are silent
here have been silent there; a process that knows a higher epoch refuses.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from msgspec import Struct, field

from mesh.control_plane.member_set import MemberSet
from mesh.data_plane.membership import CONTROLLER, INSTANCE, NODE, Membership
from mesh.dissemination.peers import Channel, Channels
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership import failure_detection
from mesh.membership.lease import LEASE, REAPING, Claim, Hold, Lease, LeaseRecord, lease_value, read_lease
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.replication.store_answers import StoreFull
from mesh.transport.frames import Head

CHECK_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 1.0  # a later answer is too old to act on
LINK_ALIVE_S = 1.0  # a link that received nothing for longer does not show that its peer runs
MAX_DROPPED_NODES = 256  # nodes dropped by one query; the rest by the next


class QueryRound(Struct, eq=False):
    """One query to all reachable control processes, and the silence reports that answered it."""

    number: int
    epoch: int
    started_at: float
    nodes: list[str]
    awaiting: set[str]  # nodes of control processes without an answer yet
    answered: set[str]  # addresses that answered, this one included
    reports: list[failure_detection.SilenceReport] = field(default_factory=list)


def encode_link_ages(seconds: Iterable[float | None]) -> list[float | None]:
    """Encodes for each node the age in seconds of the last contact over a link."""
    return [None if linked_s is None else round(linked_s, 1) for linked_s in seconds]


def decode_report(nodes: Sequence[str], head: Head) -> failure_detection.SilenceReport:
    """Decodes an answer on the queried nodes; earlier releases omit ``linked``. Raises KeyError, TypeError or
    ValueError if it is malformed."""
    silent = [float(silent_s) for silent_s in head["silent"]]
    linked = head.get("linked", [None] * len(nodes))
    if len(silent) != len(nodes) or len(linked) != len(nodes):
        raise ValueError("the answer is for another number of nodes")
    linked_s = {name: float(age_s) for name, age_s in zip(nodes, linked, strict=True) if age_s is not None}
    return failure_detection.SilenceReport(dict(zip(nodes, silent, strict=True)), linked_s)


class NodeReaper:
    """Holds the lease `reaping` when it is this process's turn, and answers the queries of its holder."""

    def __init__(
        self,
        node: str,
        address: str,
        thresholds: failure_detection.SilenceThresholds,
        membership_store: Store,
        membership: Membership,
        channels: Channels,
        member_set: MemberSet,
        has_contact: Callable[[], bool],
        event_log: EventLog,
        on_change: Callable[[list[Item]], None],
    ) -> None:
        """``address``: of this process as a member; ``has_contact``: with enough members to decide;
        ``on_change`` is called with items written here."""
        self._loop = asyncio.get_running_loop()
        self.node, self._address, self.thresholds = node, address, thresholds
        self._membership_store, self._membership, self._channels = membership_store, membership, channels
        self._member_set, self._event_log, self._on_change = member_set, event_log, on_change
        self._has_contact = has_contact
        now = self._loop.time()
        self.lease = Lease(REAPING, node, thresholds.suspect_s)
        self._started_at = now
        self.tracker = failure_detection.SilenceTracker(now)
        self._next_check_at = now
        self._held_epoch = 0  # the epoch under which this process holds the lease; 0: it does not
        self._count = 0
        self._round: QueryRound | None = None
        self._kept_zones: set[str] = set()  # zones, as last logged

    # Updates

    def items_changed(self, items: Iterable[Item]) -> None:
        """Notes updates of nodes, and the lease, in membership items that have changed."""
        now = self._loop.time()
        for item in items:
            if item.kind == NODE and item.value is not None:
                self.tracker.note_contact(now, item.name)
            elif item.kind == LEASE and item.name == REAPING:
                try:
                    self.lease.note(now, read_lease(item.version, item.value))
                except ValueError as fault:
                    self._event_log.emit(events.INTERNAL_ERROR, where=f"duty {item.name}", what=str(fault))

    def link_closed(self, channel: Channel) -> None:
        """Notes the last contact with the node on a link that closed."""
        self._note_link(channel)

    def _note_link(self, channel: Channel) -> None:
        self.tracker.note_link_contact(channel.link.last_received_at, channel.node, channel.link.up_since)

    def tick(self, now: float) -> None:
        """Claims, releases or acts under the lease; called several times a second."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        nodes = self._nodes()
        self.tracker.poll(now, nodes.keys())
        self.tracker.note_link_contact(now, self.node, self._started_at)
        for channel in self._channels.open:
            self._note_link(channel)
        names = {name for name, info in self._membership.nodes.items() if info.get("role") == CONTROLLER}
        decided = self.lease.decide(
            now, names | {self.node}, self.live_controllers(now, self.thresholds.suspect_s)
        )
        if isinstance(decided, Claim):
            item = self._membership_store.write(LEASE, REAPING, decided.epoch, lease_value(self.node))
            if isinstance(item, Item):
                self.lease.note_claimed(now, decided.epoch)
                self._on_change([item])
                decided = Hold(decided.epoch)
        if isinstance(decided, Hold):
            if self._held_epoch != decided.epoch:
                self._held_epoch = decided.epoch
                self._event_log.emit(events.LEASE_ACQUIRED, duty=REAPING, epoch=decided.epoch)
            self._query_silence(now, nodes, decided.epoch)
        elif self._held_epoch:
            self._release()

    def _release(self) -> None:
        newest = self.lease.latest
        if newest.epoch != self._held_epoch:
            why = f"{newest.holder} holds it"
        elif not self._has_contact():
            why = "no contact with a quorum"
        else:
            why = "another live process precedes this one"
        self._event_log.emit(events.LEASE_RELEASED, duty=REAPING, epoch=self._held_epoch, why=why)
        self._held_epoch, self._round = 0, None
        self._kept_zones.clear()

    def live_controllers(self, now: float, min_awake_s: float) -> set[str]:
        """Control processes that can act, as known here: this one if it has contact and has been awake for
        ``min_awake_s``, and others that report so over a live link."""
        live = {
            channel.node
            for channel in self._channels.open
            if channel.peer_hello.get("role") == CONTROLLER
            and channel.peer_complete
            and now - channel.link.last_received_at <= LINK_ALIVE_S
        }
        if self._has_contact() and self.tracker.listening_s(now) >= min_awake_s:
            live.add(self.node)
        return live

    def _nodes(self) -> dict[str, failure_detection.NodeInfo]:
        """All nodes of the membership store. Members and this node are never dropped: other processes must
        keep trying to connect to them."""
        members = self._member_set.view().names
        found = {}
        for name, info in self._membership.nodes.items():
            address = self._membership.address(name)
            member = info.get("role") == CONTROLLER and address is not None and address[0] in members
            found[name] = failure_detection.NodeInfo(str(info.get("zone", "")), member or name == self.node)
        for info in self._membership.instances.values():
            name = str(info["node"])
            if name not in found:  # an older update arrived after its node was dropped
                found[name] = failure_detection.NodeInfo(str(info.get("zone", "")))
        return found

    # Queries, and acting on their answers

    def _query_silence(self, now: float, nodes: dict[str, failure_detection.NodeInfo], epoch: int) -> None:
        if self._round is not None and now - self._round.started_at < self.thresholds.suspect_s:
            return
        silences = {name: self.tracker.silent_anywhere_s(now, name) for name in nodes}
        asked = failure_detection.nodes_to_query(nodes, silences, self.thresholds)
        self._round = None
        if not asked:
            return
        self._count += 1
        self._round = round = QueryRound(self._count, epoch, now, asked, set(), {self._address})
        question = {
            "t": "heard",
            "n": self._count,
            "duty": REAPING,
            "epoch": epoch,
            "holder": self.node,
            "nodes": asked,
            "e": self._member_set.view().epoch,
        }
        for channel in list(self._channels.open):
            if channel.peer_hello.get("role") == CONTROLLER and channel.node not in round.awaiting | {
                self.node
            }:
                round.awaiting.add(channel.node)
                channel.link.send(question)
        self._conclude(now)

    def _conclude(self, now: float) -> None:
        """Drops nodes with which no queried process had contact, once all have answered."""
        round = self._round
        if round is None or round.awaiting or now - round.started_at > ANSWER_TIMEOUT_S:
            return
        if (
            not failure_detection.is_majority(round.answered, self._member_set.members())
            or not self._has_contact()
        ):
            return
        if self.lease.latest != LeaseRecord(round.epoch, self.node):
            return
        nodes = self._nodes()
        own = self._own_report(now, nodes)
        verdict = failure_detection.assess_silence(nodes, [own, *round.reports], self.thresholds)
        for zone in set(verdict.kept_zones) - self._kept_zones:
            self._event_log.emit(events.ZONE_KEPT, zone=zone)
        self._kept_zones = set(verdict.kept_zones)
        for name in verdict.gone[:MAX_DROPPED_NODES]:
            self._drop(name, own.silent_s[name])

    def _own_report(self, now: float, names: Iterable[str]) -> failure_detection.SilenceReport:
        linked_s = {name: self.tracker.linked_anywhere_s(now, name) for name in names}
        return failure_detection.SilenceReport(
            {name: self.tracker.silent_s(now, name) for name in names},
            {name: age_s for name, age_s in linked_s.items() if age_s is not None},
        )

    def _drop(self, name: str, silent_s: float) -> None:
        instances = self._membership.instances_at(name)
        keys = [(NODE, name), *((INSTANCE, instance) for instance in instances)]
        held = [self._membership_store.items[key] for key in keys if key in self._membership_store.items]
        outcome = self._membership_store.write_all(failure_detection.drop_writes(held))
        if isinstance(outcome, StoreFull):
            self._event_log.emit(events.STATE_FULL, reason=outcome.reason)
            return
        self._event_log.emit(
            events.NODE_DROPPED, peer=name, silent_s=round(silent_s), instances=len(instances)
        )
        self._on_change(outcome)

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of this lease. Raises KeyError, TypeError or ValueError if it is
        malformed."""
        kind = head["t"]
        if kind not in ("heard", "hears", "overtaken") or channel.peer_hello.get("role") != CONTROLLER:
            return False
        now = self._loop.time()
        if kind == "heard":
            self._handle_query(now, channel, head)
        elif kind == "overtaken":
            self.lease.note(now, read_lease(head["epoch"], {"holder": head["holder"]}))
        else:
            self._handle_answer(now, channel, head)
        return True

    def _handle_query(self, now: float, channel: Channel, head: Head) -> None:
        claim, nodes = read_lease(head["epoch"], {"holder": head["holder"]}), head["nodes"]
        if (
            head["duty"] != REAPING
            or not isinstance(nodes, list)
            or len(nodes) > failure_detection.MAX_QUERIED_NODES
        ):
            raise ValueError("the query is for an unknown lease or for too many nodes")
        epoch = self._member_set.view().epoch
        # A holder with an older view may count a majority that no longer is one.
        old_view = int(head.get("e", epoch)) < epoch
        if not self.lease.note(now, claim) or old_view:
            newest = self.lease.latest
            self._event_log.emit(
                events.STALE_EPOCH_REFUSED, duty=REAPING, epoch=claim.epoch, newest=newest.epoch
            )
            channel.link.send({"t": "overtaken", "epoch": newest.epoch, "holder": newest.holder})
            return
        silent = [round(self.tracker.silent_s(now, str(name)), 1) for name in nodes]
        linked = [self.tracker.linked_s(now, str(name)) for name in nodes]
        channel.link.send(
            {"t": "hears", "n": int(head["n"]), "silent": silent, "linked": encode_link_ages(linked)}
        )

    def _handle_answer(self, now: float, channel: Channel, head: Head) -> None:
        round = self._round
        if round is None or head["n"] != round.number or channel.node not in round.awaiting:
            return
        report = decode_report(round.nodes, head)
        round.awaiting.discard(channel.node)
        round.answered.add(str(channel.peer_hello.get("ip", "")))
        round.reports.append(report)
        for name, silent_s in report.silent_s.items():
            self.tracker.note_reported_contact(round.started_at - silent_s, name)
        for name, age_s in report.linked_s.items():
            self.tracker.note_reported_link_contact(round.started_at - age_s, name)
        self._conclude(now)

    def status(self) -> dict[str, Any]:
        """For operators: holder and epoch of the lease, and whether this process holds it."""
        newest = self.lease.latest
        return {REAPING: {"epoch": newest.epoch, "holder": newest.holder, "here": bool(self._held_epoch)}}
