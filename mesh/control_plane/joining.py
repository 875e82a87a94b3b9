"""This machine's own way among the members: it begins, becomes whole, is level, leaves, and says so to the
other control processes. Who counts is agreed on (`minding`); nothing here counts anybody."""

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

STEP_INTERVAL_S = 0.1  # between two looks at what is to be done next
STEP_TIMEOUT_S = 2.0  # one fence, or one read
LINK_ALIVE_S = 1.0  # a link on which nothing came for longer does not show that its peer runs
MAX_KNOWN_STATES = 256  # machines of which it is known what they said last; more are passed over
LEAVE_SHARE = 0.5  # of grace_s: so long one that is told to end stays up for its leaving


class MemberState(Struct, frozen=True):
    """What a control process says of itself. ``epoch``: 0 where it knows no view; ``counts``: its settings
    want it to count, and it has caught up."""

    epoch: int
    whole: bool
    caught_up_epoch: int
    counts: bool
    leaves: bool
    place: Place

    def encode(self) -> Head:
        return {
            "t": "member",
            "e": self.epoch,
            "whole": self.whole,
            "level": self.caught_up_epoch,
            "counts": self.counts,
            "leaves": self.leaves,
            "zone": self.place.zone,
            "region": self.place.region,
        }


def decode_member_state(head: Head) -> MemberState:
    """Raises KeyError, TypeError or ValueError for what cannot be read."""
    return MemberState(
        int(head["e"]),
        bool(head["whole"]),
        int(head["level"]),
        bool(head["counts"]),
        bool(head["leaves"]),
        Place(str(head["zone"]), str(head["region"])),
    )


