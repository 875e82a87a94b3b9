"""Duties, carried out: this process's turn at them, what it asks the others, and what it answers them.

There is one: dropping nodes that are gone for good. Its holder asks every control process that it hears how
long the nodes that it doubts have been silent there, under its epoch; each that knows a higher epoch refuses.
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
from mesh.membership.lease import DUTY, REAPING, Claim, DutyLease, Hold, LeaseRecord, lease_value, read_lease
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.replication.store_answers import StoreFull
from mesh.transport.frames import Head

CHECK_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 1.0  # an answer that comes later is too old to act on
LINK_ALIVE_S = 1.0  # a link on which nothing came for longer does not show that its peer runs
MAX_DROPPED_NODES = 256  # nodes dropped at once; the rest with the next round


class QueryRound(Struct, eq=False):
    """One question to all that are heard, and what they answered: seconds of silence by node."""

    number: int
    epoch: int
    began: float
    nodes: list[str]
    waits: set[str]  # control processes that have not answered, by node
    heard: set[str]  # addresses that have, this one among them
    reports: list[failure_detection.SilenceReport] = field(default_factory=list)


def encode_link_ages(seconds: Iterable[float | None]) -> list[float | None]:
    """How long ago each node was heard over a link, as an answer has it."""
    return [None if linked_s is None else round(linked_s, 1) for linked_s in seconds]


def decode_report(nodes: Sequence[str], head: Head) -> failure_detection.SilenceReport:
    """An answer, for the nodes that were asked for; processes from before ``linked`` leave it out. Raises
    KeyError, TypeError or ValueError for what cannot be read."""
    silent = [float(silent_s) for silent_s in head["silent"]]
    linked = head.get("linked", [None] * len(nodes))
    if len(silent) != len(nodes) or len(linked) != len(nodes):
        raise ValueError("not as many answers as were asked for")
    heard = {name: float(heard_s) for name, heard_s in zip(nodes, linked, strict=True) if heard_s is not None}
    return failure_detection.SilenceReport(dict(zip(nodes, silent, strict=True)), heard)


class ReapingDuty:
    def __init__(
        self,
        node: str,
        address: str,
        spans: failure_detection.SilenceThresholds,
        roll: Store,
        membership: Membership,
        channels: Channels,
        member_set: MemberSet,
        contact: Callable[[], bool],
        event_log: EventLog,
        changed: Callable[[list[Item]], None],
    ) -> None:
        """``address``: as the members are named; ``contact``: with enough of them to act for all;
        ``changed`` is told of items written here."""
        self._loop = asyncio.get_running_loop()
        self.node, self._address, self.thresholds = node, address, spans
        self._roll, self._membership, self._channels = roll, membership, channels
        self._member_set, self._event_log, self._on_change = member_set, event_log, changed
        self._has_contact = contact
        now = self._loop.time()
        self.lease = DutyLease(REAPING, node, spans.suspect_s)
        self._started_at = now
        self.tracker = failure_detection.SilenceTracker(now)
        self._next_check_at = now
        self._held_epoch = 0  # the epoch under which this process has the duty; 0: it has not
        self._count = 0
        self._round: QueryRound | None = None
        self._kept_zones: set[str] = set()  # zones, as last told

    # What comes in

    def items_changed(self, items: Iterable[Item]) -> None:
        """Items of the roll that have changed."""
        now = self._loop.time()
        for item in items:
            if item.kind == NODE and item.value is not None:
                self.tracker.note_contact(now, item.name)
            elif item.kind == DUTY and item.name == REAPING:
                try:
                    self.lease.note(now, read_lease(item.version, item.value))
                except ValueError as fault:
                    self._event_log.tell(events.FAULT, where=f"duty {item.name}", what=str(fault))

    def link_closed(self, channel: Channel) -> None:
        self._note_link(channel)

    def _note_link(self, channel: Channel) -> None:
        self.tracker.note_link_contact(channel.link.heard_at, channel.node, channel.link.since)

    def tick(self, now: float) -> None:
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        nodes = self._nodes()
        self.tracker.poll(now, nodes.keys())
        self.tracker.note_link_contact(now, self.node, self._started_at)
        for channel in self._channels.open:
            self._note_link(channel)
        names = {name for name, told in self._membership.nodes.items() if told.get("role") == CONTROLLER}
        decided = self.lease.decide(
            now, names | {self.node}, self.live_controllers(now, self.thresholds.suspect_s)
        )
        if isinstance(decided, Claim):
            item = self._roll.write(DUTY, REAPING, decided.epoch, lease_value(self.node))
            if isinstance(item, Item):
                self.lease.note_claimed(now, decided.epoch)
                self._on_change([item])
                decided = Hold(decided.epoch)
        if isinstance(decided, Hold):
            if self._held_epoch != decided.epoch:
                self._held_epoch = decided.epoch
                self._event_log.tell(events.DUTY_TAKEN, duty=REAPING, epoch=decided.epoch)
            self._query_silence(now, nodes, decided.epoch)
        elif self._held_epoch:
            self._release()

    def _release(self) -> None:
        newest = self.lease.latest
        if newest.epoch != self._held_epoch:
            why = f"{newest.holder} has it"
        elif not self._has_contact():
            why = "no contact with most members"
        else:
            why = "not the first that is live"
        self._event_log.tell(events.DUTY_LEFT, duty=REAPING, epoch=self._held_epoch, why=why)
        self._held_epoch, self._round = 0, None
        self._kept_zones.clear()

    def live_controllers(self, now: float, awake_s: float) -> set[str]:
        """Control processes that can act, as far as this one hears: this one where it has been running for so
        long and is in touch, others that say so of themselves over a link that is alive."""
        found = {
            channel.node
            for channel in self._channels.open
            if channel.extra.get("role") == CONTROLLER
            and channel.whole
            and now - channel.link.heard_at <= LINK_ALIVE_S
        }
        if self._has_contact() and self.tracker.listening_s(now) >= awake_s:
            found.add(self.node)
        return found

    def _nodes(self) -> dict[str, failure_detection.NodeInfo]:
        """All that the roll names. Whose disk counts stays, whatever its silence: others must go on trying to
        reach it; so does this one."""
        members = self._member_set.view().names
        found = {}
        for name, told in self._membership.nodes.items():
            address = self._membership.address(name)
            member = told.get("role") == CONTROLLER and address is not None and address[0] in members
            found[name] = failure_detection.NodeInfo(str(told.get("zone", "")), member or name == self.node)
        for told in self._membership.instances.values():
            name = str(told["node"])
            if name not in found:  # its node was dropped, and then came news of it from before
                found[name] = failure_detection.NodeInfo(str(told.get("zone", "")))
        return found

    # Asking, and acting on what was answered

    def _query_silence(self, now: float, nodes: dict[str, failure_detection.NodeInfo], epoch: int) -> None:
        if self._round is not None and now - self._round.began < self.thresholds.suspect_s:
            return
        doubts = {name: self.tracker.silent_anywhere_s(now, name) for name in nodes}
        asked = failure_detection.nodes_to_query(nodes, doubts, self.thresholds)
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
            if channel.extra.get("role") == CONTROLLER and channel.node not in round.waits | {self.node}:
                round.waits.add(channel.node)
                channel.link.send(question)
        self._conclude(now)

    def _conclude(self, now: float) -> None:
        """Drops what all that were asked have not heard either, once all have answered."""
        round = self._round
        if round is None or round.waits or now - round.began > ANSWER_TIMEOUT_S:
            return
        if (
            not failure_detection.is_majority(round.heard, self._member_set.members())
            or not self._has_contact()
        ):
            return
        if self.lease.latest != LeaseRecord(round.epoch, self.node):
            return
        nodes = self._nodes()
        own = self._own_report(now, nodes)
        verdict = failure_detection.assess_silence(nodes, [own, *round.reports], self.thresholds)
        for zone in set(verdict.kept_zones) - self._kept_zones:
            self._event_log.tell(events.ZONE_KEPT, zone=zone)
        self._kept_zones = set(verdict.kept_zones)
        for name in verdict.gone[:MAX_DROPPED_NODES]:
            self._drop(name, own.silent_s[name])

    def _own_report(self, now: float, names: Iterable[str]) -> failure_detection.SilenceReport:
        heard = {name: self.tracker.linked_anywhere_s(now, name) for name in names}
        return failure_detection.SilenceReport(
            {name: self.tracker.silent_s(now, name) for name in names},
            {name: heard_s for name, heard_s in heard.items() if heard_s is not None},
        )

    def _drop(self, name: str, silent_s: float) -> None:
        instances = self._membership.at(name)
        keys = [(NODE, name), *((INSTANCE, instance) for instance in instances)]
        held = [self._roll.items[key] for key in keys if key in self._roll.items]
        taken = self._roll.write_all(failure_detection.drop_writes(held))
        if isinstance(taken, StoreFull):
            self._event_log.tell(events.STATE_FULL, reason=taken.reason)
            return
        self._event_log.tell(
            events.NODE_DROPPED, peer=name, silent_s=round(silent_s), instances=len(instances)
        )
        self._on_change(taken)

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of duties. Raises KeyError, TypeError or ValueError for what cannot be read."""
        kind = head["t"]
        if kind not in ("heard", "hears", "overtaken") or channel.extra.get("role") != CONTROLLER:
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
        standing, nodes = read_lease(head["epoch"], {"holder": head["holder"]}), head["nodes"]
        if (
            head["duty"] != REAPING
            or not isinstance(nodes, list)
            or len(nodes) > failure_detection.MAX_QUERIED_NODES
        ):
            raise ValueError("not a question of a duty that is known here")
        known = self._member_set.view().epoch
        # Who goes by an older view may count a majority that is none any more.
        old_view = int(head.get("e", known)) < known
        if not self.lease.note(now, standing) or old_view:
            newest = self.lease.latest
            self._event_log.tell(events.EPOCH_OLD, duty=REAPING, epoch=standing.epoch, newest=newest.epoch)
            channel.link.send({"t": "overtaken", "epoch": newest.epoch, "holder": newest.holder})
            return
        told = [round(self.tracker.silent_s(now, str(name)), 1) for name in nodes]
        linked = [self.tracker.linked_s(now, str(name)) for name in nodes]
        channel.link.send(
            {"t": "hears", "n": int(head["n"]), "silent": told, "linked": encode_link_ages(linked)}
        )

    def _handle_answer(self, now: float, channel: Channel, head: Head) -> None:
        round = self._round
        if round is None or head["n"] != round.number or channel.node not in round.waits:
            return
        report = decode_report(round.nodes, head)
        round.waits.discard(channel.node)
        round.heard.add(str(channel.extra.get("ip", "")))
        round.reports.append(report)
        for name, silent_s in report.silent_s.items():
            self.tracker.note_reported_contact(round.began - silent_s, name)
        for name, heard_s in report.linked_s.items():
            self.tracker.note_reported_link_contact(round.began - heard_s, name)
        self._conclude(now)

    def status(self) -> dict[str, Any]:
        """For operators: who has which duty, under which epoch."""
        newest = self.lease.latest
        return {REAPING: {"epoch": newest.epoch, "holder": newest.holder, "here": bool(self._held_epoch)}}
