"""Pull exchange over links: which peers this process pulls from, and how it applies their answers.
Controllers and sidecars share it; they differ in the number of peers and in what they keep on disk.

A process chooses its peers by rendezvous hashing over all candidates. A peer that is unreachable, or reports
that it lacks contact with a quorum, is replaced by the next one in that order until it recovers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from mesh.dissemination.answer_compression import AnswerCompressor, decompress_parts
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
BATCH_DELAY_S = 0.01  # changes within this time share one answer
# Each peer after the first delays its answer by this for each rank, counted from the last pull request that
# reported progress: while the first peer answers, the request is renewed with each page. The delay is the
# price where the first peer is slow but still responds.
RANK_DELAY_S = 0.35

ItemsChanged = Callable[[str, list[Item]], None]


class Channel:
    """A link that carries the pull exchange, whichever side opened it."""

    def __init__(self, channels: Channels, link: Link, name: str, opened_here: bool) -> None:
        self.channels, self.link, self.name, self.opened_here = channels, link, name, opened_here
        self.exchange = Exchange(channels.stores, channels.one_way, channels.hello.get("takes", ()))
        self.node = self.peer_source = ""  # the peer's, from its hello
        self.peer_hello: Head = {}  # empty until it arrives
        self.sent_complete: bool | None = None  # last reported to the peer
        self.peer_complete = False  # last reported by the peer: it holds every acknowledged write
        self.answered = False  # the peer has answered at least once
        self.received_all = False  # a complete peer has sent everything that it holds
        self.rank = 0  # of the peer among those this process pulls from, as last sent to it; 0 is the first
        self.peer_rank = 0  # of this process among those that the peer pulls from
        self._peer_lacking_since: float | None = None
        self._due = set(channels.stores)  # stores to check for the next answer
        link.mutual_heartbeat = True
        link.peer = self

    def start(self, rank: int = 0) -> None:
        """Sends the hello, then the rank, then the first pull request, which is answered at once."""
        self.link.send({**self.channels.hello, "for": "news"})
        self.set_rank(rank)
        self.link.send(self.exchange.pull_request())

    def handle_frame(self, head: Head) -> bool:
        """Handles a frame of the exchange; returns False for any other kind. Raises KeyError, TypeError or
        ValueError for a malformed frame."""
        kind = head["t"]
        if kind == "rank":
            self.peer_rank = max(int(head["r"]), 0)
        elif kind == "pull":
            if head["v"]:
                self._peer_lacking_since = None  # the peer made progress, on this link or another
            self._due.update(self.exchange.record_pull(head, self.peer_source))
            self.answer(self.channels.is_complete())
            self.channels.on_peer_report()
        elif kind == "news":
            self.peer_complete, self.answered = bool(head["whole"]), True
            # Answers of a peer that was not complete do not count: it may have withheld a store.
            self.received_all = self.peer_complete and (self.received_all or not head["more"])
            changed = self.exchange.merge_answer(head)
            for name, items in changed.items():
                if items:
                    self.channels.on_change(name, items)
            if self.exchange.store_error:
                self.channels.event_log.emit(events.STATE_FULL, reason=self.exchange.store_error)
                self.link.close(self.exchange.store_error)
                return True
            if self.channels.must_answer_first(changed):
                self.channels.pull_after_answers(self)
            else:
                self.link.send(self.exchange.pull_request())
            self.channels.record_answer(self)
            self.channels.on_peer_report()
            self.channels.schedule_answers()  # the vector may have advanced without new items
        else:
            return False
        return True

    def answer(self, complete: bool) -> None:
        """Answers an open pull request. ``complete``: this process holds every acknowledged write, as far as
        it can know now."""
        withheld = self.channels.withheld_stores(str(self.peer_hello.get("role", "")))
        complete = complete and not withheld  # an answer without these stores is not complete
        if self.peer_rank and self._waits_for_rank(withheld):
            return
        self._peer_lacking_since = None
        checked = self._due - set(withheld)  # withheld stores stay due
        answer = self.exchange.answer(complete, checked) if checked else None
        if answer is not None:
            self._due -= checked - answer["n"].keys()  # the peer lacks nothing of the others
        elif self.exchange.pull_open:
            self._due -= checked
        if answer is None and self.exchange.pull_open and complete is not self.sent_complete:
            answer = self.exchange.empty_answer(complete)
        if answer is not None:
            self.sent_complete = complete
            self.channels.send(self.link, answer)

    def _waits_for_rank(self, withheld: Collection[str]) -> bool:
        checked = self._due - set(withheld)
        if not checked or not self.exchange.peer_lacks_updates(checked):
            return False
        now = self.channels.loop.time()
        if self._peer_lacking_since is None:
            self._peer_lacking_since = now
        return now - self._peer_lacking_since < self.peer_rank * RANK_DELAY_S

    def mark_due(self, stores: Iterable[str]) -> None:
        """Marks stores whose vectors may have advanced."""
        self._due.update(stores)

    def set_rank(self, rank: int) -> None:
        """Reports to the peer its rank among those that this process pulls from."""
        if rank != self.rank:
            self.rank = rank
            self.link.send({"t": "rank", "r": rank})

    def renew_pull(self) -> None:
        """Renews the open pull request, so that items received over another link are not sent again."""
        if self.opened_here and (head := self.exchange.renewed_pull()) is not None:
            self.link.send(head)


class Candidate:
    """A process that this one may pull from."""

    __slots__ = ("address", "channel", "connecting", "name", "not_before", "retry_delay_s")

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.channel: Channel | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.not_before, self.retry_delay_s = 0.0, RECONNECT_DELAY_S


class Channels:
    """All channels of this process. ``hello`` is its hello frame; ``max_peers`` is how many it pulls from."""

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
        """``on_hello`` is called with a peer's hello before any other frame is sent or handled.
        ``ranked``: peers answer in turn by rank, so that they do not all send the same items.
        ``one_way``: stores that are sent only to peers whose hello lists them under ``takes``."""
        self.one_way, self.ranked = one_way, ranked
        self.loop = asyncio.get_running_loop()
        self.me, self.stores, self.max_peers, self.event_log = me, stores, max_peers, event_log
        self.hello = {**hello, "takes": [*hello.get("takes", ()), SNAPSHOTS_FEATURE]}
        self.on_change, self.is_complete, self._on_frame = on_change, is_complete, on_frame
        self._on_open, self._on_close, self._on_hello = on_open, on_close, on_hello
        self.withheld_stores: Callable[[str], Collection[str]] = lambda role: ()  # from peers of that role
        # Whether other peers are sent these items before their sender learns that they are held here.
        self.must_answer_first: Callable[[Mapping[str, Sequence[Item]]], bool] = lambda _: False
        # Called when a peer has reported what it holds, or whether it is complete.
        self.on_peer_report: Callable[[], None] = lambda: None
        self.open: set[Channel] = set()
        self._candidates: dict[str, Candidate] = {}
        self._answer_timer: asyncio.TimerHandle | None = None
        self._pulls_after_answers: list[Channel] = []
        self._compressor = AnswerCompressor()
        self._order: list[str] | None = None  # of the candidates; None: to be recomputed
        self._last_vectors: dict[str, dict[str, int]] = {name: {} for name in stores}
        self.last_complete_at = -1e9  # last answer or heartbeat of a complete peer

    # Choice of peers

    def set_candidates(self, candidates: Mapping[str, Address]) -> None:
        """Replaces the candidates, by name."""
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
        candidate = self._candidates.pop(name, None)
        self._order = None
        if candidate is not None and candidate.channel is not None:
            candidate.channel.link.close("peer is no longer a candidate")

    def _choose_peers(self) -> None:
        """Keeps links to the first reachable candidates in rendezvous order. An attempt in progress prevents
        further attempts but closes no established link: a seed that is gone is retried for ever."""
        now, pending, linked = self.loop.time(), 0, 0
        if self._order is None:
            self._order = rendezvous_order(self.me, self._candidates)
        for name in self._order:
            candidate = self._candidates[name]
            if candidate.channel is not None:
                if linked >= self.max_peers:
                    candidate.channel.link.close("peers earlier in the order are linked")
                    continue
                if self.ranked:
                    candidate.channel.set_rank(linked)
                counts = candidate.channel.peer_complete or not candidate.channel.answered
                pending += counts
                linked += counts
                continue
            if pending >= self.max_peers:
                continue
            if candidate.connecting is not None:
                pending += 1
                continue
            if now >= candidate.not_before:
                candidate.connecting = self.loop.create_task(self._connect(candidate))
                pending += 1

    def _rank_of(self, name: str) -> int:
        """The number of linked peers earlier in the order that are complete or have not answered yet."""
        assert self._order is not None
        names = self._order[: self._order.index(name)]
        linked = [self._candidates[other].channel for other in names]
        return sum(one is not None and (one.peer_complete or not one.answered) for one in linked)

    async def _connect(self, candidate: Candidate) -> None:
        link = await connect(
            candidate.address, lambda: Link(lambda _: None, self._on_link_frame, self._on_link_lost)
        )
        candidate.connecting = None
        if link is None or not link.up or self._candidates.get(candidate.name) is not candidate:
            candidate.not_before = self.loop.time() + candidate.retry_delay_s
            candidate.retry_delay_s = min(2.0 * candidate.retry_delay_s, MAX_RECONNECT_DELAY_S)
            if link is not None:
                link.close("link is no longer needed")
            return
        candidate.retry_delay_s = RECONNECT_DELAY_S
        candidate.channel = channel = Channel(self, link, candidate.name, True)
        self.open.add(channel)
        channel.start(self._rank_of(candidate.name) if self.ranked else 0)
        self._choose_peers()

    # Links opened by peers

    def adopt(self, link: Link, hello: Head) -> Channel:
        """Takes over a link that a peer opened to pull over. Raises KeyError for an incomplete hello."""
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
        self.event_log.emit(events.LINK_UP, peer=channel.node)
        if self._on_open is not None:
            self._on_open(channel)

    def handle_frame(self, channel: Channel, head: Head, body: bytes) -> None:
        """Handles a frame; a malformed one closes the link."""
        try:
            if head.get("z"):
                head["n"] = decompress_parts(body)
            if head["t"] == "hello":
                self._handle_hello(channel, head)
            elif not channel.handle_frame(head) and self._on_frame is not None:
                self._on_frame(channel, head, body)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            channel.link.close(f"unreadable {head.get('t')}: {error!r}")

    def _on_link_frame(self, link: Link, head: Head, body: bytes) -> None:
        if isinstance(link.peer, Channel):
            self.handle_frame(link.peer, head, body)

    def _on_link_lost(self, link: Link, reason: str) -> None:
        if isinstance(link.peer, Channel):
            self.handle_lost(link.peer, reason)

    def handle_lost(self, channel: Channel, reason: str) -> None:
        self.open.discard(channel)
        self.event_log.emit(events.LINK_LOST, peer=channel.node or channel.name, why=reason)
        if self._on_close is not None:
            self._on_close(channel)
        candidate = self._candidates.get(channel.name)
        if candidate is not None and candidate.channel is channel:
            candidate.channel = None
            candidate.not_before = self.loop.time() + candidate.retry_delay_s
            candidate.retry_delay_s = min(2.0 * candidate.retry_delay_s, MAX_RECONNECT_DELAY_S)
            self._choose_peers()

    # Answers

    def record_answer(self, channel: Channel) -> None:
        if channel.received_all:
            self.last_complete_at = self.loop.time()

    def schedule_answers(self) -> None:
        """Schedules answers to open pull requests after a local change."""
        if self._answer_timer is None:
            self._answer_timer = self.loop.call_later(BATCH_DELAY_S, self._answer_all)

    def _answer_all(self) -> None:
        self._answer_timer = None
        complete = self.is_complete()  # computed once: it visits every member and every link
        advanced = self._changed_stores()
        for channel in list(self.open):
            channel.mark_due(advanced)
            if channel.rank:
                channel.renew_pull()
            channel.answer(complete)
        waiting, self._pulls_after_answers = self._pulls_after_answers, []
        for channel in waiting:
            channel.link.send(channel.exchange.pull_request())

    def pull_after_answers(self, channel: Channel) -> None:
        """Sends the pull request of this channel, which reports what is held here, behind the next answers to
        all peers."""
        self._pulls_after_answers.append(channel)
        self.schedule_answers()

    def _changed_stores(self) -> list[str]:
        """The stores whose vectors have changed since the last call. Compared once for all links: comparing
        every source for each link would cost the square of the number of proxies."""
        found = [name for name, store in self.stores.items() if store.vector != self._last_vectors[name]]
        for name in found:
            self._last_vectors[name] = dict(self.stores[name].vector)
        return found

    def send(self, link: Link, answer: Head) -> None:
        """Sends an answer, compressed where it is long."""
        packed = self._compressor.compress(answer["n"])
        if packed is None:
            link.send(answer)
        else:
            link.send({**answer, "n": {}, "z": True}, packed)

    def complete_within(self, within_s: float) -> bool:
        """Whether a complete peer has answered or sent a heartbeat within this time."""
        now = self.loop.time()
        for channel in self.open:
            if channel.received_all:
                self.last_complete_at = max(self.last_complete_at, channel.link.last_received_at)
        return now - self.last_complete_at <= within_s

    def tick(self, now: float) -> None:
        complete, advanced = self.is_complete(), self._changed_stores()
        for channel in list(self.open):
            channel.link.tick(now)
            channel.mark_due(advanced)
            if channel.link.up:
                channel.answer(complete)  # reports a change of ``complete``
        self._choose_peers()
