"""The control plane's two threads, changed at every bytecode of what both touch: nothing that was said to be
kept is lost, whatever the loop does in the middle of the disk's work. docs/design/threads.md lists it all."""

from __future__ import annotations

import asyncio
import io
import os
import sys
import tempfile
import threading
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from mesh.control_plane import write_batches
from mesh.control_plane.backup import _survey
from mesh.control_plane.write_batches import DiskWriter
from mesh.event_log.log import EventLog
from mesh.replication.acceptor import Acceptor
from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.storage import lmdb_store
from mesh.storage.layout import read_state
from mesh.storage.lmdb_store import DiskStore, Fresh, Opened
from rigs.thread_points import NEVER, Points

MOST = 1 << 20
WITHIN_S = 10.0  # a play
STEP_S = 5.0  # of that, what the loop does while the disk's thread is stopped
IN_MEMORY = "/dev/shm"
DISK_FILES = (lmdb_store.__file__, write_batches.__file__)


@pytest.fixture
def memory() -> Iterator[Path]:
    """A folder in memory, where there is one: a thousand plays sync a disk many thousand times."""
    with tempfile.TemporaryDirectory(dir=IN_MEMORY if os.path.isdir(IN_MEMORY) else None) as folder:
        yield Path(folder)


class TracedDiskStore:
    """Counts the bytecodes of one work of the disk's thread."""

    def __init__(self, disk_store: DiskStore, points: Points) -> None:
        self._disk_store, self._points, self._used = disk_store, points, False

    def __getattr__(self, name: str) -> Any:
        real = getattr(self._disk_store, name)

        def traced(*given: Any) -> Any:
            if self._used or threading.current_thread() is threading.main_thread():
                return real(*given)
            self._used = True
            return self._points.run(lambda: real(*given))

        return traced


class Disk:
    """A disk writer on a real store. ``step`` is what the loop does while the disk's thread is stopped."""

    def __init__(self, folder: Path, stop_at: int) -> None:
        self.folder, self.loop, self.version = folder, asyncio.get_running_loop(), 0
        self.store = Store("here", 1000, decided=True)
        opened = DiskStore.open(folder, MOST)
        assert isinstance(opened, Fresh)
        self.step: Callable[[], None] = lambda: None
        self.begun: list[asyncio.Future[Any]] = []
        self.points = Points(DISK_FILES, stop_at, self._meanwhile)
        self.disk_store = opened.disk_store
        traced: Any = TracedDiskStore(opened.disk_store, self.points)
        acceptor = Acceptor("here", 0, lambda _: 0)
        self.disk_writer = DiskWriter(self.store, acceptor, traced, EventLog("here", io.StringIO()), True)

    def _meanwhile(self) -> None:
        done = threading.Event()

        def run() -> None:
            try:
                self.step()
            finally:
                self.loop.call_soon(self.loop.call_soon, done.set)  # and what that made ready

        self.loop.call_soon_threadsafe(run)
        assert done.wait(STEP_S), "the loop stands still while the disk is at work"

    def put(self, name: str) -> Item:
        """The next version of a route, decided and marked for the disk."""
        self.version += 1
        item = self.store.write("route", name, self.version, {"v": self.version, "text": "x" * 200})
        assert isinstance(item, Item)
        self.disk_writer.mark_items([item])
        return item

    def begin(self, work: Awaitable[Any]) -> None:
        self.begun.append(asyncio.ensure_future(work))

    async def play(self, first: Callable[[Disk], Awaitable[Any]]) -> list[str]:
        """What is wrong once ``first`` and all that began meanwhile are over and the disk is read again."""
        self.put("a")
        await first(self)
        told = await asyncio.gather(*self.begun, return_exceptions=True)
        wrong = [repr(one) for one in told if isinstance(one, Exception)]
        await asyncio.wait_for(self.disk_writer.flush(), WITHIN_S)
        self.disk_writer._thread.shutdown()
        self.disk_store.close()
        wanted = dict(self.store.items)
        again = DiskStore.open(self.folder, MOST)
        if not isinstance(again, Opened):
            return [*wrong, repr(again)]
        found = {item.key: item for item in read_state(again.rows).items}
        again.disk_store.close()
        return wrong + [f"{key}: {found.get(key)}" for key in wanted if found.get(key) != wanted[key]]


def changes(disk: Disk) -> None:
    """What orders do: items, rows of their own, a question whether there is room."""
    disk.put("b")
    disk.put("a")
    disk.disk_writer.put_row((b"whole", b"true"))
    assert disk.disk_writer.has_room(10) in (True, False)
    disk.begin(disk.disk_writer.flush())


