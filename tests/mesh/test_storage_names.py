"""File names and power failures: until a folder is synced, each created, renamed or removed name in it
survives or is lost independently, including after an error in between."""

import itertools
import os
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from mesh.storage import lmdb_store
from mesh.storage.lmdb_store import NAME, DiskStore, Durable, Failed, Opened

MOST = 1 << 20
FIRST, SECOND = {b"route": b"a" * 100}, {b"route": b"b" * 100}


class PowerFailures:
    """Records the changes of names in a store's folder below ``top`` since its last sync; one step (a rename,
    a removal, a sync of a folder) may fail."""

    def __init__(self, patch: pytest.MonkeyPatch, top: Path) -> None:
        self.top, self.folder, self.links = top, top / "charter", top.with_name("links")
        top.mkdir()
        self.links.mkdir(exist_ok=True)
        self.synced: dict[str, Path] = {}  # durable names, with another link to each file
        self.changes: list[tuple[str, str]] = []  # from, to; "" for a name that did not exist, or is removed
        self.seen: set[str] = set()
        self.folder_synced = False
        self.step = self.refused = 0
        for name in ("rename", "unlink"):
            patch.setattr(os, name, self._counted(getattr(os, name)))
        patch.setattr(lmdb_store, "_sync_folder", self._counted(lmdb_store._sync_folder))

    def _counted(self, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*paths: Any, **how: Any) -> None:
            if self.top not in (Path(paths[0]), *Path(paths[0]).parents):
                real(*paths, **how)
                return
            self.record_new_names()
            self.step += 1
            if self.step == self.refused:
                raise OSError("refused")
            real(*paths)
            if real.__name__ == "_sync_folder":
                self._sync(Path(paths[0]))
            else:
                first, second = Path(paths[0]).name, Path(paths[1]).name if len(paths) > 1 else ""
                self.changes.append((first, second))
                self.seen = (self.seen - {first}) | ({second} - {""})

        return call

    def record_new_names(self) -> None:
        now = set(os.listdir(self.folder)) if self.folder.is_dir() else set()
        self.changes += [("", name) for name in sorted(now - self.seen)]
        self.seen = now

    def _sync(self, folder: Path) -> None:
        if folder == self.top:
            self.folder_synced = self.folder.is_dir()
            return
        self.synced, self.changes = {}, []
        for name in os.listdir(folder):
            link = self.links / str((folder / name).stat().st_ino)
            if not link.exists():
                os.link(folder / name, link)
            self.synced[name] = link

    def losses(self) -> Iterator[Path]:
        """Each folder that a power failure may leave now, one after another."""
        self.record_new_names()
        after = self.top.with_name("after")
        for survivors in itertools.product((True, False), repeat=len(self.changes)):
            names = dict(self.synced)
            for (first, second), survives in zip(self.changes, survivors, strict=True):
                if survives:
                    file = names.pop(first, None)
                    here = self.folder / second
                    if second and (file is not None or here.is_file()):
                        names[second] = here if here.is_file() else self.synced[first]
            shutil.rmtree(after, ignore_errors=True)
            after.mkdir()
            for name, file in names.items():
                shutil.copy(file, after / name)
            yield after
        if not self.folder_synced:
            shutil.rmtree(after)
            yield after


def run_process(folder: Path, rows: dict[bytes, bytes], rewrite: bool = False) -> bool:
    """Runs a process that writes the rows; returns whether it reported them as durable."""
    found = DiskStore.open(folder, MOST)
    if isinstance(found, Failed):
        return False
    try:
        if rewrite:
            found.disk_store.rewrite(FIRST)  # with any result
        return found.disk_store.write(list(rows.items())) == Durable()
    finally:
        found.disk_store.close()


def states_without_rows(failures: PowerFailures, rows: dict[bytes, bytes]) -> list[list[str]]:
    """The outcomes of a power failure after which a start does not find these rows."""
    found = []
    for after in failures.losses():
        names = sorted(os.listdir(after)) if after.is_dir() else []
        outcome = DiskStore.open(after, MOST)
        if not (isinstance(outcome, Opened) and outcome.rows == rows):
            found.append(names)
        if not isinstance(outcome, Failed):
            outcome.disk_store.close()
    return found


@pytest.mark.parametrize("start", ["empty", "damaged", "rewritten"])
def test_whatever_names_a_loss_of_power_takes_what_was_said_to_be_kept_is_there(
    tmp_path: Path, start: str
) -> None:
    """Each step of a process fails in turn, which may end it; the next process continues from there."""
    for refused in range(1, 20):
        with pytest.MonkeyPatch.context() as patch:
            failures = PowerFailures(patch, tmp_path / str(refused))
            if start == "damaged":
                failures.folder.mkdir()
                (failures.folder / NAME).write_bytes(b"torn")
            elif start == "rewritten":
                assert run_process(failures.folder, SECOND)
            failures.step, failures.refused = 0, refused
            if run_process(failures.folder, FIRST, rewrite=start == "rewritten"):
                assert states_without_rows(failures, FIRST) == [], refused
            steps, failures.refused = failures.step, 0
            assert run_process(failures.folder, SECOND)
            assert states_without_rows(failures, SECOND) == [], refused
        if refused > steps:
            return
    raise AssertionError("no end of steps")


def test_the_check_sees_a_name_that_was_never_synced(tmp_path: Path) -> None:
    with pytest.MonkeyPatch.context() as patch:
        failures = PowerFailures(patch, tmp_path / "disk")
        patch.setattr(lmdb_store, "_sync_folder", lambda _: None)
        assert run_process(failures.folder, FIRST)
        assert [] in states_without_rows(failures, FIRST)
