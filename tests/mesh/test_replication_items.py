"""The order of items: total on version and content, and the same in every process."""

from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.items import Item, canonical_content, outranks, same_content

VALUES = st.none() | st.dictionaries(st.sampled_from("ab"), st.sampled_from([0, 1, 1.0, True, "", None, [1]]))
ITEMS = st.builds(
    Item, st.just("k"), st.just("n"), st.integers(1, 2), VALUES, st.sampled_from("st"), st.integers(1)
)


@settings(max_examples=150)
@given(st.lists(ITEMS, min_size=3, max_size=3))
def test_rank_is_a_total_order_on_version_and_content(items: list[Item]) -> None:
    for a, b, c in permutations(items):
        assert outranks(a, b) + outranks(b, a) + same_content(a, b) == 1
        if outranks(a, b) and outranks(b, c):
            assert outranks(a, c)


def test_dropped_wins_at_its_version_only_and_stamps_count_for_nothing() -> None:
    tombstone, empty, newer = Item("k", "n", 2, None), Item("k", "n", 2, {}), Item("k", "n", 3, {})
    assert outranks(tombstone, empty) and outranks(newer, tombstone) and not outranks(empty, tombstone)
    assert same_content(empty, Item("k", "n", 2, {}, "s", 9))
    assert not same_content(tombstone, empty)


def test_canonical_bytes_ignore_the_order_of_keys_at_every_depth() -> None:
    there = Item("k", "n", 1, {"b": {"y": 1, "x": 2}, "a": 0})
    here = Item("k", "n", 1, {"a": 0, "b": {"x": 2, "y": 1}})
    assert canonical_content(there) == canonical_content(here) == b'{"a":0,"b":{"x":2,"y":1}}'
    assert not same_content(Item("k", "n", 1, {"a": 1}), Item("k", "n", 1, {"a": True}))
