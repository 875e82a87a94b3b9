"""Snapshots: whoever takes one over any giver, with links lost at any page, ends with the copy it was of; and
a store refuses one whose items are not those of its root."""

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.items import Item
from mesh.replication.snapshot import (
    MAX_INCOMING_SNAPSHOTS,
    MAX_OUTGOING_SNAPSHOTS,
    SNAPSHOT_PREFIX,
    IncomingSnapshots,
    limit_bytes,
)
from mesh.replication.store import Store
from mesh.replication.store_answers import DigestMismatch

PAGE = 7


def filled(source: str, count: int, size: int = 1) -> Store:
    store = Store(source, 10_000)
    for number in range(count):
        store.write("k", f"{number:04}", 1, {"v": "x" * size})
    return store


def copied(source: str, of: Store) -> Store:
    """The same content, by repair: another life's stamps, and a vector that claims nothing."""
    store = Store(source, 10_000)
    store.repair(of.items.values())
    return store


def asks(taker: Store, giver: Store, most: int = PAGE) -> bool:
    """One question and its answer; whether there is more."""
    lack = giver.delta_for(taker.vector, most, snapshots=True)
    changed = taker.merge_answer(lack.items, lack.vector)
    assert isinstance(changed, list)
    return lack.more


def snaps(store: Store) -> list[str]:
    return [entry for entry in store.vector if entry.startswith(SNAPSHOT_PREFIX)]


def test_who_lacks_most_gets_pages_by_key_and_the_vector_with_the_last() -> None:
    giver, taker = filled("g", 40), Store("t", 100)
    seen = []
    while asks(taker, giver):
        seen.append(taker.vector)
        assert "g" not in taker.vector and snaps(taker)
        assert [item.name for item in taker.items.values()] == sorted(i.name for i in taker.items.values())
    assert len(seen) == 5 and taker.items == giver.items and taker.vector == {"g": 40}
    assert not giver.has_updates(taker.vector)


def test_who_lacks_little_or_takes_none_gets_news() -> None:
    giver, taker = filled("g", 40), Store("t", 100)
    while asks(taker, giver):
        pass
    for number in range(15):
        giver.write("k", f"{number:04}", 2, {})
    lack = giver.delta_for(taker.vector, PAGE, snapshots=True)
    assert len(lack.items) == PAGE and not any(entry.startswith(SNAPSHOT_PREFIX) for entry in lack.vector)
    assert not any(entry.startswith(SNAPSHOT_PREFIX) for entry in giver.delta_for({}, PAGE).vector)


