"""Rows of the store: what is packed comes back, and what is none of ours is told."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waterworks.aquifer.items import Item
from waterworks.cistern import layout

WORDS = st.text(max_size=40)
JSON: st.SearchStrategy[Any] = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | WORDS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(WORDS, inner, max_size=3),
    max_leaves=8,
)
ITEMS = st.builds(
    Item,
    kind=WORDS,
    name=WORDS | st.just("n" * 5000),
    version=st.integers(0, 2**53),
    value=st.none() | st.dictionaries(WORDS, JSON, max_size=4),
    source=WORDS,
    number=st.integers(0, 2**53),
)


@settings(max_examples=60, deadline=None)
@given(
    st.lists(ITEMS, max_size=6, unique_by=lambda item: (item.kind, item.name)),
    st.dictionaries(WORDS, st.integers(0, 2**53)),
)
def test_items_vector_and_marker_come_back(items: list[Item], vector: dict[str, int]) -> None:
    rows = dict([*map(layout.pack_item, items), layout.pack_vector(vector), layout.pack_whole(True)])
    assert len(rows) == len(items) + 2
    assert all(0 < len(key) <= layout.MOST_KEY_BYTES for key in rows)
    held = layout.held(rows)
    assert sorted(held.items, key=repr) == sorted(items, key=repr)
    assert (held.vector, held.whole) == (vector, True)


def test_a_disk_without_the_marker_is_not_complete() -> None:
    assert not layout.held({}).whole
    assert not layout.held(dict([layout.pack_whole(False)])).whole


def test_rows_of_another_making_are_told() -> None:
    item = Item(kind="route", name="a", version=1, value={}, source="one", number=1)
    key, value = layout.pack_item(item)
    other = layout.pack_item(Item(kind="route", name="b", version=1, value={}, source="one", number=1))[0]
    for rows in ({other: value}, {key: b"{"}, {key: b'"\xff"'}, {b"vector": b"[]"}, {b"unheard": b""}):
        with pytest.raises(layout.CisternError, match="row"):
            layout.held(rows)


def test_a_checksum_tells_key_from_value() -> None:
    assert layout.unseal(b"key", layout.seal(b"key", b"value")) == b"value"
    assert layout.unseal(b"keyv", layout.seal(b"key", b"value")[:8] + b"alue") is None
    assert layout.unseal(b"key", b"short") is None
