"""Snapshots: a receiver ends with the copy of the sender, whichever links are lost, and a store refuses a
snapshot whose items do not match its root digest."""

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


def store_with_items(source: str, count: int, size: int = 1) -> Store:
    store = Store(source, 10_000)
    for number in range(count):
        store.write("k", f"{number:04}", 1, {"v": "x" * size})
    return store


def copied(source: str, of: Store) -> Store:
    """The same content by repair: stamps of another incarnation, and a vector without entries for it."""
    store = Store(source, 10_000)
    store.repair(of.items.values())
    return store


def pull_page(receiver: Store, sender: Store, most: int = PAGE) -> bool:
    """Requests one answer and merges it; returns whether there is more."""
    delta = sender.delta_for(receiver.vector, most, snapshots=True)
    changed = receiver.merge_answer(delta.items, delta.vector)
    assert isinstance(changed, list)
    return delta.more


def snapshot_entries(store: Store) -> list[str]:
    return [entry for entry in store.vector if entry.startswith(SNAPSHOT_PREFIX)]


def test_who_lacks_most_gets_pages_by_key_and_the_vector_with_the_last() -> None:
    sender, receiver = store_with_items("g", 40), Store("t", 100)
    seen = []
    while pull_page(receiver, sender):
        seen.append(receiver.vector)
        assert "g" not in receiver.vector and snapshot_entries(receiver)
        assert [item.name for item in receiver.items.values()] == sorted(
            i.name for i in receiver.items.values()
        )
    assert len(seen) == 5 and receiver.items == sender.items and receiver.vector == {"g": 40}
    assert not sender.has_updates(receiver.vector)


def test_who_lacks_little_or_takes_none_gets_news() -> None:
    sender, receiver = store_with_items("g", 40), Store("t", 100)
    while pull_page(receiver, sender):
        pass
    for number in range(15):
        sender.write("k", f"{number:04}", 2, {})
    delta = sender.delta_for(receiver.vector, PAGE, snapshots=True)
    assert len(delta.items) == PAGE and not any(entry.startswith(SNAPSHOT_PREFIX) for entry in delta.vector)
    assert not any(entry.startswith(SNAPSHOT_PREFIX) for entry in sender.delta_for({}, PAGE).vector)


