"""Drops of the charter are forgotten once every member of the view has them on its disk: asked under one
epoch, answered after a sync. Then nobody who counts holds an older copy, and what is left of them
(`replication.tombstones`) is told to whoever comes later.

They are kept for KEPT_S before that, as those of the membership are: a sidecar that was out of touch for half
of it asks for all anew.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from msgspec import Struct, field

from mesh.control_plane.acceptor_host import AcceptorHost, decode_number
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.write_batches import DiskWriter
from mesh.dissemination.peers import Channel
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.membership.tombstones import Tombstones
from mesh.replication.acceptor import Acceptor
from mesh.replication.items import Item, Key
from mesh.replication.membership_epochs import View
from mesh.replication.store import Store
from mesh.replication.tombstones import read_rows
from mesh.transport.frames import Head

QUERY_INTERVAL_S = (
    10.0  # between two questions of one process, and a rank longer for each that goes before it
)
QUERY_TIMEOUT_S = 5.0  # of which the answers come
MAX_DROPS = 500  # drops of one question
MAX_FRAME_BUCKETS = 64  # buckets of the record in one frame
FRAMES = frozenset({"held", "holding", "forget", "gone"})

Drop = tuple[Key, int]


class _HoldsQuery(Struct, eq=False):
    view: View
    drops: Sequence[Drop]
    until: float
    heard: set[str] = field(default_factory=set)
    lacking: set[int] = field(default_factory=set)  # places of drops that not all hold


class TombstoneCollection:
    def __init__(
        self,
        charter: Store,
        acceptor: Acceptor,
        disk_writer: DiskWriter,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        event_log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._charter, self._acceptor, self._disk_writer = charter, acceptor, disk_writer
        self._member_set, self._acceptor_host, self._event_log = member_set, acceptor_host, event_log
        self._tombstones = Tombstones()
        self._tombstones.note(self._loop.time(), charter.items.values())
        self._next_query_at = self._loop.time() + QUERY_INTERVAL_S
        self._count = 0
        self._query: _HoldsQuery | None = None

    def note(self, items: Iterable[Item]) -> None:
        """These have changed in the charter."""
        self._tombstones.note(self._loop.time(), items)

    # Asking

    def tick(self, now: float) -> None:
        """Called several times a second."""
        if self._query is not None and now >= self._query.until:
            self._query = None
        if now < self._next_query_at or self._query is not None:
            return
        self._next_query_at = now + QUERY_INTERVAL_S
        view, me = self._member_set.view(), self._member_set.own_address
        if (
            view.joint
            or me not in view.members
            or not self._disk_writer.whole
            or not self._member_set.has_contact()
        ):
            return
        rank = sorted(view.members).index(me)
        ripe = self._tombstones.expired(now - rank * QUERY_INTERVAL_S, MAX_DROPS)
        held = [self._charter.items.get(key) for key in ripe]
        drops = [(item.key, item.version) for item in held if item is not None and item.value is None]
        if not drops:
            return
        self._count += 1
        asking = self._query = _HoldsQuery(view, drops, now + QUERY_TIMEOUT_S)
        told = {"t": "held", "n": self._count, "e": view.epoch, "k": [[*key, v] for key, v in drops]}
        for address, channel in self._member_set.peers().items():
            if address in view.members:
                channel.link.send(told)
        self._acceptor_host.spawn(self._check_own_disk(asking))

    async def _check_own_disk(self, asking: _HoldsQuery) -> None:
        lacking = await self._find_lacking(asking.view.epoch, asking.drops)
        if lacking is not None:
            self._handle_answer(asking, self._member_set.own_address, lacking)

    async def _find_lacking(self, epoch: int, drops: Sequence[Drop]) -> list[int] | None:
        """Places of those that this disk does not hold; None where nothing can be said under that epoch."""
        lacking = [place for place, drop in enumerate(drops) if not self._holds(*drop)]
        await self._disk_writer.flush()
        return None if await self._acceptor_host.check_epoch(epoch) is not None else lacking

    def _holds(self, key: Key, version: int) -> bool:
        item = self._charter.items.get(key)
        known = item.version if item is not None else self._charter.collected_tombstones.version(key)
        return known >= version

    def _handle_answer(self, asking: _HoldsQuery, who: str, lacking: Iterable[int]) -> None:
        view = self._member_set.view()
        if self._query is not asking or view.epoch != asking.view.epoch:
            return
        asking.heard.add(who)
        asking.lacking.update(lacking)
        if not asking.heard >= view.members.keys():
            return
        self._query = None
        gone = [drop for place, drop in enumerate(asking.drops) if place not in asking.lacking]
        if gone:
            told = {"t": "forget", "k": [[*key, version] for key, version in gone]}
            for channel in self._member_set.peers().values():
                channel.link.send(told)
            self._forget(gone)
            self._event_log.tell(events.DROPS_FORGOTTEN, items=len(gone))

    # Forgetting

    def _forget(self, drops: Sequence[Drop]) -> None:
        buckets, keys = self._charter.collect_tombstones(drops)
        self._remove(buckets, keys)

    def _remove(self, buckets: Sequence[str], keys: Sequence[Key]) -> None:
        """In one batch on disk: what is gone, and what is left of it."""
        for key in keys:
            self._acceptor.forget(key)
        self._tombstones.discard(keys)
        if buckets or keys:
            self._disk_writer.remove_keys(keys, buckets)

    # Links and frames

    def link_opened(self, channel: Channel) -> None:
        """A link to another control process is up: what is left of drops comes before all else on it."""
        channel.link.send({"t": "gone", "d": self._charter.collected_tombstones.root()})

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was one of forgetting. Raises KeyError, TypeError or ValueError for what cannot be
        read."""
        kind = head["t"]
        if kind not in FRAMES:
            return False
        if kind == "held":
            drops = _decode_drops(head["k"])
            self._acceptor_host.spawn(self._handle_query(channel, int(head["n"]), int(head["e"]), drops))
        elif kind == "holding":
            lacking = [int(place) for place in head["not"]]
            if self._query is not None and head["n"] == self._count:
                if head["e"] == self._query.view.epoch:
                    self._handle_answer(self._query, address_of(channel), lacking)
        elif kind == "forget":
            self._forget(_decode_drops(head["k"]))
        elif "f" in head:
            self._remove(*self._charter.merge_collected(read_rows(head["f"])))
        elif head["d"] != self._charter.collected_tombstones.root():
            rows = list(self._charter.collected_tombstones.rows().items())
            for at in range(0, len(rows), MAX_FRAME_BUCKETS):
                channel.link.send({"t": "gone", "f": dict(rows[at : at + MAX_FRAME_BUCKETS])})
        return True

    async def _handle_query(self, channel: Channel, number: int, epoch: int, drops: Sequence[Drop]) -> None:
        lacking = await self._find_lacking(epoch, drops)
        if lacking is not None:
            channel.link.send({"t": "holding", "n": number, "e": epoch, "not": lacking})


def _decode_drops(told: object) -> list[Drop]:
    """Raises TypeError or ValueError for what are none."""
    if not isinstance(told, list) or len(told) > MAX_DROPS:
        raise ValueError(f"at most {MAX_DROPS} drops")
    return [((kind, name), version) for kind, name, version in map(decode_number, told)]
