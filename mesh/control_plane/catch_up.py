"""Detects an outdated disk and discards its state, so that other processes never follow it.

A disk may belong to a machine that was removed from the view, to a reader that was away, or be an older copy
of itself (a restored backup). Its process then starts over: it drops configuration and votes and reads all
from the members again, as with an empty disk. It learns this from the first frame of a link, before it has
answered anything there: each hello carries the view in force, and for each member how often it has started,
which an older copy no longer knows. Sidecars receive the configuration only after the process has had contact
once."""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Iterable

from mesh.control_plane.acceptor_host import AcceptorHost
from mesh.control_plane.member_set import MemberSet, address_of
from mesh.control_plane.write_batches import DiskWriter
from mesh.data_plane.membership import CONTROLLER
from mesh.dissemination.peers import Channel, Channels
from mesh.dissemination.pull_exchange import unpack
from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor
from mesh.replication.items import Item
from mesh.replication.membership_epochs import MEMBERS, VIEW, View, read_view
from mesh.replication.store import Store
from mesh.storage.layout import StorageError, pack_incarnations
from mesh.storage.lmdb_store import DiskStore, Durable, Size

CONFIG_STORE = "charter"
MAX_TRACKED_MACHINES = 128  # machines whose number of starts is kept
START_TIMEOUT_S = 1.0  # longest delay of a start by a slow disk
RETRY_S = 0.3  # after the disk refused a rewrite
COMPACTION_CHECK_S = 60.0  # between two checks of the file size
# A file is rewritten when it is larger than the ratio times its content plus the spare bytes.
COMPACT_SPARE_BYTES, COMPACT_RATIO = 4 << 20, 4


