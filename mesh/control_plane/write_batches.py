"""Writes votes and decided items to the disk, one batch at a time on a separate thread, so that a hanging
disk delays only those who wait for it.

A decided item is already durable as votes on enough disks. Its row is therefore written with the next batch
that somebody waits for, or after LAZY_WRITE_S: a write costs one sync, not two.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from mesh.event_log import events
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor, Slot
from mesh.replication.items import Item, Key
from mesh.replication.store import Store
from mesh.storage.layout import (
    VersionHistory,
    history_key,
    item_key,
    pack_ceiling,
    pack_collected,
    pack_complete,
    pack_generations,
    pack_history,
    pack_incarnations,
    pack_item,
    pack_vector,
    pack_vote,
    vote_key,
)
from mesh.storage.lmdb_store import DiskStore, Durable, WriteFailed

RETRY_S = 0.3  # delay after the disk refused a batch
LAZY_WRITE_S = 0.25  # longest delay of decided items that nobody waits for
SLOW_BATCH_S = 0.5  # a batch that takes longer is logged

Rows = list[tuple[bytes, bytes]]
T = TypeVar("T")


class DiskWriter:
    """Writes the configuration store to disk. ``complete``: the disk holds all that this machine ever
    acknowledged to hold."""

    def __init__(
        self, store: Store, acceptor: Acceptor, disk_store: DiskStore, event_log: EventLog, complete: bool
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._store, self._acceptor, self._disk_store, self._event_log = (
            store,
            acceptor,
            disk_store,
            event_log,
        )
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._dirty_keys: set[Key] = set()
        self._dirty_votes: set[Slot] = set()  # slots of votes that were added or removed
        self._extra_rows: dict[bytes, bytes] = {}
        self._marked_batch = self._written_batch = 0  # a batch has the number of the last mark in it
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        self._write_task: asyncio.Task[None] | None = None
        self._urgent = False  # marked changes are not to wait for the timer
        self._lazy_timer: asyncio.TimerHandle | None = None
        self.complete = complete
        # By machine: how often it has started, and its last incarnation.
        self.incarnations: dict[str, tuple[int, str]] = {}
        self.last_refusal = ""  # why the disk refused the last batch; "" if it did not

    def mark_items(self, items: Iterable[Item]) -> None:
        """Marks decided items that have changed for the next batch, together with the vector."""
        self._mark_lazily({item.key for item in items}, ())

    def mark_decided(self, slots: Iterable[Slot]) -> None:
        """Marks slots that are decided: their votes leave the disk with the batch that holds their items,
        or their digests among overtaken versions."""
        decided = set(slots)
        self._mark_lazily({(kind, name) for kind, name, _ in decided}, decided)

    def _mark_lazily(self, keys: Iterable[Key], slots: Iterable[Slot]) -> None:
        self._dirty_keys.update(keys)
        self._dirty_votes.update(slots)
        if not (self._dirty_keys or self._dirty_votes):
            return
        self._marked_batch += 1
        if self._lazy_timer is None:
            self._lazy_timer = self._loop.call_later(LAZY_WRITE_S, self._start_writing)

    def mark_votes(self, slots: Iterable[Slot]) -> None:
        """Marks votes that must be on disk before they are sent, and starts writing."""
        self._dirty_votes.update(slots)
        self._marked_batch += 1
        self._start_writing()

    def remove_keys(self, keys: Iterable[Key], buckets: Iterable[str]) -> None:
        """Removes the rows of these keys, and writes those of their forgotten versions in the same batch."""
        self._dirty_keys.update(keys)
        for bucket in buckets:
            self._extra_rows.update([pack_collected(bucket, self._store.collected_tombstones.row(bucket))])
        self._marked_batch += 1
        self._start_writing()

    def put_row(self, row: tuple[bytes, bytes]) -> None:
        """Adds a single row to the next batch."""
        self._extra_rows[row[0]] = row[1]
        self._marked_batch += 1
        self._start_writing()

    async def flush(self) -> None:
        """Returns once all that is marked now is synced; waits for as long as the disk hangs."""
        if self._written_batch >= self._marked_batch:
            return
        self._start_writing()
        future: asyncio.Future[None] = self._loop.create_future()
        self._waiters.append((self._marked_batch, future))
        await future

    def has_room(self, more_bytes: int) -> bool:
        """Whether the disk has room for so many more bytes of writes."""
        return self._disk_store.fits(more_bytes)

    def mark_initial(self) -> None:
        """Marks an empty disk of the very first start as complete: nothing was acknowledged before it."""
        self.complete = True
        self.put_row(pack_complete(True))

    async def mark_complete(self) -> None:
        """Records that this disk holds all that was acknowledged; it counts once that is on disk."""
        self.put_row(pack_complete(True))
        await self.flush()
        self.complete = True

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
                batch, keys, votes, extra = (
                    self._marked_batch,
                    self._dirty_keys,
                    self._dirty_votes,
                    self._extra_rows,
                )
                self._dirty_keys, self._dirty_votes, self._extra_rows = set(), set(), {}
                rows, deleted = self._rows(keys, votes)
                rows += extra.items()
                started_at = self._loop.time()
                outcome = await self._loop.run_in_executor(
                    self._thread, self._disk_store.write, rows, deleted
                )
                took_s = self._loop.time() - started_at
                if not isinstance(outcome, Durable):
                    if self.last_refusal != outcome.reason:
                        self._event_log.emit(events.DISK_WRITE_REFUSED, reason=outcome.reason)
                    self.last_refusal = outcome.reason
                    self._dirty_keys |= keys
                    self._dirty_votes |= votes
                    self._extra_rows = {**extra, **self._extra_rows}
                    self._urgent = True
                    await asyncio.sleep(RETRY_S)
                    continue
                self.last_refusal = ""
                if took_s > SLOW_BATCH_S:
                    self._event_log.emit(events.DISK_SLOW, took_ms=int(took_s * 1000), rows=len(rows))
                self._written_batch = batch
                waiters, self._waiters = self._waiters, []
                for wanted_batch, future in waiters:
                    if wanted_batch > self._written_batch:
                        self._waiters.append((wanted_batch, future))
                    elif not future.done():
                        future.set_result(None)
        finally:
            self._write_task = None

    def _rows(self, keys: Iterable[Key], votes: Iterable[Slot]) -> tuple[Rows, list[bytes]]:
        """The rows to write for these keys and votes, and the keys of the rows to delete."""
        rows: Rows = [pack_vector(self._store.vector)]
        deleted = []
        for key in keys:
            item = self._store.items.get(key)
            if item is not None:
                rows.append(pack_item(item))
            else:
                deleted.append(item_key(key))
            digests, unknown = (
                self._acceptor.past_digests.get(key, {}),
                self._acceptor.unknown_up_to.get(key, -1),
            )
            if item is not None and (tag := self._acceptor.tags.get((*key, item.version))):
                digests = {**digests, item.version: f"/{tag}"}
            if digests or unknown >= 0:
                rows.append(pack_history(VersionHistory(key, unknown, digests)))
            else:
                deleted.append(history_key(key))
        for slot in votes:
            vote = self._acceptor.votes.get(slot)
            if vote is not None:
                rows.append(pack_vote(slot, vote))
            else:
                deleted.append(vote_key(slot))
        return rows, deleted

    async def run_between_batches(self, work: Callable[[DiskStore], T]) -> T:
        """Runs ``work`` on the disk's thread between two batches, which wait for it."""
        return await self._loop.run_in_executor(self._thread, work, self._disk_store)

    async def rewrite(self) -> Durable | WriteFailed:
        """Replaces the content of the disk by that of the store, which includes all that was on disk when it
        was opened. Batches in progress are written before or after."""
        acceptor = self._acceptor
        known_rows, _ = self._rows(self._store.items.keys() | acceptor.past_digests.keys(), acceptor.votes)
        rows = dict(known_rows)
        rows.update([pack_complete(self.complete), pack_generations(acceptor.generations)])
        rows.update(
            [pack_ceiling(max(acceptor.floor, acceptor.ceiling)), pack_incarnations(self.incarnations)]
        )
        rows.update(pack_collected(*row) for row in self._store.collected_tombstones.rows().items())
        return await self.run_between_batches(lambda disk_store: disk_store.rewrite(rows))

    def close(self) -> None:
        self._thread.shutdown(wait=False, cancel_futures=True)
