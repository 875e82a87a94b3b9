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

RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.15, 1.5
BATCH_DELAY_S = 0.01  # what changes within this goes out together
# Each but the first of those that a process asks holds its news back by this for its rank, counted from the
# last question that told of something new: while the first tells, the question is renewed with each page.
# It costs this where the first is slow but not silent.
RANK_DELAY_S = 0.35
COMPRESS_FROM_ITEMS = 24  # items of one answer, from which it goes packed: routes are much alike
MAX_DECOMPRESSED_BYTES = 32 * 1024 * 1024  # bytes of one answer unpacked
COMPRESSED_CACHE_SIZE = 4  # the last of them, since many ask for the same

ItemsChanged = Callable[[str, list[Item]], None]


class Channel:
    """One link with news on it, whoever opened it."""

    def __init__(self, channels: Channels, link: Link, name: str, opened_here: bool) -> None:
        self.channels, self.link, self.name, self.opened_here = channels, link, name, opened_here
        self.exchange = Exchange(channels.stores, channels.one_way, channels.hello.get("takes", ()))
        self.node = self.peer_source = ""  # the peer's, once it has said so
        self.peer_hello: Head = {}  # all that it has said of itself
        self.sent_complete: bool | None = None  # as we told it last
        self.peer_complete = False  # as the peer told us last
        self.answered = False  # the peer has told us anything
        self.received_all = False  # the peer has told us all, as one that holds all that was acknowledged
        self.rank = 0  # of the peer among those that we ask, as it knows; 0 is the first
        self.peer_rank = 0  # of us among those that it asks
        self._peer_lacking_since: float | None = None
        self._due = set(channels.stores)  # stores to be looked at for an answer
        link.steady = True
        link.peer = self

    def start(self, rank: int = 0) -> None:
        """Its first words; ``rank`` comes before the question, which would be answered at once."""
        self.link.send({**self.channels.hello, "for": "news"})
        self.set_rank(rank)
        self.link.send(self.exchange.pull_request())

    def handle_frame(self, head: Head) -> bool:
        """Whether it was one of news. Raises KeyError, TypeError, ValueError for what cannot be read."""
        kind = head["t"]
        if kind == "rank":
            self.peer_rank = max(int(head["r"]), 0)
        elif kind == "pull":
            if head["v"]:
                self._peer_lacking_since = None  # it has been told something, here or by another
            self._due.update(self.exchange.record_pull(head, self.peer_source))
            self.answer(self.channels.is_complete())
        elif kind == "news":
            self.peer_complete, self.answered = bool(head["whole"]), True
            # Not by any earlier answer: one that did not hold all may have told nothing of a store.
            self.received_all = self.peer_complete and (self.received_all or not head["more"])
            changed = self.exchange.merge_answer(head)
            for name, items in changed.items():
                if items:
                    self.channels.on_change(name, items)
            if self.exchange.store_error:
                self.channels.event_log.tell(events.STATE_FULL, reason=self.exchange.store_error)
                self.link.close(self.exchange.store_error)
                return True
            self.link.send(self.exchange.pull_request())
            self.channels.record_answer(self)
            self.channels.schedule_answers()  # the vector may have risen with nothing new in it
        else:
            return False
        return True

    def answer(self, whole: bool) -> None:
        """``whole``: this process holds all that was acknowledged, as far as can be known now."""
        silent = self.channels.withheld_stores(str(self.peer_hello.get("role", "")))
        whole = whole and not silent  # who leaves something out does not tell all
        if self.peer_rank and self._waits_for_rank(silent):
            return
        self._peer_lacking_since = None
        among = self._due - set(silent)  # what is told nothing of now stays to be looked at
        told = self.exchange.answer(whole, among) if among else None
        if told is not None:
            self._due -= among - told["n"].keys()  # of the others nothing was lacked
        elif self.exchange.pull_open:
            self._due -= among
        if told is None and self.exchange.pull_open and whole is not self.sent_complete:
            told = self.exchange.empty_answer(whole)
        if told is not None:
            self.sent_complete = whole
            self.channels.send(self.link, told)

    def _waits_for_rank(self, silent: Collection[str]) -> bool:
        among = self._due - set(silent)
        if not among or not self.exchange.peer_lacks_updates(among):
            return False
        now = self.channels.loop.time()
        if self._peer_lacking_since is None:
            self._peer_lacking_since = now
        return now - self._peer_lacking_since < self.peer_rank * RANK_DELAY_S

    def mark_due(self, stores: Iterable[str]) -> None:
        """The vectors of these may have risen."""
        self._due.update(stores)

    def set_rank(self, rank: int) -> None:
        """Its peer is to know where it stands among those that are asked here."""
        if rank != self.rank:
            self.rank = rank
            self.link.send({"t": "rank", "r": rank})

    def renew_pull(self) -> None:
        """What has come by another link is not asked for on this one."""
        if self.opened_here and (head := self.exchange.renewed_pull()) is not None:
            self.link.send(head)


