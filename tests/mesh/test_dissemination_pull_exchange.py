"""The pull exchange over links that are lost and re-established: all stores converge, no node is sent items
of its own source, and a mesh without changes sends no frames."""

from collections import deque
from collections.abc import Collection, Mapping
from itertools import combinations
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.dissemination import pull_exchange
from mesh.dissemination.pull_exchange import Exchange, pack, unpack
from mesh.replication.items import Item, same_content
from mesh.replication.snapshot import SNAPSHOTS_FEATURE
from mesh.replication.store import Store
from mesh.replication.store_answers import Delta
from mesh.transport.frames import Head

PAGE = 3
MAX_FRAMES = 4000


class Mesh:
    """Nodes with two stores each and a link between each two; frames in flight keep their order on a link."""

    def __init__(self, count: int, kind: type[Store] = Store, takes: Collection[str] = ()) -> None:
        self.takes = takes
        self.stores = [{name: kind(f"s{n}", 500) for name in ("charter", "roll")} for n in range(count)]
        self.ends: dict[tuple[int, int], Exchange] = {}
        self.in_flight: dict[tuple[int, int], deque[Head]] = {}
        self.frames = self.own_items_sent = 0
        for one, other in combinations(range(count), 2):
            self.reconnect(one, other)

    def reconnect(self, one: int, other: int) -> None:
        for here, there in ((one, other), (other, one)):
            end = self.ends[here, there] = Exchange(self.stores[here])
            end.set_peer(f"s{there}", self.takes)
            self.in_flight[here, there] = deque()
        for here, there in ((one, other), (other, one)):
            self.send(here, there, self.ends[here, there].pull_request())

    def send(self, here: int, there: int, head: Head | None) -> None:
        if head is None:
            return
        self.frames += 1
        for part in head.get("n", {}).values():
            self.own_items_sent += sum(fields[4] == f"s{there}" for fields in part["items"])
        self.in_flight[here, there].append(msgspec.json.decode(msgspec.json.encode(head)))

    def deliver(self, here: int, there: int) -> None:
        """Delivers the oldest frame from ``here`` and handles it as a channel does."""
        head, end = self.in_flight[here, there].popleft(), self.ends[there, here]
        if head["t"] == "pull":
            end.record_pull(head, f"s{here}")
            self.send(there, here, end.answer(False))
            return
        end.merge_answer(head)
        self.send(there, here, end.pull_request())
        self.answer_peers(there)

    def write(self, node: int, store: str, name: int, version: int, value: dict[str, int] | None) -> None:
        self.stores[node][store].write("k", str(name), version, value)
        self.answer_peers(node)

    def answer_peers(self, node: int) -> None:
        for (here, there), end in self.ends.items():
            if here == node:
                self.send(here, there, end.answer(False))

    def settle(self) -> bool:
        """Delivers frames until none is in flight; returns False where this does not end."""
        frames_before = self.frames
        while any(self.in_flight.values()):
            for here, there in self.ends:
                if self.in_flight[here, there]:
                    self.deliver(here, there)
            if self.frames - frames_before > MAX_FRAMES:
                return False
        return True

    def differ(self) -> bool:
        for name in ("charter", "roll"):
            firsts = self.stores[0][name].items
            for stores in self.stores[1:]:
                others = stores[name].items
                if firsts.keys() != others.keys():
                    return True
                if not all(same_content(item, others[key]) for key, item in firsts.items()):
                    return True
        return False


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just("write"),
            st.integers(0, 4),
            st.sampled_from(["charter", "roll"]),
            st.integers(0, 9),
            st.integers(1, 4),
            st.sampled_from([None, 1, 2]),
        ),
        st.tuples(st.just("deliver"), st.integers(0, 99)),
        st.tuples(st.just("reconnect"), st.integers(0, 99)),
    ),
    max_size=60,
)


def apply_operations(mesh: Mesh, operations: list[Any]) -> None:
    pairs = list(mesh.ends)
    for operation in operations:
        match operation:
            case ("write", node, store, name, version, value):
                content = None if value is None else {"v": value}
                mesh.write(node % len(mesh.stores), store, name, version, content)
            case ("deliver", which):
                waiting = [pair for pair in pairs if mesh.in_flight[pair]]
                if waiting:
                    mesh.deliver(*waiting[which % len(waiting)])
            case ("reconnect", which):
                mesh.reconnect(*pairs[which % len(pairs)])


@pytest.fixture(autouse=True)
def small_pages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pull_exchange, "PAGE_ITEMS", PAGE)


@given(st.integers(2, 5), OPERATIONS)
@settings(max_examples=120)
def test_all_converge_fall_silent_and_nobody_is_sent_what_it_stamped(
    count: int, operations: list[Any]
) -> None:
    mesh = Mesh(count)
    apply_operations(mesh, operations)
    assert mesh.settle(), "frames without an end"
    assert not mesh.differ()
    assert mesh.own_items_sent == 0


