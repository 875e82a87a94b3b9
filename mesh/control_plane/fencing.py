"""How a disk that was lost comes to count again, and how a member becomes level with a new view: the others
refuse what was under way (the fence), and what they hold is read as it stands then."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Collection, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from mesh.control_plane.acceptor_host import AcceptorHost, decode_ballot, decode_number, encode_ballot
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.write_batches import DiskWriter
from mesh.dissemination.peers import Channel
from mesh.dissemination.pull_exchange import pack, unpack
from mesh.replication.acceptor import Forgotten, Number, Settled, Vote, fenced_by
from mesh.replication.items import Item
from mesh.replication.membership_epochs import View
from mesh.replication.store import Store
from mesh.storage.layout import Past
from mesh.transport.frames import Head

PAGE_BYTES = 1 << 20
Row = Item | tuple[Number, Vote | str] | Past
MAX_PAGED_ANSWERS = 4  # answers that are given in pages at once; the oldest makes room


class _FenceRequest(Struct, eq=False):
    """``round`` and ``generation``: of the fence; None where none is raised."""

    view: View
    fence: tuple[int, int] | None
    done: asyncio.Future[None]
    others: frozenset[str]
    heard: set[str] = field(default_factory=set)
    empty: set[str] = field(default_factory=set)  # those that refuse since their disks do not count
    asked: dict[str, Channel] = field(default_factory=dict)
    told: dict[str, tuple[int, int]] = field(default_factory=dict)  # top and generation, by address
    pages: dict[str, int] = field(default_factory=dict)  # that have come, by address


class Fencing:
    def __init__(
        self, charter: Store, disk_writer: DiskWriter, member_set: MemberSet, acceptor_host: AcceptorHost
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._charter, self._disk_writer, self._member_set = charter, disk_writer, member_set
        self._acceptor_host = acceptor_host
        self._count = 0
        self._requests: dict[int, _FenceRequest] = {}
        self._paged_answers: dict[
            tuple[str, int], tuple[list[Row], list[int]]
        ] = {}  # and where its pages begin

    async def fence_and_read(self, within_s: float, fence: bool = True) -> bool:
        """Whether this process now holds, on disk, all that could have been chosen under the view in force.

        With the fence: for a disk that came back empty. Those who answer are more than a quorum to read:
        each set that promised or accepted anything meets them outside this machine. Without it: what an
        overlapping set of the view, of the one before where it is joint, holds now.
        """
        view = self._member_set.view()
        try:
            async with asyncio.timeout(within_s):
                if not fence:
                    await self._request(view, None)
                else:
                    told = await self._request(view, (0, 0))
                    round = max((top for top, _ in told.values()), default=0)
                    generation = 1 + max((known for _, known in told.values()), default=0)
                    await self._request(view, (round, generation))
                    await self._acceptor_host.fence(round, self._member_set.own_address, generation)
                await self._disk_writer.flush()
        except TimeoutError:
            return False
        return self._member_set.view().epoch == view.epoch

    async def _request(self, view: View, fence: tuple[int, int] | None) -> dict[str, tuple[int, int]]:
        self._count += 1
        number = self._count
        others = view.names - {self._member_set.own_address}
        asking = self._requests[number] = _FenceRequest(view, fence, self._loop.create_future(), others)
        if fence is None and self._disk_writer.whole:
            asking.heard.add(self._member_set.own_address)
        try:
            for address, channel in self._member_set.peers().items():
                self._send(number, asking, address, channel)
            self._check(asking)
            await asking.done
            return asking.told
        finally:
            del self._requests[number]

    def _send(self, number: int, asking: _FenceRequest, address: str, channel: Channel) -> None:
        if address not in asking.others or address in asking.heard:
            return
        asking.asked[address] = channel
        asking.pages[address] = 0
        told: Head = {"t": "fence", "n": number, "e": asking.view.epoch, "v": self._charter.vector}
        if asking.fence is not None:
            told.update(r=asking.fence[0], g=asking.fence[1], m=self._member_set.own_address)
        channel.link.send(told)

    def _has_enough(self, asking: _FenceRequest) -> bool:
        view, tolerance, heard = asking.view, self._member_set.tolerance, asking.heard
        if asking.fence is None:
            before = view if view.before is None else View(view.epoch, view.before)
            return before.overlaps(heard, tolerance)
        if view.epoch == 1 and heard | asking.empty >= asking.others:
            # The first start: a founder whose disk never counted has said nothing that could be counted, and
            # each tolerated loss since leaves a whole one, if ever anything was acknowledged.
            return True
        return fenced_by(view, heard, self._member_set.own_address, tolerance)

    def _check(self, asking: _FenceRequest) -> None:
        if not asking.done.done() and self._has_enough(asking):
            asking.done.set_result(None)

    def resend_pending(self, address: str, anew: bool = False) -> None:
        """As `ProposerHost.reach`."""
        peer = self._member_set.peers().get(address)
        for number, asking in self._requests.items():
            if peer is not None and (anew or asking.asked.get(address) is not peer):
                self._send(number, asking, address, peer)

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of fences. Raises KeyError, TypeError or ValueError for what cannot be read."""
        if head["t"] == "fence":
            if "at" in head:
                self._send_page(channel, int(head["n"]), int(head["e"]), int(head["at"]))
            else:
                self._acceptor_host.spawn(self._answer(channel, head))
        elif head["t"] == "fenced":
            self._handle_fenced(channel, head)
        else:
            return False
        return True

    async def _answer(self, channel: Channel, head: Head) -> None:
        epoch, number = int(head["e"]), int(head["n"])
        if await self._acceptor_host.check_epoch(epoch) is not None:
            mine = self._member_set.view()
            told: Head = {"t": "fenced", "n": number, "e": mine.epoch, "no": True}
            if not self._disk_writer.whole:
                told["empty"] = True
                if "r" in head and head["g"]:
                    await self._acceptor_host.fence(int(head["r"]), str(head["m"]), int(head["g"]))
            channel.link.send({**told, "view": self._member_set.view_item()} if mine.epoch > epoch else told)
            return
        acceptor = self._acceptor_host.acceptor
        if "r" in head and not head["g"]:
            generation = acceptor.generations.get(str(head["m"]), 0)
            told = {"t": "fenced", "n": number, "e": epoch, "top": acceptor.top(), "g": generation}
            channel.link.send({**told, "w": [], "more": False})
            return
        if "r" in head:
            await self._acceptor_host.fence(int(head["r"]), str(head["m"]), int(head["g"]))
        all_of_it = 2 * self._charter.most
        rows: list[Row] = [*self._charter.lacking(head["v"], all_of_it, sys.maxsize).items]
        rows += [(number_, vote) for number_, vote in acceptor.votes.items()]
        rows += [
            Past(key, acceptor.unknown.get(key, -1), dict(acceptor.past.get(key, {})))
            for key in acceptor.past.keys() | acceptor.unknown.keys()
        ]
        rows += acceptor.tags.items()
        where = (address_of(channel), number)
        self._paged_answers[where] = (rows, [0])
        while len(self._paged_answers) > MAX_PAGED_ANSWERS:
            del self._paged_answers[next(iter(self._paged_answers))]
        self._send_page(channel, number, epoch, 0)

    def _send_page(self, channel: Channel, number: int, epoch: int, at: int) -> None:
        """A page of what stood at the fence, which later decisions do not touch."""
        where = (address_of(channel), number)
        rows, begins = self._paged_answers.get(where, ([], []))
        if not 0 <= at < len(begins):
            return
        page = _page(rows, begins[at])
        if at + 1 == len(begins):
            begins.append(begins[at] + len(page))
        more = begins[at + 1] < len(rows)
        told: Head = {"t": "fenced", "n": number, "e": epoch, "at": at, "w": page, "more": more}
        channel.link.send({**told, "top": 0, "g": 0})
        if not more:
            del self._paged_answers[where]

    def _handle_fenced(self, channel: Channel, head: Head) -> None:
        who, number = address_of(channel), int(head["n"])
        if "view" in head:
            self._acceptor_host.apply([unpack(fields) for fields in head["view"]], {})
        asking = self._requests.get(number)
        if asking is None or head["e"] != asking.view.epoch or who not in asking.others:
            return
        if head.get("no"):
            if head.get("empty"):
                asking.empty.add(who)
                self._check(asking)
            return
        asking.told[who] = (int(head["top"]), int(head["g"]))
        if head.get("at", 0) != asking.pages[who]:
            return
        # What was accepted there, and is decided, counts whatever becomes of the rest.
        self._merge_rows(head["w"])
        asking.pages[who] += 1
        if head["more"]:
            told = {"t": "fence", "n": number, "e": asking.view.epoch, "at": asking.pages[who]}
            channel.link.send(told)
            return
        asking.heard.add(who)
        self._check(asking)

    def _merge_rows(self, rows: Collection[Any]) -> None:
        acceptor = self._acceptor_host.acceptor
        self._acceptor_host.apply([unpack(row[1:]) for row in rows if row[0] == "i"], {})
        for row in rows:
            if row[0] == "p":
                _, kind, name, unknown, digests = row
                for version, digest in digests.items():
                    digest, _, tag = str(digest).partition("/")
                    self._acceptor_host.record_outcome((kind, name, int(version)), Settled(digest, tag=tag))
                self._acceptor_host.record_outcome((kind, name, int(unknown)), Forgotten())
        acceptor.tags.update((decode_number(row[1:4]), str(row[4])) for row in rows if row[0] == "t")
        merged = []
        for row in rows:
            if row[0] == "v":
                number, vote = decode_number(row[1:4]), Vote(decode_ballot(row[4:6]), row[6], str(row[7]))
                held = acceptor.state(number)
                if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
                    acceptor.votes[number] = vote
                    merged.append(number)
        self._disk_writer.mark_votes(merged)


def _page(rows: Sequence[Row], begin: int) -> list[msgspec.Raw]:
    """Of PAGE_BYTES, one row at least. Packed as they go: what waits costs its references."""
    page: list[msgspec.Raw] = []
    room = PAGE_BYTES
    for row in rows[begin:]:
        packed = msgspec.Raw(msgspec.json.encode(_pack(row)))
        room -= len(packed)
        if page and room < 0:
            break
        page.append(packed)
    return page


def _pack(row: Row) -> list[Any]:
    if isinstance(row, Item):
        return ["i", *pack(row)]
    if isinstance(row, Past):
        return ["p", *row.key, row.unknown, row.digests]
    number, told = row
    if isinstance(told, str):
        return ["t", *number, told]
    return ["v", *number, *encode_ballot(told.ballot), told.value, told.tag]
