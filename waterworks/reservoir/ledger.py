"""What was taken, on its way to the disk: one batch at a time on a thread of its own, so that a disk that
hangs holds up nothing but what waits for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from waterworks.aquifer.items import Item, Key
from waterworks.aquifer.store import Store
from waterworks.cistern.keeper import Keeper, Kept, Refused
from waterworks.cistern.layout import pack_item, pack_vector, pack_whole
from waterworks.gauge import events
from waterworks.gauge.log import Gauge

AGAIN_S = 0.3  # after a disk has refused a batch
SLOW_S = 0.5  # a batch that took longer is told of

Rows = list[tuple[bytes, bytes]]
T = TypeVar("T")


class Ledger:
    """The charter's disk. ``whole``: this disk holds all that this machine ever said it holds."""

    def __init__(self, store: Store, keeper: Keeper, gauge: Gauge, whole: bool) -> None:
        self._loop = asyncio.get_running_loop()
        self._store, self._keeper, self._gauge = store, keeper, gauge
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._dirty: set[Key] = set()
        self._extra: dict[bytes, bytes] = {}
        self._marked = self._done = 0  # batches are numbered by what was marked before them
        self._waiting: list[tuple[int, asyncio.Future[None]]] = []
        self._writing: asyncio.Task[None] | None = None
        self.whole = whole
        self.refused = ""  # the disk's last word, where that was no

    def mark(self, items: Iterable[Item]) -> None:
        """These have changed and go to disk with the next batch, and the vector as it is then."""
        self._dirty.update(item.key for item in items)
        if not self._dirty:
            return
        self._marked += 1
        self._write()

    async def kept(self) -> None:
        """Returns once all that was marked until now is synced; may take as long as the disk hangs."""
        if self._done >= self._marked:
            return
        future: asyncio.Future[None] = self._loop.create_future()
        self._waiting.append((self._marked, future))
        await future

    def founded(self) -> None:
        """An empty disk of the very first start lacks nothing, and says so with its first batch."""
        self.whole = True
        self._mark_whole()

    async def become_whole(self) -> None:
        """This machine now holds all that was acknowledged; said on disk before it counts."""
        self._mark_whole()
        await self.kept()
        self.whole = True

    def _mark_whole(self) -> None:
        key, value = pack_whole(True)
        self._extra[key] = value
        self._marked += 1
        self._write()

    def _write(self) -> None:
        if self._writing is None:
            self._writing = self._loop.create_task(self._work())

    async def _work(self) -> None:
        try:
            while self._dirty or self._extra:
                number, keys, extra = self._marked, self._dirty, self._extra
                self._dirty, self._extra = set(), {}
                rows: Rows = [pack_item(self._store.items[key]) for key in keys]
                rows.append(pack_vector(self._store.vector))
                rows += extra.items()
                began = self._loop.time()
                outcome = await self._loop.run_in_executor(self._thread, self._keeper.keep, rows)
                took = self._loop.time() - began
                if not isinstance(outcome, Kept):
                    if self.refused != outcome.reason:
                        self._gauge.tell(events.DISK_REFUSED, reason=outcome.reason)
                    self.refused = outcome.reason
                    self._dirty |= keys
                    self._extra = {**extra, **self._extra}
                    await asyncio.sleep(AGAIN_S)
                    continue
                self.refused = ""
                if took > SLOW_S:
                    self._gauge.tell(events.DISK_SLOW, took_ms=int(took * 1000), rows=len(rows))
                self._done = number
                waiting, self._waiting = self._waiting, []
                for wanted, future in waiting:
                    if wanted > self._done:
                        self._waiting.append((wanted, future))
                    elif not future.done():
                        future.set_result(None)
        finally:
            self._writing = None

    async def between(self, work: Callable[[Keeper], T]) -> T:
        """Runs ``work`` on the disk's thread between two batches, which wait meanwhile."""
        return await self._loop.run_in_executor(self._thread, work, self._keeper)

    async def rewrite(self) -> Kept | Refused:
        """Puts all that the store holds in place of what is on disk. The store held what the disk had when it
        was opened, and all that came since; batches that are under way are on disk before, or come after."""
        rows = dict(pack_item(item) for item in self._store.items.values())
        rows.update([pack_vector(self._store.vector), pack_whole(self.whole)])
        return await self.between(lambda keeper: keeper.rewrite(rows))

    def close(self) -> None:
        self._thread.shutdown(wait=False, cancel_futures=True)
