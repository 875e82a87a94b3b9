"""A disk in virtual time, behind the interface of a disk store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Generator, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import simpy

from mesh.storage.layout import DiskState, read_state
from mesh.storage.lmdb_store import MAX_ITEM_SHARE, Durable, Fresh, Opened, Size, WriteFailed
from simulation.mesh.clock import LIFE

if TYPE_CHECKING:
    from simulation.mesh.world import World

SYNC_S = 0.005


class Disk:
    """What outlasts processes: the rows that were synced. ``takes_s``: one sync."""

    def __init__(self, env: simpy.Environment) -> None:
        self.env = env
        self.rows: dict[bytes, bytes] = {}
        self.begun = False
        self.takes_s = SYNC_S
        self.most_bytes = 64 << 20
        self.hangs_until = self.refuses_until = 0.0

    def wipe(self) -> None:
        self.rows, self.begun = {}, False

    def holds(self) -> DiskState:
        return read_state(self.rows)


class SimulatedDiskStore:
    """The disk as one life has it open."""

    def __init__(self, world: World, life: Any, disk: Disk) -> None:
        self._world, self._life, self._disk = world, life, disk

    def write(
        self, rows: Sequence[tuple[bytes, bytes]], deleted: Sequence[bytes] = ()
    ) -> Durable | WriteFailed:
        raise AssertionError("a sync takes time: the loop calls begin instead")

    def begin(
        self, rows: Sequence[tuple[bytes, bytes]], deleted: Sequence[bytes] = ()
    ) -> asyncio.Future[Durable | WriteFailed]:
        future: asyncio.Future[Durable | WriteFailed] = self._world.loop.create_future()
        self._disk.env.process(self._sync(list(rows), list(deleted), future))
        return future

    def works(self, work: Callable[[SimulatedDiskStore], Any]) -> asyncio.Future[Any]:
        """Of a life that goes on: its work is done at once, and said a sync later."""
        future: asyncio.Future[Any] = self._world.loop.create_future()
        told = work(self)
        self._world.loop.call_later(self._disk.takes_s, future.set_result, told)
        return future

    def rewrite(self, rows: dict[bytes, bytes]) -> Durable:
        self._disk.rows = dict(rows)
        return Durable()

    def _used(self) -> int:
        return sum(len(key) + len(value) for key, value in self._disk.rows.items())

    def fits(self, more_bytes: int) -> bool:
        return self._used() + more_bytes <= MAX_ITEM_SHARE * self._disk.most_bytes

    def size(self) -> Size:
        return Size(self._used(), self._used(), self._disk.most_bytes)

    def _sync(
        self,
        rows: list[tuple[bytes, bytes]],
        deleted: list[bytes],
        future: asyncio.Future[Durable | WriteFailed],
    ) -> Generator[simpy.Event, Any, None]:
        disk, env = self._disk, self._disk.env
        self._world.point("sync", self._life)
        yield env.timeout(disk.takes_s)
        while self._life.alive and env.now < disk.hangs_until:
            yield env.timeout(disk.hangs_until - env.now)
        if not self._life.alive:
            return
        if env.now < disk.refuses_until:
            future.set_result(WriteFailed("disk in trouble"))
            return
        for key in deleted:
            disk.rows.pop(key, None)
        disk.rows.update(rows)
        self._world.point("synced", self._life)
        if self._life.alive and not future.done():
            future.set_result(Durable())


class Opens:
    """Stands in for ``DiskStore`` where a program opens its disk."""

    def __init__(self, world: World) -> None:
        self._world = world

    def open(self, folder: Path, most_bytes: int) -> Opened | Fresh:
        life = LIFE.get()
        disk = life.machine.disk
        disk_store: Any = SimulatedDiskStore(self._world, life, disk)
        if disk.begun:
            return Opened(disk_store, dict(disk.rows), ())
        disk.begun = True
        return Fresh(disk_store)