def test_what_the_giver_holds_and_does_not_claim_is_not_told_as_a_snapshot_again_and_again() -> None:
    sender, receiver, author = store_with_items("g", 5), Store("t", 100), store_with_items("a", 60)
    sender.merge(author.items.values(), {})  # all items, but not as updates
    sender.write("k", "last", 1, {"v": "last"})
    for _ in range(2 * len(author.items) // PAGE):
        if not pull_page(receiver, sender):
            break
    assert ("k", "last") in receiver.items and receiver.vector["g"] == sender.vector["g"]
    sender.write("k", "later", 1, {})
    asked = 0
    while ("k", "later") not in receiver.items:
        pull_page(receiver, sender)
        asked += 1
        assert asked < 2 * len(author.items) // PAGE


def test_items_that_follow_what_is_claimed_are_claimed_with_them_and_others_are_not() -> None:
    store, author = Store("s", 100), store_with_items("a", 9)
    items = list(author.items.values())
    assert store.contiguous_vector("a", 4, 3) == {}
    store.merge(items[:3], store.contiguous_vector("a", 1, 3))
    assert store.vector == {"a": 3}
    store.merge(items[5:], store.contiguous_vector("a", 6, 4))
    assert store.vector == {"a": 3}
    store.merge(items[3:6], store.contiguous_vector("a", 4, 3))
    assert store.vector == {"a": 6}


def test_what_changes_meanwhile_comes_after_the_moment() -> None:
    sender, receiver = store_with_items("g", 40), Store("t", 100)
    number = 0
    while pull_page(receiver, sender):
        number += 1
        sender.write("k", "0000", 1 + number, {})
        sender.write("k", f"new{number}", 1, {})
        sender.write("k", "0039", 1 + number, None)
        assert number < 20
    assert (
        receiver.items == sender.items and receiver.vector == sender.vector and not snapshot_entries(receiver)
    )


@settings(max_examples=100, deadline=None)
@given(st.data())
def test_any_giver_with_that_root_goes_on_whatever_is_lost_or_comes_twice(data: st.DataObject) -> None:
    first = store_with_items("g", data.draw(st.integers(PAGE + 1, 60)))
    senders = [first, copied("h", first), copied("i", first)]
    receiver = Store("t", 1000)
    late: list[tuple[list[Item], dict[str, int]]] = []
    pages = 0
    for _ in range(200):
        sender = data.draw(st.sampled_from(senders))
        what = data.draw(st.sampled_from(("well", "lost", "twice", "late", "changed")))
        if what == "changed":
            version = 1 + max(item.version for item in senders[0].items.values())
            for one in senders:
                one.merge([Item("k", "0003", version, {}, "w", version)], {"w": version})
        delta = sender.delta_for(receiver.vector, PAGE, snapshots=True)
        pages += bool(delta.items)
        late.append((delta.items, delta.vector))
        if what == "lost":
            continue
        for _ in range(1 + (what == "twice")):
            assert isinstance(receiver.merge_answer(delta.items, delta.vector), list)
        if what == "late":
            assert isinstance(receiver.merge_answer(*data.draw(st.sampled_from(late))), list)
        if receiver.digests.root() == sender.digests.root() and not delta.more:
            break
    assert receiver.digests.root() == sender.digests.root()
    for one in senders:  # everything that the vector covers is held
        other = Store("u", 1000)
        other.merge(receiver.items.values(), {})
        delta = one.delta_for(receiver.vector, 1000)
        assert isinstance(other.merge_answer(delta.items, delta.vector), list)
        assert other.digests.root() == one.digests.root()


def test_a_link_lost_midway_costs_no_page_again() -> None:
    sender, receiver = store_with_items("g", 70), Store("t", 100)
    other = copied("h", sender)
    for _ in range(5):
        pull_page(receiver, sender)
    rest = 0
    while True:
        delta = other.delta_for(receiver.vector, PAGE, snapshots=True)
        receiver.merge_answer(delta.items, delta.vector)
        rest += len(delta.items)
        if not delta.more:
            break
    assert rest == 35 and receiver.digests.root() == sender.digests.root() and receiver.vector == other.vector


def test_a_life_that_ends_midway_begins_anew_and_a_moment_that_is_gone_too() -> None:
    sender, receiver = store_with_items("g", 70), Store("t", 100)
    for _ in range(4):
        pull_page(receiver, sender)
    again = Store("t2", 100)
    again.restore(receiver.items.values(), receiver.vector)
    assert not snapshot_entries(again) and len(again.items) == 4 * PAGE
    while pull_page(again, sender):
        pass
    assert again.items == sender.items
    for number in range(MAX_OUTGOING_SNAPSHOTS + 1):  # each requested by another receiver
        for name in range(PAGE + 1):
            sender.write("k", f"{name:04}", 2 + number, {})
        pull_page(Store(f"o{number}", 100), sender)
    while pull_page(receiver, sender):
        pass
    assert receiver.items == sender.items and not snapshot_entries(receiver)


def test_what_does_not_have_its_root_is_told_and_its_vector_not_taken() -> None:
    sender, receiver = store_with_items("g", 3 * PAGE), Store("t", 100)
    pull_page(receiver, sender)
    pull_page(receiver, sender)
    last = sender.delta_for(receiver.vector, PAGE, snapshots=True)
    harmed = [*last.items[:-1], Item("k", last.items[-1].name, 1, {"v": "?"}, "g", 3 * PAGE)]
    assert isinstance(receiver.merge_answer(harmed, last.vector), DigestMismatch)
    assert "g" not in receiver.vector and not snapshot_entries(receiver)
    assert sender.has_updates(receiver.vector)


def test_pages_are_bounded_in_bytes_and_one_item_goes_whatever_its_size() -> None:
    sender = store_with_items("g", 30, size=1000)
    assert len(sender.delta_for({}, 100, max_bytes=5000).items) == 4
    assert len(sender.delta_for({}, 5, max_bytes=3000, snapshots=True).items) == 2
    assert len(limit_bytes(sender.items.values(), 1)) == 1
    for snapshots in (False, True):
        receiver = Store("t", 100)
        for _ in range(100):
            delta = sender.delta_for(receiver.vector, 5, 3000, snapshots)
            receiver.merge_answer(delta.items, delta.vector)
            if not delta.more:
                break
        assert receiver.items == sender.items and receiver.vector == sender.vector


def test_moments_and_takings_are_bounded() -> None:
    sender = store_with_items("g", 2 * PAGE)
    for number in range(5):
        for name in range(PAGE + 1):
            sender.write("k", f"{name:04}", 2 + number, {})
        pull_page(Store("t", 100), sender)
    assert len(sender._outgoing.roots()) == MAX_OUTGOING_SNAPSHOTS
    for _ in range(9):
        pull_page(Store("t", 100), sender)  # one snapshot for all receivers
    assert len(sender._outgoing.roots()) == MAX_OUTGOING_SNAPSHOTS
    incoming, receiver = IncomingSnapshots(), Store("t", 100)
    items = [Item("k", "a", 1, {})]
    for number in range(MAX_INCOMING_SNAPSHOTS + 3):
        incoming.add_page(f"{number:016x}", 1, items)
        receiver.merge_answer(items, {f"{SNAPSHOT_PREFIX}{number:016x}": 1})
    assert not incoming.has_begun(f"{0:016x}") and incoming.has_begun(f"{MAX_INCOMING_SNAPSHOTS + 2:016x}")
    assert len(snapshot_entries(receiver)) == MAX_INCOMING_SNAPSHOTS
