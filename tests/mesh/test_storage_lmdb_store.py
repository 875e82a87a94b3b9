"""The store: durable rows survive any power failure, or the store reports that they are lost."""

import os
import resource
from collections.abc import Callable
from pathlib import Path
from typing import Any

import lmdb
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from mesh.storage import layout, lmdb_store
from mesh.storage.lmdb_store import (
    NAME,
    DiskStore,
    Durable,
    Failed,
    Fresh,
    Opened,
    SetAside,
    WriteFailed,
    max_store_bytes,
)

PAGE = 4096
MOST = 1 << 20
FIRST = {b"route": b"a" * 100, b"large": os.urandom(3 * PAGE), b"small": b""}
SECOND = {**FIRST, b"route": b"b" * 150, b"late": b"c" * 2000}


def create_store(folder: Path, rows: dict[bytes, bytes], most: int = MOST) -> DiskStore:
    found = DiskStore.open(folder, most)
    assert isinstance(found, Fresh)
    assert found.disk_store.write(list(rows.items())) == Durable()
    return found.disk_store


def reopen(folder: Path) -> Opened | Fresh | SetAside | Failed:
    found = DiskStore.open(folder, MOST)
    if not isinstance(found, Failed):
        found.disk_store.close()
    return found


@pytest.fixture(scope="module")
def states(tmp_path_factory: pytest.TempPathFactory) -> tuple[bytes, bytes]:
    """The file's bytes after FIRST was written, and after SECOND was written over it."""
    folder = tmp_path_factory.mktemp("states")
    disk_store = create_store(folder, FIRST)
    before = (folder / NAME).read_bytes()
    disk_store.write([(b"route", SECOND[b"route"]), (b"late", SECOND[b"late"])])
    disk_store.close()
    return before, (folder / NAME).read_bytes()


def meta(data: bytes, newest: bool) -> int:
    """The number of the newer or older meta page; the transaction number is at byte 144 of the page."""
    numbers = [int.from_bytes(data[page * PAGE + 144 : page * PAGE + 152], "little") for page in (0, 1)]
    return numbers.index(max(numbers) if newest else min(numbers))


def test_a_start_finds_what_was_kept_and_not_what_was_dropped(tmp_path: Path) -> None:
    disk_store = create_store(tmp_path / "state", FIRST)
    assert (
        disk_store.write(
            [(b"route", b"x"), (b"route", b"y"), (b"small", b"z")], [b"large", b"none", b"small"]
        )
        == Durable()
    )
    expected = {b"route": b"y", b"small": b"z"}
    assert disk_store.rows() == expected
    assert disk_store.verify() == ()
    disk_store.close()
    found = DiskStore.open(tmp_path / "state", MOST)
    assert isinstance(found, Opened)
    assert (found.rows, found.notes, found.disk_store.rows()) == (expected, (), expected)
    assert os.listdir(tmp_path / "state") == [NAME]


def test_power_lost_within_a_keep_leaves_the_rows_before_it(
    tmp_path: Path, states: tuple[bytes, bytes]
) -> None:
    """lmdb writes pages, syncs, writes the meta page, and syncs: each write in turn is torn, and the later
    ones are missing."""
    before, after = states
    size = max(len(before), len(after))
    before = before.ljust(size, b"\0")
    newest = meta(after, newest=True)
    changed = [
        page for page in range(2, size // PAGE) if before[page * PAGE :][:PAGE] != after[page * PAGE :][:PAGE]
    ]
    assert len(changed) >= 2
    disk = bytearray(before)
    for page in (*changed, newest):
        for cut in (0, 8, 24, 120, 148, 2000, PAGE):
            start = page * PAGE
            disk[start : start + cut] = after[start : start + cut]
            (tmp_path / NAME).write_bytes(disk)
            found = reopen(tmp_path)
            assert isinstance(found, Opened), (page, cut, found)
            complete = page == newest and cut > 144
            assert found.rows == (SECOND if complete else FIRST), (page, cut)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.data())
