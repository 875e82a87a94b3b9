"""The durable store of a process: one lmdb file in a folder, which is opened, checked, written and, if it is
damaged, set aside.

Calls are made one at a time and wait for the disk. The file gets its name only when it is complete and
synced, so that a start can distinguish a complete store, none, and a damaged one. A damaged store is renamed,
never overwritten and never ignored: acknowledged writes are missing from this disk, and the caller must know.

Until a folder is synced, a power failure may remove a name from it, even if the named file was synced. A
process that died, or a disk error, between the two syncs leaves a name that may still disappear. Therefore no
process reports rows as durable before it has synced the folder and its parent itself.
"""

import os
from collections.abc import Sequence
from pathlib import Path

import lmdb
from lmdb.verify import VerifyError
from lmdb.verify import verify as check_file
from msgspec import Struct

from mesh.storage.layout import (
    HEAD,
    LAYOUT,
    MAX_KEY_BYTES,
    MIGRATIONS,
    Head,
    Rows,
    StorageError,
    checksum_number,
    pack_head,
    seal,
    unpack_head,
    unseal,
)

NAME = "store.mdb"
MAX_ASIDES = 3
MAX_MAP_BYTES = 64 << 20
MAX_ITEM_SHARE = 0.4  # of the maximum size, for items that operators write
_ROW = b"r"
# Errors of the machine, not of the file: the file may be intact, so it is left in place.
_ENVIRONMENT_ERRORS = (
    lmdb.DiskError,
    lmdb.ReadonlyError,
    lmdb.MemoryError,
    lmdb.LockError,
    lmdb.InvalidParameterError,
)


class Durable(Struct, frozen=True):
    """The rows are on the disk and survive a power failure."""


class WriteFailed(Struct, frozen=True):
    """The rows may be on the disk or not. Write the same rows again before relying on them; earlier durable
    writes are unaffected."""

    reason: str


class Opened(Struct, frozen=True):
    """A store that holds every row that was durable. ``notes`` list the migrations applied."""

    disk_store: "DiskStore"
    rows: Rows
    notes: tuple[str, ...]


class Fresh(Struct, frozen=True):
    """The folder had no store, also none set aside: a first start, or an empty replacement disk."""

    disk_store: "DiskStore"


class SetAside(Struct, frozen=True):
    """The store was damaged and has been renamed to ``moved_to``; the new one is empty, because this disk has
    lost its rows."""

    disk_store: "DiskStore"
    moved_to: Path
    reason: str


class Failed(Struct, frozen=True):
    """No store could be opened; an existing one is unchanged."""

    reason: str


class Size(Struct, frozen=True):
    """Bytes: of the file, of the rows with their index in it, and the maximum size of the file."""

    file: int
    used: int
    limit: int


class _Damaged(Struct, frozen=True):
    """The store cannot be used, and must be set aside."""

    reason: str


def max_store_bytes(disk_mb: float) -> int:
    """The maximum size of the store on a disk of this many MB: half of it, since damaged stores that are set
    aside may take as much again, and at most MAX_MAP_BYTES."""
    return min(MAX_MAP_BYTES, int(disk_mb * (1 << 20) / 2)) & ~4095


