"""News over links: which few others this process asks, and what it does with what they tell. Both programs
have it; only how many it asks, and what it keeps on disk, differs between them.

A sidecar names the few control processes that it asks by rendezvous over all that it knows. One that cannot
be had, or says that it is cut off from most others, makes room for the next in that order for a while.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Any

import msgspec

from mesh.dissemination.pull_exchange import Exchange
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.rendezvous import rendezvous_order
from mesh.replication.items import Item
from mesh.replication.snapshot import SNAPSHOTS_FEATURE
from mesh.replication.store import Store
from mesh.transport.frames import Head
from mesh.transport.link import Address, Link, connect

AGAIN_S, AGAIN_MOST_S = 0.15, 1.5
BATCH_S = 0.01  # what changes within this goes out together
# Each but the first of those that a process asks holds its news back by this for its rank, counted from the
# last question that told of something new: while the first tells, the question is renewed with each page.
# It costs this where the first is slow but not silent.
RANK_S = 0.35
PACKED_FROM = 24  # items of one answer, from which it goes packed: routes are much alike
PACKED_MOST = 32 * 1024 * 1024  # bytes of one answer unpacked
PACKED_KEPT = 4  # the last of them, since many ask for the same

Changed = Callable[[str, list[Item]], None]


class Channel:
    """One link with news on it, whoever opened it."""

    def __init__(self, channels: Channels, link: Link, name: str, opened_here: bool) -> None:
        self.channels, self.link, self.name, self.opened_here = channels, link, name, opened_here
        self.exchange = Exchange(channels.stores, channels.up, channels.hello.get("takes", ()))
        self.node = self.peer_source = ""  # the peer's, once it has said so
        self.extra: Head = {}  # all that it has said of itself
        self.said_whole: bool | None = None  # as we told it last
        self.whole = False  # as the peer told us last
        self.told = False  # the peer has told us anything
        self.complete = False  # the peer has told us all, as one that holds all that was acknowledged
        self.rank = 0  # of the peer among those that we ask, as it knows; 0 is the first
        self.peer_rank = 0  # of us among those that it asks
        self._lacked_since: float | None = None
        self._due = set(channels.stores)  # stores to be looked at for an answer
        link.steady = True
        link.peer = self

    def begin(self, rank: int = 0) -> None:
        """Its first words; ``rank`` comes before the question, which would be answered at once."""
        self.link.send({**self.channels.hello, "for": "news"})
        self.ranked(rank)
        self.link.send(self.exchange.question())

    def frame(self, head: Head) -> bool:
        """Whether it was one of news. Raises KeyError, TypeError, ValueError for what cannot be read."""
        kind = head["t"]
        if kind == "rank":
            self.peer_rank = max(int(head["r"]), 0)
        elif kind == "pull":
            if head["v"]:
                self._lacked_since = None  # it has been told something, here or by another
            self._due.update(self.exchange.asked(head, self.peer_source))
            self.answer(self.channels.whole())
        elif kind == "news":
            self.whole, self.told = bool(head["whole"]), True
            # Not by any earlier answer: one that did not hold all may have told nothing of a store.
            self.complete = self.whole and (self.complete or not head["more"])
            changed = self.exchange.answered(head)
            for name, items in changed.items():
                if items:
                    self.channels.changed(name, items)
            if self.exchange.full:
                self.channels.event_log.tell(events.STATE_FULL, reason=self.exchange.full)
                self.link.close(self.exchange.full)
                return True
            self.link.send(self.exchange.question())
            self.channels.heard(self)
            self.channels.poke()  # the vector may have risen with nothing new in it
        else:
            return False
        return True

    def answer(self, whole: bool) -> None:
        """``whole``: this process holds all that was acknowledged, as far as can be known now."""
        silent = self.channels.silent(str(self.extra.get("role", "")))
        whole = whole and not silent  # who leaves something out does not tell all
        if self.peer_rank and self._holds_back(silent):
            return
        self._lacked_since = None
        among = self._due - set(silent)  # what is told nothing of now stays to be looked at
        told = self.exchange.answer(whole, among) if among else None
        if told is not None:
            self._due -= among - told["n"].keys()  # of the others nothing was lacked
        elif self.exchange.open:
            self._due -= among
        if told is None and self.exchange.open and whole is not self.said_whole:
            told = self.exchange.nothing(whole)
        if told is not None:
            self.said_whole = whole
            self.channels.send(self.link, told)

    def _holds_back(self, silent: Collection[str]) -> bool:
        among = self._due - set(silent)
        if not among or not self.exchange.lacks(among):
            return False
        now = self.channels.loop.time()
        if self._lacked_since is None:
            self._lacked_since = now
        return now - self._lacked_since < self.peer_rank * RANK_S

    def stirred(self, stores: Iterable[str]) -> None:
        """The vectors of these may have risen."""
        self._due.update(stores)

    def ranked(self, rank: int) -> None:
        """Its peer is to know where it stands among those that are asked here."""
        if rank != self.rank:
            self.rank = rank
            self.link.send({"t": "rank", "r": rank})

    def renew(self) -> None:
        """What has come by another link is not asked for on this one."""
        if self.opened_here and (head := self.exchange.update()) is not None:
            self.link.send(head)


def unpacked(body: bytes) -> dict[str, Any]:
    """The parts of a packed answer. Raises ValueError for what is none, or too long."""
    inflate = zlib.decompressobj()
    try:
        text = inflate.decompress(body, PACKED_MOST)
        if not inflate.eof:
            raise ValueError("a packed answer that does not end, or is too long")
        parts: dict[str, Any] = msgspec.json.decode(text, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, RecursionError) as fault:
        raise ValueError(str(fault)) from None
    return parts


class Asked:
    """A peer that this process opens a link to."""

    __slots__ = ("address", "channel", "coming", "name", "not_before", "pause")

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.channel: Channel | None = None
        self.coming: asyncio.Task[None] | None = None
        self.not_before, self.pause = 0.0, AGAIN_S


class Channels:
    """All of them. ``hello`` is what this process says of itself on each; ``most`` is how many it asks."""

    def __init__(
        self,
        me: str,
        hello: Head,
        stores: Mapping[str, Store],
        most: int,
        event_log: EventLog,
        changed: Changed,
        whole: Callable[[], bool] = lambda: False,
        extra: Callable[[Channel, Head, bytes], None] | None = None,
        opened: Callable[[Channel], None] | None = None,
        closed: Callable[[Channel], None] | None = None,
        up: Collection[str] = (),
        ranks: bool = False,
        greeted: Callable[[Channel], None] | None = None,
    ) -> None:
        """``greeted`` is told of a peer's hello before anything is said to it, or taken of it.
        ``ranks``: those that are asked tell in turn, so that nobody is told all by each of them.
        ``up``: the stores that go only to those whose hello says under ``takes`` that they want them."""
        self.up, self.ranks = up, ranks
        self.loop = asyncio.get_running_loop()
        self.me, self.stores, self.most, self.event_log = me, stores, most, event_log
        self.hello = {**hello, "takes": [*hello.get("takes", ()), SNAPSHOTS_FEATURE]}
        self.changed, self.whole, self._extra = changed, whole, extra
        self._opened, self._closed, self._greeted = opened, closed, greeted
        self.silent: Callable[[str], Collection[str]] = lambda role: ()  # stores not told to that role now
        self.open: set[Channel] = set()
        self._asked: dict[str, Asked] = {}
        self._poked: asyncio.TimerHandle | None = None
        self._packed: dict[tuple[object, ...], bytes] = {}
        self._order: list[str] | None = None  # of those that could be asked; None: to be worked out
        self._seen: dict[str, dict[str, int]] = {name: {} for name in stores}  # vectors, at the last look
        self.whole_at = -1e9  # when one that holds all that was acknowledged last answered, or beat

    # Whom to ask

    def know(self, candidates: Mapping[str, Address]) -> None:
        """All that could be asked, by name."""
        for name, address in candidates.items():
            known = self._asked.get(name)
            if known is None or known.address != address:
                self._drop(name)
                self._asked[name] = Asked(name, address)
                self._order = None
        for name in [name for name in self._asked if name not in candidates]:
            self._drop(name)
        self._choose()

    def _drop(self, name: str) -> None:
        asked = self._asked.pop(name, None)
        self._order = None
        if asked is not None and asked.channel is not None:
            asked.channel.link.close("not one to ask any more")

    def _choose(self) -> None:
        """Links to the first of this process's order that can be had now. A try that is under way keeps
        others from being tried, but costs none that stands: a seed that is gone is tried for ever."""
        now, wanted, standing = self.loop.time(), 0, 0
        if self._order is None:
            self._order = rendezvous_order(self.me, self._asked)
        for name in self._order:
            asked = self._asked[name]
            if asked.channel is not None:
                if standing >= self.most:
                    asked.channel.link.close("others come first")
                    continue
                if self.ranks:
                    asked.channel.ranked(standing)
                counts = asked.channel.whole or not asked.channel.told
                wanted += counts
                standing += counts
                continue
            if wanted >= self.most:
                continue
            if asked.coming is not None:
                wanted += 1
                continue
            if now >= asked.not_before:
                asked.coming = self.loop.create_task(self._come_up(asked))
                wanted += 1

    def _standing_before(self, name: str) -> int:
        """How many of those that come before it in the order of this process are linked and count."""
        assert self._order is not None
        names = self._order[: self._order.index(name)]
        linked = [self._asked[other].channel for other in names]
        return sum(one is not None and (one.whole or not one.told) for one in linked)

    async def _come_up(self, asked: Asked) -> None:
        link = await connect(asked.address, lambda: Link(lambda _: None, self._frame, self._lost))
        asked.coming = None
        if link is None or not link.up or self._asked.get(asked.name) is not asked:
            asked.not_before = self.loop.time() + asked.pause
            asked.pause = min(2.0 * asked.pause, AGAIN_MOST_S)
            if link is not None:
                link.close("not wanted")
            return
        asked.pause = AGAIN_S
        asked.channel = channel = Channel(self, link, asked.name, True)
        self.open.add(channel)
        channel.begin(self._standing_before(asked.name) if self.ranks else 0)
        self._choose()

    # Links that others open

    def adopt(self, link: Link, hello: Head) -> Channel:
        """A link whose other end wants news. Raises KeyError where it does not say who it is."""
        channel = Channel(self, link, str(hello["node"]), False)
        self.open.add(channel)
        self._met(channel, hello, begins=True)
        return channel

    def _met(self, channel: Channel, hello: Head, begins: bool = False) -> None:
        channel.node, channel.peer_source = str(hello["node"]), str(hello["source"])
        channel.extra = hello
        takes = hello.get("takes", ())
        channel.exchange.met(channel.peer_source, takes if isinstance(takes, list) else ())
        if self._greeted is not None:
            self._greeted(channel)
        if begins:
            channel.begin()
        self.event_log.tell(events.LINK_UP, peer=channel.node)
        if self._opened is not None:
            self._opened(channel)

    def frame(self, channel: Channel, head: Head, body: bytes) -> None:
        """Raises nothing: what cannot be read ends the link."""
        try:
            if head.get("z"):
                head["n"] = unpacked(body)
            if head["t"] == "hello":
                self._met(channel, head)
            elif not channel.frame(head) and self._extra is not None:
                self._extra(channel, head, body)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            channel.link.close(f"unreadable {head.get('t')}: {fault!r}")

    def _frame(self, link: Link, head: Head, body: bytes) -> None:
        if isinstance(link.peer, Channel):
            self.frame(link.peer, head, body)

    def _lost(self, link: Link, why: str) -> None:
        if isinstance(link.peer, Channel):
            self.lost(link.peer, why)

    def lost(self, channel: Channel, why: str) -> None:
        self.open.discard(channel)
        self.event_log.tell(events.LINK_LOST, peer=channel.node or channel.name, why=why)
        if self._closed is not None:
            self._closed(channel)
        asked = self._asked.get(channel.name)
        if asked is not None and asked.channel is channel:
            asked.channel = None
            asked.not_before = self.loop.time() + asked.pause
            asked.pause = min(2.0 * asked.pause, AGAIN_MOST_S)
            self._choose()

    # News

    def heard(self, channel: Channel) -> None:
        if channel.complete:
            self.whole_at = self.loop.time()

    def poke(self) -> None:
        """Something has changed here: who asked is answered."""
        if self._poked is None:
            self._poked = self.loop.call_later(BATCH_S, self._answer_all)

    def _answer_all(self) -> None:
        self._poked = None
        whole = self.whole()  # once for all: it looks at every member and every link
        risen = self._risen()
        for channel in list(self.open):
            channel.stirred(risen)
            if channel.rank:
                channel.renew()
            channel.answer(whole)

    def _risen(self) -> list[str]:
        """The stores whose vectors have changed since the last call. Compared whole, once for all links: to
        look at every source for each link would cost the square of the proxies."""
        found = [name for name, store in self.stores.items() if store.vector != self._seen[name]]
        for name in found:
            self._seen[name] = dict(self.stores[name].vector)
        return found

    def send(self, link: Link, told: Head) -> None:
        """An answer, packed where it is long."""
        parts = told["n"]
        if sum(len(part["items"]) for part in parts.values()) < PACKED_FROM:
            link.send(told)
            return
        key = tuple(
            (
                name,
                tuple((fields[4], fields[5]) for fields in part["items"]),
                tuple(sorted(part["v"].items())),
            )
            for name, part in parts.items()
        )
        packed = self._packed.pop(key, None)
        if packed is None:
            packed = zlib.compress(msgspec.json.encode(parts), 1)
        self._packed[key] = packed
        while len(self._packed) > PACKED_KEPT:
            del self._packed[next(iter(self._packed))]
        link.send({**told, "n": {}, "z": True}, packed)

    def fresh(self, within_s: float) -> bool:
        """Whether somebody that holds all that was acknowledged has been heard so lately."""
        now = self.loop.time()
        for channel in self.open:
            if channel.complete:
                self.whole_at = max(self.whole_at, channel.link.heard_at)
        return now - self.whole_at <= within_s

    def tick(self, now: float) -> None:
        whole, risen = self.whole(), self._risen()
        for channel in list(self.open):
            channel.link.tick(now)
            channel.stirred(risen)
            if channel.link.up:
                channel.answer(whole)  # where that has changed
        self._choose()
