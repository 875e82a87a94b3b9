"""Switches between the control plane's two threads at every bytecode of the code that both use: nothing that
was reported as durable is lost, whatever the event loop does in the middle of the disk thread's work.
docs/design/threads.md lists the shared state."""

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
from rigs.thread_points import NEVER, PreemptionPoints

MAX_BYTES = 1 << 20
TIMEOUT_S = 10.0  # of one run
STEP_TIMEOUT_S = 5.0  # of what the loop does while the disk thread is stopped
IN_MEMORY = "/dev/shm"
DISK_FILES = (lmdb_store.__file__, write_batches.__file__)


@pytest.fixture
def memory() -> Iterator[Path]:
    """A folder in memory, if possible: a thousand runs sync a disk many thousand times."""
    with tempfile.TemporaryDirectory(dir=IN_MEMORY if os.path.isdir(IN_MEMORY) else None) as folder:
        yield Path(folder)


class TracedDiskStore:
    """Counts the bytecodes of one job of the disk thread."""

    def __init__(self, disk_store: DiskStore, points: PreemptionPoints) -> None:
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
    """A disk writer on a real store. ``step`` is what the loop does while the disk thread is stopped."""

    def __init__(self, folder: Path, stop_at: int) -> None:
        self.folder, self.loop, self.version = folder, asyncio.get_running_loop(), 0
        self.store = Store("here", 1000, decided=True)
        opened = DiskStore.open(folder, MAX_BYTES)
        assert isinstance(opened, Fresh)
        self.step: Callable[[], None] = lambda: None
        self.begun: list[asyncio.Future[Any]] = []
        self.points = PreemptionPoints(DISK_FILES, stop_at, self._meanwhile)
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
                self.loop.call_soon(self.loop.call_soon, done.set)  # after the callbacks that it scheduled

        self.loop.call_soon_threadsafe(run)
        assert done.wait(STEP_TIMEOUT_S), "the event loop is blocked while the disk thread works"

    def put(self, name: str) -> Item:
        """Writes the next version of a route, decided and marked for the disk."""
        self.version += 1
        item = self.store.write("route", name, self.version, {"v": self.version, "text": "x" * 200})
        assert isinstance(item, Item)
        self.disk_writer.mark_items([item])
        return item

    def begin(self, work: Awaitable[Any]) -> None:
        self.begun.append(asyncio.ensure_future(work))

    async def run(self, first: Callable[[Disk], Awaitable[Any]]) -> list[str]:
        """Returns the failures once ``first`` and all work begun meanwhile have ended and the disk is read
        again."""
        self.put("a")
        await first(self)
        results = await asyncio.gather(*self.begun, return_exceptions=True)
        failures = [repr(one) for one in results if isinstance(one, Exception)]
        await asyncio.wait_for(self.disk_writer.flush(), TIMEOUT_S)
        self.disk_writer._thread.shutdown()
        self.disk_store.close()
        expected = dict(self.store.items)
        reopened = DiskStore.open(self.folder, MAX_BYTES)
        if not isinstance(reopened, Opened):
            return [*failures, repr(reopened)]
        found = {item.key: item for item in read_state(reopened.rows).items}
        reopened.disk_store.close()
        return failures + [f"{key}: {found.get(key)}" for key in expected if found.get(key) != expected[key]]


def changes(disk: Disk) -> None:
    """What configuration writes do: items, separate rows, a check of the free space."""
    disk.put("b")
    disk.put("a")
    disk.disk_writer.put_row((b"whole", b"true"))
    assert disk.disk_writer.has_room(10) in (True, False)
    disk.begin(disk.disk_writer.flush())


def maintenance(disk: Disk) -> None:
    """What operators and repair do with the disk: check it, query its size, rewrite it."""
    disk.put("b")
    disk.begin(disk.disk_writer.run_between_batches(_survey))
    disk.begin(disk.disk_writer.run_between_batches(lambda disk_store: disk_store.size()))
    disk.begin(disk.disk_writer.rewrite())
    disk.begin(disk.disk_writer.flush())


