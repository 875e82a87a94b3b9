"""One store: the effects of writes and merges, the answers, and the bounds."""

from mesh.replication.items import Item
from mesh.replication.store import MAX_PAGED_ANSWERS, MAX_UNREFERENCED_SOURCES, PAGE_PREFIX, Store
from mesh.replication.store_answers import Delta, StoreFull


def pull(receiver: Store, sender: Store) -> list[Item]:
    delta = sender.delta_for(receiver.vector, 100)
    changed = receiver.merge(delta.items, delta.vector)
    assert isinstance(changed, list)
    return changed


def test_a_write_is_stamped_and_one_that_changes_nothing_uses_no_number() -> None:
    store = Store("s", 10)
    assert store.write("k", "a", 1, {"x": 1}) == Item("k", "a", 1, {"x": 1}, "s", 1)
    assert store.write("k", "a", 1, {"x": 1}) is None
    written = store.write_all([("k", "b", 1, {}), ("k", "a", 1, {"x": 1}), ("k", "b", 2, {})])
    assert isinstance(written, list)
    assert [(item.name, item.number) for item in written] == [("b", 2), ("b", 3)]
    assert store.vector == {"s": 3}


def test_a_tombstone_beats_an_older_set_item_that_comes_later() -> None:
    store = Store("s", 10)
    store.write("k", "a", 2, None)
    assert store.merge([Item("k", "a", 1, {}, "t", 1), Item("k", "a", 2, {}, "t", 2)], {"t": 2}) == []
    assert store.items["k", "a"].value is None
    assert store.write("k", "a", 3, {}) is not None


def test_equal_content_keeps_its_stamp_and_a_replaced_item_takes_the_peers() -> None:
    a, b = Store("a", 10), Store("b", 10)
    a.write("k", "same", 1, {})
    b.write("k", "same", 1, {})
    a.write("k", "both", 1, {})
    b.write("k", "both", 2, {})
    assert [item.name for item in pull(a, b)] == ["both"]
    assert a.items["k", "same"].source == "a" and a.items["k", "both"].source == "b"
    assert pull(b, a) == [] and not a.has_updates(b.vector) and not b.has_updates(a.vector)


def test_an_answer_holds_just_what_lies_above_the_vector_and_all_of_an_unknown_source() -> None:
    a, b = Store("a", 10), Store("b", 10)
    for name in "xyz":
        a.write("k", name, 1, {})
    b.write("k", "w", 1, {})
    pull(b, a)
    assert [item.name for item in b.delta_for({"a": 2}, 10).items] == ["w", "z"]
    assert b.delta_for({"b": 1}, 10) == Delta([a.items["k", n] for n in "xyz"], {"a": 3}, False)
    assert b.delta_for(b.vector, 10) == Delta([], {}, False)


def test_what_came_by_repair_is_answered_but_neither_claimed_nor_news() -> None:
    a, b = Store("a", 10), Store("b", 10)
    a.merge([Item("k", "x", 1, {}, "dead", 7)], {})
    assert a.delta_for(b.vector, 10) == Delta([a.items["k", "x"]], {}, False)
    assert not a.has_updates(b.vector)


def test_writes_stop_at_the_bound_whole_batches_and_merges_at_twice_it() -> None:
    store = Store("s", 2)
    assert store.write("k", "a", 1, None) is not None
    assert isinstance(store.write_all([("k", "b", 1, {}), ("k", "c", 1, {})]), StoreFull)
    assert set(store.items) == {("k", "a")} and store.vector == {"s": 1}
    assert isinstance(store.write_all([("k", "b", 1, {}), ("k", "b", 2, {})]), list)
    assert isinstance(store.write("k", "c", 1, {}), StoreFull)
    assert isinstance(store.write("k", "b", 3, None), Item)  # held items may change

    others = [Item("k", name, 1, {}, "t", number) for number, name in enumerate("cdef", 1)]
    full = store.merge(others, {"t": 4})
    assert full == StoreFull(
        "state: 6 items with these, at most 4: drop some and wait till they are forgotten"
    )
    assert len(store.items) == 2 and "t" not in store.vector
    assert store.merge(others[:2], {"t": 2}) == others[:2]
    assert isinstance(store.merge(others[2:], {"t": 4}), StoreFull)
    store.remove_tombstone(("k", "a"))
    assert store.merge(others[2:3], {"t": 3}) == others[2:3]


def test_only_tombstones_are_forgotten_and_peers_do_not_bring_them_back() -> None:
    a, b = Store("a", 10), Store("b", 10)
    a.write("k", "x", 1, {})
    a.write("k", "y", 1, None)
    pull(b, a)
    for store in (a, b):
        for name in ("x", "y", "absent"):
            store.remove_tombstone(("k", name))
        assert set(store.items) == {("k", "x")}
        leaves = [
            leaf
            for a in store.digests.children("")
            for b in store.digests.children(a)
            for leaf in store.digests.children(b)
        ]
        assert [key for leaf in leaves for key in store.digests.keys(leaf)] == [("k", "x")]
        assert store._arrived.keys() == store.items.keys()
    b.write("k", "x", 2, None)
    b.remove_tombstone(("k", "x"))
    assert b.items == {} and b.digests.children("") == {}
    assert not a.has_updates(b.vector) and pull(b, a) == []


