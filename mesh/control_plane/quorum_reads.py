"""Quorum reads: fetch what a quorum holds before this process claims to hold all that was acknowledged.

Both sides of the exchange are here: `read` asks with a vector, `have` answers with the items missing from it,
a page at a time, and with the slots of open votes.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mesh.control_plane.acceptor_host import AcceptorHost, decode_slot
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.dissemination.peers import Channel
from mesh.dissemination.pull_exchange import pack, unpack
from mesh.replication.acceptor import Decision, Forgotten, Slot
from mesh.replication.membership_epochs import View
from mesh.replication.store import Store
from mesh.transport.frames import Head

MAX_PENDING_READS = 256  # concurrent reads; further ones are answered as busy
OPEN_VOTE_POLL_S = 0.03  # while other processes decide open votes
MAX_PAGE_ITEMS = 1000  # in one page of an answer


@dataclass(eq=False, slots=True)
class _Read:
    """One pending read. ``done``: False if the view has changed."""

    view: View
    done: asyncio.Future[bool]
    kind: str = ""  # of the open votes to ask for; "": all kinds
    answered: set[str] = field(default_factory=set)
    asked: dict[str, Channel] = field(default_factory=dict)
    open: set[Slot] = field(default_factory=set)


class QuorumReads:
    """The reads of this process, and its answers to the reads of others."""

    def __init__(self, config_store: Store, member_set: MemberSet, acceptor_host: AcceptorHost) -> None:
        """``config_store``: answers are merged into it by ``acceptor_host``."""
        self._loop = asyncio.get_running_loop()
        self._config_store, self._member_set, self._acceptor_host = config_store, member_set, acceptor_host
        self._count = 0
        self._pending: dict[int, _Read] = {}

    @property
    def pending_count(self) -> int:
        """The number of reads that wait for answers."""
        return len(self._pending)

    async def collect_open_votes(self, until: float, kind: str = "") -> set[Slot] | None:
        """Merges what a quorum holds into the store, then returns the slots of the votes open at that
        quorum; None if too few answer in time. ``kind``: only votes on items of that kind."""
        if len(self._pending) >= MAX_PENDING_READS:
            return None
        self._count += 1
        number = self._count
        try:
            async with asyncio.timeout_at(until):
                while True:
                    read = self._start(number, kind)
                    if await read.done:
                        return read.open
        except TimeoutError:
            return None
        finally:
            self._pending.pop(number, None)

    async def wait_until_current(self, kind: str, until: float) -> bool:
        """Waits until the store has all items of that kind that were decided before the call. Open votes are
        left to their proposers, so that a read never interrupts a write; False if these votes or the answers
        take too long."""
        open_votes = await self.collect_open_votes(until, kind)
        if open_votes is None:
            return False
        acceptor = self._acceptor_host.acceptor
        slots = open_votes | {slot for slot in acceptor.votes if slot[0] == kind}
        while any(not isinstance(acceptor.state(slot), Decision | Forgotten) for slot in slots):
            if self._loop.time() >= until:
                return False
            await asyncio.sleep(OPEN_VOTE_POLL_S)
        return True

    def _start(self, number: int, kind: str) -> _Read:
        read = self._pending[number] = _Read(self._member_set.view(), self._loop.create_future(), kind)
        for address, channel in self._member_set.peers().items():
            self._send_read(number, read, address, channel)
        self._acceptor_host.spawn(self._count_own_store(read))
        return read

    def _send_read(self, number: int, read: _Read, address: str, channel: Channel) -> None:
        read.asked[address] = channel
        message = {"t": "read", "n": number, "e": read.view.epoch, "v": self._config_store.vector}
        channel.link.send({**message, "of": read.kind} if read.kind else message)

    async def _count_own_store(self, read: _Read) -> None:
        if await self._acceptor_host.check_epoch(read.view.epoch) is None:
            read.answered.add(self._member_set.own_address)
            self._check(read)

    def _check(self, read: _Read) -> None:
        if not read.done.done() and read.view.overlaps(read.answered, self._member_set.tolerance):
            read.done.set_result(True)

    def view_changed(self) -> None:
        """A new view is in force: restarts the reads of the previous one."""
        epoch = self._member_set.view().epoch
        for read in list(self._pending.values()):
            if read.view.epoch < epoch and not read.done.done():
                read.done.set_result(False)

    def resend_pending(self, address: str, channel: Channel, force: bool) -> None:
        """Sends pending reads on the present link to a member; ``force``: also those that were sent on it."""
        for number, read in self._pending.items():
            if force or read.asked.get(address) is not channel:
                self._send_read(number, read, address, channel)

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of reads. Raises KeyError, TypeError or ValueError if it is malformed."""
        if head["t"] == "read":
            self._acceptor_host.spawn(self._handle_read(channel, head))
        elif head["t"] == "have":
            self._handle_have(channel, head)
        else:
            return False
        return True

    async def _handle_read(self, channel: Channel, head: Head) -> None:
        """Answers under the epoch of this process, once that is on disk."""
        epoch = self._member_set.view().epoch
        whole = await self._acceptor_host.check_epoch(epoch) is None
        kind = str(head.get("of", ""))
        missing = self._config_store.delta_for(head["v"], MAX_PAGE_ITEMS)
        channel.link.send(
            {
                "t": "have",
                "n": int(head["n"]),
                "e": epoch,
                "items": [pack(item) for item in missing.items],
                "v": missing.vector,
                "open": [slot for slot in self._acceptor_host.acceptor.votes if not kind or slot[0] == kind],
                "whole": whole,
                "complete": whole and not missing.more,
            }
        )

    def _handle_have(self, channel: Channel, head: Head) -> None:
        member, epoch = address_of(channel), int(head["e"])
        self._acceptor_host.apply([unpack(fields) for fields in head["items"]], head["v"])
        read = self._pending.get(head["n"])
        if read is None:
            return
        if epoch < read.view.epoch:
            if read.asked.pop(member, None) is not None:
                send_view(self._member_set, channel)
                self._send_read(int(head["n"]), read, member, channel)
        elif head["complete"] and epoch == read.view.epoch:
            read.answered.add(member)
            read.open.update(decode_slot(slot) for slot in head["open"])
            self._check(read)
        elif head["whole"] and read.asked.get(member) is channel:  # more pages follow
            self._send_read(int(head["n"]), read, member, channel)


def send_view(member_set: MemberSet, channel: Channel) -> None:
    """Sends the view in force to a member that has an older one."""
    channel.link.send({"t": "decided", "e": member_set.view().epoch, "items": member_set.view_item()})
