"""Reads: what a quorum holds is heard before anything is said to hold all that was acknowledged.

Both sides of the conversation: `read` asks with a vector, `have` answers with the items that it lacks, a page
at a time, and with the numbers of the votes that are open.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mesh.control_plane.acceptor_host import AcceptorHost, decode_number
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.dissemination.peers import Channel
from mesh.dissemination.pull_exchange import pack, unpack
from mesh.replication.acceptor import Forgotten, Number, Settled
from mesh.replication.membership_epochs import View
from mesh.replication.store import Store
from mesh.transport.frames import Head

MAX_PENDING_READS = 256  # under way at once; more are answered as busy
OPEN_VOTE_POLL_S = 0.03  # between two looks at votes that others bring to their decision
MAX_PAGE_ITEMS = 1000  # of one page of an answer


@dataclass(eq=False, slots=True)
class _Read:
    """One read under way. ``done``: False where another view came."""

    view: View
    done: asyncio.Future[bool]
    of: str = ""  # the kind of the votes that are asked for; "": all
    heard: set[str] = field(default_factory=set)
    asked: dict[str, Channel] = field(default_factory=dict)
    open: set[Number] = field(default_factory=set)


class QuorumReads:
    """The reads of this process, and its answers to those of others."""

    def __init__(self, charter: Store, member_set: MemberSet, acceptor_host: AcceptorHost) -> None:
        """``charter``: what is heard comes into it, by way of ``acceptance``."""
        self._loop = asyncio.get_running_loop()
        self._charter, self._member_set, self._acceptor_host = charter, member_set, acceptor_host
        self._count = 0
        self._pending: dict[int, _Read] = {}

    @property
    def pending_count(self) -> int:
        """How many reads wait for answers."""
        return len(self._pending)

    async def collect_open_votes(self, until: float, of: str = "") -> set[Number] | None:
        """The numbers of the votes that are open at a quorum, once the store here has all that it holds; None
        where not enough answer in time. ``of``: only votes on items of that kind."""
        if len(self._pending) >= MAX_PENDING_READS:
            return None
        self._count += 1
        number = self._count
        try:
            async with asyncio.timeout_at(until):
                while True:
                    read = self._begin(number, of)
                    if await read.done:
                        return read.open
        except TimeoutError:
            return None
        finally:
            self._pending.pop(number, None)

    async def wait_until_current(self, kind: str, until: float) -> bool:
        """Until the store here has all items of that kind that were decided before now. Open votes on them
        are left to those who brought them, so that no order under way is cut short by a read; False where
        these, or the answers, take too long."""
        opened = await self.collect_open_votes(until, kind)
        if opened is None:
            return False
        acceptor = self._acceptor_host.acceptor
        numbers = opened | {number for number in acceptor.votes if number[0] == kind}
        while any(not isinstance(acceptor.state(number), Settled | Forgotten) for number in numbers):
            if self._loop.time() >= until:
                return False
            await asyncio.sleep(OPEN_VOTE_POLL_S)
        return True

    def _begin(self, number: int, of: str) -> _Read:
        read = self._pending[number] = _Read(self._member_set.view(), self._loop.create_future(), of)
        for address, channel in self._member_set.peers().items():
            self._ask(number, read, address, channel)
        self._acceptor_host.spawn(self._count_own_store(read))
        return read

    def _ask(self, number: int, read: _Read, address: str, channel: Channel) -> None:
        read.asked[address] = channel
        told = {"t": "read", "n": number, "e": read.view.epoch, "v": self._charter.vector}
        channel.link.send({**told, "of": read.of} if read.of else told)

    async def _count_own_store(self, read: _Read) -> None:
        if await self._acceptor_host.check_epoch(read.view.epoch) is None:
            read.heard.add(self._member_set.own_address)
            self._check(read)

    def _check(self, read: _Read) -> None:
        if not read.done.done() and read.view.overlaps(read.heard, self._member_set.tolerance):
            read.done.set_result(True)

    def view_changed(self) -> None:
        """Another view is in force: reads under the one before begin anew."""
        epoch = self._member_set.view().epoch
        for read in list(self._pending.values()):
            if read.view.epoch < epoch and not read.done.done():
                read.done.set_result(False)

    def resend_pending(self, address: str, channel: Channel, anew: bool) -> None:
        """That one is reached by this link now: what waits is asked there; ``anew``: whatever was asked."""
        for number, read in self._pending.items():
            if anew or read.asked.get(address) is not channel:
                self._ask(number, read, address, channel)

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of reads. Raises KeyError, TypeError or ValueError for what cannot be read."""
        if head["t"] == "read":
            self._acceptor_host.spawn(self._answer(channel, head))
        elif head["t"] == "have":
            self._handle_have(channel, head)
        else:
            return False
        return True

    async def _answer(self, channel: Channel, head: Head) -> None:
        """Under this process's own epoch, which is on disk by then."""
        epoch = self._member_set.view().epoch
        whole = await self._acceptor_host.check_epoch(epoch) is None
        of = str(head.get("of", ""))
        lack = self._charter.lacking(head["v"], MAX_PAGE_ITEMS)
        channel.link.send(
            {
                "t": "have",
                "n": int(head["n"]),
                "e": epoch,
                "items": [pack(item) for item in lack.items],
                "v": lack.vector,
                "open": [
                    number for number in self._acceptor_host.acceptor.votes if not of or number[0] == of
                ],
                "whole": whole,
                "complete": whole and not lack.more,
            }
        )

    def _handle_have(self, channel: Channel, head: Head) -> None:
        who, epoch = address_of(channel), int(head["e"])
        self._acceptor_host.apply([unpack(fields) for fields in head["items"]], head["v"])
        read = self._pending.get(head["n"])
        if read is None:
            return
        if epoch < read.view.epoch:
            if read.asked.pop(who, None) is not None:
                send_view(self._member_set, channel)
                self._ask(int(head["n"]), read, who, channel)
        elif head["complete"] and epoch == read.view.epoch:
            read.heard.add(who)
            read.open.update(decode_number(told) for told in head["open"])
            self._check(read)
        elif head["whole"] and read.asked.get(who) is channel:  # that was a page
            self._ask(int(head["n"]), read, who, channel)


def send_view(member_set: MemberSet, channel: Channel) -> None:
    """Tells one that has an older view which one is in force."""
    channel.link.send({"t": "decided", "e": member_set.view().epoch, "items": member_set.view_item()})
