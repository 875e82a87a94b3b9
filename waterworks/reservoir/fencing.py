"""How a disk that was lost comes to count again, and how a member becomes level with a new view: the others
refuse what was under way (the fence), and what they hold is read as it stands then."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import Any

import msgspec

from waterworks.aquifer.ballot import Forgotten, Settled, Vote
from waterworks.aquifer.store import Store
from waterworks.aquifer.views import View
from waterworks.leat.channels import Channel
from waterworks.leat.exchange import pack, unpack
from waterworks.penstock.frames import Head
from waterworks.reservoir.acceptance import Acceptance, read_ballot, read_number, write_ballot
from waterworks.reservoir.council import Council, address_of
from waterworks.reservoir.ledger import Ledger

PAGE_BYTES = 1 << 20
GIVEN = 4  # answers that are given in pages at once; the oldest makes room


@dataclass(eq=False, slots=True)
class _Asking:
    """``round`` and ``generation``: of the fence; None where none is raised."""

    view: View
    fence: tuple[int, int] | None
    done: asyncio.Future[None]
    others: frozenset[str]
    heard: set[str] = field(default_factory=set)
    asked: dict[str, Channel] = field(default_factory=dict)
    told: dict[str, tuple[int, int]] = field(default_factory=dict)  # top and generation, by address
    pages: dict[str, list[Any]] = field(default_factory=dict)


class Fencing:
    def __init__(self, charter: Store, ledger: Ledger, council: Council, acceptance: Acceptance) -> None:
        self._loop = asyncio.get_running_loop()
        self._charter, self._ledger, self._council = charter, ledger, council
        self._acceptance = acceptance
        self._count = 0
        self._askings: dict[int, _Asking] = {}
        self._given: dict[tuple[str, int], list[list[Any]]] = {}

    async def fence_and_read(self, within_s: float, fence: bool = True) -> bool:
        """Whether this process now holds, on disk, all that could have been chosen under the view in force.

        With the fence: for a disk that came back empty. Those who answer are more than a quorum to read:
        each set that promised or accepted anything meets them outside this machine. Without it: what an
        overlapping set of the view, of the one before where it is joint, holds now.
        """
        view = self._council.view()
        try:
            async with asyncio.timeout(within_s):
                if not fence:
                    await self._ask(view, None)
                else:
                    told = await self._ask(view, (0, 0))
                    round = max(top for top, _ in told.values())
                    generation = 1 + max(known for _, known in told.values())
                    await self._ask(view, (round, generation))
                    await self._acceptance.fence(round, self._council.me, generation)
                await self._ledger.kept()
        except TimeoutError:
            return False
        return self._council.view().epoch == view.epoch

    async def _ask(self, view: View, fence: tuple[int, int] | None) -> dict[str, tuple[int, int]]:
        self._count += 1
        number = self._count
        others = view.names - {self._council.me}
        asking = self._askings[number] = _Asking(view, fence, self._loop.create_future(), others)
        if fence is None and self._ledger.whole:
            asking.heard.add(self._council.me)
        try:
            for address, channel in self._council.peers().items():
                self._send(number, asking, address, channel)
            self._check(asking)
            await asking.done
            return asking.told
        finally:
            del self._askings[number]

    def _send(self, number: int, asking: _Asking, address: str, channel: Channel) -> None:
        if address not in asking.others or address in asking.heard:
            return
        asking.asked[address] = channel
        asking.pages[address] = []
        told: Head = {"t": "fence", "n": number, "e": asking.view.epoch, "v": self._charter.vector}
        if asking.fence is not None:
            told.update(r=asking.fence[0], g=asking.fence[1], m=self._council.me)
        channel.link.send(told)

    def _enough(self, asking: _Asking) -> bool:
        view, tolerance, heard = asking.view, self._council.tolerance, asking.heard
        if asking.fence is None:
            before = view if view.before is None else View(view.epoch, view.before)
            return before.overlaps(heard, tolerance)
        if view.durable(asking.others, tolerance):
            return view.durable(heard, tolerance)
        return bool(asking.others) and heard >= asking.others

    def _check(self, asking: _Asking) -> None:
        if not asking.done.done() and self._enough(asking):
            asking.done.set_result(None)

    def reach(self, address: str, anew: bool = False) -> None:
        """As `Voting.reach`."""
        peer = self._council.peers().get(address)
        for number, asking in self._askings.items():
            if peer is not None and (anew or asking.asked.get(address) is not peer):
                self._send(number, asking, address, peer)

    # Frames

    def frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of fences. Raises KeyError, TypeError or ValueError for what cannot be read."""
        if head["t"] == "fence":
            if "at" in head:
                self._give(channel, int(head["n"]), int(head["e"]), int(head["at"]))
            else:
                self._acceptance.spawn(self._answer(channel, head))
        elif head["t"] == "fenced":
            self._fenced(channel, head)
        else:
            return False
        return True

    async def _answer(self, channel: Channel, head: Head) -> None:
        epoch, number = int(head["e"]), int(head["n"])
        if await self._acceptance.stands(epoch) is not None:
            mine = self._council.view()
            told: Head = {"t": "fenced", "n": number, "e": mine.epoch, "no": True}
            channel.link.send({**told, "view": self._council.view_item()} if mine.epoch > epoch else told)
            return
        acceptor = self._acceptance.acceptor
        if "r" in head and not head["g"]:
            generation = acceptor.generations.get(str(head["m"]), 0)
            told = {"t": "fenced", "n": number, "e": epoch, "top": acceptor.top(), "g": generation}
            channel.link.send({**told, "w": [], "more": False})
            return
        if "r" in head:
            await self._acceptance.fence(int(head["r"]), str(head["m"]), int(head["g"]))
        lack = self._charter.lacking(head["v"], 2 * self._charter.most)
        rows: list[Any] = [["i", *pack(item)] for item in lack.items]
        rows += [
            ["v", *number_, *write_ballot(vote.ballot), vote.value]
            for number_, vote in acceptor.votes.items()
        ]
        rows += [
            ["p", *key, acceptor.unknown.get(key, -1), acceptor.past.get(key, {})]
            for key in acceptor.past.keys() | acceptor.unknown.keys()
        ]
        where = (address_of(channel), number)
        self._given[where] = _pages(rows)
        while len(self._given) > GIVEN:
            del self._given[next(iter(self._given))]
        self._give(channel, number, epoch, 0)

    def _give(self, channel: Channel, number: int, epoch: int, at: int) -> None:
        """A page of what stood at the fence, which later decisions do not touch."""
        where = (address_of(channel), number)
        pages = self._given.get(where, [])
        if not 0 <= at < len(pages):
            return
        more = at + 1 < len(pages)
        told: Head = {"t": "fenced", "n": number, "e": epoch, "at": at, "w": pages[at], "more": more}
        channel.link.send({**told, "top": 0, "g": 0})
        if not more:
            del self._given[where]

    def _fenced(self, channel: Channel, head: Head) -> None:
        who, number = address_of(channel), int(head["n"])
        if "view" in head:
            self._acceptance.take([unpack(fields) for fields in head["view"]], {})
        asking = self._askings.get(number)
        if asking is None or head["e"] != asking.view.epoch or head.get("no") or who not in asking.others:
            return
        asking.told[who] = (int(head["top"]), int(head["g"]))
        if head.get("at", 0) != len(asking.pages[who]):
            return
        asking.pages[who].append(head["w"])
        if head["more"]:
            at = len(asking.pages[who])
            channel.link.send({"t": "fence", "n": number, "e": asking.view.epoch, "at": at})
            return
        self._take([row for page in asking.pages[who] for row in page])
        asking.heard.add(who)
        self._check(asking)

    def _take(self, rows: Collection[Any]) -> None:
        acceptor = self._acceptance.acceptor
        self._acceptance.take([unpack(row[1:]) for row in rows if row[0] == "i"], {})
        for row in rows:
            if row[0] == "p":
                _, kind, name, unknown, digests = row
                for version, digest in digests.items():
                    self._acceptance.told((kind, name, int(version)), Settled(str(digest)))
                self._acceptance.told((kind, name, int(unknown)), Forgotten())
        merged = []
        for row in rows:
            if row[0] == "v":
                number, vote = read_number(row[1:4]), Vote(read_ballot(row[4:6]), row[6])
                held = acceptor.state(number)
                if held is None or (isinstance(held, Vote) and held.ballot < vote.ballot):
                    acceptor.votes[number] = vote
                    merged.append(number)
        self._ledger.mark_votes(merged)


def _pages(rows: Collection[Any]) -> list[list[Any]]:
    pages: list[list[Any]] = [[]]
    room = PAGE_BYTES
    for row in rows:
        packed = msgspec.Raw(msgspec.json.encode(row))
        room -= len(packed)
        if room < 0 and pages[-1]:
            pages.append([])
            room = PAGE_BYTES - len(packed)
        pages[-1].append(packed)
    return pages
