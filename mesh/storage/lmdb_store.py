"""The durable store of a process: one lmdb file in a folder, opened, checked, written and set aside.

Calls come one at a time and wait for the disk. The file's name appears only when the file is complete and
synced, so that a start finds a whole store, none, or a damaged one, and can tell the three apart. A damaged
one is renamed, never overwritten and never passed over in silence: what was acknowledged is not on this disk,
and the caller must know it.

A name may be lost by itself with the power, however often its file was synced, until its folder is. A life
that died, or a disk that refused, between the two leaves a name that is there and may yet go; so nothing is
said to be kept by a life that has not synced the folder, and the one above it, itself.
"""

import os
from collections.abc import Sequence
from pathlib import Path

import lmdb
from lmdb.verify import VerifyError
from lmdb.verify import verify as walk
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
MAX_ITEM_SHARE = 0.4  # of the most that a store may grow to, which items set by orders may take
_ROW = b"r"
# Errors of the machine, not of the file: the file may be well, so it stays where it is.
_ENVIRONMENT_ERRORS = (
    lmdb.DiskError,
    lmdb.ReadonlyError,
    lmdb.MemoryError,
    lmdb.LockError,
    lmdb.InvalidParameterError,
)


class Durable(Struct, frozen=True):
    """The rows are on the disk and outlast a loss of power."""


class WriteFailed(Struct, frozen=True):
    """The rows are not known to be on the disk: they may be there or not. Keep the same rows again before
    relying on them; what was kept before still stands."""

    reason: str


class Opened(Struct, frozen=True):
    """A store that holds every row that it said was kept. ``notes`` tell what opening it changed."""

    disk_store: "DiskStore"
    rows: Rows
    notes: tuple[str, ...]


class Fresh(Struct, frozen=True):
    """The folder held no store and none set aside: a first start, or a disk that came back empty."""

    disk_store: "DiskStore"


class SetAside(Struct, frozen=True):
    """The store was damaged and has been renamed to ``moved_to``; the new one is empty: this disk has lost its
    rows."""

    disk_store: "DiskStore"
    moved_to: Path
    reason: str


class Failed(Struct, frozen=True):
    """No store could be opened, and none that was there was changed."""

    reason: str


class Size(Struct, frozen=True):
    """``file`` bytes hold ``used`` bytes of rows and of their order; more than ``most`` never come."""

    file: int
    used: int
    limit: int


class _Damaged(Struct, frozen=True):
    reason: str


def max_store_bytes(disk_mb: float) -> int:
    """How large the store may grow, in bytes, on a disk of that many MB: half of it, since as much again may
    lie set aside, and no more than MAX_MAP_BYTES."""
    return min(MAX_MAP_BYTES, int(disk_mb * (1 << 20) / 2)) & ~4095