@given(st.integers(2, 5), OPERATIONS)
@settings(max_examples=120)
def test_all_converge_and_fall_silent_where_snapshots_are_taken(count: int, operations: list[Any]) -> None:
    mesh = Mesh(count, takes=(SNAPSHOTS_FEATURE,))
    apply_operations(mesh, operations)
    assert mesh.settle(), "frames without an end"
    assert not mesh.differ()


def test_a_link_in_which_nothing_changes_carries_two_questions_and_no_more() -> None:
    mesh = Mesh(2)
    assert mesh.settle() and mesh.frames == 2
    mesh.answer_peers(0)
    mesh.answer_peers(1)
    assert mesh.frames == 2


def test_one_change_costs_an_answer_and_a_question_on_a_link() -> None:
    mesh = Mesh(2)
    mesh.settle()
    before = mesh.frames
    mesh.write(0, "charter", 1, 1, {"v": 1})
    assert mesh.settle() and mesh.frames - before == 2


@pytest.mark.parametrize("items", [PAGE, PAGE + 1, 3 * PAGE, 3 * PAGE + 1])
@pytest.mark.parametrize("takes", [(), (SNAPSHOTS_FEATURE,)])
def test_pages_bring_all_and_end(items: int, takes: tuple[str, ...]) -> None:
    mesh = Mesh(2, takes=takes)
    mesh.settle()
    before = mesh.frames
    for name in range(items):
        mesh.stores[0]["roll"].write("k", str(name), 1, {"v": 1})
    mesh.answer_peers(0)
    assert mesh.settle() and not mesh.differ()
    pages = -(-items // PAGE)
    assert mesh.frames - before == 2 * pages  # a page and a pull request each; the last page ends the paging
    assert mesh.stores[1]["roll"].vector == {"s0": items}
    assert mesh.ends[1, 0].pull_complete


class ClaimsPastGaps(Store):
    """Seeded fault: each page raises the vector to all that the sender has."""

    def delta_for(self, vector: Mapping[str, int], max_items: int, *_: object, **__: object) -> Delta:
        delta = super().delta_for(vector, max_items)
        return Delta(delta.items, dict(self.vector), False) if delta.more else delta


class AlwaysHasUpdates(Store):
    """Seeded fault: an answer is sent although the vector of the receiver would not advance."""

    def has_updates(self, vector: Mapping[str, int]) -> bool:
        return bool(self.items)


def test_the_checks_see_a_vector_that_counts_past_a_gap_and_an_exchange_without_end() -> None:
    mesh = Mesh(2, ClaimsPastGaps)
    for name in range(2 * PAGE):
        mesh.stores[0]["roll"].write("k", str(name), 1, {"v": 1})
    mesh.answer_peers(0)
    mesh.settle()
    assert mesh.differ()
    endless = Mesh(2, AlwaysHasUpdates)
    endless.write(0, "roll", 1, 1, {"v": 1})
    assert not endless.settle()


def test_doubled_and_late_answers_of_an_earlier_link_change_nothing_that_holds() -> None:
    mesh = Mesh(2)
    mesh.settle()
    mesh.write(0, "charter", 1, 1, {"v": 1})
    earlier_answer = mesh.in_flight[0, 1][0]
    mesh.settle()
    mesh.write(0, "charter", 1, 2, None)
    mesh.settle()
    mesh.reconnect(0, 1)
    mesh.in_flight[0, 1].append(earlier_answer)
    assert mesh.settle() and not mesh.differ()
    assert mesh.stores[1]["charter"].items["k", "1"].version == 2


@pytest.mark.parametrize(
    "fields",
    [
        ["k", "n", 1, {}, "s"],
        [1, "n", 1, {}, "s", 1],
        ["k", "n", "1", {}, "s", 1],
        ["k", "n", 1, [], "s", 1],
        ["k", "n", 1, {}, "s", None],
    ],
)
def test_what_is_no_item_is_refused(fields: list[Any]) -> None:
    with pytest.raises(ValueError):
        unpack(fields)


def test_an_item_comes_out_as_it_went_in() -> None:
    item = Item("k", "n", 3, {"a": [1, None]}, "s", 4)
    assert unpack(pack(item)) == item


def test_an_answer_that_cannot_be_taken_whole_leaves_nothing_untold() -> None:
    stores = {"charter": Store("s1", 500), "roll": Store("s1", 500)}
    end = Exchange(stores)
    valid = {"items": [["k", "n", 1, {}, "s0", 1]], "v": {"s0": 1}}
    try:
        changed = end.merge_answer(
            {"t": "news", "n": {"charter": valid, "roll": {"items": [["k"]], "v": {}}}, "more": False}
        )
    except ValueError:
        changed = {}
    assert len(changed.get("charter", [])) == len(stores["charter"].items)