class DiskStore:
    """An open store, created by DiskStore.open. One call at a time, from any thread."""

    def __init__(self, path: Path, max_bytes: int, environment: lmdb.Environment) -> None:
        self._path = path
        self._max_bytes = max_bytes
        # None after an error, until the next call reopens it.
        self._environment: lmdb.Environment | None = environment
        self._used = _used(environment)
        self._name_synced = False  # the file's name survives a power failure

    @staticmethod
    def open(folder: Path, max_bytes: int) -> Opened | Fresh | SetAside | Failed:
        """Open the store of a folder, or create one, of at most ``max_bytes``.

        A missing folder is created. Every row is read and checked. A store of an older layout is migrated;
        one of a newer layout gives Failed and is left unchanged.
        """
        path = folder / NAME
        try:
            _make_folder(folder)
            asides = _asides(path)
            if not path.exists() and _spare(path).exists():
                os.rename(_spare(path), path)  # a rewrite was interrupted, and only its spare copy is left
            if not path.exists():
                disk_store = _create(path, max_bytes)
                if not asides:
                    return Fresh(disk_store)
                # An earlier start was interrupted after it had set the store aside and before its report.
                return SetAside(
                    disk_store, asides[-1], "an earlier store was set aside and no new one was created"
                )
            found = _read(path, max_bytes)
            if not isinstance(found, _Damaged):
                if isinstance(found, Opened):
                    _remove_leftovers(path)
                return found
            moved_to = _set_aside(path, max_bytes)
            return SetAside(_create(path, max_bytes), moved_to, found.reason)
        except (OSError, lmdb.Error) as error:
            return Failed(f"{path}: {error}; repair the disk or its permissions and start again")

    def write(
        self, rows: Sequence[tuple[bytes, bytes]], deleted: Sequence[bytes] = ()
    ) -> Durable | WriteFailed:
        """Write rows and delete the keys in ``deleted`` in one transaction; return when it is durable.

        Of two rows with one key the later one is written; a key in both arguments is written. Keys are at
        most MAX_KEY_BYTES long.
        """
        # Each key once: lmdb writes a second value within one transaction into the first one's pages and then
        # miscounts them.
        written = {_ROW + key: value for key, value in rows}
        deleted_keys = {_ROW + key for key in deleted}
        if any(not 0 < len(key) - 1 <= MAX_KEY_BYTES for key in (*written, *deleted_keys)):
            return WriteFailed(f"a key is empty or longer than {MAX_KEY_BYTES} bytes; shorten it")
        try:
            environment = self._opened()
            with environment.begin(write=True) as transaction:
                head = unpack_head(transaction.get(HEAD))
                if isinstance(head, str):
                    return WriteFailed(f"{self._path}: {head}; start again")
                added, removed = [], []
                for key in deleted_keys:
                    removed.append(transaction.pop(key))
                for key, value in written.items():
                    added.append(seal(key, value))
                    removed.append(transaction.replace(key, added[-1]))
                after = head.after_change(
                    transaction.id(), added, [stored for stored in removed if stored is not None]
                )
                transaction.put(HEAD, pack_head(after))
            # The last write of the commit relies on a flag of its file descriptor, which not every disk
            # honours.
            environment.sync(True)
            self._sync_name()
            self._used = _used(environment)
        except lmdb.MapFullError:
            return WriteFailed(
                f"{self._path}: full at {self._max_bytes} bytes; drop rows or provide more space"
            )
        except (lmdb.Error, OSError) as error:
            # The pages in memory may differ from those on the disk; reopening the file reads the latter.
            self.close()
            return WriteFailed(f"{self._path}: {error}; write the rows again when the disk works")
        return Durable()

    def rewrite(self, rows: Rows) -> Durable | WriteFailed:
        """Replace this store, which may be damaged, by one of exactly these rows. A start finds either one: a
        spare copy of the new one exists until its name is durable, since an interrupted rename may lose both
        names, and these disks have no hard links."""
        self.close()
        unfinished, spare = _unfinished(self._path), _spare(self._path)
        self._name_synced = False
        try:
            _write_store(unfinished, self._max_bytes, rows)
            spare.unlink(missing_ok=True)
            _write_store(spare, self._max_bytes, rows)
            _publish(unfinished, self._path)
            self._sync_name()
            spare.unlink()
        except (lmdb.Error, OSError) as error:
            return WriteFailed(f"{self._path}: {error}; free space on the disk or check it")
        return Durable()

    def fits(self, more_bytes: int) -> bool:
        """Whether rows of this many bytes may be added while deletions, votes and views still find space: a
        change needs new pages before the old ones are free. As of the last write; from any thread."""
        return self._used + more_bytes <= MAX_ITEM_SHARE * self._max_bytes

    def size(self) -> Size:
        """The size of the store. Raises StorageError if the file cannot be read."""
        try:
            return Size(os.stat(self._path).st_size, _used(self._opened()), self._max_bytes)
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"{self._path}: {error}; check the disk") from error

    def rows(self) -> Rows:
        """All rows. Raises StorageError if one cannot be read or fails its checksum."""
        try:
            rows, findings, _ = _check_rows(self._opened())
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"{self._path}: {error}; start again") from error
        if findings:
            raise StorageError(f"{self._path}: {findings[0]}; start again")
        return rows

    def verify(self) -> tuple[str, ...]:
        """Read the whole store from the disk; return one line for each error found."""
        findings = list(_check_pages(self._path))
        try:
            findings += _check_rows(self._opened())[1]
        except (lmdb.Error, OSError) as error:
            findings.append(str(error))
        return tuple(findings)

    def backup(self, to: Path) -> Durable | WriteFailed:
        """Copy the current store to a folder without one; the copy can be opened like the store itself."""
        try:
            _make_folder(to)
            copy = to / NAME
            if copy.exists():
                return WriteFailed(f"{copy}: already exists; choose another folder")
            unfinished = _unfinished(copy)
            unfinished.unlink(missing_ok=True)
            self._opened().copy(str(unfinished))
            _publish(unfinished, copy)
        except (lmdb.Error, OSError) as error:
            return WriteFailed(f"{to}: {error}; choose a folder with enough space")
        return Durable()

    def close(self) -> None:
        """Close the file. No data is lost without this call."""
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def _sync_name(self) -> None:
        """Makes the file's name durable. Raises OSError."""
        if not self._name_synced:
            _sync_folder(self._path.parent)
            _sync_folder(self._path.parent.parent)
            self._name_synced = True

    def _opened(self) -> lmdb.Environment:
        if self._environment is None:
            self._environment = _environment(self._path, self._max_bytes)
        return self._environment


