"""Which members are silent to more than half of them: the holder of the duty `members` asks, the others
answer. Judged by `membership.failure_detection`, with the zone's other nodes; what is to follow is
`replication.reconfiguration`'s."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mesh.control_plane import member_messages
from mesh.control_plane.leases import ANSWER_TIMEOUT_S, ReapingDuty
from mesh.control_plane.member_messages import ClaimSuperseded, SilenceAnswer, SilenceQuery
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.data_plane.membership import CONTROLLER, Membership
from mesh.dissemination.peers import Channel
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.failure_detection import (
    MAX_QUERIED_NODES,
    NodeInfo,
    SilenceReport,
    SilenceThresholds,
    SilenceTracker,
    assess_silence,
    is_majority,
    min_silence,
)
from mesh.membership.lease import MEMBERS, DutyLease
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place
from mesh.replication.reconfiguration import Absence
from mesh.transport.frames import Head

QUERY_INTERVAL_S = 0.5  # between two questions for silence; `suspect_s` where the same are silent


@dataclass(eq=False, slots=True)
class _QueryRound:
    """One question to all that are heard, and what they answered."""

    number: int
    began: float
    nodes: list[str]
    waits: set[str]  # addresses that have not answered
    heard: set[str]  # addresses that have, this one among them
    reports: list[SilenceReport] = field(default_factory=list)


class MemberSilence:
    """What the holder of the duty `members` learns of silent members, and what others answer it."""

    def __init__(
        self,
        node: str,
        spans: SilenceThresholds,
        lease: DutyLease,
        membership: Membership,
        member_set: MemberSet,
        reaping: ReapingDuty,
        event_log: EventLog,
    ) -> None:
        """``node``: this process; ``turn``: its turn at the duty, under which it asks."""
        self._loop = asyncio.get_running_loop()
        self._node, self.thresholds, self._lease = node, spans, lease
        self._suspect_thresholds = SilenceThresholds(spans.suspect_s, spans.suspect_s, spans.zone_gone_s)
        self._membership, self._member_set, self._reaping = membership, member_set, reaping
        self._event_log = event_log
        self._started_at = self._loop.time()
        self.tracker = SilenceTracker(self._started_at)  # of members, by address
        self._count = 0
        self._round: _QueryRound | None = None
        self._queried_at = -1e18
        self._absences: dict[str, Absence] = {}
        self._assessed_at = -1e18

    def tick(self, now: float, view: View) -> None:
        """Notes which members have been heard; to be called every GAP_S at least."""
        self.tracker.poll(now, view.names | {self._member_set.own_address})
        self.tracker.note_link_contact(now, self._member_set.own_address, self._started_at)
        for address, channel in self._member_set.peers().items():
            self.tracker.note_link_contact(channel.link.heard_at, address, channel.link.since)

    def stop(self) -> None:
        """The duty is another's now."""
        self._round, self._absences = None, {}

    def absences(self, now: float) -> Mapping[str, Absence]:
        """By the word of more than half, by address; empty once that word is old."""
        return self._absences if now - self._assessed_at <= 2.0 * self.thresholds.suspect_s else {}

    # Asking

    def ask(self, now: float, view: View, epoch: int) -> None:
        """Asks the others for how long members have been silent there, once one of them may be gone."""
        if now - self._queried_at < QUERY_INTERVAL_S:
            return
        silent = [a for a in sorted(view.names) if self.tracker.silent_s(now, a) >= self.thresholds.suspect_s]
        same = silent == [address for address, absence in self._absences.items() if absence.silent]
        if same and silent and now - self._assessed_at < self.thresholds.suspect_s:
            return
        self._round = None
        if not silent:
            self._absences = {}
            return
        self._queried_at = now
        self._count += 1
        names = [*silent, *self._unheard_neighbors(now, view, silent)][:MAX_QUERIED_NODES]
        self._round = asked = _QueryRound(self._count, now, names, set(), {self._member_set.own_address})
        question = member_messages.encode(SilenceQuery(self._count, epoch, self._node, names))
        for address, channel in self._member_set.peers().items():
            asked.waits.add(address)
            channel.link.send(question)
        self._conclude(now)

    def _unheard_neighbors(self, now: float, view: View, silent: Iterable[str]) -> list[str]:
        """Nodes that count for nothing, of the zones of silent members, that are not heard here: whether one
        of them is heard elsewhere tells a member that is gone from a zone that is cut off."""
        zones = {_place(view, address).zone for address in silent}
        return [
            name
            for name, zone in self._other_nodes(view).items()
            if zone in zones
            and self._reaping.tracker.silent_s(now, name) >= self.thresholds.partition_window_s
        ]

    def _other_nodes(self, view: View) -> dict[str, str]:
        """Nodes of the membership store that are no members, with their zones."""
        found = {}
        for name, told in self._membership.nodes.items():
            host = self._membership.address(name)
            if host is None or told.get("role") != CONTROLLER or host[0] not in view.names:
                found[name] = str(told.get("zone", ""))
        return found

    def _tracker_of(self, name: str) -> SilenceTracker:
        """Members are watched by their address, other nodes by their name."""
        return self.tracker if name in self._member_set.view().names else self._reaping.tracker

    def _conclude(self, now: float) -> None:
        asked, view = self._round, self._member_set.view()
        if asked is None or asked.waits or now - asked.began > ANSWER_TIMEOUT_S:
            return
        if not is_majority(asked.heard, view.names):
            return
        known = {address: NodeInfo(_place(view, address).zone, member=True) for address in view.names}
        known |= {name: NodeInfo(zone, exempt=True) for name, zone in self._other_nodes(view).items()}
        reports = [self._own_report(now, known), *asked.reports]
        verdict = assess_silence(known, reports, self._suspect_thresholds)
        gone = set(assess_silence(known, reports, self.thresholds).gone) & set(verdict.gone)
        silent_s = min_silence(view.names, reports)
        self._absences = {
            address: Absence(
                silent=address in verdict.gone,
                gone=address in gone,
                silent_s=silent_s[address],
                zone_silent=known[address].zone in verdict.kept_zones,
            )
            for address in asked.nodes
            if address in view.names
        }
        self._assessed_at = now

    def _own_report(self, now: float, names: Iterable[str]) -> SilenceReport:
        silent, heard = {}, {}
        for name in names:
            watch = self._tracker_of(name)
            silent[name] = watch.silent_s(now, name)
            heard_s = watch.linked_s(now, name)
            if heard_s is not None:
                heard[name] = heard_s
        return SilenceReport(silent, heard)

    # Operators

    def describe_wait(self, now: float, view: View, address: str) -> str:
        """What keeps a member that is not heard here, as the duty's holder knows it; "" where the next change
        is to take it out."""
        silent_s, bound_s = self.tracker.silent_s(now, address), self.thresholds.suspect_s
        if silent_s < bound_s:
            return f"not heard for {silent_s:.0f} s, less than {bound_s:g} s"
        absence = self.absences(now).get(address)
        if absence is None:
            asked = self._round
            waits = ", ".join(sorted(asked.waits)) if asked is not None else ""
            if waits:
                return f"the others are asked; no answer yet from {waits}"
            if asked is not None and not is_majority(asked.heard, view.names):
                return f"of {len(view.names)} members only {len(asked.heard)} could be asked"
            return "the others are asked next"
        if absence.silent:
            return ""
        if absence.silent_s < bound_s:
            return f"another member heard it {absence.silent_s:.0f} s ago"
        zone = _place(view, address).zone
        left_s = max(self.thresholds.zone_gone_s - absence.silent_s, 0.0)
        return (
            f"nobody of zone {zone} was heard after it, or only just now: the zone may be cut off. It goes "
            f"once another machine of the zone is heard, after {left_s:.0f} s, or by members remove"
        )

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of this conversation. Raises ValueError for what cannot be read."""
        frame = member_messages.decode(head)
        if isinstance(frame, SilenceQuery):
            self._handle_query(self._loop.time(), channel, frame)
        elif isinstance(frame, SilenceAnswer):
            self._handle_answer(self._loop.time(), address_of(channel), frame)
        elif isinstance(frame, ClaimSuperseded):
            self._lease.note(self._loop.time(), member_messages.lease_record(frame))
        return frame is not None

    def _handle_query(self, now: float, channel: Channel, question: SilenceQuery) -> None:
        claim = member_messages.lease_record(question)
        if not self._lease.note(now, claim):
            newest = self._lease.latest
            self._event_log.tell(events.EPOCH_OLD, duty=MEMBERS, epoch=claim.epoch, newest=newest.epoch)
            refused = ClaimSuperseded(newest.epoch, newest.holder)
            channel.link.send(member_messages.encode(refused))
            return
        report = self._own_report(now, question.of)
        linked = [report.linked_s.get(name) for name in question.of]
        answer = SilenceAnswer(
            question.n,
            [round(report.silent_s[name], 1) for name in question.of],
            [None if heard_s is None else round(heard_s, 1) for heard_s in linked],
        )
        channel.link.send(member_messages.encode(answer))

    def _handle_answer(self, now: float, address: str, answer: SilenceAnswer) -> None:
        asked = self._round
        if asked is None or answer.n != asked.number or address not in asked.waits:
            return
        report = answer.report(asked.nodes)
        asked.waits.discard(address)
        asked.heard.add(address)
        asked.reports.append(report)
        self._conclude(now)


def _place(view: View, address: str) -> Place:
    return view.members.get(address) or (view.previous_members or {}).get(address) or Place("", "")
