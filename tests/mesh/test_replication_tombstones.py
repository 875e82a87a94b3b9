"""Collected tombstones: no older copy returns on any path, and the record is bounded."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.items import Item
from mesh.replication.store import Store
from mesh.replication.tombstones import (
    BUCKETS,
    ENTRIES_PER_BUCKET,
    CollectedTombstones,
    key_digest,
    read_rows,
)

KEYS = [("k", f"n{number}") for number in range(200)]


def test_an_older_copy_is_refused_and_one_that_is_held_goes() -> None:
    store, stale = Store("s", 10), Store("t", 10)
    for one in (store, stale):
        one.write("k", "x", 5, {})
        one.write("k", "y", 1, {})
    store.write("k", "x", 6, None)
    collected = CollectedTombstones()
    collected.add(("k", "x"), 6)
    for one in (store, stale):
        buckets, gone = one.merge_collected(collected.rows())
        assert (buckets, gone) == ([key_digest(("k", "x"))[:2]], [("k", "x")])
        assert one.merge_collected(collected.rows()) == ([], [])
        assert one.merge([Item("k", "x", 6, {}, "old", 1)], {"old": 1}) == []
        assert one.repair([Item("k", "x", 5, {}, "old", 1)]) == []
        assert set(one.items) == {("k", "y")}
        assert len(one.merge([Item("k", "x", 7, {}, "new", 1)], {})) == 1
        assert one.merge_collected(collected.rows()) == ([], []) and ("k", "x") in one.items


def test_a_record_is_bounded_and_its_watermark_tells_of_what_left_it() -> None:
    collected = CollectedTombstones()
    for version in range(3 * BUCKETS * ENTRIES_PER_BUCKET):
        collected.add(("k", f"n{version}"), version)
    rows = collected.rows()
    assert len(rows) == BUCKETS and all(len(left) <= ENTRIES_PER_BUCKET for _, left in rows.values())
    assert collected.version(("k", "n5")) == -1 and collected.watermark(("k", "n5")) >= 5
    last = 3 * BUCKETS * ENTRIES_PER_BUCKET - 1
    assert collected.version(("k", f"n{last}")) == collected.watermark(("k", f"n{last}")) == last


@settings(max_examples=50, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(KEYS), st.integers(0, 50), st.integers(0, 2)), max_size=300))
def test_records_that_told_each_other_are_equal_in_whatever_order(
    entries: list[tuple[tuple[str, str], int, int]],
) -> None:
    ones = [CollectedTombstones() for _ in range(3)]
    for key, version, at in entries:
        ones[at].add(key, version)
    a, b = CollectedTombstones(), CollectedTombstones()
    for one in ones:
        a.merge(one.rows())
    for one in (ones[2], ones[0], ones[1], ones[0]):
        b.merge(read_rows({bucket: list(row) for bucket, row in one.rows().items()}))
    assert a.root() == b.root() and a.rows() == b.rows()
    assert all(a.watermark(key) >= version for key, version, _ in entries)


@pytest.mark.parametrize(
    "value",
    [[], {"00": 3}, {"00": [1, {"11" * 8: 2}]}, {"0": [1, {}]}, {"00": ["1", {}]}, {"00": [1, {"00": "x"}]}],
)
def test_what_is_no_record_is_refused(value: object) -> None:
    with pytest.raises(ValueError):
        read_rows(value)


def test_a_store_that_starts_over_holds_nothing_and_lacks_what_it_stamped_itself() -> None:
    store = Store("s", 10)
    store.write("k", "x", 5, {})
    store.merge([Item("k", "y", 1, {}, "t", 4)], {"t": 4})
    collected = CollectedTombstones()
    collected.add(("k", "z"), 9)
    store.merge_collected(collected.rows())
    peer = Store("p", 10)
    peer.merge(list(store.items.values()), store.vector)
    assert sorted(store.reset("s/2")) == [("k", "x"), ("k", "y")]
    assert store.items == {} and store.vector == {} and store.digests.root() == "0" * 16
    assert store.collected_tombstones.root() == ""
    delta = peer.delta_for(store.vector, 10)
    assert {item.key for item in delta.items} == {("k", "x"), ("k", "y")}
    store.merge(delta.items, delta.vector)
    written = store.write("k", "z", 1, {})
    assert isinstance(written, Item) and (written.source, written.number) == ("s/2", 1)
    assert peer.has_updates(store.vector) is False and store.has_updates(peer.vector)