def _used(environment: lmdb.Environment) -> int:
    stat = environment.stat()
    return int((stat["branch_pages"] + stat["leaf_pages"] + stat["overflow_pages"]) * stat["psize"])


def _environment(path: Path, max_bytes: int) -> lmdb.Environment:
    # No lock file: only one process opens the file, and locks do not work on these machines. No writable map:
    # the kernel would write its pages to the file at any time, not only at a sync.
    return lmdb.open(str(path), map_size=max_bytes, subdir=False, lock=False, mode=0o640, readahead=False)


def _read(path: Path, max_bytes: int) -> Opened | Failed | _Damaged:
    """Check and open an existing store. Raises OSError, or lmdb.Error for errors outside the file."""
    # Checked before lmdb maps the file: access to a truncated page would kill the process.
    findings = _check_pages(path)
    if findings:
        return _Damaged(findings[0])
    environment = _environment(path, max_bytes)
    usable = False
    try:
        rows, findings, head = _check_rows(environment)
        if head is not None and head.layout > LAYOUT:
            return Failed(f"{path}: layout {head.layout}, newest known {LAYOUT}; start the newer program")
        if head is None or findings:
            return _Damaged(findings[0])
        notes = []
        for layout in range(head.layout, LAYOUT):
            rows = MIGRATIONS[layout](rows)
            _write_all(environment, layout + 1, rows)
            notes.append(f"migrated from layout {layout} to {layout + 1}")
        usable = True
    except lmdb.Error as error:
        if isinstance(error, _ENVIRONMENT_ERRORS):
            raise
        return _Damaged(str(error))
    finally:
        if not usable:
            environment.close()
    return Opened(DiskStore(path, max_bytes, environment), rows, tuple(notes))


def read_copy(folder: Path, max_bytes: int) -> Rows | Failed:
    """The rows of a copy, migrated to this layout; the copy is unchanged. Failed if any of it is damaged."""
    path = folder / NAME
    try:
        findings = _check_pages(path)
        if findings:
            return Failed(f"{path}: {findings[0]}; take another copy")
        environment = lmdb.open(str(path), map_size=max_bytes, subdir=False, lock=False, readonly=True)
        try:
            rows, findings, head = _check_rows(environment)
        finally:
            environment.close()
    except (lmdb.Error, OSError) as error:
        return Failed(f"{path}: {error}; choose the folder of a copy")
    if head is None or findings:
        return Failed(f"{path}: {findings[0]}; take another copy")
    if head.layout > LAYOUT:
        return Failed(f"{path}: layout {head.layout}, newest known {LAYOUT}; start the newer program")
    for layout in range(head.layout, LAYOUT):
        rows = MIGRATIONS[layout](rows)
    return rows


def _check_pages(path: Path) -> tuple[str, ...]:
    """Errors in the pages of the file, found without lmdb. Raises OSError."""
    try:
        return tuple(str(finding) for finding in check_file(str(path)))  # type: ignore[no-untyped-call]
    except VerifyError as error:
        return (str(error),)


