"""Whether what this process holds may count for anything: an older disk never leads.

A disk may be of a machine that was taken out, of a reader that was away, or an older copy of itself (a backup
put back). Such a one starts over: it forgets charter and votes, and reads all anew from those who count, as
an empty one does. It learns it from the first frame of a link, before it has answered anything there: each
hello bears the view in force, and of each member how often it has started, which a disk that went back does
not know any more. To sidecars the charter is told only after the first contact of a life.
"""

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
from mesh.storage.layout import StorageError, pack_lives
from mesh.storage.lmdb_store import Keeper, Kept, Size

CHARTER = "charter"
MAX_TRACKED_MACHINES = 128  # machines of which it is known how often they started
START_TIMEOUT_S = 1.0  # that a start is put off by a disk that is not well
RETRY_S = 0.3  # after a disk has refused
COMPACTION_CHECK_S = 60.0  # between two looks at the size of the file
COMPACT_SPARE_BYTES, COMPACT_RATIO = (
    4 << 20,
    4,
)  # bytes that a file may be larger than so many times what it holds


class CatchUp:
    def __init__(
        self,
        charter: Store,
        acceptor: Acceptor,
        disk_writer: DiskWriter,
        member_set: MemberSet,
        channels: Channels,
        acceptor_host: AcceptorHost,
        event_log: EventLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._charter, self._acceptor, self._disk_writer, self._member_set = (
            charter,
            acceptor,
            disk_writer,
            member_set,
        )
        self._channels, self._acceptor_host, self._event_log = channels, acceptor_host, event_log
        self._incarnation, self._incarnation_count = (
            charter.source,
            1,
        )  # of the process; as what it counts since it began
        self._is_reader = False  # the disk is one of a reader; its view may be older than its own joining
        self._start_recorded = False  # this start is on disk
        self._had_contact = False  # there has been contact in this life
        self._view = member_set.view()
        self._next_compaction_at = self._loop.time() + COMPACTION_CHECK_S
        self._compaction: asyncio.Task[None] | None = None

    async def begin(self) -> None:
        """Before anything is said to anybody: this start is counted, on disk where the disk is well."""
        me = self._member_set.own_address
        self._record_start(me, self._start_count() + 1, self._charter.source)
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

    # What is said of this process

    def _update_hello(self) -> None:
        hello = self._channels.hello
        lives = dict(self._disk_writer.incarnations)
        if not self._start_recorded:
            del lives[self._member_set.own_address]  # the next life may count to the same number
        hello["view"], hello["lives"] = self._member_set.view_item(), lives
        hello["complete"] = self._disk_writer.whole

    def _record_start(self, who: str, starts: int, life: str) -> None:
        """That machine has started so often; ``life``: of its last start. Those that count stay known the
        longest."""
        self._disk_writer.incarnations.pop(who, None)
        self._disk_writer.incarnations[who] = (starts, life)
        lives, keep = (
            self._disk_writer.incarnations,
            self._member_set.view().names | {self._member_set.own_address},
        )
        for one in [one for one in lives if one not in keep][: max(len(lives) - MAX_TRACKED_MACHINES, 0)]:
            del lives[one]
        self._disk_writer.put_row(pack_lives(lives))
        self._update_hello()

    def withheld_stores(self, role: str) -> Collection[str]:
        """Stores of which nothing is told to a process of that role now."""
        return () if self._had_contact or role == CONTROLLER else (CHARTER,)

    # What others say

    def peer_greeted(self, channel: Channel) -> None:
        """Another control process has said who it is; nothing that came behind that has been looked at.
        Raises KeyError, TypeError or ValueError for what cannot be read."""
        told, who = channel.extra, address_of(channel)
        for fields in told.get("view", ()):
            item = unpack(fields)
            self._check_view(read_view(item.version, item.value))
            self._acceptor_host.apply([item], {})
        lives = {str(one): (int(n), str(life)) for one, (n, life) in told.get("lives", {}).items()}
        known, mine = lives.get(self._member_set.own_address, (0, "")), self._charter.source
        if known[0] >= self._start_count() and known[1] != mine:
            if self._disk_writer.whole:
                self._start_over(f"{channel.node} knows of a later start than its disk")
            starts = max(known[0], self._start_count()) + 1
            self._record_start(self._member_set.own_address, starts, self._charter.source)
        theirs = lives.get(who, (0, ""))
        if theirs[0] > self._disk_writer.incarnations.get(who, (0, ""))[0]:
            self._record_start(who, *theirs)

    def _check_view(self, view: View) -> None:
        """A view that another has; who was one of those who count and is none by it starts over."""
        before, me = self._view, self._member_set.own_address
        if view.epoch < before.epoch:
            return
        self._view = view
        if me in view.names:
            self._is_reader = False
        elif me in before.names:
            self._start_over("it was taken out")
        elif self._is_reader:
            self._start_over("it is not one of those who count")

    def items_changed(self, items: Iterable[Item]) -> None:
        """The charter has changed here, by whatever way."""
        if any(item.kind == VIEW for item in items):
            self._loop.call_soon(
                self._check_view, self._member_set.view()
            )  # what called goes on with the items
            self._update_hello()

    # Starting over

    def _start_over(self, reason: str) -> None:
        self._event_log.tell(events.DISK_OLDER, reason=reason, items=len(self._charter.items))
        view = self._charter.items.get((VIEW, MEMBERS))
        self._disk_writer.whole, self._had_contact, self._is_reader = False, False, False
        # As a new life of this process: what the one before stamped, others hold and this one lacks.
        self._incarnation_count += 1
        self._charter.reset(f"{self._incarnation}/{self._incarnation_count}")
        self._channels.hello["source"] = self._charter.source
        self._acceptor.reset()
        self._record_start(self._member_set.own_address, self._start_count() + 1, self._charter.source)
        if view is not None:
            self._charter.merge([view], {})
        self._acceptor_host.spawn(self._rewrite_disk())
        self._update_hello()
        # What was asked on these links says what was held: answers to it would claim what is gone.
        for channel in list(self._channels.open):
            channel.link.close("its disk starts over")

    async def _rewrite_disk(self) -> None:
        while not isinstance(await self._disk_writer.rewrite(), Kept):
            await asyncio.sleep(RETRY_S)

    # The file

    def tick(self, now: float) -> None:
        """Called several times a second."""
        if not self._had_contact and self._member_set.has_contact():
            self._had_contact = True
            self._channels.poke()
        if now >= self._next_compaction_at and self._compaction is None:
            self._next_compaction_at = now + COMPACTION_CHECK_S
            self._compaction = self._loop.create_task(self._compact())

    async def _compact(self) -> None:
        """The file never shrinks by itself: one that is much larger than what it holds is written anew."""
        try:
            size = await self._disk_writer.run_between_batches(_size)
            if size is not None and size.file > COMPACT_SPARE_BYTES + COMPACT_RATIO * size.used:
                await self._disk_writer.rewrite()
                self._event_log.tell(events.DISK_COMPACTED, before=size.file, used=size.used)
        finally:
            self._compaction = None


def _size(keeper: Keeper) -> Size | None:
    try:
        return keeper.size()
    except StorageError:
        return None