def test_sources_without_items_leave_the_oldest_first_and_are_not_taught_again() -> None:
    a, b = Store("a", 10), Store("b", 10)
    lives = MAX_UNREFERENCED_SOURCES + 5
    for number in range(1, lives + 1):
        a.merge([Item("k", "x", number, {}, f"life{number}", 1)], {f"life{number}": 1})
    assert len(a.vector) == MAX_UNREFERENCED_SOURCES + 1 and "life4" not in a.vector and "life5" in a.vector
    pull(b, a)
    assert set(b.vector) == {f"life{lives}"}  # the only one with an item
    assert not a.has_updates(b.vector) and not b.has_updates(a.vector)
    a.write("k", "x", lives + 1, {})
    a.merge([Item("k", "x", lives + 2, {}, "z", 1)], {"z": 1})
    assert a.vector["a"] == 1 and a.has_updates(b.vector)  # it sends its own entry, since it waits for it
    pull(b, a)
    assert b.vector["a"] == 1 and not a.has_updates(b.vector)


def test_only_entries_that_no_item_bears_are_spare_and_never_the_own() -> None:
    store = Store("s", 10)
    store.write("k", "own", 1, {})
    store.merge([Item("k", "own", 2, {}, "t", 1)], {"t": 1, "back": 3})
    store.merge([Item("k", "x", 1, {}, "back", 4)], {"back": 4})  # has an item again
    for number in range(MAX_UNREFERENCED_SOURCES + 5):
        store.merge([], {f"life{number}": 1})
    assert {"s", "t", "back"} <= store.vector.keys() and len(store.vector) == MAX_UNREFERENCED_SOURCES + 3


def test_who_knows_a_source_hears_that_all_its_items_were_replaced() -> None:
    a, b, c = Store("a", 10), Store("b", 10), Store("c", 10)
    a.write("k", "x", 1, {})
    pull(c, a)
    a.write("k", "x", 2, {})
    b.write("k", "x", 3, {})
    pull(b, a)
    assert b.has_updates(c.vector)
    pull(c, b)
    assert c.vector == {"a": 2, "b": 1}


def test_a_late_answer_lowers_nothing_and_entries_of_pages_are_not_passed_on() -> None:
    store = Store("s", 10)
    store.merge([], {"t": 5, PAGE_PREFIX + "t": 7})
    store.merge([], {"t": 3})
    assert store.vector["t"] == 5
    asked = {"t": 5, PAGE_PREFIX + "t": 2}
    assert not store.has_updates(asked) and store.delta_for(asked, 10) == Delta([], {}, False)


def test_pages_under_way_are_bounded_and_the_latest_stay() -> None:
    store = Store("s", 10)
    for number in range(MAX_PAGED_ANSWERS):
        store.merge([], {f"{PAGE_PREFIX}{number}": 1})
    store.merge([], {f"{PAGE_PREFIX}0": 5})
    store.merge([], {f"{PAGE_PREFIX}0": 3, f"{PAGE_PREFIX}more": 1})  # the first one is late and duplicated
    assert len(store.vector) == MAX_PAGED_ANSWERS
    assert store.vector[f"{PAGE_PREFIX}0"] == 5 and f"{PAGE_PREFIX}1" not in store.vector
    store.merge([], {f"{PAGE_PREFIX}0": 0})
    assert len(store.vector) == MAX_PAGED_ANSWERS - 1


def test_a_new_life_keeps_stamps_and_begins_pages_anew() -> None:
    old = Store("old", 10)
    old.write("k", "a", 1, {})
    old.merge([Item("k", "b", 1, {}, "t", 4)], {PAGE_PREFIX + "t": 9})
    new = Store("new", 1)
    new.restore(old.items.values(), old.vector)
    assert (
        new.items == old.items
        and new.vector == {"old": 1}
        and new.digests.children("") == old.digests.children("")
    )
    assert new.delta_for({"old": 1}, 10).items == [old.items["k", "b"]]
    assert new.write("k", "a", 2, {}) == Item("k", "a", 2, {}, "new", 1)


def test_the_cost_of_an_answer_does_not_grow_with_the_store() -> None:
    class Counted(dict[tuple[str, str], Item]):
        reads = 0

        def __getitem__(self, key: tuple[str, str]) -> Item:
            self.reads += 1
            return super().__getitem__(key)

        def values(self):  # type: ignore[no-untyped-def]
            raise AssertionError("walks the store")

        items = __iter__ = values

    store = Store("s", 10_000)
    for number in range(5_000):
        store.write("k", str(number), 1, {})
    for version in range(2, 500):
        store.write("k", "hot", version, {})  # replaced stamps leave no entries behind
    asked = {"s": store.vector["s"] - 400}
    counted = store.items = Counted(store.items)
    assert [item.name for item in store.delta_for(asked, 100).items] == ["hot"]
    assert counted.reads == 1 and len(store._stamped["s"]) == 5_001