def test_what_the_giver_holds_and_does_not_claim_is_not_told_as_a_snapshot_again_and_again() -> None:
    giver, taker, author = filled("g", 5), Store("t", 100), filled("a", 60)
    giver.merge(author.items.values(), {})  # all of it, by another way than news
    giver.write("k", "last", 1, {"v": "last"})
    for _ in range(2 * len(author.items) // PAGE):
        if not asks(taker, giver):
            break
    assert ("k", "last") in taker.items and taker.vector["g"] == giver.vector["g"]
    giver.write("k", "later", 1, {})
    asked = 0
    while ("k", "later") not in taker.items:
        asks(taker, giver)
        asked += 1
        assert asked < 2 * len(author.items) // PAGE


def test_items_that_follow_what_is_claimed_are_claimed_with_them_and_others_are_not() -> None:
    store, author = Store("s", 100), filled("a", 9)
    items = list(author.items.values())
    assert store.contiguous_vector("a", 4, 3) == {}
    store.merge(items[:3], store.contiguous_vector("a", 1, 3))
    assert store.vector == {"a": 3}
    store.merge(items[5:], store.contiguous_vector("a", 6, 4))
    assert store.vector == {"a": 3}
    store.merge(items[3:6], store.contiguous_vector("a", 4, 3))
    assert store.vector == {"a": 6}


def test_what_changes_meanwhile_comes_after_the_moment() -> None:
    giver, taker = filled("g", 40), Store("t", 100)
    number = 0
    while asks(taker, giver):
        number += 1
        giver.write("k", "0000", 1 + number, {})
        giver.write("k", f"new{number}", 1, {})
        giver.write("k", "0039", 1 + number, None)
        assert number < 20
    assert taker.items == giver.items and taker.vector == giver.vector and not snaps(taker)


@settings(max_examples=100, deadline=None)
@given(st.data())
def test_any_giver_with_that_root_goes_on_whatever_is_lost_or_comes_twice(data: st.DataObject) -> None:
    first = filled("g", data.draw(st.integers(PAGE + 1, 60)))
    givers = [first, copied("h", first), copied("i", first)]
    taker = Store("t", 1000)
    late: list[tuple[list[Item], dict[str, int]]] = []
    pages = 0
    for _ in range(200):
        giver = data.draw(st.sampled_from(givers))
        what = data.draw(st.sampled_from(("well", "lost", "twice", "late", "changed")))
        if what == "changed":
            version = 1 + max(item.version for item in givers[0].items.values())
            for one in givers:
                one.merge([Item("k", "0003", version, {}, "w", version)], {"w": version})
        lack = giver.delta_for(taker.vector, PAGE, snapshots=True)
        pages += bool(lack.items)
        late.append((lack.items, lack.vector))
        if what == "lost":
            continue
        for _ in range(1 + (what == "twice")):
            assert isinstance(taker.merge_answer(lack.items, lack.vector), list)
        if what == "late":
            assert isinstance(taker.merge_answer(*data.draw(st.sampled_from(late))), list)
        if taker.digests.root() == giver.digests.root() and not lack.more:
            break
    assert taker.digests.root() == giver.digests.root()
    for one in givers:  # what the vector claims is held
        told = Store("u", 1000)
        told.merge(taker.items.values(), {})
        lack = one.delta_for(taker.vector, 1000)
        assert isinstance(told.merge_answer(lack.items, lack.vector), list)
        assert told.digests.root() == one.digests.root()


def test_a_link_lost_midway_costs_no_page_again() -> None:
    giver, taker = filled("g", 70), Store("t", 100)
    other = copied("h", giver)
    for _ in range(5):
        asks(taker, giver)
    rest = 0
    while True:
        lack = other.delta_for(taker.vector, PAGE, snapshots=True)
        taker.merge_answer(lack.items, lack.vector)
        rest += len(lack.items)
        if not lack.more:
            break
    assert rest == 35 and taker.digests.root() == giver.digests.root() and taker.vector == other.vector


def test_a_life_that_ends_midway_begins_anew_and_a_moment_that_is_gone_too() -> None:
    giver, taker = filled("g", 70), Store("t", 100)
    for _ in range(4):
        asks(taker, giver)
    again = Store("t2", 100)
    again.restore(taker.items.values(), taker.vector)
    assert not snaps(again) and len(again.items) == 4 * PAGE
    while asks(again, giver):
        pass
    assert again.items == giver.items
    for number in range(MAX_OUTGOING_SNAPSHOTS + 1):  # that others ask for, each another
        for name in range(PAGE + 1):
            giver.write("k", f"{name:04}", 2 + number, {})
        asks(Store(f"o{number}", 100), giver)
    while asks(taker, giver):
        pass
    assert taker.items == giver.items and not snaps(taker)


def test_what_does_not_have_its_root_is_told_and_its_vector_not_taken() -> None:
    giver, taker = filled("g", 3 * PAGE), Store("t", 100)
    asks(taker, giver)
    asks(taker, giver)
    last = giver.delta_for(taker.vector, PAGE, snapshots=True)
    harmed = [*last.items[:-1], Item("k", last.items[-1].name, 1, {"v": "?"}, "g", 3 * PAGE)]
    assert isinstance(taker.merge_answer(harmed, last.vector), DigestMismatch)
    assert "g" not in taker.vector and not snaps(taker)
    assert giver.has_updates(taker.vector)


def test_pages_are_bounded_in_bytes_and_one_item_goes_whatever_its_size() -> None:
    giver = filled("g", 30, size=1000)
    assert len(giver.delta_for({}, 100, max_bytes=5000).items) == 4
    assert len(giver.delta_for({}, 5, max_bytes=3000, snapshots=True).items) == 2
    assert len(limit_bytes(giver.items.values(), 1)) == 1
    for snapshots in (False, True):
        taker = Store("t", 100)
        for _ in range(100):
            lack = giver.delta_for(taker.vector, 5, 3000, snapshots)
            taker.merge_answer(lack.items, lack.vector)
            if not lack.more:
                break
        assert taker.items == giver.items and taker.vector == giver.vector


def test_moments_and_takings_are_bounded() -> None:
    giver = filled("g", 2 * PAGE)
    for number in range(5):
        for name in range(PAGE + 1):
            giver.write("k", f"{name:04}", 2 + number, {})
        asks(Store("t", 100), giver)
    assert len(giver._outgoing.roots()) == MAX_OUTGOING_SNAPSHOTS
    for _ in range(9):
        asks(Store("t", 100), giver)  # of one moment, for all that come
    assert len(giver._outgoing.roots()) == MAX_OUTGOING_SNAPSHOTS
    taking, taker = IncomingSnapshots(), Store("t", 100)
    items = [Item("k", "a", 1, {})]
    for number in range(MAX_INCOMING_SNAPSHOTS + 3):
        taking.add_page(f"{number:016x}", 1, items)
        taker.merge_answer(items, {f"{SNAPSHOT_PREFIX}{number:016x}": 1})
    assert not taking.has_begun(f"{0:016x}") and taking.has_begun(f"{MAX_INCOMING_SNAPSHOTS + 2:016x}")
    assert len(snaps(taker)) == MAX_INCOMING_SNAPSHOTS
