"""Stores that pull from each other across losses, duplicates, delays and restarts: they keep invariant P."""

import random
from collections.abc import Mapping
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.items import Item, Key, outranks, same_content
from mesh.replication.store import PAGE_PREFIX, Store
from mesh.replication.store_answers import Delta

NODES = 3
Written = dict[tuple[str, int], Item]


def broken_claims(store: Store, written: Written) -> list[str]:
    """Violations of invariant P: items that the vector covers and the store lacks."""
    broken = []
    for (source, number), item in written.items():
        held = store.items.get(item.key)
        if number <= store.vector.get(source, 0) and (held is None or outranks(item, held)):
            broken.append(f"{store.source} claims {source}:{store.vector[source]}, lacks {source}:{number}")
    return broken


class RaisesVectorByPage(Store):
    """Fault: a page raises each source to its last number in it, past gaps whose items come later."""

    def delta_for(self, vector: Mapping[str, int], max_items: int) -> Delta:
        stamps = sorted(
            (item.source, item.number)
            for item in self.items.values()
            if item.number > vector.get(item.source, 0)
        )
        by_stamp = {(item.source, item.number): item for item in self.items.values()}
        if len(stamps) <= max_items:
            return super().delta_for(vector, max_items)
        return Delta([by_stamp[stamp] for stamp in stamps[:max_items]], dict(stamps[:max_items]), True)


class OmitsUnclaimedItems(Store):
    """Fault: items above the own vector are not sent, though they may have replaced covered ones."""

    def delta_for(self, vector: Mapping[str, int], max_items: int) -> Delta:
        delta = super().delta_for(vector, max_items)
        claimed = [item for item in delta.items if item.number <= self.vector.get(item.source, 0)]
        return Delta(claimed, delta.vector, delta.more)


class KeepsArrivalOfReplacedItems(Store):
    """Fault: an item that replaces another keeps its place in the order of arrival."""

    def _put(self, item: Item) -> bool:
        before = self._arrived.get(item.key)
        changed = super()._put(item)
        if changed and before is not None:
            self._arrived[item.key] = before
        return changed


class Mesh:
    """Nodes, all items that they ever stamped, and the answers in transit."""

    def __init__(self, store_class: type[Store]) -> None:
        self.store_class = store_class
        self.incarnations = 0
        self.written: Written = {}
        self.stores = [self.begin() for _ in range(NODES)]
        self.disks: list[tuple[list[Item], dict[str, int]]] = [([], {}) for _ in range(NODES)]
        self.answers: list[tuple[Store, Delta]] = []

    def begin(self) -> Store:
        self.incarnations += 1
        return self.store_class(f"s{self.incarnations}", 1000)

    def step(self, op: tuple[Any, ...]) -> None:
        match op:
            case ("write", node, name, newer, value):
                held = self.stores[node].items.get(("k", str(name)))
                version = newer + (held.version if held is not None else 1)
                item = self.stores[node].write("k", str(name), version, value)
                if isinstance(item, Item):
                    self.written[(item.source, item.number)] = item
            case ("request", node, peer, most):
                store = self.stores[node]
                self.answers.append((store, self.stores[peer].delta_for(store.vector, most)))
            case ("deliver", which, keep) if self.answers:
                store, delta = self.answers[which % len(self.answers)]
                if not keep:
                    del self.answers[which % len(self.answers)]
                if any(store is one for one in self.stores):  # else its receiver has died
                    store.merge(delta.items, delta.vector)
            case ("persist", node):
                self.disks[node] = (list(self.stores[node].items.values()), dict(self.stores[node].vector))
            case ("restart", node):
                self.stores[node] = self.begin()
                self.stores[node].restore(*self.disks[node])

    def broken(self) -> list[str]:
        return [claim for store in self.stores for claim in broken_claims(store, self.written)]

    def settle(self, most: int, only_updates: bool) -> int:
        """Pulls in rounds until none changes anything; the rounds it took, over 200 meaning that it never
        ends.
        """
        for rounds in range(201):
            busy = False
            for store in self.stores:
                for peer in self.stores:
                    if peer is store or (only_updates and not peer.has_updates(store.vector)):
                        continue
                    before = dict(store.vector)
                    delta = peer.delta_for(store.vector, most)
                    changed = store.merge(delta.items, delta.vector)
                    busy = busy or bool(changed) or store.vector != before or delta.more or only_updates
            if not busy:
                return rounds
        return 201


