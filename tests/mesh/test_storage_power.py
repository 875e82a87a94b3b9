"""Power failures between the change of a name and the sync of its folder: each such name may survive or be
lost independently, and durable rows must exist in every case."""

import contextlib
import itertools
import os
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import lmdb
import pytest

from mesh.storage import lmdb_store
from mesh.storage.lmdb_store import DiskStore, Durable, Fresh, Opened

MOST = 1 << 20
ROWS = {b"a": b"1" * 100, b"b": b"2" * 5000}
Script = Callable[["Machine"], None]


class Killed(BaseException):
    pass


class Unsynced:
    """An lmdb environment that skips syncs: these tests lose only names, and the kernel keeps the bytes."""

    def __init__(self, real: lmdb.Environment) -> None:
        self._real = real

    def __getattr__(self, name: str) -> Any:
        return (lambda force: None) if name == "sync" else getattr(self._real, name)


class Machine:
    """A real folder with simulated power failures. The steps that change names are numbered."""

    def __init__(self, root: Path, patch: pytest.MonkeyPatch, syncs: bool = True) -> None:
        self.root, self.state = root, root / "state"
        self.kill_at, self.steps = -1, 0
        self.durable_rows: dict[bytes, bytes] = {}
        self.disk_store: DiskStore | None = None
        self._durable: dict[Path, dict[str, int]] = {}  # by folder: what its sync made durable
        self._files = root / "files"  # every file that had a name, by its inode
        self._files.mkdir()
        self._open: list[lmdb.Environment] = []

        def environment(path: Path, most: int) -> Any:
            self._open.append(lmdb.open(str(path), map_size=most, subdir=False, lock=False, sync=False))
            return Unsynced(self._open[-1])

        patch.setattr(lmdb_store, "_environment", environment)
        patch.setattr(lmdb_store.os, "fsync", lambda descriptor: None)
        for call in ("rename", "link"):
            patch.setattr(lmdb_store.os, call, self._numbered(getattr(os, call)))
        for call in ("mkdir", "unlink"):
            patch.setattr(lmdb_store.Path, call, self._numbered(getattr(Path, call)))
        patch.setattr(lmdb_store, "_sync_folder", self._sync if syncs else lambda folder: None)

    def _numbered(self, real: Any) -> Any:
        def step(*args: Any, **kwargs: Any) -> Any:
            if self.state.as_posix() not in str(args[0]):
                return real(*args, **kwargs)
            self._step()
            return real(*args, **kwargs)

        return step

    def _step(self) -> None:
        self.steps += 1
        if self.steps == self.kill_at:
            self.close()
            raise Killed

    def close(self) -> None:
        for environment in self._open:
            environment.close()
        self._open.clear()
        self.disk_store = None

    def _names(self, folder: Path) -> dict[str, int]:
        found = {}
        for entry in os.scandir(folder) if folder.is_dir() else []:
            if entry.is_file():
                found[entry.name] = entry.inode()
                if not (self._files / str(entry.inode())).exists():
                    LINK(entry.path, self._files / str(entry.inode()))
            elif entry.path.startswith(str(self.state)):
                found[entry.name] = -1
        return found

    def _sync(self, folder: Path) -> None:
        self._step()
        self._durable[folder] = self._names(folder)

    def losses(self) -> int:
        """The number of possible outcomes of a power failure now."""
        return 2 ** len(self._unsynced_names())

    def _unsynced_names(self) -> list[tuple[Path, str]]:
        found = []
        for folder in (self.root, self.state):
            now, before = self._names(folder), self._durable.get(folder, {})
            found += [(folder, name) for name in sorted({*now, *before}) if now.get(name) != before.get(name)]
        return found

    def fail_power(self, outcome_bits: int) -> None:
        """Simulates a power failure: each name that is not durable survives or is lost, by one bit each."""
        self.close()
        unsynced = self._unsynced_names()
        for bit, (folder, name) in enumerate(unsynced):
            if outcome_bits >> bit & 1 or not folder.exists():
                continue
            path, before = folder / name, self._durable.get(folder, {}).get(name)
            if path.is_dir():
                shutil.rmtree(path)
                continue
            if path.exists():
                os.remove(path)
            if before is not None and before >= 0:
                LINK(self._files / str(before), path)
        for folder in (self.root, self.state):
            self._durable[folder] = self._names(folder)

    # Steps of a script

    def start(self) -> None:
        outcome = DiskStore.open(self.state, MOST)
        assert isinstance(outcome, Opened | Fresh), outcome
        rows = outcome.rows if isinstance(outcome, Opened) else {}
        assert rows.items() >= self.durable_rows.items(), "what was kept is gone"
        self.disk_store = outcome.disk_store

    def keep(self, rows: dict[bytes, bytes]) -> None:
        assert self.disk_store is not None and self.disk_store.write(list(rows.items())) == Durable()
        self.durable_rows |= rows

    def rewrite(self) -> None:
        assert self.disk_store is not None and self.disk_store.rewrite(dict(self.durable_rows)) == Durable()


LINK = os.link


def run_process(machine: Machine) -> None:
    machine.start()
    machine.keep(ROWS)
    machine.rewrite()
    machine.keep({b"c": b"3"})


def restart(machine: Machine) -> None:
    machine.start()
    machine.keep({b"late": b"4"})


def check_power_failures(folders: Iterator[Path], syncs: bool = True) -> int:
    """Tries each outcome of a power failure at each step, at once or after a restart; counts them."""
    count = 0
    with pytest.MonkeyPatch.context() as patch:
        machine = Machine(next(folders), patch, syncs)
        run_process(machine)
        machine.close()
        last = machine.steps
    for at, again in itertools.product(range(1, last + 2), (False, True)):
        outcome_bits = 0
        while True:
            with pytest.MonkeyPatch.context() as patch:
                machine = Machine(next(folders), patch, syncs)
                machine.kill_at = at
                with contextlib.suppress(Killed):
                    run_process(machine)
                machine.kill_at = -1
                machine.close()
                if again:
                    restart(machine)
                ways = machine.losses()
                machine.fail_power(outcome_bits)
                restart(machine)
                machine.close()
            shutil.rmtree(machine.root)
            count, outcome_bits = count + 1, outcome_bits + 1
            if outcome_bits >= ways:
                break
    return count


def new_folders(root: Path) -> Iterator[Path]:
    for number in itertools.count():
        folder = root / str(number)
        folder.mkdir()
        yield folder


def test_whatever_names_a_loss_of_power_takes_what_was_kept_is_there(tmp_path: Path) -> None:
    assert check_power_failures(new_folders(tmp_path)) >= 50


def test_the_check_sees_names_that_are_not_synced(tmp_path: Path) -> None:
    with pytest.raises(AssertionError, match="gone"):
        check_power_failures(new_folders(tmp_path), syncs=False)