def decompress_parts(body: bytes) -> dict[str, Any]:
    """The parts of a packed answer. Raises ValueError for what is none, or too long."""
    inflate = zlib.decompressobj()
    try:
        text = inflate.decompress(body, MAX_DECOMPRESSED_BYTES)
        if not inflate.eof:
            raise ValueError("a packed answer that does not end, or is too long")
        parts: dict[str, Any] = msgspec.json.decode(text, type=dict[str, Any])
    except (zlib.error, msgspec.DecodeError, RecursionError) as fault:
        raise ValueError(str(fault)) from None
    return parts


class Candidate:
    """A peer that this process opens a link to."""

    __slots__ = ("address", "channel", "connecting", "name", "not_before", "retry_delay_s")

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.channel: Channel | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.not_before, self.retry_delay_s = 0.0, RECONNECT_DELAY_S


class Channels:
    """All of them. ``hello`` is what this process says of itself on each; ``most`` is how many it asks."""

    def __init__(
        self,
        me: str,
        hello: Head,
        stores: Mapping[str, Store],
        max_peers: int,
        event_log: EventLog,
        on_change: ItemsChanged,
        is_complete: Callable[[], bool] = lambda: False,
        on_frame: Callable[[Channel, Head, bytes], None] | None = None,
        on_open: Callable[[Channel], None] | None = None,
        on_close: Callable[[Channel], None] | None = None,
        one_way: Collection[str] = (),
        ranked: bool = False,
        on_hello: Callable[[Channel], None] | None = None,
    ) -> None:
        """``greeted`` is told of a peer's hello before anything is said to it, or taken of it.
        ``ranks``: those that are asked tell in turn, so that nobody is told all by each of them.
        ``up``: the stores that go only to those whose hello says under ``takes`` that they want them."""
        self.one_way, self.ranked = one_way, ranked
        self.loop = asyncio.get_running_loop()
        self.me, self.stores, self.max_peers, self.event_log = me, stores, max_peers, event_log
        self.hello = {**hello, "takes": [*hello.get("takes", ()), SNAPSHOTS_FEATURE]}
        self.on_change, self.is_complete, self._on_frame = on_change, is_complete, on_frame
        self._on_open, self._on_close, self._on_hello = on_open, on_close, on_hello
        self.withheld_stores: Callable[[str], Collection[str]] = (
            lambda role: ()
        )  # stores not told to that role now
        self.open: set[Channel] = set()
        self._candidates: dict[str, Candidate] = {}
        self._answer_timer: asyncio.TimerHandle | None = None
        self._compressed: dict[tuple[object, ...], bytes] = {}
        self._order: list[str] | None = None  # of those that could be asked; None: to be worked out
        self._last_vectors: dict[str, dict[str, int]] = {
            name: {} for name in stores
        }  # vectors, at the last look
        self.last_complete_at = -1e9  # when one that holds all that was acknowledged last answered, or beat

    # Whom to ask

    def set_candidates(self, candidates: Mapping[str, Address]) -> None:
        """All that could be asked, by name."""
        for name, address in candidates.items():
            known = self._candidates.get(name)
            if known is None or known.address != address:
                self._remove_candidate(name)
                self._candidates[name] = Candidate(name, address)
                self._order = None
        for name in [name for name in self._candidates if name not in candidates]:
            self._remove_candidate(name)
        self._choose_peers()

    def _remove_candidate(self, name: str) -> None:
        asked = self._candidates.pop(name, None)
        self._order = None
        if asked is not None and asked.channel is not None:
            asked.channel.link.close("not one to ask any more")

    def _choose_peers(self) -> None:
        """Links to the first of this process's order that can be had now. A try that is under way keeps
        others from being tried, but costs none that stands: a seed that is gone is tried for ever."""
        now, wanted, standing = self.loop.time(), 0, 0
        if self._order is None:
            self._order = rendezvous_order(self.me, self._candidates)
        for name in self._order:
            asked = self._candidates[name]
            if asked.channel is not None:
                if standing >= self.max_peers:
                    asked.channel.link.close("others come first")
                    continue
                if self.ranked:
                    asked.channel.set_rank(standing)
                counts = asked.channel.peer_complete or not asked.channel.answered
                wanted += counts
                standing += counts
                continue
            if wanted >= self.max_peers:
                continue
            if asked.connecting is not None:
                wanted += 1
                continue
            if now >= asked.not_before:
                asked.connecting = self.loop.create_task(self._connect(asked))
                wanted += 1

    def _rank_of(self, name: str) -> int:
        """How many of those that come before it in the order of this process are linked and count."""
        assert self._order is not None
        names = self._order[: self._order.index(name)]
        linked = [self._candidates[other].channel for other in names]
        return sum(one is not None and (one.peer_complete or not one.answered) for one in linked)

    async def _connect(self, asked: Candidate) -> None:
        link = await connect(
            asked.address, lambda: Link(lambda _: None, self._on_link_frame, self._on_link_lost)
        )
        asked.connecting = None
        if link is None or not link.up or self._candidates.get(asked.name) is not asked:
            asked.not_before = self.loop.time() + asked.retry_delay_s
            asked.retry_delay_s = min(2.0 * asked.retry_delay_s, MAX_RECONNECT_DELAY_S)
            if link is not None:
                link.close("not wanted")
            return
        asked.retry_delay_s = RECONNECT_DELAY_S
        asked.channel = channel = Channel(self, link, asked.name, True)
        self.open.add(channel)
        channel.start(self._rank_of(asked.name) if self.ranked else 0)
        self._choose_peers()

    # Links that others open

    def adopt(self, link: Link, hello: Head) -> Channel:
        """A link whose other end wants news. Raises KeyError where it does not say who it is."""
        channel = Channel(self, link, str(hello["node"]), False)
        self.open.add(channel)
        self._handle_hello(channel, hello, begins=True)
        return channel

    def _handle_hello(self, channel: Channel, hello: Head, begins: bool = False) -> None:
        channel.node, channel.peer_source = str(hello["node"]), str(hello["source"])
        channel.peer_hello = hello
        takes = hello.get("takes", ())
        channel.exchange.set_peer(channel.peer_source, takes if isinstance(takes, list) else ())
        if self._on_hello is not None:
            self._on_hello(channel)
        if begins:
            channel.start()
        self.event_log.tell(events.LINK_UP, peer=channel.node)
        if self._on_open is not None:
            self._on_open(channel)

    def handle_frame(self, channel: Channel, head: Head, body: bytes) -> None:
        """Raises nothing: what cannot be read ends the link."""
        try:
            if head.get("z"):
                head["n"] = decompress_parts(body)
            if head["t"] == "hello":
                self._handle_hello(channel, head)
            elif not channel.handle_frame(head) and self._on_frame is not None:
                self._on_frame(channel, head, body)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            channel.link.close(f"unreadable {head.get('t')}: {fault!r}")

    def _on_link_frame(self, link: Link, head: Head, body: bytes) -> None:
        if isinstance(link.peer, Channel):
            self.handle_frame(link.peer, head, body)

    def _on_link_lost(self, link: Link, why: str) -> None:
        if isinstance(link.peer, Channel):
            self.handle_lost(link.peer, why)

    def handle_lost(self, channel: Channel, why: str) -> None:
        self.open.discard(channel)
        self.event_log.tell(events.LINK_LOST, peer=channel.node or channel.name, why=why)
        if self._on_close is not None:
            self._on_close(channel)
        asked = self._candidates.get(channel.name)
        if asked is not None and asked.channel is channel:
            asked.channel = None
            asked.not_before = self.loop.time() + asked.retry_delay_s
            asked.retry_delay_s = min(2.0 * asked.retry_delay_s, MAX_RECONNECT_DELAY_S)
            self._choose_peers()

    # News

    def record_answer(self, channel: Channel) -> None:
        if channel.received_all:
            self.last_complete_at = self.loop.time()

    def schedule_answers(self) -> None:
        """Something has changed here: who asked is answered."""
        if self._answer_timer is None:
            self._answer_timer = self.loop.call_later(BATCH_DELAY_S, self._answer_all)

    def _answer_all(self) -> None:
        self._answer_timer = None
        whole = self.is_complete()  # once for all: it looks at every member and every link
        risen = self._changed_stores()
        for channel in list(self.open):
            channel.mark_due(risen)
            if channel.rank:
                channel.renew_pull()
            channel.answer(whole)

    def _changed_stores(self) -> list[str]:
        """The stores whose vectors have changed since the last call. Compared whole, once for all links: to
        look at every source for each link would cost the square of the proxies."""
        found = [name for name, store in self.stores.items() if store.vector != self._last_vectors[name]]
        for name in found:
            self._last_vectors[name] = dict(self.stores[name].vector)
        return found

    def send(self, link: Link, told: Head) -> None:
        """An answer, packed where it is long."""
        parts = told["n"]
        if sum(len(part["items"]) for part in parts.values()) < COMPRESS_FROM_ITEMS:
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
        packed = self._compressed.pop(key, None)
        if packed is None:
            packed = zlib.compress(msgspec.json.encode(parts), 1)
        self._compressed[key] = packed
        while len(self._compressed) > COMPRESSED_CACHE_SIZE:
            del self._compressed[next(iter(self._compressed))]
        link.send({**told, "n": {}, "z": True}, packed)

    def complete_within(self, within_s: float) -> bool:
        """Whether somebody that holds all that was acknowledged has been heard so lately."""
        now = self.loop.time()
        for channel in self.open:
            if channel.received_all:
                self.last_complete_at = max(self.last_complete_at, channel.link.heard_at)
        return now - self.last_complete_at <= within_s

    def tick(self, now: float) -> None:
        whole, risen = self.is_complete(), self._changed_stores()
        for channel in list(self.open):
            channel.link.tick(now)
            channel.mark_due(risen)
            if channel.link.up:
                channel.answer(whole)  # where that has changed
        self._choose_peers()
