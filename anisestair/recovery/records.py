"""Small files in a folder that other users may write to, validated before use.

A record that changes often is overwritten in place, so that the file keeps its block: replacing a file frees
its block, which may be slow on some file systems. Long data is written once, and renamed when complete.
"""

from __future__ import annotations

import fcntl
import json
import os
import re
import stat
import zlib
from pathlib import Path
from typing import Any

VERSION = 2
MAX_RECORD_BYTES = 4 * 1024 * 1024  # of one record: the learned state of some ten thousand upstreams
MAX_MEMBERS = 8  # processes of one sidecar that are read
STEM_PATTERN = re.compile(r"anisestair-([0-9]{1,19})-([0-9]{1,10})")


class InvalidRecord(ValueError):
    """A record that cannot be used; the message states the reason."""


def write(path: Path, data: Any) -> None:
    """Write a file under a temporary name and rename it, so that no reader sees a part. Raises OSError."""
    new = path.with_suffix(".new")
    handle = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
    with os.fdopen(handle, "wb") as file:
        file.write(text_of(data))
    new.rename(path)


def text_of(data: Any) -> bytes:
    """Encode a record. Its header has the length; a reader ignores any bytes that follow."""
    body = json.dumps(data, separators=(",", ":")).encode()
    return b"anisestair %d %08x %d\n" % (VERSION, zlib.crc32(body), len(body)) + body


def read(path: Path) -> Any:
    """Read a record. Raises InvalidRecord for a file of another user, and for one that is incomplete, too
    large or of another version; FileNotFoundError if there is none."""
    try:
        # Non-blocking: opening a named pipe would block the reader indefinitely.
        handle = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    except FileNotFoundError:
        raise
    except OSError as fault:
        raise InvalidRecord(str(fault)) from None
    try:
        found = os.fstat(handle)
        if not stat.S_ISREG(found.st_mode) or found.st_uid != os.geteuid():
            raise InvalidRecord("not a file of this user's")
        if found.st_size > MAX_RECORD_BYTES:
            raise InvalidRecord(f"longer than {MAX_RECORD_BYTES} bytes")
        with os.fdopen(handle, "rb", closefd=False) as file:
            text = file.read(MAX_RECORD_BYTES)
    finally:
        os.close(handle)
    head, _, body = text.partition(b"\n")
    length = head.rpartition(b" ")[2]
    body = body[: int(length)] if length.isdigit() and len(length) < 10 else b""
    if head != b"anisestair %d %08x %d" % (VERSION, zlib.crc32(body), len(body)):
        raise InvalidRecord("another version, cut short, or not such a record at all")
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as fault:
        raise InvalidRecord(str(fault)) from None


class ProcessFiles:
    """The files of this process among those of one sidecar: a lock, released when the process ends, and a
    record."""

    def __init__(self, folder: Path, born: int) -> None:
        """Create and lock the lock file; ``born`` orders processes by age. Raises OSError."""
        self.folder, self.born = folder, born
        self._stem = f"anisestair-{born}-{os.getpid()}"
        new = folder / f"{self._stem}.new-lock"
        self._handle = os.open(new, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        # Locked before it gets its name, so that it is never visible unlocked while this process runs.
        fcntl.flock(self._handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        new.rename(folder / f"{self._stem}.lock")
        self._record = -1

    def write_record(self, data: Any) -> None:
        """Overwrite the record in place; a reader detects a partial write by the checksum. Raises OSError."""
        if self._record < 0:
            how = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            self._record = os.open(self.folder / f"{self._stem}.state", how, 0o600)
        os.pwrite(self._record, text_of(data), 0)

    def write_for(self, born: int, data: Any) -> None:
        """Write data for one other process. Raises OSError."""
        write(self.folder / f"{self._stem}.for-{born}", data)

    def read_from(self, state: Path) -> Any:
        """Return what the process with this record has written for this one; None if there is none, or it is
        invalid."""
        try:
            return read(state.with_suffix(f".for-{self.born}"))
        except (OSError, InvalidRecord):
            return None

    def remove(self) -> None:
        """Remove the files of this process and release the lock."""
        for path in self.folder.glob(f"{self._stem}.*"):
            _remove(path)
        if self._record >= 0:
            os.close(self._record)
        os.close(self._handle)

    def others(self) -> dict[int, Path]:
        """Return the record paths of the other live processes by start time; remove files of ended ones."""
        found: dict[int, Path] = {}
        for name in sorted(os.listdir(self.folder)):
            stem, _, end = name.rpartition(".")
            known = STEM_PATTERN.fullmatch(stem)
            if end != "lock" or known is None or stem == self._stem:
                continue
            if _is_locked(self.folder / name):
                found[int(known[1])] = self.folder / f"{stem}.state"
                if len(found) >= MAX_MEMBERS:
                    break
            else:
                for left in self.folder.glob(f"{stem}.*"):
                    _remove(left)
        return found


def _remove(path: Path) -> None:
    try:
        path.unlink(missing_ok=True)
    except OSError:  # not a file, for example: it stays
        return


def _is_locked(path: Path) -> bool:
    """Return whether a live process holds the lock: the kernel releases it when the process ends."""
    try:
        handle = os.open(path, os.O_RDWR | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    except OSError:
        return False
    try:
        fcntl.flock(handle, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        os.close(handle)
    return False
