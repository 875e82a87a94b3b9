"""Operators' questions about the disk: its verification, and a backup while the process runs. Both run on the
disk's thread, so writes wait for them."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from mesh.control_plane.write_batches import DiskWriter
from mesh.replication.store import Store
from mesh.runtime.introspection_calls import Handler, JsonObject, Refusal
from mesh.storage.layout import StorageError, read_state
from mesh.storage.lmdb_store import NAME, DiskStore, WriteFailed
from mesh.transport.frames import Head

MAX_FINDINGS = 20
MAX_PATH_LENGTH = 1024  # characters


class _Disk(Struct, frozen=True):
    findings: tuple[str, ...]
    items: int
    digest: str


class DiskCommands:
    """Answers the questions `verify` and `backup`."""

    def __init__(
        self,
        state_dir: str,
        disk_mb: float,
        config_store: Store,
        disk_writer: DiskWriter,
        on_damage: Callable[[], None],
    ) -> None:
        """``on_damage`` is called when a check finds damage; the repair does its own check."""
        self._state_dir, self._max_bytes = state_dir, int(disk_mb * (1 << 20))
        self._config_store, self._disk_writer, self._on_damage = config_store, disk_writer, on_damage

    def handlers(self) -> dict[str, Handler]:
        """The handlers of these questions, by name."""
        return {"verify": self.verify, "backup": self.backup}

    async def verify(self, head: Head) -> JsonObject:
        """Reads and checks every row, and returns the digests of the disk and of the store in memory.
        ``moving``: they cannot be compared, since items changed during the check."""
        await self._disk_writer.flush()
        before = self._config_store.digests.root()
        disk = await self._disk_writer.run_between_batches(_survey)
        if disk.findings:
            self._on_damage()
        return {
            "findings": list(disk.findings[:MAX_FINDINGS]),
            "items": disk.items,
            "disk": disk.digest,
            "memory": before,
            "moving": before != self._config_store.digests.root(),
            "whole": self._disk_writer.complete,
        }

    async def backup(self, head: Head) -> JsonObject | Refusal:
        """Copies the store to a folder under the state folder that holds no store yet."""
        to = target_path(self._state_dir, str(head["to"]))
        if isinstance(to, Refusal):
            return to
        await self._disk_writer.flush()
        return await self._disk_writer.run_between_batches(
            lambda disk_store: _copy(disk_store, to, Path(self._state_dir), self._max_bytes)
        )


def _survey(disk_store: DiskStore) -> _Disk:
    findings = disk_store.verify()
    if findings:
        return _Disk(findings, 0, "")
    try:
        kept = read_state(disk_store.rows())
    except StorageError as fault:
        return _Disk((str(fault),), 0, "")
    store = Store("disk", len(kept.items) + 1, decided=True)
    store.restore(kept.items, {})
    return _Disk((), len(kept.items), store.digests.root())


def target_path(base: str, to: str) -> Path | Refusal:
    """The folder for a copy: below ``base`` after resolving links, and not the store's own folder."""
    if not to or len(to) > MAX_PATH_LENGTH or not to.isprintable():
        return Refusal(f"to: give a path of 1 to {MAX_PATH_LENGTH} printable characters")
    try:
        base_path = Path(base).resolve()
        path = (base_path / to).resolve()
    except (OSError, RuntimeError) as fault:
        return Refusal(f"to: {fault}; give a folder under {base}")
    if path == base_path or not path.is_relative_to(base_path):
        return Refusal(f"to: {to} lies outside {base}; give a folder under it, such as backup-1")
    if path.is_relative_to(base_path / "charter"):
        return Refusal(f"to: {to} lies in the store's own folder; give another folder under {base}")
    return path


def _copy(disk_store: DiskStore, to: Path, base: Path, most: int) -> JsonObject | Refusal:
    try:
        used = sum(
            os.lstat(os.path.join(folder, name)).st_size
            for folder, _, names in os.walk(base)
            for name in names
        )
        size = (base / "charter" / NAME).stat().st_size
    except OSError as fault:
        return Refusal(f"disk: {fault}; check {base}")
    if used + size > most:
        return Refusal(
            f"disk: {used} of {most} bytes are used, a backup needs {size}; remove an older one under {base}"
        )
    outcome = disk_store.backup(to)
    if isinstance(outcome, WriteFailed):
        return Refusal(f"to: {outcome.reason}")
    return {"to": str(to), "bytes": size}