class DiskStore:
    """An open store. Made by DiskStore.open; one call at a time, from whichever thread."""

    def __init__(self, path: Path, most_bytes: int, environment: lmdb.Environment) -> None:
        self._path = path
        self._max_bytes = most_bytes
        self._environment: lmdb.Environment | None = (
            environment  # None after a refusal, until the next call opens it anew
        )
        self._used = _used(environment)
        self._name_synced = False  # the file's name is known to outlast a loss of power

    @staticmethod
    def open(folder: Path, most_bytes: int) -> Opened | Fresh | SetAside | Failed:
        """Open the store of a folder, or begin one, at most ``most_bytes`` large.

        The folder is made if it is missing. Every row is read and checked. A store of an older layout is
        moved on; one of a newer layout is Failed, and stays as it is.
        """
        path = folder / NAME
        try:
            _make_folder(folder)
            asides = _asides(path)
            if not path.exists() and _spare(path).exists():
                os.rename(_spare(path), path)  # a rewriting lost both names of it but this one
            if not path.exists():
                disk_store = _create(path, most_bytes)
                if not asides:
                    return Fresh(disk_store)
                # Setting aside was cut short between its two renames, or the caller never came to hear of it.
                return SetAside(
                    disk_store, asides[-1], "an earlier store was set aside and none begun in its place"
                )
            found = _read(path, most_bytes)
            if not isinstance(found, _Damaged):
                if isinstance(found, Opened):
                    _remove_leftovers(path)
                return found
            moved_to = _set_aside(path, most_bytes)
            return SetAside(_create(path, most_bytes), moved_to, found.reason)
        except (OSError, lmdb.Error) as error:
            return Failed(f"{path}: {error}; mend the disk or its rights and start again")

    def write(self, rows: Sequence[tuple[bytes, bytes]], gone: Sequence[bytes] = ()) -> Durable | WriteFailed:
        """Write rows and drop the keys in ``gone``, in one transaction; return when the disk has it.

        Of two rows with one key the later counts; a key in both stays. Keys are at most MAX_KEY_BYTES long.
        """
        # Once each: lmdb writes a second value of one transaction into the first one's pages and loses count
        # of them.
        wanted = {_ROW + key: value for key, value in rows}
        dropped = {_ROW + key for key in gone}
        if any(not 0 < len(key) - 1 <= MAX_KEY_BYTES for key in (*wanted, *dropped)):
            return WriteFailed(f"a key is empty or longer than {MAX_KEY_BYTES} bytes; shorten it")
        try:
            environment = self._opened()
            with environment.begin(write=True) as transaction:
                head = unpack_head(transaction.get(HEAD))
                if isinstance(head, str):
                    return WriteFailed(f"{self._path}: {head}; start again")
                came, went = [], []
                for key in dropped:
                    went.append(transaction.pop(key))
                for key, value in wanted.items():
                    came.append(seal(key, value))
                    went.append(transaction.replace(key, came[-1]))
                after = head.after_change(
                    transaction.id(), came, [stored for stored in went if stored is not None]
                )
                transaction.put(HEAD, pack_head(after))
            # The commit's last write is made durable by a flag of its descriptor alone, which not every disk
            # honours.
            environment.sync(True)
            self._sync_name()
            self._used = _used(environment)
        except lmdb.MapFullError:
            return WriteFailed(
                f"{self._path}: full at {self._max_bytes} bytes; drop rows or provide more space"
            )
        except (lmdb.Error, OSError) as error:
            # The pages in memory may differ from those on the disk; a new look at the file tells what it
            # holds.
            self.close()
            return WriteFailed(f"{self._path}: {error}; keep the rows again when the disk is well")
        return Durable()

    def rewrite(self, rows: Rows) -> Durable | WriteFailed:
        """Put a store of these rows, all that it is to hold, in the place of this one, whatever is damaged in
        it. A start finds either: a second copy of the new one lies beside it until the new one has the name
        for good (a rename may lose both names, and these disks know no links)."""
        self.close()
        unfinished, before = _unfinished(self._path), _spare(self._path)
        self._name_synced = False
        try:
            _write_store(unfinished, self._max_bytes, rows)
            before.unlink(missing_ok=True)
            _write_store(before, self._max_bytes, rows)
            _publish(unfinished, self._path)
            self._sync_name()
            before.unlink()
        except (lmdb.Error, OSError) as error:
            return WriteFailed(f"{self._path}: {error}; give the disk room or look at it")
        return Durable()

    def fits(self, more_bytes: int) -> bool:
        """Whether rows of so many bytes may come, so that what goes, and what must be kept of votes and
        views, still finds room: a change costs new pages before the old ones are free. As of the last keep;
        from any thread."""
        return self._used + more_bytes <= MAX_ITEM_SHARE * self._max_bytes

    def size(self) -> Size:
        """Bytes. Raises StorageError where the file cannot be looked at."""
        try:
            return Size(os.stat(self._path).st_size, _used(self._opened()), self._max_bytes)
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"{self._path}: {error}; look at the disk") from error

    def rows(self) -> Rows:
        """All rows. Raises StorageError where one cannot be read or has another checksum."""
        try:
            rows, findings, _ = _check_rows(self._opened())
        except (lmdb.Error, OSError) as error:
            raise StorageError(f"{self._path}: {error}; start again") from error
        if findings:
            raise StorageError(f"{self._path}: {findings[0]}; start again")
        return rows

    def verify(self) -> tuple[str, ...]:
        """What is wrong with the store as it lies on the disk, a line each; () where nothing is. Reads all of
        it."""
        findings = list(_check_pages(self._path))
        try:
            findings += _check_rows(self._opened())[1]
        except (lmdb.Error, OSError) as error:
            findings.append(str(error))
        return tuple(findings)

    def backup(self, to: Path) -> Durable | WriteFailed:
        """Copy the store, as it is now, to a folder that holds none yet; the copy opens like the store
        itself."""
        try:
            _make_folder(to)
            copy = to / NAME
            if copy.exists():
                return WriteFailed(f"{copy}: is there already; name another folder")
            unfinished = _unfinished(copy)
            unfinished.unlink(missing_ok=True)
            self._opened().copy(str(unfinished))
            _publish(unfinished, copy)
        except (lmdb.Error, OSError) as error:
            return WriteFailed(f"{to}: {error}; name a folder with room")
        return Durable()

    def close(self) -> None:
        """Let go of the file. Nothing is lost by not calling it."""
        if self._environment is not None:
            self._environment.close()
            self._environment = None

    def _sync_name(self) -> None:
        """Raises OSError."""
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


