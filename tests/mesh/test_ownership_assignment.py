"""The assignment of keys: all are covered, fences rise, moves are few, and busy keys are spread."""

from __future__ import annotations

import random
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mesh.ownership.assignment import MAX_IMBALANCE, Candidate, Release, empty_map, next_map
from mesh.ownership.key_load import KeyLoad
from mesh.ownership.key_map import BUCKET, KEYS, KeyMap, Row, read_key, read_map, write_map

EVENLY = KeyLoad().cumulative_shares()


def names(count: int) -> dict[str, Candidate]:
    return {f"i-{number}": Candidate(4.0, eligible=True) for number in range(count)}


def stepped(
    key_map: KeyMap,
    candidates: dict[str, Candidate],
    cumulative: Sequence[float] = EVENLY,
    releases: Sequence[Release] = (),
    balanced: bool = False,
    lease_expired: bool = False,
) -> KeyMap:
    """The next version; the same if nothing changes."""
    found = next_map(key_map, candidates, cumulative, releases, lambda _: lease_expired, balanced)
    if found is None:
        return key_map
    return read_map(key_map.version + 1, write_map(*found))  # also checks that all keys are covered


def loads(key_map: KeyMap, cumulative: Sequence[float]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for row in key_map.rows:
        share = cumulative[(row.last + 1) // BUCKET] - cumulative[row.first // BUCKET]
        shares[row.final_holder] = shares.get(row.final_holder, 0.0) + share
    return shares


def released(key_map: KeyMap) -> list[Release]:
    return [
        Release(row.holder, row.first, row.last, row.fence, "handed") for row in key_map.rows if row.leaving
    ]


def test_the_first_map_gives_all_keys_out_evenly() -> None:
    key_map = stepped(empty_map(), names(7))
    sizes = [sum(row.key_count for row in key_map.rows_held_by(name)) for name in names(7)]
    assert sum(sizes) == KEYS and max(sizes) - min(sizes) <= 7 * BUCKET
    assert stepped(key_map, names(7)) is key_map


def test_each_grant_has_a_fence_above_all_before() -> None:
    key_map, highest = stepped(empty_map(), names(5)), 0
    draw = random.Random(1)
    for _ in range(30):
        before = {(row.first, row.last): row.fence for row in key_map.rows}
        candidates = names(5)
        candidates[f"i-{draw.randrange(5)}"] = Candidate(4.0, eligible=False)
        key_map = stepped(key_map, candidates, releases=released(key_map))
        assert key_map.last_fence >= highest
        for row in key_map.rows:
            if row.fence not in before.values():
                assert row.fence > highest
        highest = key_map.last_fence


def test_a_row_that_leaves_stays_leaving_until_its_holders_word_or_the_wait() -> None:
    candidates = names(3)
    key_map = stepped(empty_map(), candidates)
    gone = {name: one for name, one in candidates.items() if name != "i-1"}
    leaving = stepped(key_map, gone)
    (row,) = leaving.rows_held_by("i-1")
    assert row.leaving and row.next_holder in gone
    back = stepped(leaving, candidates)  # it returns too late
    assert back.rows_held_by("i-1")[0].leaving
    wrong = Release("i-1", row.first, row.last, row.fence - 1, "")
    assert stepped(leaving, gone, releases=[wrong]).rows_held_by("i-1")
    short = Release("i-1", row.first, row.last - BUCKET, row.fence, "")
    assert stepped(leaving, gone, releases=[short]).rows_held_by("i-1")
    moved = stepped(leaving, gone, releases=released(leaving))
    assert not moved.rows_held_by("i-1") and moved.row_for_key(row.first).holder == row.next_holder
    assert moved.row_for_key(row.first).handover == "handed"
    assert not stepped(leaving, gone, lease_expired=True).rows_held_by("i-1")


def test_with_nobody_left_rows_are_nobodys_and_the_next_one_has_them() -> None:
    key_map = stepped(stepped(empty_map(), names(2)), {}, lease_expired=True)
    key_map = stepped(key_map, {}, lease_expired=True)
    assert all(row.vacant for row in key_map.rows)
    assert stepped(key_map, names(1)).row_for_key(0).holder == "i-0"


@pytest.mark.parametrize("hot", [0, 30000, 63000])
def test_busy_keys_are_spread_and_few_keys_are_moved_for_it(hot: int) -> None:
    load, draw = KeyLoad(), random.Random(2)
    keys = [min(hot + int(2000 * draw.random() ** 2), KEYS - 1) for _ in range(5000)]
    load.add(0.0, [(key // BUCKET, 1.0) for key in keys])
    cumulative, candidates = load.cumulative_shares(), names(10)
    key_map = stepped(empty_map(), candidates)
    moved = 0
    for _ in range(40):
        after = stepped(key_map, candidates, cumulative, released(key_map), balanced=True)
        moved += sum(row.key_count for row in after.rows if row.leaving)
        key_map = after
    assert not any(row.leaving for row in key_map.rows)
    assert max(loads(key_map, cumulative).values()) <= 0.1 * MAX_IMBALANCE + 0.05
    assert moved <= 0.2 * KEYS


def test_one_hot_key_is_not_moved_to_and_fro() -> None:
    load = KeyLoad()
    load.add(0.0, [(100, 4000.0), (2000, 500.0)])
    candidates, cumulative = names(4), load.cumulative_shares()
    key_map = stepped(empty_map(), candidates)
    for _ in range(20):
        key_map = stepped(key_map, candidates, cumulative, released(key_map), balanced=True)
    assert stepped(key_map, candidates, cumulative, balanced=True) is key_map
    assert key_map.row_for_key(2000 * BUCKET).holder != key_map.row_for_key(100 * BUCKET).holder


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans(), st.booleans()), max_size=30), st.randoms())
def test_whatever_comes_and_goes_all_keys_are_covered_and_who_stays_keeps_what_it_has(
    steps: list[tuple[int, bool, bool]], draw: random.Random
) -> None:
    candidates, key_map = names(3), stepped(empty_map(), names(3))
    for number, eligible, lease_expired in steps:
        candidates[f"i-{number}"] = Candidate(1.0 + number, eligible)
        releases = [release for release in released(key_map) if draw.random() < 0.5]
        after = stepped(key_map, candidates, releases=releases, lease_expired=lease_expired)
        for row in key_map.rows:
            if row.holder and not row.leaving and candidates[row.holder].eligible:
                assert after.row_for_key(row.first).holder == row.holder
        key_map = after


def test_what_is_no_map_is_refused() -> None:
    valid = write_map(3, [Row(0, KEYS - 1, "i-1", 3)])
    assert read_map(1, valid).row_for_key(77).holder == "i-1"
    for rows in (
        [],
        [[0, 10, "", 0, None, ""]],
        [[5, KEYS - 1, "", 0, None, ""]],
        [[0, KEYS, "", 0, None, ""]],
    ):
        with pytest.raises((KeyError, TypeError, ValueError)):
            read_map(1, {**valid, "rows": rows})


@pytest.mark.parametrize(
    ("text", "key"), [("0", 0), ("65535", 65535), ("65536", None), ("-1", None), ("", None), (None, None)]
)
def test_a_key_is_a_number_below_65536(text: str | None, key: int | None) -> None:
    assert read_key(text) == key
