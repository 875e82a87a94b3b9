"""Names on a disk that loses power: until its folder is synced, each that was made, renamed or removed is
kept or lost by itself, whatever befell in between."""

import itertools
import os
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from mesh.storage import lmdb_store as keeping
from mesh.storage.lmdb_store import NAME, DiskStore, Durable, Failed, Opened

MOST = 1 << 20
FIRST, SECOND = {b"route": b"a" * 100}, {b"route": b"b" * 100}


class Power:
    """The names in a store's folder below ``top``, and what has become of them since the folder was synced;
    one step (a rename, a removal, a sync of a folder) may be refused."""

    def __init__(self, patch: pytest.MonkeyPatch, top: Path) -> None:
        self.top, self.folder, self.links = top, top / "charter", top.with_name("links")
        top.mkdir()
        self.links.mkdir(exist_ok=True)
        self.synced: dict[str, Path] = {}  # names that outlast it, and another link to each one's file
        self.since: list[tuple[str, str]] = []  # from, to; "" for what was not there, or is no more
        self.seen: set[str] = set()
        self.folder_synced = False
        self.step = self.refused = 0
        for name in ("rename", "unlink"):
            patch.setattr(os, name, self._counted(getattr(os, name)))
        patch.setattr(keeping, "_sync_folder", self._counted(keeping._sync_folder))

    def _counted(self, real: Callable[..., Any]) -> Callable[..., Any]:
        def call(*paths: Any, **how: Any) -> None:
            if self.top not in (Path(paths[0]), *Path(paths[0]).parents):
                real(*paths, **how)
                return
            self.look()
            self.step += 1
            if self.step == self.refused:
                raise OSError("refused")
            real(*paths)
            if real.__name__ == "_sync_folder":
                self._sync(Path(paths[0]))
            else:
                first, second = Path(paths[0]).name, Path(paths[1]).name if len(paths) > 1 else ""
                self.since.append((first, second))
                self.seen = (self.seen - {first}) | ({second} - {""})

        return call

    def look(self) -> None:
        now = set(os.listdir(self.folder)) if self.folder.is_dir() else set()
        self.since += [("", name) for name in sorted(now - self.seen)]
        self.seen = now

    def _sync(self, folder: Path) -> None:
        if folder == self.top:
            self.folder_synced = self.folder.is_dir()
            return
        self.synced, self.since = {}, []
        for name in os.listdir(folder):
            link = self.links / str((folder / name).stat().st_ino)
            if not link.exists():
                os.link(folder / name, link)
            self.synced[name] = link

    def losses(self) -> Iterator[Path]:
        """Each folder that a loss of power may leave now, one after another."""
        self.look()
        after = self.top.with_name("after")
        for kept in itertools.product((True, False), repeat=len(self.since)):
            names = dict(self.synced)
            for (first, second), stays in zip(self.since, kept, strict=True):
                if stays:
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


def life(folder: Path, rows: dict[bytes, bytes], rewrites: bool = False) -> bool:
    """One life of a process; whether it said that the rows are kept."""
    found = DiskStore.open(folder, MOST)
    if isinstance(found, Failed):
        return False
    try:
        if rewrites:
            found.disk_store.rewrite(FIRST)  # whatever comes of it
        return found.disk_store.write(list(rows.items())) == Durable()
    finally:
        found.disk_store.close()


def lost(power: Power, rows: dict[bytes, bytes]) -> list[list[str]]:
    """The losses of power after which a start does not find these rows."""
    found = []
    for after in power.losses():
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
    """Each step of a life in turn is refused, which may be its end; the next life goes on from there."""
    for refused in range(1, 20):
        with pytest.MonkeyPatch.context() as patch:
            power = Power(patch, tmp_path / str(refused))
            if start == "damaged":
                power.folder.mkdir()
                (power.folder / NAME).write_bytes(b"torn")
            elif start == "rewritten":
                assert life(power.folder, SECOND)
            power.step, power.refused = 0, refused
            if life(power.folder, FIRST, rewrites=start == "rewritten"):
                assert lost(power, FIRST) == [], refused
            steps, power.refused = power.step, 0
            assert life(power.folder, SECOND)
            assert lost(power, SECOND) == [], refused
        if refused > steps:
            return
    raise AssertionError("no end of steps")


def test_the_check_sees_a_name_that_was_never_synced(tmp_path: Path) -> None:
    with pytest.MonkeyPatch.context() as patch:
        power = Power(patch, tmp_path / "disk")
        patch.setattr(keeping, "_sync_folder", lambda _: None)
        assert life(power.folder, FIRST)
        assert [] in lost(power, FIRST)