class Joining:
    def __init__(
        self,
        settings: Settings,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        proposer_host: ProposerHost,
        fencing: Fencing,
        disk_writer: DiskWriter,
        event_log: EventLog,
        became_whole: Callable[[], None],
    ) -> None:
        """``became_whole`` is told once this disk counts."""
        self._loop = asyncio.get_running_loop()
        self.settings, self._member_set, self._acceptor_host = settings, member_set, acceptor_host
        self._proposer_host, self._fencing, self._disk_writer = proposer_host, fencing, disk_writer
        self._event_log, self._became_whole = event_log, became_whole
        self.caught_up_epoch = 0  # the epoch with which this machine is level
        self.leaving = False
        self._has_read = False  # it has read what was acknowledged, in this life
        self._started_at = self._loop.time()
        self._announced: MemberState | None = None  # as the others were told last
        self.peer_states: dict[
            str, MemberState
        ] = {}  # by address, as they said last, also of those that are silent now
        acceptor_host.caught_up = self._is_caught_up
        self._task: asyncio.Task[None] | None = None

    # What this machine is

    def start(self) -> None:
        self._task = self._loop.create_task(self._run())

    def settled(self) -> bool:
        """Whether it is what its settings say, under a view that is no change any more."""
        view = self._member_set.view()
        if view.joint or not view.epoch:
            return False
        me = view.members.get(self._member_set.own_address)
        if not self.settings.counted:
            return me is None
        return me == self.place and self._disk_writer.whole

    @property
    def place(self) -> Place:
        return Place(self.settings.zone, self.settings.region)

    def _is_caught_up(self) -> bool:
        view = self._member_set.view()
        return (
            not view.joint
            or self._member_set.own_address not in view.members
            or self.caught_up_epoch >= view.epoch
        )

    def state(self) -> MemberState:
        view, counted = self._member_set.view(), self.settings.counted
        return MemberState(
            view.epoch,
            self._disk_writer.whole,
            self.caught_up_epoch,
            counted and self._has_read and not self.leaving,
            self.leaving or not counted,
            self.place,
        )

    async def _run(self) -> None:
        while True:
            try:
                await self._step()
            except Exception as fault:  # a machine that stops joining would be lost for good
                self._event_log.tell(events.FAULT, where="joining", what=repr(fault))
            self.announce()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _step(self) -> None:
        view, me = self._member_set.view(), self._member_set.own_address
        if not view.epoch:
            self._form_first_view()
        elif not self._disk_writer.whole:
            if me in view.names or self.settings.counted:
                await self._become_whole()
        elif me in view.names:
            self._has_read = True
            if view.joint and me in view.members and self.caught_up_epoch < view.epoch:
                if await self._fencing.fence_and_read(STEP_TIMEOUT_S, fence=False):
                    self.caught_up_epoch = view.epoch
        elif self.settings.counted and not self._has_read:
            self._has_read = await self._proposer_host.read(STEP_TIMEOUT_S)

    async def _become_whole(self) -> None:
        if not await self._fencing.fence_and_read(STEP_TIMEOUT_S):
            return
        await self._disk_writer.mark_whole()
        self._has_read = True
        self._became_whole()

    def _form_first_view(self) -> None:
        """A first start whose processes were all killed before their first batch is begun anew: each machine
        that the settings name says that its disk is empty and that it knows no view, and nobody that is heard
        within `contact_ms` knows one. The first view follows from the settings alone, so it is the same in
        all of them."""
        founders = {host for host, _ in self.settings.seeds}
        me, now = self._member_set.own_address, self._loop.time()
        if me not in founders or now - self._started_at < self.settings.bounds.contact_ms / 1000.0:
            return
        heard = self.reachable()
        if any(said.whole or said.epoch for said in self.peer_states.values()):
            return
        if not founders - {me} <= heard & self.peer_states.keys():
            return
        first = write_view(View(1, dict.fromkeys(founders, Place("", ""))))
        self._event_log.tell(events.BEGUN_ANEW, founders=", ".join(sorted(founders)))
        self._acceptor_host.apply(*self._acceptor_host.stamp_items([((VIEW, MEMBERS, 1), first)]))

    # What is said, and heard

    def announce(self) -> None:
        """Tells the others where it has changed."""
        state = self.state()
        if state != self._announced:
            self._announced = state
            for channel in self._member_set.peers().values():
                channel.link.send(state.encode())

    def link_opened(self, channel: Channel) -> None:
        channel.link.send(self.state().encode())

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of these. Raises KeyError, TypeError or ValueError for what cannot be read."""
        if head["t"] != "member":
            return False
        address = address_of(channel)
        if address in self.peer_states or len(self.peer_states) < MAX_KNOWN_STATES:
            self.peer_states[address] = decode_member_state(head)
        return True

    def reachable(self) -> set[str]:
        """Other control processes that are heard over a link, by address."""
        now = self._loop.time()
        return {
            address
            for address, channel in self._member_set.peers().items()
            if now - channel.link.heard_at <= LINK_ALIVE_S
        }

    def known_members(self, absences: Mapping[str, Absence], removed: str = "") -> dict[str, MemberStatus]:
        """What a proposer knows of each machine. ``absences``: by the word of more than half, by address;
        ``removed``: by an operator's word."""
        view, heard = self._member_set.view(), self.reachable()
        found = {}
        for address in view.names | self.peer_states.keys() | {self._member_set.own_address}:
            said = self.state() if address == self._member_set.own_address else self.peer_states.get(address)
            absence = absences.get(address, PRESENT)
            place = view.members.get(address) or (view.previous_members or {}).get(address) or Place("", "")
            found[address] = MemberStatus(
                said.place if said is not None else place,
                address == self._member_set.own_address or address in heard,
                said is not None and said.whole,
                said.caught_up_epoch if said is not None else 0,
                said is not None and said.counts,
                said is not None and said.leaves,
                absence.silent,
                absence.gone,
                address == removed,
                address in absences and absence.silent_s <= LINK_ALIVE_S,
            )
        return found

    def forget_absent(self, view: View) -> None:
        """What those said that do not count and are heard no more."""
        for address in self.peer_states.keys() - view.names - self.reachable():
            del self.peer_states[address]

    # The end

    async def leave(self) -> None:
        """This machine ends: it says so, and stays up for half of its grace while a change that takes it out
        is possible or another member is not whole, so that what it holds is on enough others first."""
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
        # Contact is proven anew with each view, so it says nothing of these two.
        if view.joint or self._lacks_member(view, known):
            return True
        if not self._member_set.has_contact():
            return False
        coming = any(
            one.responding and name not in view.members and not one.leaving
            for name, one in known.items()
            if name != me
        )
        return coming or me not in self._planned_members(view, known)

    def _is_uninformed(self, view: View) -> bool:
        """Whether one that counts by that view has not said that it knows it: it may have voted for it, and
        whoever was to tell it the decision may be lost."""
        return any(
            address in view.members and one.epoch < view.epoch for address, one in self.peer_states.items()
        )

    def _lacks_member(self, view: View, known: Mapping[str, MemberStatus]) -> bool:
        """Whether another member is away, or its disk is not whole: it may need what is held here, and
        without it this one cannot be taken out."""
        others = [
            one
            for name, one in known.items()
            if name in view.members and name != self._member_set.own_address
        ]
        return not all(one.responding and one.disk_complete for one in others)

    def _planned_members(self, view: View, known: Mapping[str, MemberStatus]) -> Mapping[str, Any]:
        planned = plan_change(view, known, self._member_set.tolerance).view
        return planned.members if planned is not None else view.members
