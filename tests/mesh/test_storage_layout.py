"""Rows of the store can be read back as they were packed; foreign rows raise StorageError."""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.acceptor import Ballot, Vote
from mesh.replication.items import Item
from mesh.replication.membership_epochs import VIEW, View, read_view
from mesh.replication.quorum import Place
from mesh.storage import layout

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
    rows = dict([*map(layout.pack_item, items), layout.pack_vector(vector), layout.pack_complete(True)])
    assert len(rows) == len(items) + 2
    assert all(0 < len(key) <= layout.MAX_KEY_BYTES for key in rows)
    state = layout.read_state(rows)
    assert sorted(state.items, key=repr) == sorted(items, key=repr)
    assert (state.vector, state.complete) == (vector, True)


def test_a_disk_without_the_marker_is_not_complete() -> None:
    assert not layout.read_state({}).complete
    assert not layout.read_state(dict([layout.pack_complete(False)])).complete


def test_rows_of_another_making_are_told() -> None:
    item = Item(kind="route", name="a", version=1, value={}, source="one", number=1)
    key, value = layout.pack_item(item)
    other = layout.pack_item(Item(kind="route", name="b", version=1, value={}, source="one", number=1))[0]
    for rows in ({other: value}, {key: b"{"}, {key: b'"\xff"'}, {b"vector": b"[]"}, {b"unheard": b""}):
        with pytest.raises(layout.StorageError, match="row"):
            layout.read_state(rows)


def test_a_checksum_tells_key_from_value() -> None:
    assert layout.unseal(b"key", layout.seal(b"key", b"value")) == b"value"
    assert layout.unseal(b"keyv", layout.seal(b"key", b"value")[:8] + b"alue") is None
    assert layout.unseal(b"key", b"short") is None


def test_what_an_acceptor_keeps_reads_back() -> None:
    votes = {
        ("route", "a", 7): Vote(Ballot(3, "life"), {"x": 1}, "tag"),
        ("route", "b", 1): Vote(Ballot(4, "life"), None),
    }
    history = layout.VersionHistory(("route", "a"), 2, {5: "digest", 6: "digest/tag", 4: "/tag"})
    rows = [layout.pack_vote(number, vote) for number, vote in votes.items()]
    rows += [
        layout.pack_history(history),
        layout.pack_ceiling(1 << 40),
        layout.pack_generations({"10.0.0.1": 2}),
    ]
    state = layout.read_state(dict(rows))
    assert state.votes == votes and state.histories == (history,)
    assert state.ceiling == 1 << 40 and state.generations == {"10.0.0.1": 2}
    for key, _ in rows:
        with pytest.raises(layout.StorageError, match="row"):
            layout.read_state({key: b'{"neither'})


def test_members_of_the_first_layout_become_the_view_of_epoch_1() -> None:
    def member(name: str, state: str, counted: bool = True) -> Item:
        value = {"zone": "z", "region": "", "counted": counted, "state": state}
        return Item(kind="member", name=name, version=2, value=value, source="s", number=1)

    route = Item(kind="route", name="a", version=1, value={}, source="s", number=4)
    items = [member("1", "counts"), member("2", "joins"), member("3", "counts", False), route]
    rows = layout.MIGRATIONS[1](dict([*map(layout.pack_item, items), layout.pack_complete(True)]))
    state = layout.read_state(rows)
    assert state.complete and {item.kind for item in state.items} == {"route", VIEW}
    view = next(item for item in state.items if item.kind == VIEW)
    assert read_view(view.version, view.value) == View(1, {"1": Place("z", "")})
    assert layout.MIGRATIONS[1]({}) == {}
