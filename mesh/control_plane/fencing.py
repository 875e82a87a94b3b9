"""Restores a lost disk, and brings a member up to date with a new view: the others refuse earlier ballots
(the fence), and their state as of the fence is read."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Collection, Sequence
from typing import Any

import msgspec
from msgspec import Struct, field

from mesh.control_plane.acceptor_host import AcceptorHost, decode_ballot, decode_slot, encode_ballot
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.write_batches import DiskWriter
from mesh.dissemination.peers import Channel
from mesh.dissemination.pull_exchange import pack, unpack
from mesh.replication.acceptor import Decision, Forgotten, Slot, Vote, can_fence
from mesh.replication.items import Item
from mesh.replication.membership_epochs import View
from mesh.replication.store import Store
from mesh.storage.layout import VersionHistory
from mesh.transport.frames import Head

PAGE_BYTES = 1 << 20  # of rows in one frame
StateRow = Item | tuple[Slot, Vote | str] | VersionHistory
MAX_PAGED_ANSWERS = 4  # answers that are sent in pages at once; the oldest is discarded


class _FenceRequest(Struct, eq=False):
    """One pending request. ``fence``: its round and generation; None for a read without a fence."""

    view: View
    fence: tuple[int, int] | None
    done: asyncio.Future[None]
    members: frozenset[str]
    answered: set[str] = field(default_factory=set)
    empty: set[str] = field(default_factory=set)  # members that refuse because their disks do not count
    asked: dict[str, Channel] = field(default_factory=dict)
    answers: dict[str, tuple[int, int]] = field(default_factory=dict)  # by address: top round, generation
    pages: dict[str, int] = field(default_factory=dict)  # number of pages received, by address


class Fencing:
    """Raises fences and reads behind them, and answers the requests of others."""

    def __init__(
        self, config_store: Store, disk_writer: DiskWriter, member_set: MemberSet, acceptor_host: AcceptorHost
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._config_store, self._disk_writer, self._member_set = config_store, disk_writer, member_set
        self._acceptor_host = acceptor_host
        self._count = 0
        self._requests: dict[int, _FenceRequest] = {}
        # Rows of each answer, and the row at which each of its pages starts.
        self._paged_answers: dict[tuple[str, int], tuple[list[StateRow], list[int]]] = {}

    async def fence_and_read(self, within_s: float, fence: bool = True) -> bool:
        """Whether this process now holds, on disk, all that could have been chosen under the view in force.

        With a fence, for a disk that came back empty, more members than a read quorum answer: each set that
        promised or accepted anything shares a member with them other than this one. Without a fence, a set
        answers that overlaps every quorum of the view, or of the previous one if the view is joint.
        """
        view = self._member_set.view()
        try:
            async with asyncio.timeout(within_s):
                if not fence:
                    await self._request(view, None)
                else:
                    answers = await self._request(view, (0, 0))
                    round = max((top for top, _ in answers.values()), default=0)
                    generation = 1 + max((generation for _, generation in answers.values()), default=0)
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
        request = self._requests[number] = _FenceRequest(view, fence, self._loop.create_future(), others)
        if fence is None and self._disk_writer.complete:
            request.answered.add(self._member_set.own_address)
        try:
            for address, channel in self._member_set.peers().items():
                self._send(number, request, address, channel)
            self._complete_if_enough(request)
            await request.done
            return request.answers
        finally:
            del self._requests[number]

    def _send(self, number: int, request: _FenceRequest, address: str, channel: Channel) -> None:
        if address not in request.members or address in request.answered:
            return
        request.asked[address] = channel
        request.pages[address] = 0
        message: Head = {"t": "fence", "n": number, "e": request.view.epoch, "v": self._config_store.vector}
        if request.fence is not None:
            message.update(r=request.fence[0], g=request.fence[1], m=self._member_set.own_address)
        channel.link.send(message)

    def _has_enough(self, request: _FenceRequest) -> bool:
        view, tolerance, answered = request.view, self._member_set.tolerance, request.answered
        if request.fence is None:
            before = view if view.previous_members is None else View(view.epoch, view.previous_members)
            return before.overlaps(answered, tolerance)
        if view.epoch == 1 and answered | request.empty >= request.members:
            # First start: a founder whose disk never counted has voted for nothing, and if anything was ever
            # acknowledged, at least one whole disk remains after each tolerated loss.
            return True
        return can_fence(view, answered, self._member_set.own_address, tolerance)

    def _complete_if_enough(self, request: _FenceRequest) -> None:
        if not request.done.done() and self._has_enough(request):
            request.done.set_result(None)

    def resend_pending(self, address: str, force: bool = False) -> None:
        """Sends pending requests on the present link to a member, as `ProposerHost.resend_pending` does."""
        channel = self._member_set.peers().get(address)
        for number, request in self._requests.items():
            if channel is not None and (force or request.asked.get(address) is not channel):
                self._send(number, request, address, channel)

    # Frames

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of fences. Raises KeyError, TypeError or ValueError if it is malformed."""
        if head["t"] == "fence":
            if "at" in head:
                self._send_page(channel, int(head["n"]), int(head["e"]), int(head["at"]))
            else:
                self._acceptor_host.spawn(self._handle_fence(channel, head))
        elif head["t"] == "fenced":
            self._handle_fenced(channel, head)
        else:
            return False
        return True

    async def _handle_fence(self, channel: Channel, head: Head) -> None:
        epoch, number = int(head["e"]), int(head["n"])
        if await self._acceptor_host.check_epoch(epoch) is not None:
            own_view = self._member_set.view()
            message: Head = {"t": "fenced", "n": number, "e": own_view.epoch, "no": True}
            if not self._disk_writer.complete:
                message["empty"] = True
                if "r" in head and head["g"]:
                    await self._acceptor_host.fence(int(head["r"]), str(head["m"]), int(head["g"]))
            channel.link.send(
                {**message, "view": self._member_set.view_item()} if own_view.epoch > epoch else message
            )
            return
        acceptor = self._acceptor_host.acceptor
        if "r" in head and not head["g"]:
            generation = acceptor.generations.get(str(head["m"]), 0)
            message = {
                "t": "fenced",
                "n": number,
                "e": epoch,
                "top": acceptor.highest_round(),
                "g": generation,
            }
            channel.link.send({**message, "w": [], "more": False})
            return
        if "r" in head:
            await self._acceptor_host.fence(int(head["r"]), str(head["m"]), int(head["g"]))
        unlimited = 2 * self._config_store.max_items
        rows: list[StateRow] = [*self._config_store.delta_for(head["v"], unlimited, sys.maxsize).items]
        rows += [(slot, vote) for slot, vote in acceptor.votes.items()]
        rows += [
            VersionHistory(key, acceptor.unknown_up_to.get(key, -1), dict(acceptor.past_digests.get(key, {})))
            for key in acceptor.past_digests.keys() | acceptor.unknown_up_to.keys()
        ]
        rows += acceptor.tags.items()
        key = (address_of(channel), number)
        self._paged_answers[key] = (rows, [0])
        while len(self._paged_answers) > MAX_PAGED_ANSWERS:
            del self._paged_answers[next(iter(self._paged_answers))]
        self._send_page(channel, number, epoch, 0)

    def _send_page(self, channel: Channel, number: int, epoch: int, page_number: int) -> None:
        """Sends a page of the state as of the fence, which later decisions do not change."""
        key = (address_of(channel), number)
        rows, starts = self._paged_answers.get(key, ([], []))
        if not 0 <= page_number < len(starts):
            return
        page = _page(rows, starts[page_number])
        if page_number + 1 == len(starts):
            starts.append(starts[page_number] + len(page))
        more = starts[page_number + 1] < len(rows)
        message: Head = {"t": "fenced", "n": number, "e": epoch, "at": page_number, "w": page, "more": more}
        channel.link.send({**message, "top": 0, "g": 0})
        if not more:
            del self._paged_answers[key]

    def _handle_fenced(self, channel: Channel, head: Head) -> None:
        member, number = address_of(channel), int(head["n"])
        if "view" in head:
            self._acceptor_host.apply([unpack(fields) for fields in head["view"]], {})
        request = self._requests.get(number)
        if request is None or head["e"] != request.view.epoch or member not in request.members:
            return
        if head.get("no"):
            if head.get("empty"):
                request.empty.add(member)
                self._complete_if_enough(request)
            return
        request.answers[member] = (int(head["top"]), int(head["g"]))
        if head.get("at", 0) != request.pages[member]:
            return
        # Votes and decided items of a page are valid even if the remaining pages never arrive.
        self._merge_rows(head["w"])
        request.pages[member] += 1
        if head["more"]:
            message = {"t": "fence", "n": number, "e": request.view.epoch, "at": request.pages[member]}
            channel.link.send(message)
            return
        request.answered.add(member)
        self._complete_if_enough(request)

    def _merge_rows(self, rows: Collection[Any]) -> None:
        acceptor = self._acceptor_host.acceptor
        self._acceptor_host.apply([unpack(row[1:]) for row in rows if row[0] == "i"], {})
        for row in rows:
            if row[0] == "p":
                _, kind, name, unknown, digests = row
                for version, digest in digests.items():
                    digest, _, tag = str(digest).partition("/")
                    self._acceptor_host.learn_state((kind, name, int(version)), Decision(digest, tag=tag))
                self._acceptor_host.learn_state((kind, name, int(unknown)), Forgotten())
        acceptor.tags.update((decode_slot(row[1:4]), str(row[4])) for row in rows if row[0] == "t")
        merged = []
        for row in rows:
            if row[0] == "v":
                slot, vote = decode_slot(row[1:4]), Vote(decode_ballot(row[4:6]), row[6], str(row[7]))
                held = acceptor.state(slot)
                if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
                    acceptor.votes[slot] = vote
                    merged.append(slot)
        self._disk_writer.mark_votes(merged)


def _page(rows: Sequence[StateRow], start: int) -> list[msgspec.Raw]:
    """Rows of up to PAGE_BYTES, at least one. They are packed when sent, so waiting rows cost little
    memory."""
    page: list[msgspec.Raw] = []
    room = PAGE_BYTES
    for row in rows[start:]:
        packed = msgspec.Raw(msgspec.json.encode(_pack(row)))
        room -= len(packed)
        if page and room < 0:
            break
        page.append(packed)
    return page


def _pack(row: StateRow) -> list[Any]:
    if isinstance(row, Item):
        return ["i", *pack(row)]
    if isinstance(row, VersionHistory):
        return ["p", *row.key, row.unknown, row.digests]
    slot, state = row
    if isinstance(state, str):
        return ["t", *slot, state]
    return ["v", *slot, *encode_ballot(state.ballot), state.value, state.tag]
