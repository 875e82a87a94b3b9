"""The state of this machine as a member: it starts, completes its disk, syncs with a new view, leaves, and
announces each step. The members themselves are agreed on by vote, see `member_changes`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from msgspec import Struct

from mesh.control_plane.acceptor_host import AcceptorHost
from mesh.control_plane.fencing import Fencing
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.proposals import ProposerHost
from mesh.control_plane.write_batches import DiskWriter
from mesh.dissemination.peers import Channel
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.membership_epochs import MEMBERS, VIEW, View, write_view
from mesh.replication.quorum import Place
from mesh.replication.reconfiguration import PRESENT, Absence, MemberStatus, plan_change
from mesh.runtime.settings import Settings
from mesh.transport.frames import Head

STEP_INTERVAL_S = 0.1  # between two steps
STEP_TIMEOUT_S = 2.0  # for one fence or read
LINK_ALIVE_S = 1.0  # a link that received nothing for longer does not show that its peer runs
MAX_KNOWN_STATES = 256  # machines whose last state is kept; those of further ones are ignored
LEAVE_SHARE = 0.5  # of grace_s: longest time for which a stopping process stays up in order to leave


class MemberState(Struct, frozen=True):
    """What a control process announces about itself. ``epoch``: 0 if it knows no view; ``eligible``: its
    settings want it to be a member, and it has read what was acknowledged."""

    epoch: int
    disk_complete: bool
    synced_epoch: int
    eligible: bool
    leaving: bool
    place: Place

    def encode(self) -> Head:
        """The frame that announces this state."""
        return {
            "t": "member",
            "e": self.epoch,
            "whole": self.disk_complete,
            "level": self.synced_epoch,
            "counts": self.eligible,
            "leaves": self.leaving,
            "zone": self.place.zone,
            "region": self.place.region,
        }


def decode_member_state(head: Head) -> MemberState:
    """Decodes a state; raises KeyError, TypeError or ValueError if it is malformed."""
    return MemberState(
        int(head["e"]),
        bool(head["whole"]),
        int(head["level"]),
        bool(head["counts"]),
        bool(head["leaves"]),
        Place(str(head["zone"]), str(head["region"])),
    )


class Joining:
    """Brings this machine into the view and out of it, and announces its state."""

    def __init__(
        self,
        settings: Settings,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        proposer_host: ProposerHost,
        fencing: Fencing,
        disk_writer: DiskWriter,
        event_log: EventLog,
        on_disk_complete: Callable[[], None],
    ) -> None:
        """``on_disk_complete`` is called once this disk counts."""
        self._loop = asyncio.get_running_loop()
        self.settings, self._member_set, self._acceptor_host = settings, member_set, acceptor_host
        self._proposer_host, self._fencing, self._disk_writer = proposer_host, fencing, disk_writer
        self._event_log, self._on_disk_complete = event_log, on_disk_complete
        self.synced_epoch = 0  # of the last view that this machine is synced with
        self.leaving = False
        self._has_read = False  # what was acknowledged, since this process started
        self._started_at = self._loop.time()
        self._announced: MemberState | None = None  # the state that was sent last
        # The last state of each peer by address, silent ones included.
        self.peer_states: dict[str, MemberState] = {}
        acceptor_host.synced = self._is_synced
        self._task: asyncio.Task[None] | None = None

    # State of this machine

    def start(self) -> None:
        """Starts the task that joins, syncs and announces."""
        self._task = self._loop.create_task(self._run())

    def settled(self) -> bool:
        """Whether the view is not joint and lists this machine exactly if the settings want that."""
        view = self._member_set.view()
        if view.joint or not view.epoch:
            return False
        me = view.members.get(self._member_set.own_address)
        if not self.settings.counted:
            return me is None
        return me == self.place and self._disk_writer.complete

    @property
    def place(self) -> Place:
        """Zone and region of this machine."""
        return Place(self.settings.zone, self.settings.region)

    def _is_synced(self) -> bool:
        view = self._member_set.view()
        return (
            not view.joint
            or self._member_set.own_address not in view.members
            or self.synced_epoch >= view.epoch
        )

    def state(self) -> MemberState:
        """The present state of this machine."""
        view, counted = self._member_set.view(), self.settings.counted
        return MemberState(
            view.epoch,
            self._disk_writer.complete,
            self.synced_epoch,
            counted and self._has_read and not self.leaving,
            self.leaving or not counted,
            self.place,
        )

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except Exception as fault:  # the task must go on: nothing else restarts it
                self._event_log.emit(events.INTERNAL_ERROR, where="joining", what=repr(fault))
            self.announce()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _step(self) -> None:
        view, me = self._member_set.view(), self._member_set.own_address
        if not view.epoch:
            self._form_first_view()
        elif not self._disk_writer.complete:
            if me in view.names or self.settings.counted:
                await self._complete_disk()
        elif me in view.names:
            self._has_read = True
            if view.joint and me in view.members and self.synced_epoch < view.epoch:
                if await self._fencing.fence_and_read(STEP_TIMEOUT_S, fence=False):
                    self.synced_epoch = view.epoch
        elif self.settings.counted and not self._has_read:
            self._has_read = await self._proposer_host.read(STEP_TIMEOUT_S)

    async def _complete_disk(self) -> None:
        if not await self._fencing.fence_and_read(STEP_TIMEOUT_S):
            return
        await self._disk_writer.mark_complete()
        self._has_read = True
        self._on_disk_complete()

    def _form_first_view(self) -> None:
        """Repeats a first start whose processes were all killed before their first batch: all seed machines
        report an empty disk and no view, and no machine that is reachable after contact_ms knows one. The
        first view follows from the settings alone, so it is the same on all of them."""
        founders = {host for host, _ in self.settings.seeds}
        me, now = self._member_set.own_address, self._loop.time()
        if me not in founders or now - self._started_at < self.settings.bounds.contact_ms / 1000.0:
            return
        reachable = self.reachable()
        if any(state.disk_complete or state.epoch for state in self.peer_states.values()):
            return
        if not founders - {me} <= reachable & self.peer_states.keys():
            return
        first_view = write_view(View(1, dict.fromkeys(founders, Place("", ""))))
        self._event_log.emit(events.FIRST_START_REPEATED, founders=", ".join(sorted(founders)))
        self._acceptor_host.apply(*self._acceptor_host.stamp_items([((VIEW, MEMBERS, 1), first_view)]))

    # Announcements

    def announce(self) -> None:
        """Sends the state of this machine to the others if it has changed."""
        state = self.state()
        if state != self._announced:
            self._announced = state
            for channel in self._member_set.peers().values():
                channel.link.send(state.encode())

    def link_opened(self, channel: Channel) -> None:
        """Sends the state of this machine on a new link."""
        channel.link.send(self.state().encode())

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a member state. Raises KeyError, TypeError or ValueError if it is malformed."""
        if head["t"] != "member":
            return False
        address = address_of(channel)
        if address in self.peer_states or len(self.peer_states) < MAX_KNOWN_STATES:
            self.peer_states[address] = decode_member_state(head)
        return True

    def reachable(self) -> set[str]:
        """Addresses of the other control processes with a live link."""
        now = self._loop.time()
        return {
            address
            for address, channel in self._member_set.peers().items()
            if now - channel.link.last_received_at <= LINK_ALIVE_S
        }

    def known_members(self, absences: Mapping[str, Absence], removed: str = "") -> dict[str, MemberStatus]:
        """The status of each machine, as a proposer needs it. ``absences``: by address, as reported by a
        majority; ``removed``: the address that an operator removes."""
        view, reachable = self._member_set.view(), self.reachable()
        statuses = {}
        for address in view.names | self.peer_states.keys() | {self._member_set.own_address}:
            state = self.state() if address == self._member_set.own_address else self.peer_states.get(address)
            absence = absences.get(address, PRESENT)
            place = view.members.get(address) or (view.previous_members or {}).get(address) or Place("", "")
            statuses[address] = MemberStatus(
                state.place if state is not None else place,
                address == self._member_set.own_address or address in reachable,
                state is not None and state.disk_complete,
                state.synced_epoch if state is not None else 0,
                state is not None and state.eligible,
                state is not None and state.leaving,
                absence.silent,
                absence.gone,
                address == removed,
                address in absences and absence.silent_s <= LINK_ALIVE_S,
            )
        return statuses

    def forget_absent(self, view: View) -> None:
        """Drops the states of machines that are neither members nor reachable."""
        for address in self.peer_states.keys() - view.names - self.reachable():
            del self.peer_states[address]

    # Shutdown

    async def leave(self) -> None:
        """Announces that this machine leaves, and returns once it may stop: it stays up for half of its grace
        period while a change can still remove it or another member's disk is incomplete, so that what it
        holds reaches enough others first."""
        self.leaving = True
        self.announce()
        until = self._loop.time() + LEAVE_SHARE * self.settings.bounds.grace_s
        while self._should_wait() and self._loop.time() < until:
            await asyncio.sleep(0.02)
        if self._task is not None:
            self._task.cancel()

    def _should_wait(self) -> bool:
        view, me = self._member_set.view(), self._member_set.own_address
        if me not in view.names:
            return self._is_uninformed(view)
        known = self.known_members({})
        # Contact is lost for a moment with each new view, so it is not required for these two checks.
        if view.joint or self._lacks_member(view, known):
            return True
        if not self._member_set.has_contact():
            return False
        joining = any(
            status.responding and name not in view.members and not status.leaving
            for name, status in known.items()
            if name != me
        )
        return joining or me not in self._planned_members(view, known)

    def _is_uninformed(self, view: View) -> bool:
        """Whether a member of that view has not announced it yet: it may have voted for it without learning
        the decision, and the process that proposed it may be lost."""
        return any(
            address in view.members and status.epoch < view.epoch
            for address, status in self.peer_states.items()
        )

    def _lacks_member(self, view: View, known: Mapping[str, MemberStatus]) -> bool:
        """Whether another member is unreachable or its disk incomplete: it may need what this machine holds,
        and this one cannot be removed without it."""
        others = [
            status
            for name, status in known.items()
            if name in view.members and name != self._member_set.own_address
        ]
        return not all(status.responding and status.disk_complete for status in others)

    def _planned_members(self, view: View, known: Mapping[str, MemberStatus]) -> Mapping[str, Any]:
        planned = plan_change(view, known, self._member_set.tolerance).view
        return planned.members if planned is not None else view.members