def test_pages_of_two_times_are_one_of_them_or_set_aside(
    tmp_path_factory: pytest.TempPathFactory, states: tuple[bytes, bytes], data: st.DataObject
) -> None:
    """A disk that reorders writes across syncs: any mixture of old and new pages."""
    folder = tmp_path_factory.mktemp("mixed")
    before, after = states
    disk = bytearray(after)
    for page in data.draw(st.sets(st.integers(0, len(after) // PAGE - 1))):
        old = before[page * PAGE :][:PAGE].ljust(PAGE, b"\0")
        cut = data.draw(st.sampled_from((PAGE, 144, 148, 512)))
        disk[page * PAGE : page * PAGE + cut] = old[:cut]
    (folder / NAME).write_bytes(disk)
    found = reopen(folder)
    if isinstance(found, Opened):
        newest = disk[PAGE * meta(after, True) :][:PAGE] == after[PAGE * meta(after, True) :][:PAGE]
        assert found.rows == SECOND if newest else found.rows in (FIRST, SECOND)
    else:
        assert isinstance(found, SetAside)


def damaged_files(after: bytes) -> dict[str, bytes]:
    newest, older = meta(after, True), meta(after, False)
    at = after.index(SECOND[b"late"])
    return {
        "byte of a row": after[: at + 7] + b"?" + after[at + 8 :],
        "newest meta page zeroed": after[: newest * PAGE] + bytes(PAGE) + after[(newest + 1) * PAGE :],
        "newest meta page is the older": after[: newest * PAGE]
        + after[older * PAGE :][:PAGE][:144]
        + after[newest * PAGE + 144 :],
        "empty": b"",
        "no store at all": b"x" * 3 * PAGE,
    }


@pytest.mark.parametrize(
    "harm",
    ["byte of a row", "newest meta page zeroed", "newest meta page is the older", "empty", "no store at all"],
)
def test_a_damaged_store_is_set_aside_and_told(
    tmp_path: Path, states: tuple[bytes, bytes], harm: str
) -> None:
    _, after = states
    damaged = damaged_files(after)[harm]
    (tmp_path / NAME).write_bytes(damaged)
    found = DiskStore.open(tmp_path, MOST)
    assert isinstance(found, SetAside), found
    assert found.moved_to == tmp_path / f"{NAME}.aside-1"
    assert found.moved_to.read_bytes() == damaged
    assert found.reason
    assert found.disk_store.rows() == {}
    assert found.disk_store.write([(b"again", b"1")]) == Durable()


def test_a_file_cut_at_any_page_is_whole_or_set_aside(tmp_path: Path, states: tuple[bytes, bytes]) -> None:
    _, after = states
    set_aside_count = 0
    for pages in range(len(after) // PAGE):
        (tmp_path / NAME).write_bytes(after[: pages * PAGE])
        found = reopen(tmp_path)
        assert isinstance(found, SetAside) or (isinstance(found, Opened) and found.rows == SECOND)
        set_aside_count += isinstance(found, SetAside)
    assert set_aside_count >= 3


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_any_flipped_byte_is_harmless_or_set_aside(
    tmp_path_factory: pytest.TempPathFactory, states: tuple[bytes, bytes], data: st.DataObject
) -> None:
    folder = tmp_path_factory.mktemp("flipped")
    _, after = states
    at = data.draw(st.integers(0, len(after) - 1))
    # Meta pages, branch headers and leaf headers are few of the bytes but the most critical ones.
    at = data.draw(
        st.sampled_from((at, at % (2 * PAGE), at // PAGE * PAGE + at % 64, at % 200 + at % 2 * PAGE))
    )
    flipped = bytearray(after)
    flipped[at] ^= data.draw(st.integers(1, 255))
    (folder / NAME).write_bytes(flipped)
    found = reopen(folder)
    assert isinstance(found, SetAside) or (isinstance(found, Opened) and found.rows == SECOND)


def test_verify_finds_a_flipped_byte_by_the_checksum_alone(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk_store = create_store(tmp_path, SECOND)
    intact = (tmp_path / NAME).read_bytes()
    at = intact.index(SECOND[b"late"])
    with open(tmp_path / NAME, "r+b") as file:
        file.seek(at)
        file.write(b"?")
    with monkeypatch.context() as patch:
        patch.setattr(lmdb_store, "unseal", lambda key, stored: stored[8:])
        assert disk_store.verify() == ()
    assert any("checksum differs" in finding for finding in disk_store.verify())
    with pytest.raises(layout.StorageError):
        disk_store.rows()


def test_a_row_that_went_missing_is_found_by_the_head(tmp_path: Path) -> None:
    create_store(tmp_path, SECOND).close()
    environment = lmdb.open(str(tmp_path / NAME), subdir=False, lock=False)
    with environment.begin(write=True) as transaction:
        head = layout.unpack_head(transaction.get(layout.HEAD))
        assert isinstance(head, layout.Head)
        transaction.delete(b"rlate")
        transaction.put(layout.HEAD, layout.pack_head(head.after_change(transaction.id(), (), ())))
    environment.close()
    assert isinstance(reopen(tmp_path), SetAside)


def test_a_full_store_refuses_and_keeps_what_it_had(tmp_path: Path) -> None:
    disk_store = create_store(tmp_path, FIRST, most=64 * PAGE)
    expected = dict(FIRST)
    for number in range(100):
        row = (b"more-%d" % number, os.urandom(2 * PAGE))
        outcome = disk_store.write([row])
        if isinstance(outcome, WriteFailed):
            break
        expected.update([row])
    assert isinstance(outcome, WriteFailed) and "full" in outcome.reason
    assert (tmp_path / NAME).stat().st_size <= 64 * PAGE
    assert disk_store.rows() == expected
    assert disk_store.verify() == ()
    assert disk_store.write([(b"route", b"again")], [b"more-0"]) == Durable()


def test_a_file_stays_bounded_under_changes_and_shrinks_when_written_anew(tmp_path: Path) -> None:
    most = 4 << 20
    disk_store = create_store(tmp_path, {b"i%04d" % n: os.urandom(200) for n in range(1000)}, most=most)
    first = disk_store.size()
    for version in range(400):
        rows = [(b"i%04d" % (version * 7 % 1000), os.urandom(200)), (b"vote%d" % version, os.urandom(200))]
        assert disk_store.write(rows, [b"vote%d" % (version - 1)]) == Durable()
    after = disk_store.size()
    assert after.used <= 1.5 * first.used and after.file <= 2 * first.file
    assert disk_store.fits(0) and not disk_store.fits(most)
    rest = {b"i%04d" % n: b"1" for n in range(20)}
    assert disk_store.write([], [key for key in disk_store.rows() if key not in rest]) == Durable()
    assert disk_store.size().file > 10 * disk_store.size().used
    assert disk_store.rewrite(rest) == Durable()
    assert disk_store.size().file < first.file / 10 and disk_store.rows() == rest
    assert os.listdir(tmp_path) == [NAME]


def test_rows_that_go_find_room_where_what_is_set_finds_none(tmp_path: Path) -> None:
    disk_store = create_store(tmp_path, {}, most=1 << 20)
    keys = []
    while disk_store.fits(300):
        keys.append(b"k%05d" % len(keys))
        assert disk_store.write([(keys[-1], os.urandom(250))]) == Durable()
    assert len(keys) > 500
    for at in range(0, len(keys), 50):
        assert disk_store.write([(b"vector", os.urandom(3000))], keys[at : at + 50]) == Durable()
    assert disk_store.fits(300)


def test_a_disk_that_refuses_writes_is_told_and_serves_again(tmp_path: Path) -> None:
    disk_store = create_store(tmp_path, FIRST)
    previous_limit = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, ((tmp_path / NAME).stat().st_size, previous_limit[1]))
    try:
        outcome = disk_store.write([(b"late", os.urandom(40 * PAGE))])
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, previous_limit)
    assert isinstance(outcome, WriteFailed)
    assert disk_store.rows() == FIRST
    assert disk_store.write([(b"late", SECOND[b"late"]), (b"route", SECOND[b"route"])]) == Durable()
    disk_store.close()
    assert getattr(reopen(tmp_path), "rows", None) == SECOND


class FailingEnvironment:
    """An lmdb environment in which one call fails."""

    def __init__(self, real: Any, call: str, error: Exception) -> None:
        self.real, self.call, self.error = real, call, error

    def __getattr__(self, name: str) -> Any:
        if name != self.call:
            return getattr(self.real, name)

        def fail(*_: Any, **__: Any) -> Any:
            raise self.error

        return fail


@pytest.mark.parametrize("call", ["begin", "sync"])
def test_no_row_is_kept_before_the_disk_says_so(tmp_path: Path, call: str) -> None:
    disk_store = create_store(tmp_path, FIRST)
    disk_store._environment = FailingEnvironment(disk_store._environment, call, lmdb.DiskError("no"))  # type: ignore[assignment]
    assert isinstance(disk_store.write([(b"late", b"1")]), WriteFailed)
    assert disk_store.write([(b"late", b"1")]) == Durable()
    assert disk_store.rows() == {**FIRST, b"late": b"1"}


def test_keys_out_of_bounds_are_refused(tmp_path: Path) -> None:
    disk_store = create_store(tmp_path, {})
    longest = b"k" * layout.MAX_KEY_BYTES
    assert disk_store.write([(longest, b"v")]) == Durable()
    assert isinstance(disk_store.write([(longest + b"k", b"v")]), WriteFailed)
    assert isinstance(disk_store.write([(b"", b"v")]), WriteFailed)
    assert disk_store.rows() == {longest: b"v"}


@settings(max_examples=25, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.dictionaries(st.integers(0, 40), st.sampled_from((0, 30, 1500, 4100, 9000))),
            st.sets(st.integers(0, 40)),
        ),
        max_size=12,
    )
)
def test_any_order_of_keeps_and_drops_reads_back(
    tmp_path_factory: pytest.TempPathFactory, steps: list[tuple[dict[int, int], set[int]]]
) -> None:
    folder = tmp_path_factory.mktemp("order")
    disk_store = create_store(folder, {}, most=8 << 20)
    expected: dict[bytes, bytes] = {}
    for sizes, deleted in steps:
        rows = {b"%d" % key: bytes([key]) * size for key, size in sizes.items()}
        assert disk_store.write(list(rows.items()), [b"%d" % key for key in deleted]) == Durable()
        for key in deleted:
            expected.pop(b"%d" % key, None)
        expected.update(rows)
        assert disk_store.verify() == ()
    assert disk_store.rows() == expected


def test_a_backup_restored_equals_the_store(tmp_path: Path) -> None:
    disk_store = create_store(tmp_path / "state", FIRST)
    assert disk_store.backup(tmp_path / "copy") == Durable()
    assert isinstance(disk_store.backup(tmp_path / "copy"), WriteFailed)
    assert disk_store.write([(b"late", b"1")]) == Durable()
    found = DiskStore.open(tmp_path / "copy", MOST)
    assert isinstance(found, Opened) and found.rows == FIRST
    assert found.disk_store.write([(b"late", b"2")]) == Durable()


def test_asides_are_bounded_in_number_and_in_bytes(tmp_path: Path) -> None:
    def aside(size: int) -> Path:
        (tmp_path / NAME).write_bytes(b"x" * size)
        found = reopen(tmp_path)
        assert isinstance(found, SetAside)
        return found.moved_to

    create_store(tmp_path, {}).close()
    made = [aside(10) for _ in range(5)]
    assert sorted(tmp_path.glob("*.aside-*")) == made[2:]
    large = aside(MOST)
    assert list(tmp_path.glob("*.aside-*")) == [large]


@pytest.mark.parametrize("call", ["_create", "_publish"])
def test_a_setting_aside_cut_short_is_told_at_the_next_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    (tmp_path / NAME).write_bytes(b"torn")

    def crash(*_: object) -> None:
        raise OSError("power")

    with monkeypatch.context() as patch:
        patch.setattr(lmdb_store, call, crash)
        assert isinstance(DiskStore.open(tmp_path, MOST), Failed)
    found = DiskStore.open(tmp_path, MOST)
    assert isinstance(found, SetAside)
    assert found.moved_to.read_bytes() == b"torn"
    assert found.disk_store.write([(b"a", b"b")]) == Durable()


def test_a_first_start_cut_short_is_a_first_start_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    (tmp_path / (NAME + ".new")).write_bytes(b"torn")
    assert isinstance(reopen(tmp_path), Fresh)
    assert os.listdir(tmp_path) == [NAME]


def test_what_cannot_be_read_is_no_damage(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    create_store(tmp_path, SECOND).close()

    def refuse(*_: object) -> None:
        raise lmdb.DiskError("no")

    with monkeypatch.context() as patch:
        patch.setattr(lmdb_store, "_environment", refuse)
        assert isinstance(DiskStore.open(tmp_path, MOST), Failed)
    found = reopen(tmp_path)
    assert isinstance(found, Opened) and found.rows == SECOND


def rename_keys(rows: dict[bytes, bytes]) -> dict[bytes, bytes]:
    return {b"new-" + key: value for key, value in rows.items()}


def set_next_layout(
    patch: pytest.MonkeyPatch, move: Callable[[dict[bytes, bytes]], dict[bytes, bytes]]
) -> None:
    patch.setattr(lmdb_store, "LAYOUT", layout.LAYOUT + 1)
    patch.setitem(layout.MIGRATIONS, layout.LAYOUT, move)


def test_an_older_layout_is_moved_on_whole_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    create_store(tmp_path, FIRST).close()

    def crash(*_: Any, **__: Any) -> None:
        raise lmdb.DiskError("power")

    with monkeypatch.context() as patch:
        set_next_layout(patch, rename_keys)
        patch.setattr(lmdb_store, "pack_head", crash)  # the last row of the migration's transaction
        assert isinstance(DiskStore.open(tmp_path, MOST), Failed)
    found = reopen(tmp_path)
    assert isinstance(found, Opened) and found.rows == FIRST
    with monkeypatch.context() as patch:
        set_next_layout(patch, rename_keys)
        found = reopen(tmp_path)
        assert isinstance(found, Opened)
        assert found.rows == rename_keys(FIRST)
        assert found.notes == (f"migrated from layout {layout.LAYOUT} to {layout.LAYOUT + 1}",)
        found = reopen(tmp_path)
        assert isinstance(found, Opened) and found.rows == rename_keys(FIRST) and found.notes == ()


def test_a_newer_layout_is_left_alone(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        set_next_layout(patch, rename_keys)
        create_store(tmp_path, FIRST).close()
    data = (tmp_path / NAME).read_bytes()
    found = DiskStore.open(tmp_path, MOST)
    assert isinstance(found, Failed) and "newer program" in found.reason
    assert (tmp_path / NAME).read_bytes() == data
    assert os.listdir(tmp_path) == [NAME]


def test_room_is_half_the_disk_up_to_a_bound() -> None:
    assert max_store_bytes(256) == lmdb_store.MAX_MAP_BYTES
    assert max_store_bytes(100) == 50 << 20
    assert max_store_bytes(0.01) % PAGE == 0
