"""Finds members with which a majority has no contact: the holder of the lease `members` queries the others.
The answers are assessed by `membership.failure_detection` together with other nodes of the zone;
`replication.reconfiguration` decides what follows."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mesh.control_plane import member_messages
from mesh.control_plane.leases import ANSWER_TIMEOUT_S, NodeReaper
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
from mesh.membership.lease import MEMBERS, Lease
from mesh.replication.membership_epochs import View
from mesh.replication.quorum import Place
from mesh.replication.reconfiguration import Absence
from mesh.transport.frames import Head

QUERY_INTERVAL_S = 0.5  # between two queries; suspect_s while the same members are silent


@dataclass(eq=False, slots=True)
class _QueryRound:
    """One query to all reachable members, and their answers."""

    number: int
    started_at: float
    nodes: list[str]
    awaiting: set[str]  # addresses without an answer yet
    answered: set[str]  # addresses that answered, this one included
    reports: list[SilenceReport] = field(default_factory=list)


class MemberSilence:
    """The queries of the holder of the lease `members`, and the answers of the others."""

    def __init__(
        self,
        node: str,
        thresholds: SilenceThresholds,
        lease: Lease,
        membership: Membership,
        member_set: MemberSet,
        node_reaper: NodeReaper,
        event_log: EventLog,
    ) -> None:
        """``node``: this process; ``lease``: of member changes, under which it queries."""
        self._loop = asyncio.get_running_loop()
        self._node, self.thresholds, self._lease = node, thresholds, lease
        self._suspect_thresholds = SilenceThresholds(
            thresholds.suspect_s, thresholds.suspect_s, thresholds.zone_gone_s
        )
        self._membership, self._member_set, self._node_reaper = membership, member_set, node_reaper
        self._event_log = event_log
        self._started_at = self._loop.time()
        self.tracker = SilenceTracker(self._started_at)  # of members by address
        self._count = 0
        self._round: _QueryRound | None = None
        self._queried_at = -1e18
        self._absences: dict[str, Absence] = {}
        self._assessed_at = -1e18

    def tick(self, now: float, view: View) -> None:
        """Notes which members had contact; to be called at least every MAX_POLL_GAP_S."""
        self.tracker.poll(now, view.names | {self._member_set.own_address})
        self.tracker.note_link_contact(now, self._member_set.own_address, self._started_at)
        for address, channel in self._member_set.peers().items():
            self.tracker.note_link_contact(channel.link.last_received_at, address, channel.link.up_since)

    def stop(self) -> None:
        """Another process holds the lease now."""
        self._round, self._absences = None, {}

    def absences(self, now: float) -> Mapping[str, Absence]:
        """Absences by address, as reported by a majority; empty once the reports are old."""
        return self._absences if now - self._assessed_at <= 2.0 * self.thresholds.suspect_s else {}

    # Queries

    def ask(self, now: float, view: View, epoch: int) -> None:
        """Queries how long silent members have been silent to the others, once one may be gone."""
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
        names = [*silent, *self._silent_zone_nodes(now, view, silent)][:MAX_QUERIED_NODES]
        self._round = query = _QueryRound(self._count, now, names, set(), {self._member_set.own_address})
        question = member_messages.encode(SilenceQuery(self._count, epoch, self._node, names))
        for address, channel in self._member_set.peers().items():
            query.awaiting.add(address)
            channel.link.send(question)
        self._conclude(now)

    def _silent_zone_nodes(self, now: float, view: View, silent: Iterable[str]) -> list[str]:
        """Unheard nodes that are no members, in the zones of silent members: if another process hears one of
        them, the member is gone, otherwise the zone may be cut off."""
        zones = {_place(view, address).zone for address in silent}
        return [
            name
            for name, zone in self._other_nodes(view).items()
            if zone in zones
            and self._node_reaper.tracker.silent_s(now, name) >= self.thresholds.partition_window_s
        ]

    def _other_nodes(self, view: View) -> dict[str, str]:
        """Nodes of the membership store that are no members, with their zones."""
        nodes = {}
        for name, info in self._membership.nodes.items():
            host = self._membership.address(name)
            if host is None or info.get("role") != CONTROLLER or host[0] not in view.names:
                nodes[name] = str(info.get("zone", ""))
        return nodes

    def _tracker_of(self, name: str) -> SilenceTracker:
        """Members are tracked by address, other nodes by name."""
        return self.tracker if name in self._member_set.view().names else self._node_reaper.tracker

    def _conclude(self, now: float) -> None:
        query, view = self._round, self._member_set.view()
        if query is None or query.awaiting or now - query.started_at > ANSWER_TIMEOUT_S:
            return
        if not is_majority(query.answered, view.names):
            return
        known = {address: NodeInfo(_place(view, address).zone, member=True) for address in view.names}
        known |= {name: NodeInfo(zone, exempt=True) for name, zone in self._other_nodes(view).items()}
        reports = [self._own_report(now, known), *query.reports]
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
            for address in query.nodes
            if address in view.names
        }
        self._assessed_at = now

    def _own_report(self, now: float, names: Iterable[str]) -> SilenceReport:
        silent_s, linked_s = {}, {}
        for name in names:
            tracker = self._tracker_of(name)
            silent_s[name] = tracker.silent_s(now, name)
            age_s = tracker.linked_s(now, name)
            if age_s is not None:
                linked_s[name] = age_s
        return SilenceReport(silent_s, linked_s)

    # Operators

    def describe_wait(self, now: float, view: View, address: str) -> str:
        """Why the holder of the lease does not remove a member that is silent here; "" if the next change
        removes it."""
        silent_s, bound_s = self.tracker.silent_s(now, address), self.thresholds.suspect_s
        if silent_s < bound_s:
            return f"not heard for {silent_s:.0f} s, less than {bound_s:g} s"
        absence = self.absences(now).get(address)
        if absence is None:
            query = self._round
            awaiting = ", ".join(sorted(query.awaiting)) if query is not None else ""
            if awaiting:
                return f"the other members were asked; no answer yet from {awaiting}"
            if query is not None and not is_majority(query.answered, view.names):
                return f"only {len(query.answered)} of {len(view.names)} members answered"
            return "the other members are asked next"
        if absence.silent:
            return ""
        if absence.silent_s < bound_s:
            return f"another member heard it {absence.silent_s:.0f} s ago"
        zone = _place(view, address).zone
        left_s = max(self.thresholds.zone_gone_s - absence.silent_s, 0.0)
        return (
            f"no node of zone {zone} was heard after it, or only just now: the zone may be cut off. The "
            f"member is removed once another machine of the zone is heard, after {left_s:.0f} s, or by "
            "members remove"
        )

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a query or its answer. Raises ValueError if it is malformed."""
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
            self._event_log.emit(
                events.STALE_EPOCH_REFUSED, duty=MEMBERS, epoch=claim.epoch, newest=newest.epoch
            )
            refused = ClaimSuperseded(newest.epoch, newest.holder)
            channel.link.send(member_messages.encode(refused))
            return
        report = self._own_report(now, question.of)
        linked = [report.linked_s.get(name) for name in question.of]
        answer = SilenceAnswer(
            question.n,
            [round(report.silent_s[name], 1) for name in question.of],
            [None if age_s is None else round(age_s, 1) for age_s in linked],
        )
        channel.link.send(member_messages.encode(answer))

    def _handle_answer(self, now: float, address: str, answer: SilenceAnswer) -> None:
        query = self._round
        if query is None or answer.n != query.number or address not in query.awaiting:
            return
        report = answer.report(query.nodes)
        query.awaiting.discard(address)
        query.answered.add(address)
        query.reports.append(report)
        self._conclude(now)


def _place(view: View, address: str) -> Place:
    return view.members.get(address) or (view.previous_members or {}).get(address) or Place("", "")