def _check_rows(environment: lmdb.Environment) -> tuple[Rows, tuple[str, ...], Head | None]:
    """The rows, the errors found by their checksums and by the head, and the head."""
    rows: Rows = {}
    findings = []
    total = 0
    with environment.begin() as transaction:
        for key, stored in transaction.cursor():
            if key == HEAD:
                continue
            value = unseal(key, stored)
            if not key.startswith(_ROW):
                findings.append(f"row {key.hex()}: not a row of this store")
            elif value is None:
                findings.append(f"row {key.hex()}: checksum differs")
            else:
                rows[key[len(_ROW) :]] = value
            total += checksum_number(stored)
        number = transaction.id()
        head = unpack_head(transaction.get(HEAD))
    if isinstance(head, str):
        return rows, (*findings, head), None
    if head.transaction != number:
        findings.append(f"head row: written by transaction {head.transaction}, but the file is at {number}")
    if (head.count, head.total) != (len(rows), total % 2**64):
        findings.append(f"head row: declares {head.count} rows; found {len(rows)} valid ones, or other rows")
    return rows, tuple(findings), head


def _write_all(environment: lmdb.Environment, layout: int, rows: Rows) -> None:
    """Replace all rows and the head in one transaction, and sync it."""
    with environment.begin(write=True) as transaction:
        transaction.drop(environment.open_db(None, txn=transaction), delete=False)
        sealed = {_ROW + key: seal(_ROW + key, value) for key, value in rows.items()}
        for key, stored in sealed.items():
            transaction.put(key, stored)
        empty = Head(layout=layout, transaction=0, count=0, total=0)
        transaction.put(HEAD, pack_head(empty.after_change(transaction.id(), sealed.values(), ())))
    environment.sync(True)


def _create(path: Path, max_bytes: int) -> DiskStore:
    """Create an empty store atomically. Raises OSError, lmdb.Error."""
    unfinished = _unfinished(path)
    _write_store(unfinished, max_bytes, {})
    _publish(unfinished, path)
    return DiskStore(path, max_bytes, _environment(path, max_bytes))


def _write_store(unfinished: Path, max_bytes: int, rows: Rows) -> None:
    """Write a store of these rows, replacing an existing file. Raises OSError, lmdb.Error."""
    unfinished.unlink(missing_ok=True)
    environment = _environment(unfinished, max_bytes)
    try:
        _write_all(environment, LAYOUT, rows)
    finally:
        environment.close()


def _publish(unfinished: Path, path: Path) -> None:
    """Rename the file; the old name is durable before the rename, and the new one after it."""
    descriptor = os.open(unfinished, os.O_RDWR)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    _sync_folder(path.parent)
    os.rename(unfinished, path)
    _sync_folder(path.parent)


def _unfinished(path: Path) -> Path:
    return path.with_name(path.name + ".new")


def _spare(path: Path) -> Path:
    """The spare copy of a store that replaces another. It is used only if the store itself is missing: later
    writes are not in it."""
    return path.with_name(path.name + ".before")


def _remove_leftovers(path: Path) -> None:
    """Remove the files of an interrupted rewrite or first start."""
    for leftover in (_unfinished(path), _spare(path)):
        leftover.unlink(missing_ok=True)


def _make_folder(folder: Path) -> None:
    """Create a missing folder and its missing parents, durably."""
    created: list[Path] = []
    while not (created[-1].parent if created else folder).is_dir():
        created.append(created[-1].parent if created else folder)
    folder.mkdir(parents=True, exist_ok=True)
    for path in reversed(created):
        _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _asides(path: Path) -> list[Path]:
    """The stores that were set aside, oldest first."""
    numbered = []
    for aside in path.parent.glob(f"{path.name}.aside-*"):
        number = aside.name.rpartition("-")[2]
        if number.isascii() and number.isdecimal():
            numbered.append((int(number), aside))
    return [aside for _, aside in sorted(numbered)]


def _set_aside(path: Path, max_bytes: int) -> Path:
    """Rename a damaged store, and remove the oldest ones beyond MAX_ASIDES or beyond ``max_bytes`` in total;
    the newest is retained regardless of its size. Raises OSError."""
    _remove_leftovers(path)  # older than the damaged store, which may hold the only copy of some rows
    _sync_folder(path.parent)
    asides = _asides(path)
    number = int(asides[-1].name.rpartition("-")[2]) + 1 if asides else 1
    moved_to = path.with_name(f"{path.name}.aside-{number}")
    os.rename(path, moved_to)
    _sync_folder(path.parent)
    asides.append(moved_to)
    while len(asides) > 1 and (
        len(asides) > MAX_ASIDES or sum(aside.stat().st_size for aside in asides) > max_bytes
    ):
        asides.pop(0).unlink()
    return moved_to