def _environment(path: Path, most_bytes: int) -> lmdb.Environment:
    # No lock file: one process has the file, and the machines' locks do nothing. No writable map: a write
    # through it would reach the file when the kernel likes, not when it is synced.
    return lmdb.open(str(path), map_size=most_bytes, subdir=False, lock=False, mode=0o640, readahead=False)


def _read(path: Path, most_bytes: int) -> Opened | Failed | _Damaged:
    """Check and open a store that is there. Raises OSError, or lmdb.Error for what is not the file's own
    fault."""
    # Before lmdb maps it: a page that is cut off would end the process at the first look.
    findings = _check_pages(path)
    if findings:
        return _Damaged(findings[0])
    environment = _environment(path, most_bytes)
    opened = False
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
            notes.append(f"moved on from layout {layout} to {layout + 1}")
        opened = True
    except lmdb.Error as error:
        if isinstance(error, _ENVIRONMENT_ERRORS):
            raise
        return _Damaged(str(error))
    finally:
        if not opened:
            environment.close()
    return Opened(DiskStore(path, most_bytes, environment), rows, tuple(notes))


def read_copy(folder: Path, most_bytes: int) -> Rows | Failed:
    """The rows of a copy, of this layout, which stays as it is; Failed where any of it is damaged."""
    path = folder / NAME
    try:
        findings = _check_pages(path)
        if findings:
            return Failed(f"{path}: {findings[0]}; take another copy")
        environment = lmdb.open(str(path), map_size=most_bytes, subdir=False, lock=False, readonly=True)
        try:
            rows, findings, head = _check_rows(environment)
        finally:
            environment.close()
    except (lmdb.Error, OSError) as error:
        return Failed(f"{path}: {error}; name the folder of a copy")
    if head is None or findings:
        return Failed(f"{path}: {findings[0]}; take another copy")
    if head.layout > LAYOUT:
        return Failed(f"{path}: layout {head.layout}, newest known {LAYOUT}; start the newer program")
    for layout in range(head.layout, LAYOUT):
        rows = MIGRATIONS[layout](rows)
    return rows


def _check_pages(path: Path) -> tuple[str, ...]:
    """What is wrong with the file's pages, found without lmdb. Raises OSError."""
    try:
        return tuple(str(finding) for finding in walk(str(path)))  # type: ignore[no-untyped-call]
    except VerifyError as error:
        return (str(error),)