def backups(disk: Disk) -> None:
    """A backup of the store and a write after it."""
    to = disk.folder.parent / "copy"
    disk.begin(disk.disk_writer.run_between_batches(lambda disk_store: disk_store.backup(to)))
    changes(disk)


FIRST: dict[str, Callable[[Disk], Awaitable[Any]]] = {
    "flush": lambda disk: disk.disk_writer.flush(),
    "rewrite": lambda disk: disk.disk_writer.rewrite(),
    "survey": lambda disk: disk.disk_writer.run_between_batches(_survey),
}
STEPS = {"changes": changes, "maintenance": maintenance, "backups": backups}


def run_once(folder: Path, first: str, step: str, stop_at: int) -> tuple[list[str], PreemptionPoints]:
    async def run() -> tuple[list[str], PreemptionPoints]:
        folder.mkdir()
        disk = Disk(folder / "charter", stop_at)
        disk.step = lambda: STEPS[step](disk)
        try:
            failures = await asyncio.wait_for(disk.run(FIRST[first]), TIMEOUT_S)
        except TimeoutError:
            failures = ["the wait for a durable write did not end"]
        return failures, disk.points

    return asyncio.run(run())


def run_all_points(folder: Path, first: str, step: str) -> list[str]:
    """Switches threads at each point in turn; returns the failures of the first point that has any."""
    folder.mkdir()
    failures, points = run_once(folder / "none", first, step, NEVER)
    assert failures == [] and points.count > 100
    for number in range(1, points.count + 1):
        failures, points = run_once(folder / str(number), first, step, number)
        if failures:
            return [f"point {number} at {points.stopped_in}: {failures}"]
    return []


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("first", FIRST)
def test_nothing_is_lost_wherever_the_disk_thread_is_preempted(memory: Path, first: str, step: str) -> None:
    assert run_all_points(memory / "points", first, step) == []


async def _run_in_loop_thread(disk_writer: DiskWriter, work: Callable[[Any], Any]) -> Any:
    """Seeded fault: the store is used from the loop's thread without waiting for the disk thread."""
    return work(disk_writer._disk_store)


def test_use_of_the_store_outside_the_disk_thread_is_found(
    memory: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(DiskWriter, "run_between_batches", _run_in_loop_thread)
    assert run_all_points(memory / "points", "flush", "maintenance") != []


def test_a_batch_that_is_shared_instead_of_handed_over_is_found(
    memory: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seeded fault: the disk thread iterates over rows to which the loop still adds, and confirms all."""
    real_write, real_rows = DiskStore.write, DiskWriter._rows
    shared: list[tuple[bytes, bytes]] = []

    def shared_rows(disk_writer: DiskWriter, *given: Any) -> tuple[list[tuple[bytes, bytes]], list[bytes]]:
        rows, deleted = real_rows(disk_writer, *given)
        shared[:] = rows
        return shared, deleted

    def put(disk: Disk) -> None:
        shared.clear()
        disk.put("b")
        disk.begin(disk.disk_writer.flush())

    monkeypatch.setattr(DiskWriter, "_rows", shared_rows)
    monkeypatch.setitem(STEPS, "shared", put)
    monkeypatch.setattr(
        DiskStore, "write", lambda disk_store, rows, deleted=(): real_write(disk_store, rows, deleted)
    )
    assert run_all_points(memory / "points", "flush", "shared") != []


def test_nothing_is_lost_with_the_shortest_switch_interval(memory: Path) -> None:
    before = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:

        async def run() -> list[str]:
            disk = Disk(memory / "charter", NEVER)

            async def many(_: Disk) -> None:
                for version in range(2, 40):
                    disk.put(f"r{version % 5}")
                    disk.put("a")
                    disk.begin(disk.disk_writer.flush())
                    if version % 5 == 0:
                        maintenance(disk)
                    await asyncio.sleep(0)
                await disk.disk_writer.flush()

            return await disk.run(many)

        assert asyncio.run(asyncio.wait_for(run(), TIMEOUT_S)) == []
    finally:
        sys.setswitchinterval(before)
