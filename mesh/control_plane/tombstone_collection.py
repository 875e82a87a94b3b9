"""Collects tombstones of the configuration store once every member of the view has them on its disk: queried
under one epoch, answered after a sync. Then no member holds an older version, and the remaining record
(`replication.tombstones`) is sent to processes that connect later.

Tombstones are kept for RETENTION_S before that, as those of the membership store are: a sidecar that was
disconnected for half of it requests everything again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Sequence

from msgspec import Struct, field

from mesh.control_plane.acceptor_host import AcceptorHost, decode_slot
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

QUERY_INTERVAL_S = 10.0  # between two queries of one process; each rank adds as much to a tombstone's age
QUERY_TIMEOUT_S = 5.0  # for the answers to one query
MAX_DROPS = 500  # tombstones in one query
MAX_FRAME_BUCKETS = 64  # of the record
FRAMES = frozenset({"held", "holding", "forget", "gone"})

Drop = tuple[Key, int]


class _HoldsQuery(Struct, eq=False):
    view: View
    drops: Sequence[Drop]
    until: float
    answered: set[str] = field(default_factory=set)
    lacking: set[int] = field(default_factory=set)  # indexes of drops that some member lacks


class TombstoneCollection:
    """Queries the members about expired tombstones, and removes those that all hold."""

    def __init__(
        self,
        config_store: Store,
        acceptor: Acceptor,
        disk_writer: DiskWriter,
        member_set: MemberSet,
        acceptor_host: AcceptorHost,
        event_log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._config_store, self._acceptor, self._disk_writer = config_store, acceptor, disk_writer
        self._member_set, self._acceptor_host, self._event_log = member_set, acceptor_host, event_log
        self._tombstones = Tombstones()
        self._tombstones.note(self._loop.time(), config_store.items.values())
        self._next_query_at = self._loop.time() + QUERY_INTERVAL_S
        self._count = 0
        self._query: _HoldsQuery | None = None

    def note(self, items: Iterable[Item]) -> None:
        """Notes tombstones among configuration items that have changed."""
        self._tombstones.note(self._loop.time(), items)

    # Queries

    def tick(self, now: float) -> None:
        """Starts a query that is due; called several times a second."""
        if self._query is not None and now >= self._query.until:
            self._query = None
        if now < self._next_query_at or self._query is not None:
            return
        self._next_query_at = now + QUERY_INTERVAL_S
        view, me = self._member_set.view(), self._member_set.own_address
        if (
            view.joint
            or me not in view.members
            or not self._disk_writer.complete
            or not self._member_set.has_contact()
        ):
            return
        rank = sorted(view.members).index(me)
        expired = self._tombstones.expired(now - rank * QUERY_INTERVAL_S, MAX_DROPS)
        held = [self._config_store.items.get(key) for key in expired]
        drops = [(item.key, item.version) for item in held if item is not None and item.value is None]
        if not drops:
            return
        self._count += 1
        query = self._query = _HoldsQuery(view, drops, now + QUERY_TIMEOUT_S)
        message = {"t": "held", "n": self._count, "e": view.epoch, "k": [[*key, v] for key, v in drops]}
        for address, channel in self._member_set.peers().items():
            if address in view.members:
                channel.link.send(message)
        self._acceptor_host.spawn(self._check_own_disk(query))

    async def _check_own_disk(self, query: _HoldsQuery) -> None:
        lacking = await self._find_lacking(query.view.epoch, query.drops)
        if lacking is not None:
            self._handle_answer(query, self._member_set.own_address, lacking)

    async def _find_lacking(self, epoch: int, drops: Sequence[Drop]) -> list[int] | None:
        """Indexes of the drops that this disk lacks; None if nothing can be answered under that epoch."""
        lacking = [index for index, drop in enumerate(drops) if not self._holds(*drop)]
        await self._disk_writer.flush()
        return None if await self._acceptor_host.check_epoch(epoch) is not None else lacking

    def _holds(self, key: Key, version: int) -> bool:
        item = self._config_store.items.get(key)
        known = item.version if item is not None else self._config_store.collected_tombstones.version(key)
        return known >= version

    def _handle_answer(self, query: _HoldsQuery, member: str, lacking: Iterable[int]) -> None:
        view = self._member_set.view()
        if self._query is not query or view.epoch != query.view.epoch:
            return
        query.answered.add(member)
        query.lacking.update(lacking)
        if not query.answered >= view.members.keys():
            return
        self._query = None
        held_by_all = [drop for index, drop in enumerate(query.drops) if index not in query.lacking]
        if held_by_all:
            message = {"t": "forget", "k": [[*key, version] for key, version in held_by_all]}
            for channel in self._member_set.peers().values():
                channel.link.send(message)
            self._forget(held_by_all)
            self._event_log.emit(events.TOMBSTONES_COLLECTED, items=len(held_by_all))

    # Removal

    def _forget(self, drops: Sequence[Drop]) -> None:
        buckets, keys = self._config_store.collect_tombstones(drops)
        self._remove(buckets, keys)

    def _remove(self, buckets: Sequence[str], keys: Sequence[Key]) -> None:
        """Removes the keys, and writes the remaining record in the same batch."""
        for key in keys:
            self._acceptor.forget(key)
        self._tombstones.discard(keys)
        if buckets or keys:
            self._disk_writer.remove_keys(keys, buckets)

    # Links and frames

    def link_opened(self, channel: Channel) -> None:
        """Sends the digest of the record first of all on a new link to another control process."""
        channel.link.send({"t": "gone", "d": self._config_store.collected_tombstones.root()})

    def handle_frame(self, channel: Channel, head: Head) -> bool:
        """Whether it was a frame of this exchange. Raises KeyError, TypeError or ValueError if malformed."""
        kind = head["t"]
        if kind not in FRAMES:
            return False
        if kind == "held":
            drops = _decode_drops(head["k"])
            self._acceptor_host.spawn(self._handle_query(channel, int(head["n"]), int(head["e"]), drops))
        elif kind == "holding":
            lacking = [int(index) for index in head["not"]]
            if self._query is not None and head["n"] == self._count:
                if head["e"] == self._query.view.epoch:
                    self._handle_answer(self._query, address_of(channel), lacking)
        elif kind == "forget":
            self._forget(_decode_drops(head["k"]))
        elif "f" in head:
            self._remove(*self._config_store.merge_collected(read_rows(head["f"])))
        elif head["d"] != self._config_store.collected_tombstones.root():
            rows = list(self._config_store.collected_tombstones.rows().items())
            for at in range(0, len(rows), MAX_FRAME_BUCKETS):
                channel.link.send({"t": "gone", "f": dict(rows[at : at + MAX_FRAME_BUCKETS])})
        return True

    async def _handle_query(self, channel: Channel, number: int, epoch: int, drops: Sequence[Drop]) -> None:
        lacking = await self._find_lacking(epoch, drops)
        if lacking is not None:
            channel.link.send({"t": "holding", "n": number, "e": epoch, "not": lacking})


def _decode_drops(data: object) -> list[Drop]:
    """Decodes drops; raises TypeError or ValueError if they are malformed or too many."""
    if not isinstance(data, list) or len(data) > MAX_DROPS:
        raise ValueError(f"at most {MAX_DROPS} drops")
    return [((kind, name), version) for kind, name, version in map(decode_slot, data)]