def questions(disk: Disk) -> None:
    """What operators and repair ask of the disk: its check, its size, to be written anew."""
    disk.put("b")
    disk.begin(disk.disk_writer.run_between_batches(_survey))
    disk.begin(disk.disk_writer.run_between_batches(lambda disk_store: disk_store.size()))
    disk.begin(disk.disk_writer.rewrite())
    disk.begin(disk.disk_writer.flush())


def copies(disk: Disk) -> None:
    """A copy of the store and a write behind it."""
    to = disk.folder.parent / "copy"
    disk.begin(disk.disk_writer.run_between_batches(lambda disk_store: disk_store.backup(to)))
    changes(disk)


FIRST: dict[str, Callable[[Disk], Awaitable[Any]]] = {
    "keep": lambda disk: disk.disk_writer.flush(),
    "rewrite": lambda disk: disk.disk_writer.rewrite(),
    "survey": lambda disk: disk.disk_writer.run_between_batches(_survey),
}
STEPS = {"changes": changes, "questions": questions, "copies": copies}


def played(folder: Path, first: str, step: str, stop_at: int) -> tuple[list[str], Points]:
    async def play() -> tuple[list[str], Points]:
        folder.mkdir()
        disk = Disk(folder / "charter", stop_at)
        disk.step = lambda: STEPS[step](disk)
        try:
            wrong = await asyncio.wait_for(disk.play(FIRST[first]), WITHIN_S)
        except TimeoutError:
            wrong = ["what was to be kept is waited for without end"]
        return wrong, disk.points

    return asyncio.run(play())


def all_points(folder: Path, first: str, step: str) -> list[str]:
    """What is wrong, at any point; stops at the first that is."""
    folder.mkdir()
    wrong, points = played(folder / "none", first, step, NEVER)
    assert wrong == [] and points.count > 100
    for number in range(1, points.count + 1):
        wrong, points = played(folder / str(number), first, step, number)
        if wrong:
            return [f"point {number} at {points.where}: {wrong}"]
    return []


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("first", FIRST)
def test_nothing_is_lost_wherever_the_disks_thread_loses_its_turn(
    memory: Path, first: str, step: str
) -> None:
    assert all_points(memory / "points", first, step) == []


async def _beside(disk_writer: DiskWriter, work: Callable[[Any], Any]) -> Any:
    """Seeded fault: the store is used from the loop's thread, without waiting for the disk's."""
    return work(disk_writer._disk_store)


def test_work_on_the_store_beside_the_disks_thread_is_found(
    memory: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(DiskWriter, "run_between_batches", _beside)
    assert all_points(memory / "points", "keep", "questions") != []


def test_a_batch_that_is_shared_and_not_handed_over_is_found(
    memory: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seeded fault: the disk's thread goes through rows to which the loop still adds, and answers for all."""
    real_keep, real_rows = DiskStore.write, DiskWriter._rows
    shared: list[tuple[bytes, bytes]] = []

    def rows(disk_writer: DiskWriter, *given: Any) -> tuple[list[tuple[bytes, bytes]], list[bytes]]:
        told, gone = real_rows(disk_writer, *given)
        shared[:] = told
        return shared, gone

    def put(disk: Disk) -> None:
        shared.clear()
        disk.put("b")
        disk.begin(disk.disk_writer.flush())

    monkeypatch.setattr(DiskWriter, "_rows", rows)
    monkeypatch.setitem(STEPS, "shared", put)
    monkeypatch.setattr(
        DiskStore, "write", lambda disk_store, told, gone=(): real_keep(disk_store, told, gone)
    )
    assert all_points(memory / "points", "keep", "shared") != []


def test_threads_that_change_as_often_as_can_be_lose_nothing(memory: Path) -> None:
    before = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:

        async def play() -> list[str]:
            disk = Disk(memory / "charter", NEVER)

            async def many(_: Disk) -> None:
                for version in range(2, 40):
                    disk.put(f"r{version % 5}")
                    disk.put("a")
                    disk.begin(disk.disk_writer.flush())
                    if version % 5 == 0:
                        questions(disk)
                    await asyncio.sleep(0)
                await disk.disk_writer.flush()

            return await disk.play(many)

        assert asyncio.run(asyncio.wait_for(play(), WITHIN_S)) == []
    finally:
        sys.setswitchinterval(before)