NODE = st.integers(0, NODES - 1)
OP = st.one_of(
    st.tuples(
        st.just("write"),
        NODE,
        st.integers(0, 3),
        st.integers(1, 4),
        st.sampled_from([None, {}, {"a": 1}, {"a": 2}]),
    ),
    st.tuples(st.just("request"), NODE, NODE, st.integers(1, 3)),
    st.tuples(st.just("deliver"), st.integers(0, 5), st.booleans()),
    st.tuples(st.just("persist"), NODE),
    st.tuples(st.just("restart"), NODE),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(OP, min_size=30, max_size=60), st.integers(1, 3))
def test_claims_hold_at_every_step_and_copies_converge(ops: list[tuple[Any, ...]], most: int) -> None:
    mesh = Mesh(Store)
    for op in ops:
        mesh.step(op)
        assert mesh.broken() == []
    assert mesh.settle(most, only_updates=False) < 200
    assert mesh.broken() == []
    first, *others = mesh.stores
    for other in others:
        assert other.items.keys() == first.items.keys()
        assert all(same_content(item, first.items[key]) for key, item in other.items.items())
        assert other.digests.children("") == first.digests.children("")
    assert mesh.settle(most, only_updates=True) < 200  # no store offers updates forever


def random_operation(rng: random.Random) -> tuple[Any, ...]:
    node, peer = rng.randrange(NODES), rng.randrange(NODES)
    write = ("write", node, rng.randrange(4), rng.randint(0, 2), rng.choice([None, {}, {"a": 1}]))
    return rng.choice(
        [write, ("request", node, peer, rng.randint(1, 3)), ("deliver", rng.randrange(3), False)]
    )


def detects(store_class: type[Store]) -> bool:
    for seed in range(100):
        rng, mesh = random.Random(seed), Mesh(store_class)
        for _ in range(80):
            mesh.step(random_operation(rng))
            if mesh.broken():
                return True
    return False


@pytest.mark.parametrize("fault", [RaisesVectorByPage, OmitsUnclaimedItems, KeepsArrivalOfReplacedItems])
def test_the_property_sees_each_fault_and_none_without(fault: type[Store]) -> None:
    assert detects(fault)
    assert not detects(Store)


def test_a_claim_past_a_gap_loses_an_item_for_ever() -> None:
    for store_class, reached in ((RaisesVectorByPage, False), (Store, True)):
        sender, third, receiver = store_class("sender", 10), Store("third", 10), Store("receiver", 10)
        sender.write("k", "a", 1, {})
        old = sender.delta_for({}, 10)
        third.merge(old.items, old.vector)
        sender.write("k", "b", 1, {})
        sender.write("k", "a", 2, {})
        page = sender.delta_for({}, 1)
        assert [item.name for item in page.items] == ["b"] and page.more
        receiver.merge(page.items, page.vector)  # the sender is lost, with the newer "a"
        rest = third.delta_for(receiver.vector, 10)
        receiver.merge(rest.items, rest.vector)
        assert (("k", "a") in receiver.items) == reached


KEYS = st.sampled_from(["a", "b"])
COPIES = st.builds(
    Item,
    st.just("k"),
    KEYS,
    st.integers(1, 2),
    st.sampled_from([None, {}, {"a": 1}]),
    st.sampled_from("st"),
    st.integers(1, 4),
)


@settings(max_examples=150)
@given(
    st.lists(COPIES, max_size=8, unique_by=lambda item: (item.source, item.number)), st.randoms(), st.data()
)
def test_merge_does_not_depend_on_order_doubles_or_groups(
    copies: list[Item], rng: random.Random, data: st.DataObject
) -> None:
    def end(batches: list[list[Item]]) -> dict[Key, tuple[int, Any]]:
        store = Store("own", 100)
        for batch in batches:
            store.merge(batch, {})
        return {key: (item.version, item.value) for key, item in store.items.items()}

    first = data.draw(st.lists(st.sampled_from(copies))) if copies else []
    shuffled = copies + first
    rng.shuffle(shuffled)
    expected = end([copies])
    assert end([first, shuffled]) == expected
    assert end([[item] for item in shuffled]) == expected
    assert end([copies, copies]) == expected


def test_pages_end_while_writes_go_on_and_leave_no_entry() -> None:
    sender, receiver = Store("sender", 1000), Store("receiver", 1000)
    for number in range(100):
        sender.write("k", str(number), 1, {})
    pages = 0
    while (delta := sender.delta_for(receiver.vector, 10)).more:
        assert set(delta.vector) == {PAGE_PREFIX + "sender"} and len(delta.items) == 10
        receiver.merge(delta.items, delta.vector)
        pages += 1
        for number in range(5):  # replaces items before and after the page
            sender.write("k", str(number * 20), pages + 1, {})
    receiver.merge(delta.items, delta.vector)
    assert receiver.items == sender.items and receiver.vector == sender.vector
    assert 10 <= pages <= 20
