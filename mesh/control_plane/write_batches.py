"""What was voted and decided, on its way to the disk: one batch at a time on a thread of its own, so that a
disk that hangs holds up nothing but what waits for it.

What is decided stands on disk as votes already, at so many that it is durable. So it goes into the rows of
items with the next batch that is waited for, or after LAZY_WRITE_S: an order costs one sync, not two.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor, Number
from mesh.replication.items import Item, Key
from mesh.replication.store import Store
from mesh.storage.layout import (
    Past,
    item_key,
    pack_ceiling,
    pack_forgotten,
    pack_generations,
    pack_item,
    pack_lives,
    pack_past,
    pack_vector,
    pack_vote,
    pack_whole,
    past_key,
    vote_key,
)
from mesh.storage.lmdb_store import Keeper, Kept, Refused

RETRY_S = 0.3  # after a disk has refused a batch
LAZY_WRITE_S = (
    0.25  # what is decided goes to disk so much later, where nothing that is waited for takes it along
)
SLOW_BATCH_S = 0.5  # a batch that took longer is told of

Rows = list[tuple[bytes, bytes]]
T = TypeVar("T")


class DiskWriter:
    """The charter's disk. ``whole``: this disk holds all that this machine ever said it holds."""

    def __init__(
        self, store: Store, acceptor: Acceptor, keeper: Keeper, event_log: EventLog, whole: bool
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store, self._acceptor, self._keeper, self._event_log = store, acceptor, keeper, event_log
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._dirty_keys: set[Key] = set()
        self._dirty_votes: set[Number] = set()  # votes that came or went
        self._extra_rows: dict[bytes, bytes] = {}
        self._marked_batch = self._written_batch = 0  # batches are numbered by what was marked before them
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._write_task: asyncio.Task[None] | None = None
        self._urgent = False  # something was marked that is waited for
        self._lazy_timer: asyncio.TimerHandle | None = None
        self.whole = whole
        self.incarnations: dict[
            str, tuple[int, str]
        ] = {}  # how often each machine has started, and its last life
        self.last_refusal = ""  # the disk's last word, where that was no

    def mark_items(self, items: Iterable[Item]) -> None:
        """These are decided and have changed; they go to disk with the next batch, and the vector as it is
        then."""
        self._mark_lazily({item.key for item in items}, ())

    def mark_settled(self, numbers: Iterable[Number]) -> None:
        """These are known to be decided: their votes leave the disk with the batch that has their items, or
        their places in the past."""
        settled = set(numbers)
        self._mark_lazily({(kind, name) for kind, name, _ in settled}, settled)

    def _mark_lazily(self, keys: Iterable[Key], numbers: Iterable[Number]) -> None:
        self._dirty_keys.update(keys)
        self._dirty_votes.update(numbers)
        if not (self._dirty_keys or self._dirty_votes):
            return
        self._marked_batch += 1
        if self._lazy_timer is None:
            self._lazy_timer = self._loop.call_later(LAZY_WRITE_S, self._start_writing)

    def mark_votes(self, numbers: Iterable[Number]) -> None:
        """Votes that are to be on disk before they are said."""
        self._dirty_votes.update(numbers)
        self._marked_batch += 1
        self._start_writing()

    def remove_keys(self, keys: Iterable[Key], buckets: Iterable[str]) -> None:
        """These keys' rows leave the disk, and with the same batch come those of what is left of them."""
        self._dirty_keys.update(keys)
        for bucket in buckets:
            self._extra_rows.update([pack_forgotten(bucket, self._store.forgotten.row(bucket))])
        self._marked_batch += 1
        self._start_writing()

    def put_row(self, row: tuple[bytes, bytes]) -> None:
        """A row of its own, with the next batch."""
        self._extra_rows[row[0]] = row[1]
        self._marked_batch += 1
        self._start_writing()

    async def flush(self) -> None:
        """Returns once all that was marked until now is synced; may take as long as the disk hangs."""
        if self._written_batch >= self._marked_batch:
            return
        self._start_writing()
        future: asyncio.Future[None] = self._loop.create_future()
        self._waiters.append((self._marked_batch, future))
        await future

    def has_room(self, more_bytes: int) -> bool:
        """Whether the disk takes so much more of what orders set."""
        return self._keeper.fits(more_bytes)

    def mark_founded(self) -> None:
        """An empty disk of the very first start lacks nothing, and says so with its first batch."""
        self.whole = True
        self.put_row(pack_whole(True))

    async def mark_whole(self) -> None:
        """This machine now holds all that was acknowledged; said on disk before it counts."""
        self.put_row(pack_whole(True))
        await self.flush()
        self.whole = True

    def _start_writing(self) -> None:
        if self._lazy_timer is not None:
            self._lazy_timer.cancel()
            self._lazy_timer = None
        self._urgent = True
        if self._write_task is None:
            self._write_task = self._loop.create_task(self._write_batches())

    async def _write_batches(self) -> None:
        try:
            while self._urgent:
                self._urgent = False
                number, keys, votes, extra = (
                    self._marked_batch,
                    self._dirty_keys,
                    self._dirty_votes,
                    self._extra_rows,
                )
                self._dirty_keys, self._dirty_votes, self._extra_rows = set(), set(), {}
                rows, gone = self._rows(keys, votes)
                rows += extra.items()
                began = self._loop.time()
                outcome = await self._loop.run_in_executor(self._thread, self._keeper.keep, rows, gone)
                took = self._loop.time() - began
                if not isinstance(outcome, Kept):
                    if self.last_refusal != outcome.reason:
                        self._event_log.tell(events.DISK_REFUSED, reason=outcome.reason)
                    self.last_refusal = outcome.reason
                    self._dirty_keys |= keys
                    self._dirty_votes |= votes
                    self._extra_rows = {**extra, **self._extra_rows}
                    self._urgent = True
                    await asyncio.sleep(RETRY_S)
                    continue
                self.last_refusal = ""
                if took > SLOW_BATCH_S:
                    self._event_log.tell(events.DISK_SLOW, took_ms=int(took * 1000), rows=len(rows))
                self._written_batch = number
                waiting, self._waiters = self._waiters, []
                for wanted, future in waiting:
                    if wanted > self._written_batch:
                        self._waiters.append((wanted, future))
                    elif not future.done():
                        future.set_result(None)
        finally:
            self._write_task = None

    def _rows(self, keys: Iterable[Key], votes: Iterable[Number]) -> tuple[Rows, list[bytes]]:
        """What is on disk of these hereafter, and which rows leave it."""
        rows: Rows = [pack_vector(self._store.vector)]
        gone = []
        for key in keys:
            item = self._store.items.get(key)
            if item is not None:
                rows.append(pack_item(item))
            else:
                gone.append(item_key(key))
            digests, unknown = self._acceptor.past.get(key, {}), self._acceptor.unknown.get(key, -1)
            if item is not None and (tag := self._acceptor.tags.get((*key, item.version))):
                digests = {**digests, item.version: f"/{tag}"}
            if digests or unknown >= 0:
                rows.append(pack_past(Past(key, unknown, digests)))
            else:
                gone.append(past_key(key))
        for number in votes:
            vote = self._acceptor.votes.get(number)
            if vote is not None:
                rows.append(pack_vote(number, vote))
            else:
                gone.append(vote_key(number))
        return rows, gone

    async def run_between_batches(self, work: Callable[[Keeper], T]) -> T:
        """Runs ``work`` on the disk's thread between two batches, which wait meanwhile."""
        return await self._loop.run_in_executor(self._thread, work, self._keeper)

    async def rewrite(self) -> Kept | Refused:
        """Puts all that the store holds in place of what is on disk. The store held what the disk had when it
        was opened, and all that came since; batches that are under way are on disk before, or come after."""
        acceptor = self._acceptor
        told, _ = self._rows(self._store.items.keys() | acceptor.past.keys(), acceptor.votes)
        rows = dict(told)
        rows.update([pack_whole(self.whole), pack_generations(acceptor.generations)])
        rows.update([pack_ceiling(max(acceptor.floor, acceptor.ceiling)), pack_lives(self.incarnations)])
        rows.update(pack_forgotten(*told) for told in self._store.forgotten.rows().items())
        return await self.run_between_batches(lambda keeper: keeper.rewrite(rows))

    def close(self) -> None:
        self._thread.shutdown(wait=False, cancel_futures=True)