class CatchUp:
    """Counts the starts of this process, and starts over when its disk is outdated."""

    def __init__(
        self,
        config_store: Store,
        acceptor: Acceptor,
        disk_writer: DiskWriter,
        member_set: MemberSet,
        channels: Channels,
        acceptor_host: AcceptorHost,
        event_log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._config_store, self._acceptor, self._disk_writer, self._member_set = (
            config_store,
            acceptor,
            disk_writer,
            member_set,
        )
        self._channels, self._acceptor_host, self._event_log = channels, acceptor_host, event_log
        # Of the process, and of the store: the count rises each time that the store starts over.
        self._incarnation, self._incarnation_count = config_store.source, 1
        # The disk belongs to a reader: its view may be older than this machine's joining.
        self._is_reader = False
        self._start_recorded = False  # this start is on disk
        self._had_contact = False  # since the store started (over)
        self._view = member_set.view()
        self._next_compaction_at = self._loop.time() + COMPACTION_CHECK_S
        self._compaction: asyncio.Task[None] | None = None

    async def begin(self) -> None:
        """Counts this start, on disk if the disk answers in time; to be called before any link is open."""
        me = self._member_set.own_address
        self._record_start(me, self._start_count() + 1, self._config_store.source)
        self._is_reader = self._view.epoch > 0 and me not in self._view.names
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self._disk_writer.flush()
        except TimeoutError:
            pass
        else:
            self._start_recorded = True
        self._update_hello()

    def _start_count(self) -> int:
        return self._disk_writer.incarnations.get(self._member_set.own_address, (0, ""))[0]

    # The hello of this process

    def _update_hello(self) -> None:
        hello = self._channels.hello
        records = dict(self._disk_writer.incarnations)
        if not self._start_recorded:
            del records[self._member_set.own_address]  # the next incarnation may use the same number
        hello["view"], hello["lives"] = self._member_set.view_item(), records
        hello["complete"] = self._disk_writer.complete

    def _record_start(self, member: str, starts: int, incarnation: str) -> None:
        """Records how often a machine has started; ``incarnation``: of its last start. Members are kept
        longest."""
        self._disk_writer.incarnations.pop(member, None)
        self._disk_writer.incarnations[member] = (starts, incarnation)
        records, keep = (
            self._disk_writer.incarnations,
            self._member_set.view().names | {self._member_set.own_address},
        )
        for one in [one for one in records if one not in keep][: max(len(records) - MAX_TRACKED_MACHINES, 0)]:
            del records[one]
        self._disk_writer.put_row(pack_incarnations(records))
        self._update_hello()

    def withheld_stores(self, role: str) -> Collection[str]:
        """Stores that are not sent to a process of that role now."""
        return () if self._had_contact or role == CONTROLLER else (CONFIG_STORE,)

    # Peers

    def peer_greeted(self, channel: Channel) -> None:
        """Checks the hello of another control process, before any later frame of it is read. Raises KeyError,
        TypeError or ValueError if it is malformed."""
        hello, member = channel.peer_hello, address_of(channel)
        for fields in hello.get("view", ()):
            item = unpack(fields)
            self._check_view(read_view(item.version, item.value))
            self._acceptor_host.apply([item], {})
        records = {
            str(one): (int(n), str(incarnation)) for one, (n, incarnation) in hello.get("lives", {}).items()
        }
        own_start, own_source = (
            records.get(self._member_set.own_address, (0, "")),
            self._config_store.source,
        )
        if own_start[0] >= self._start_count() and own_start[1] != own_source:
            if self._disk_writer.complete:
                self._start_over(f"{channel.node} knows a later start of this machine than its disk records")
            starts = max(own_start[0], self._start_count()) + 1
            self._record_start(self._member_set.own_address, starts, self._config_store.source)
        peer_start = records.get(member, (0, ""))
        if peer_start[0] > self._disk_writer.incarnations.get(member, (0, ""))[0]:
            self._record_start(member, *peer_start)

    def _check_view(self, view: View) -> None:
        """Starts over if this machine was a member and is none in the view of a peer."""
        before, me = self._view, self._member_set.own_address
        if view.epoch < before.epoch:
            return
        self._view = view
        if me in view.names:
            self._is_reader = False
        elif me in before.names:
            self._start_over("this machine was removed from the view")
        elif self._is_reader:
            self._start_over("this machine is not a member")

    def items_changed(self, items: Iterable[Item]) -> None:
        """Checks a changed view; to be called with all configuration items that changed here."""
        if any(item.kind == VIEW for item in items):
            self._loop.call_soon(self._check_view, self._member_set.view())  # after the caller is done
            self._update_hello()

    # Starting over

    def _start_over(self, reason: str) -> None:
        self._event_log.emit(events.DISK_OUTDATED, reason=reason, items=len(self._config_store.items))
        view = self._config_store.items.get((VIEW, MEMBERS))
        self._disk_writer.complete, self._had_contact, self._is_reader = False, False, False
        # A new incarnation of the store: others hold items stamped by the earlier one that are missing here.
        self._incarnation_count += 1
        self._config_store.reset(f"{self._incarnation}/{self._incarnation_count}")
        self._channels.hello["source"] = self._config_store.source
        self._acceptor.reset()
        self._record_start(self._member_set.own_address, self._start_count() + 1, self._config_store.source)
        if view is not None:
            self._config_store.merge([view], {})
        self._acceptor_host.spawn(self._rewrite_disk())
        self._update_hello()
        # Requests sent on these links carry the old vector, so their answers would omit what was dropped.
        for channel in list(self._channels.open):
            channel.link.close("this process discards its outdated state")

    async def _rewrite_disk(self) -> None:
        while not isinstance(await self._disk_writer.rewrite(), Durable):
            await asyncio.sleep(RETRY_S)

    # Compaction

    def tick(self, now: float) -> None:
        """Notes the first contact, and starts compactions; called several times a second."""
        if not self._had_contact and self._member_set.has_contact():
            self._had_contact = True
            self._channels.schedule_answers()
        if now >= self._next_compaction_at and self._compaction is None:
            self._next_compaction_at = now + COMPACTION_CHECK_S
            self._compaction = self._loop.create_task(self._compact())

    async def _compact(self) -> None:
        """Rewrites a file that is much larger than its content; it never shrinks by itself."""
        try:
            size = await self._disk_writer.run_between_batches(_size)
            if size is not None and size.file > COMPACT_SPARE_BYTES + COMPACT_RATIO * size.used:
                await self._disk_writer.rewrite()
                self._event_log.emit(events.DISK_COMPACTED, before=size.file, used=size.used)
        finally:
            self._compaction = None


def _size(disk_store: DiskStore) -> Size | None:
    try:
        return disk_store.size()
    except StorageError:
        return None