def _check_rows(environment: lmdb.Environment) -> tuple[Rows, tuple[str, ...], Head | None]:
    """The rows, what is wrong with them by their checksums and by the head, and the head."""
    rows: Rows = {}
    findings = []
    total = 0
    with environment.begin() as transaction:
        for key, stored in transaction.cursor():
            if key == HEAD:
                continue
            value = unseal(key, stored)
            if not key.startswith(_ROW):
                findings.append(f"row {key.hex()}: not the store's own")
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
        findings.append(f"head row: of transaction {head.transaction}, the file is at {number}")
    if (head.count, head.total) != (len(rows), total % 2**64):
        findings.append(
            f"head row: {head.count} rows were kept, {len(rows)} good ones are here, or others are"
        )
    return rows, tuple(findings), head


def _write_all(environment: lmdb.Environment, layout: int, rows: Rows) -> None:
    """Put these rows and a head in place of all that is there, in one transaction, and sync it."""
    with environment.begin(write=True) as transaction:
        transaction.drop(environment.open_db(None, txn=transaction), delete=False)
        sealed = {_ROW + key: seal(_ROW + key, value) for key, value in rows.items()}
        for key, stored in sealed.items():
            transaction.put(key, stored)
        none = Head(layout=layout, transaction=0, count=0, total=0)
        transaction.put(HEAD, pack_head(none.after_change(transaction.id(), sealed.values(), ())))
    environment.sync(True)


def _create(path: Path, most_bytes: int) -> DiskStore:
    """An empty store under that name, there whole or not at all. Raises OSError, lmdb.Error."""
    unfinished = _unfinished(path)
    _write_store(unfinished, most_bytes, {})
    _publish(unfinished, path)
    return DiskStore(path, most_bytes, _environment(path, most_bytes))


def _write_store(unfinished: Path, most_bytes: int, rows: Rows) -> None:
    """A store of these rows under that name, in place of what is there. Raises OSError, lmdb.Error."""
    unfinished.unlink(missing_ok=True)
    environment = _environment(unfinished, most_bytes)
    try:
        _write_all(environment, LAYOUT, rows)
    finally:
        environment.close()


def _publish(unfinished: Path, path: Path) -> None:
    """Both names are for good before the one becomes the other, and the other after it."""
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
    """A second copy of the store that is put in another's place. It counts only where the first is gone:
    afterwards it is older than what was kept."""
    return path.with_name(path.name + ".before")


def _remove_leftovers(path: Path) -> None:
    """What a rewriting or a first start that was cut short left."""
    for left in (_unfinished(path), _spare(path)):
        left.unlink(missing_ok=True)


def _make_folder(folder: Path) -> None:
    """Makes it where it is missing; it, and those above that were made with it, are for good then."""
    made: list[Path] = []
    while not (made[-1].parent if made else folder).is_dir():
        made.append(made[-1].parent if made else folder)
    folder.mkdir(parents=True, exist_ok=True)
    for one in reversed(made):
        _sync_folder(one.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _asides(path: Path) -> list[Path]:
    """The stores set aside, the oldest first."""
    numbered = []
    for aside in path.parent.glob(f"{path.name}.aside-*"):
        number = aside.name.rpartition("-")[2]
        if number.isascii() and number.isdecimal():
            numbered.append((int(number), aside))
    return [aside for _, aside in sorted(numbered)]


def _set_aside(path: Path, most_bytes: int) -> Path:
    """Rename a damaged store and remove the oldest ones beyond MAX_ASIDES or beyond ``most_bytes`` in all;
    the newest stays whatever its size. Raises OSError."""
    _remove_leftovers(path)  # older than what the damaged one may have been the only one to hold
    _sync_folder(path.parent)
    asides = _asides(path)
    number = int(asides[-1].name.rpartition("-")[2]) + 1 if asides else 1
    moved_to = path.with_name(f"{path.name}.aside-{number}")
    os.rename(path, moved_to)
    _sync_folder(path.parent)
    asides.append(moved_to)
    while len(asides) > 1 and (
        len(asides) > MAX_ASIDES or sum(aside.stat().st_size for aside in asides) > most_bytes
    ):
        asides.pop(0).unlink()
    return moved_to
