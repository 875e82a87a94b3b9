"""A simulated disk in virtual time with the interface of `DiskStore`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import simpy

from mesh.storage.layout import DiskState, read_state
from mesh.storage.lmdb_store import MAX_ITEM_SHARE, Durable, Fresh, Opened, Size, WriteFailed
from simulation.mesh.clock import CURRENT_INCARNATION

if TYPE_CHECKING:
    from simulation.mesh.world import World

SYNC_S = 0.005


class Disk:
    """The synced rows, which survive restarts of the process. A sync takes ``sync_duration_s``."""

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env
        self.rows: dict[bytes, bytes] = {}
        self.initialized = False
        self.sync_duration_s = SYNC_S
        self.max_bytes = 64 << 20
        self.hangs_until = self.fails_until = 0.0

    def wipe(self) -> None:
        self.rows, self.initialized = {}, False

    def state(self) -> DiskState:
        return read_state(self.rows)


class SimulatedDiskStore:
    """The disk as opened by one incarnation of a process."""

    def __init__(self, world: World, incarnation: Any, disk: Disk) -> None:
        self._world, self._incarnation, self._disk = world, incarnation, disk

    def write(
        self, rows: Sequence[tuple[bytes, bytes]], deleted: Sequence[bytes] = ()
    ) -> Durable | WriteFailed:
        raise AssertionError("a sync takes virtual time: the event loop calls begin_write instead")

    def begin_write(
        self, rows: Sequence[tuple[bytes, bytes]], deleted: Sequence[bytes] = ()
    ) -> asyncio.Future[Durable | WriteFailed]:
        future: asyncio.Future[Durable | WriteFailed] = self._world.loop.create_future()
        self._disk.env.process(self._sync(list(rows), list(deleted), future))
        return future

    def run_job(self, work: Callable[[SimulatedDiskStore], Any]) -> asyncio.Future[Any]:
        """Runs a job for a live process at once; its result arrives after the duration of a sync."""
        future: asyncio.Future[Any] = self._world.loop.create_future()
        result = work(self)
        self._world.loop.call_later(self._disk.sync_duration_s, future.set_result, result)
        return future

    def rewrite(self, rows: dict[bytes, bytes]) -> Durable:
        self._disk.rows = dict(rows)
        return Durable()

    def _used_bytes(self) -> int:
        return sum(len(key) + len(value) for key, value in self._disk.rows.items())

    def fits(self, more_bytes: int) -> bool:
        return self._used_bytes() + more_bytes <= MAX_ITEM_SHARE * self._disk.max_bytes

    def size(self) -> Size:
        return Size(self._used_bytes(), self._used_bytes(), self._disk.max_bytes)

    def _sync(
        self,
        rows: list[tuple[bytes, bytes]],
        deleted: list[bytes],
        future: asyncio.Future[Durable | WriteFailed],
    ) -> Generator[simpy.Event, Any, None]:
        disk, env = self._disk, self._disk.env
        self._world.reach_fault_point("sync", self._incarnation)
        yield env.timeout(disk.sync_duration_s)
        while self._incarnation.alive and env.now < disk.hangs_until:
            yield env.timeout(disk.hangs_until - env.now)
        if not self._incarnation.alive:
            return
        if env.now < disk.fails_until:
            future.set_result(WriteFailed("simulated disk failure"))
            return
        for key in deleted:
            disk.rows.pop(key, None)
        disk.rows.update(rows)
        self._world.reach_fault_point("synced", self._incarnation)
        if self._incarnation.alive and not future.done():
            future.set_result(Durable())


class DiskStoreFactory:
    """Replaces ``DiskStore`` where a program opens its disk."""

    def __init__(self, world: World) -> None:
        self._world = world

    def open(self, folder: Path, max_bytes: int) -> Opened | Fresh:
        incarnation = CURRENT_INCARNATION.get()
        disk = incarnation.machine.disk
        disk_store: Any = SimulatedDiskStore(self._world, incarnation, disk)
        if disk.initialized:
            return Opened(disk_store, dict(disk.rows), ())
        disk.initialized = True
        return Fresh(disk_store)
