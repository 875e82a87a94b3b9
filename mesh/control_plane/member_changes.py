"""The lease `members`: its holder works out the next change of members and proposes it, see
`mesh.replication.reconfiguration`; each process logs when fewer losses are tolerable than configured.

Two holders at once do no harm: each epoch is a slot of the configuration store, so one view is decided for
it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from mesh.control_plane.joining import LINK_ALIVE_S, Joining
from mesh.control_plane.leases import NodeReaper
from mesh.control_plane.member_set import MemberSet
from mesh.control_plane.member_silence import MemberSilence
from mesh.control_plane.proposals import ProposerHost
from mesh.data_plane.membership import CONTROLLER, Membership
from mesh.dissemination.peers import Channel
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership import failure_detection
from mesh.membership.lease import LEASE, Claim, Hold, Lease, LeaseRecord, lease_value, read_lease
from mesh.membership.lease import MEMBERS as MEMBERS_LEASE
from mesh.replication.items import Item
from mesh.replication.membership_epochs import MEMBERS, VIEW, View, write_view
from mesh.replication.proposer import Decided
from mesh.replication.reconfiguration import (
    LossMargin,
    MemberStatus,
    loss_margin,
    plan_change,
    responding_complete,
)
from mesh.replication.store import Store
from mesh.runtime.introspection_calls import JsonObject, Refusal
from mesh.transport.frames import Head

CLAIM_DELAY_SHARE = 1 / 8  # of contact_ms, for which a process ranks first before it claims the lease
DECIDE_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.25  # after a proposal that was not decided
REMOVE_TIMEOUT_S = 5.0


class MemberChanges:
    """Holds the lease `members` when it is this process's turn, and answers operators about members."""

    def __init__(
        self,
        node: str,
        thresholds: failure_detection.SilenceThresholds,
        membership_store: Store,
        membership: Membership,
        member_set: MemberSet,
        proposer_host: ProposerHost,
        joining: Joining,
        node_reaper: NodeReaper,
        event_log: EventLog,
        on_change: Callable[[list[Item]], None],
    ) -> None:
        """``on_change`` is called with membership items that are written here."""
        self._loop = asyncio.get_running_loop()
        self.node, self.thresholds = node, thresholds
        self._membership_store, self._membership, self._member_set = membership_store, membership, member_set
        self._proposer_host, self.joining, self._node_reaper = proposer_host, joining, node_reaper
        self._event_log, self._on_change = event_log, on_change
        now = self._loop.time()
        self.lease = Lease(MEMBERS_LEASE, node, thresholds.suspect_s * CLAIM_DELAY_SHARE)
        self.member_silence = MemberSilence(
            node, thresholds, self.lease, membership, member_set, node_reaper, event_log
        )
        self._held_epoch = 0
        self._last_live_at = now  # when this process could last act
        self._proposal: asyncio.Task[bool] | None = None
        self._retry_at = now
        self._epoch = member_set.view().epoch
        self._staying: Mapping[str, str] = {}
        # Kinds of which fewer losses are tolerable than configured, as last logged.
        self._kinds_below: tuple[str, ...] = ()
        self._below_since: float | None = None
        # The latest loss margin with the arguments that it was computed from.
        self._loss_margin: tuple[View, frozenset[str], LossMargin] | None = None

    # The lease

    def items_changed(self, items: list[Item]) -> None:
        """Reads the lease from membership items that have changed."""
        for item in items:
            if item.kind == LEASE and item.name == MEMBERS_LEASE:
                try:
                    self.lease.note(self._loop.time(), read_lease(item.version, item.value))
                except ValueError as fault:
                    self._event_log.emit(events.INTERNAL_ERROR, where=f"duty {item.name}", what=str(fault))

    def tick(self, now: float) -> None:
        """Claims, releases or acts under the lease; called several times a second."""
        view = self._member_set.view()
        self.member_silence.tick(now, view)
        self.joining.forget_absent(view)
        if view.epoch != self._epoch:
            self._epoch = view.epoch
            counts, before = ", ".join(sorted(view.members)), ", ".join(sorted(view.previous_members or ()))
            self._event_log.emit(
                events.MEMBERS_CHANGED, epoch=view.epoch, count=counts, before=before or None
            )
        self._log_losses(now, view)
        live = self._node_reaper.live_controllers(now, self.thresholds.suspect_s * CLAIM_DELAY_SHARE)
        decided = self.lease.decide(now, self._candidates(view), live)
        if isinstance(decided, Claim):
            item = self._membership_store.write(LEASE, MEMBERS_LEASE, decided.epoch, lease_value(self.node))
            if isinstance(item, Item):
                self.lease.note_claimed(now, decided.epoch)
                self._on_change([item])
                decided = Hold(decided.epoch)
        if isinstance(decided, Hold) and self._held_epoch != decided.epoch:
            self._held_epoch = decided.epoch
            self._event_log.emit(events.LEASE_ACQUIRED, duty=MEMBERS_LEASE, epoch=decided.epoch)
        if self.node in live:
            self._last_live_at = now
        if not self._held_epoch:
            return
        # A process that ranks first now has to claim the lease before this one gives it up, or nobody would
        # perform it. A new view leaves this process without contact for a moment.
        if self.lease.latest != LeaseRecord(self._held_epoch, self.node):
            self._release(f"{self.lease.latest.holder} holds it")
        elif now - self._last_live_at > LINK_ALIVE_S:
            self._release("no contact with a quorum")
        else:
            self._plan_change(now, view)

    def _candidates(self, view: View) -> set[str]:
        """Nodes of members only: a joining machine does not vote yet."""
        return {node for address, node in self._nodes().items() if address in view.members}

    def _release(self, why: str) -> None:
        self._event_log.emit(events.LEASE_RELEASED, duty=MEMBERS_LEASE, epoch=self._held_epoch, why=why)
        self._held_epoch = 0
        self.member_silence.stop()

    def _plan_change(self, now: float, view: View) -> None:
        self.member_silence.ask(now, view, self._held_epoch)
        if self._proposal is not None or now < self._retry_at or not self._member_set.has_contact():
            return
        planned = plan_change(
            view, self.joining.known_members(self.member_silence.absences(now)), self._member_set.tolerance
        )
        for address, reason in planned.retained.items():
            state = self.joining.peer_states.get(address)
            if self._staying.get(address) != reason and state is not None and state.leaving:
                self._event_log.emit(events.MEMBER_REMOVAL_BLOCKED, member=address, why=reason)
        self._staying = planned.retained
        if planned.view is not None:
            self._proposal = self._loop.create_task(self._propose(planned.view))
            self._proposal.add_done_callback(self._proposal_done)

    async def _propose(self, view: View) -> bool:
        slot = (VIEW, MEMBERS, view.epoch)
        return isinstance(
            await self._proposer_host.decide({slot: write_view(view)}, DECIDE_TIMEOUT_S), Decided
        )

    def _proposal_done(self, task: asyncio.Task[bool]) -> None:
        self._proposal = None
        if task.cancelled() or task.exception() is not None or not task.result():
            self._retry_at = self._loop.time() + RETRY_DELAY_S

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of this lease. Raises KeyError, TypeError or ValueError if it is
        malformed."""
        return self.member_silence.handle_frame(channel, head)

    # Tolerable losses

    def loss_margin(self) -> LossMargin:
        """How many more losses of each kind are tolerable, with the members that respond and are complete."""
        view = self._member_set.view()
        there = responding_complete(self.joining.known_members({}), view.names)
        if self._loss_margin is None or self._loss_margin[:2] != (view, there):  # asked for at every tick
            self._loss_margin = view, there, loss_margin(view, there, self._member_set.tolerance)
        return self._loss_margin[2]

    def losses(self) -> JsonObject:
        """The loss margin, for operators and the log."""
        found = self.loss_margin()
        return {"machines": found.machines, "zones": found.zones, "regions": found.regions}

    def _log_losses(self, now: float, view: View) -> None:
        """Each process logs a change by itself, once it has lasted: a link that reconnects is no loss."""
        if self._member_set.own_address not in view.names:
            return
        below = self.loss_margin().below(self._member_set.tolerance)
        if below == self._kinds_below:
            self._below_since = None
        elif self._below_since is None:
            self._below_since = now
        elif now - self._below_since >= LINK_ALIVE_S:
            self._kinds_below, self._below_since = below, None
            event = events.TOLERANCE_REDUCED if below else events.TOLERANCE_RESTORED
            self._event_log.emit(event, **self.losses())

    # Operators

    def show(self) -> JsonObject:
        """For operators. ``members``: all members, and machines that want to join, by address."""
        now, view = self._loop.time(), self._member_set.view()
        known = self.joining.known_members(self.member_silence.absences(now))
        planned = plan_change(view, known, self._member_set.tolerance)
        nodes = self._nodes()
        rows: list[dict[str, Any]] = []
        for address, status in sorted(known.items()):
            if address in view.names or status.responding:
                rows.append(
                    {
                        "address": address,
                        "node": nodes.get(address, ""),
                        "zone": status.place.zone,
                        "region": status.place.region,
                        "counts": address in view.members,
                        "before": address in (view.previous_members or {}),
                        "whole": status.disk_complete,
                        "level": status.synced_epoch,
                        "heard": status.responding,
                        "joins": status.eligible and address not in view.members,
                        "leaves": status.leaving,
                        "silent_s": round(self.member_silence.tracker.silent_s(now, address), 1),
                        "stays": planned.retained.get(address)
                        or self._describe_wait(now, view, status, address),
                    }
                )
        return {
            "epoch": view.epoch,
            "joint": view.joint,
            "members": rows,
            "borne": self.losses(),
            "waits": planned.blocked_by,
            "holder": self.lease.latest.holder,
        }

    def _describe_wait(self, now: float, view: View, status: MemberStatus, address: str) -> str:
        """Why an unreachable member has not been removed, if the plan gives no reason."""
        if status.responding or address not in view.members:
            return ""
        if not self._held_epoch:
            holder = self.lease.latest.holder or "no process yet"
            return f"{holder} holds the lease members and knows why"
        reason = self.member_silence.describe_wait(now, view, address)
        return reason or ("" if not view.joint else "another change is in progress")

    def status(self) -> JsonObject:
        """For operators: holder and epoch of the lease, and whether this process holds it."""
        newest = self.lease.latest
        return {
            MEMBERS_LEASE: {"epoch": newest.epoch, "holder": newest.holder, "here": bool(self._held_epoch)}
        }

    def _nodes(self) -> dict[str, str]:
        nodes = {}
        for name, info in self._membership.nodes.items():
            host = self._membership.address(name)
            if host is not None and info.get("role") == CONTROLLER:
                nodes[host[0]] = name
        return nodes

    async def remove(self, head: Head) -> JsonObject | Refusal:
        """Removes a machine that an operator reports as gone for good, without waiting for its silence. The
        change must be as safe as any other."""
        name, view = str(head["node"]), self._member_set.view()
        nodes = self._nodes()
        address = next((a for a, node in nodes.items() if node == name), name)
        if address not in view.names:
            return Refusal(f"{name}: is not a member; members show lists the members")
        if address in self.joining.reachable() | {self._member_set.own_address}:
            return Refusal(f"{name}: runs, and would join again: stop it, or set counted = false there")
        if not self._member_set.has_contact():
            return Refusal(f"{self.node} has no contact with a quorum; ask another with --at")
        if view.joint:
            return Refusal(f"a change is in progress (epoch {view.epoch}); try again when it has ended")
        planned = plan_change(
            view,
            self.joining.known_members(self.member_silence.absences(self._loop.time()), address),
            self._member_set.tolerance,
        )
        if address in planned.retained:
            return Refusal(f"{name}: not safe now: {planned.retained[address]}")
        if planned.view is None:
            return Refusal(f"{name}: not safe now: {planned.blocked_by}")
        until = self._loop.time() + REMOVE_TIMEOUT_S
        if not await self._propose(planned.view):
            return Refusal(f"{name}: the change was not decided in time; check members show and try again")
        while (after := self._member_set.view()).joint and self._loop.time() < until:
            await asyncio.sleep(0.02)
        if address in after.names:
            return Refusal(f"{name}: the change is in progress (epoch {after.epoch}); check members show")
        return {"removed": address, "epoch": after.epoch, "members": sorted(after.members)}
