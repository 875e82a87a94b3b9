"""Two copies find where they differ, in few steps and few bytes, and are mended from the newer."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.dissemination.pull_exchange import Exchange, pack
from mesh.replication.anti_entropy import (
    MAX_LEAVES,
    MAX_RANGES,
    DifferingLeaves,
    DifferingRanges,
    compare,
    items_under,
    plan_repair,
    read_leaves,
    read_ranges,
)
from mesh.replication.digest import DEPTH, DigestTree
from mesh.replication.items import Item, canonical_content
from mesh.replication.store import Store
from mesh.transport.frames import frame

FORGETS, KEEPS = True, False


def store_with_items(source: str, items: list[Item], vector: dict[str, int] | None = None) -> Store:
    store = Store(source, 40_000)
    store.merge(items, vector if vector is not None else {item.source: item.number for item in items})
    return store


def routes(count: int) -> list[Item]:
    value = {"kind": "idempotent", "predicate": {"prefix": "/x/"}, "response": {"plant": "p", "trials": 2}}
    return [Item("route", f"r{at}", 3, value, "w", at + 1) for at in range(count)]


def repaired(one: Store, other: Store, forgets: bool, turn: int = 0) -> tuple[int, int, int]:
    """One comparison, as two processes have it: frames, their bytes, items that changed on either side."""
    sent = [{"t": "digest", "roots": {"charter": one.digests.root()}}]
    if one.digests.root() == other.digests.root():
        return 1, len(frame(sent[0])), 0
    told, sides = {"": other.digests.children("")}, (one, other)
    sent.append({"t": "range", "s": "charter", "at": told})
    for step in range(DEPTH):
        here = sides[step % 2]
        found = compare(here.digests, read_ranges(told), turn)
        assert found is not None
        if isinstance(found, DifferingLeaves):
            there = sides[1 - step % 2]
            items = items_under(here, read_leaves(found.digests))
            sent.append({"t": "mend", "leaves": found.digests, "items": [pack(i) for i in items]})
            mending = plan_repair(there, found.digests, items, forgets)
            sent.append({"t": "mended", "items": [pack(item) for item in mending.send]})
            changed = 0
            for store, taken in ((there, mending.fetch), (here, mending.send)):
                mended = store.repair(taken)
                assert isinstance(mended, list)
                changed += len(mended)
            return len(sent), sum(len(frame(head)) for head in sent), changed
        told = found.ranges
        sent.append({"t": "range", "s": "charter", "at": told})
    raise AssertionError("no leaf was reached")


def same(one: Store, other: Store) -> bool:
    return {k: (i.version, canonical_content(i)) for k, i in one.items.items()} == {
        k: (i.version, canonical_content(i)) for k, i in other.items.items()
    }


@pytest.mark.parametrize("how", ["older", "absent", "other content"])
@pytest.mark.parametrize("where", [0, 1])
def test_one_of_ten_thousand_is_found_in_three_round_trips_and_few_bytes(how: str, where: int) -> None:
    items = routes(10_000)
    odd = items[4711]
    others = [item for item in items if item is not odd]
    if how == "older":
        others.append(Item("route", odd.name, 2, {}, "w", odd.number))
    elif how == "other content":
        others.append(Item("route", odd.name, 3, {"a": 1}, "w", odd.number))
    pair = [store_with_items("a", items, {"w": 10_000}), store_with_items("b", others, {"w": 10_000})]
    one, other = pair if where == 0 else pair[::-1]
    count, size, changed = repaired(one, other, KEEPS)
    assert (count, changed) == (6, 1) and size < 4096, size
    assert same(one, other)
    assert repaired(one, other, KEEPS)[0] == 1 and repaired(one, other, KEEPS)[1] < 80


def test_what_was_mended_reaches_those_who_ask_though_their_vectors_had_counted_it() -> None:
    items = routes(3)
    lacking = store_with_items("b", items[:2], {"w": 3})
    reader = store_with_items("s", items[:2], {"w": 3})
    asks, answers = Exchange({"charter": reader}), Exchange({"charter": lacking})
    answers.record_pull(asks.pull_request(), "s")
    assert answers.answer(True) is None
    repaired(store_with_items("a", items), lacking, KEEPS)
    told = answers.answer(True)
    assert told is not None
    asks.merge_answer(told)
    assert items[2].key in reader.items


names = st.sampled_from([f"n{at}" for at in range(40)])
values = st.sampled_from([None, {"a": 1}, {"a": 2}])
copies = st.dictionaries(names, st.tuples(st.integers(1, 3), values), max_size=30)


def store_of(source: str, copy: dict[str, tuple[int, Any]]) -> Store:
    items = [
        Item("k", name, version, value, source + "w", at)
        for at, (name, (version, value)) in enumerate(copy.items(), 1)
    ]
    return store_with_items(source, items)


@settings(max_examples=120)
@given(copies, copies)
def test_any_two_copies_end_as_a_merge_of_both_has_it_and_then_fall_silent(one: Any, other: Any) -> None:
    a, b, merged = store_of("a", one), store_of("b", other), store_of("c", one)
    merged.merge(list(store_of("b", other).items.values()), {})
    for turn in range(4):
        if repaired(a, b, KEEPS, turn)[0] == 1:
            break
    assert same(a, b) and same(a, merged)


@settings(max_examples=120)
@given(copies, copies)
def test_a_drop_that_one_side_has_forgotten_does_not_come_back(one: Any, other: Any) -> None:
    a, b = store_of("a", one), store_of("b", other)
    lone = {
        key
        for x, y in ((a, b), (b, a))
        for key, i in x.items.items()
        if i.value is None and key not in y.items
    }
    for turn in range(4):
        if repaired(a, b, FORGETS, turn)[2] == 0:
            break
    for key in lone:
        assert (key in a.items) != (key in b.items)
    for key in (a.items.keys() | b.items.keys()) - lone:
        assert canonical_content(a.items[key]) == canonical_content(b.items[key])


def test_copies_that_differ_everywhere_are_mended_bit_by_bit_within_the_bounds_of_a_frame() -> None:
    one, other = store_with_items("a", routes(6000)), Store("b", 40_000)
    before, turn, most = 0, 0, 0
    while not same(one, other):
        count, size, changed = repaired(one, other, KEEPS, turn)
        assert count == 6 and changed > 0
        before, turn, most = before + changed, turn + 1, max(most, size)
    assert before == 6000 and turn < 100 and most < 100_000


def test_only_so_many_ranges_and_leaves_are_gone_into_and_other_ones_the_next_time() -> None:
    one, other = store_with_items("a", routes(6000)), Store("b", 40_000)
    level = compare(other.digests, {"": one.digests.children("")}, 0)
    assert isinstance(level, DifferingRanges) and len(level.ranges) == MAX_RANGES == 16
    seen: set[str] = set()
    for turn in range(16):
        deeper = compare(other.digests, {p: one.digests.children(p) for p in "0123456789abcdef"}, turn)
        assert isinstance(deeper, DifferingRanges) and len(deeper.ranges) == MAX_RANGES
        seen |= deeper.ranges.keys()
    assert len(seen) == 256
    leaves = compare(other.digests, {f"a{d}": one.digests.children(f"a{d}") for d in "0123456789abcdef"}, 1)
    assert isinstance(leaves, DifferingLeaves) and len(leaves.digests) == MAX_LEAVES


def test_two_contents_of_one_version_are_told_and_one_of_them_wins_on_both_sides() -> None:
    one = store_with_items("a", [Item("route", "r", 3, {"a": 1}, "w", 1)])
    other = store_with_items("b", [Item("route", "r", 3, {"a": 2}, "w", 1)])
    leaf = next(iter(other.digests._leaves))
    told = plan_repair(one, {leaf: "0" * 16}, items_under(other, [leaf]), KEEPS)
    assert [item.name for item in told.conflicting] == ["r"] and len(told.fetch) + len(told.send) == 1
    repaired(one, other, KEEPS)
    assert same(one, other) and one.items["route", "r"].value == {"a": 2}


def test_a_tree_that_is_wrong_is_told_and_nothing_is_sent_for_it() -> None:
    one, other = store_with_items("a", routes(50)), store_with_items("b", routes(50))
    key = one.items["route", "r7"].key
    one.digests.update(one.items[key], Item(*key, 3, {"rotten": 1}))  # the item itself is as it was
    leaf = next(leaf for leaf, keys in other.digests._leaves.items() if key in keys)
    digests = {leaf: other.digests.children(leaf[:-1])[leaf]}
    told = plan_repair(one, digests, items_under(other, [leaf]), KEEPS)
    assert (told.fetch, told.send, told.inconsistent_leaves) == ([], [], [leaf])
    well = plan_repair(store_with_items("c", routes(50)), digests, items_under(other, [leaf]), KEEPS)
    assert (well.fetch, well.send, well.inconsistent_leaves) == ([], [], [])


@pytest.mark.parametrize(
    "told",
    [
        None,
        {},
        {"abc": {}},
        {"g": {}},
        {"": []},
        {"": {"ab": "0"}},
        {"a": {"b0": "0"}},
        {"a": {"": "0"}},
        {"": {}, "a": {}},
        {f"{at:02x}": {} for at in range(17)},
    ],
)
def test_what_is_no_range_is_not_gone_into(told: Any) -> None:
    with pytest.raises((ValueError, TypeError)):
        read_ranges(told)


@pytest.mark.parametrize("told", [None, {"ab": ""}, {"abg": ""}, {f"{at:03x}": "" for at in range(65)}])
def test_what_are_no_leaves_are_not_mended(told: Any) -> None:
    with pytest.raises(ValueError):
        read_leaves(told)


def test_an_empty_tree_compares_with_a_full_one() -> None:
    assert compare(DigestTree(), {"": {}}, 0) is None
