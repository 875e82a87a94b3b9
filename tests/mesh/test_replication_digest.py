"""Digests of ranges: one differing item is found in three steps, however the copies were made."""

import json
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.digest import DigestTree, differing_prefixes
from mesh.replication.items import Item, Key


def compared(mine: DigestTree, theirs: DigestTree) -> tuple[list[Key], int, int]:
    """The keys under differing leaves, the number of steps and the JSON size of their answers."""
    prefixes, steps, size = [""], 0, 0
    while prefixes and len(prefixes[0]) < 3:
        answers = [theirs.children(prefix) for prefix in prefixes]
        size += sum(len(json.dumps(answer)) for answer in answers)
        steps += 1
        prefixes = [
            p
            for prefix, answer in zip(prefixes, answers, strict=True)
            for p in differing_prefixes(mine.children(prefix), answer)
        ]
    return [key for prefix in prefixes for key in {*mine.keys(prefix), *theirs.keys(prefix)}], steps, size


def test_one_of_ten_thousand_is_found_in_three_steps_and_few_bytes() -> None:
    mine, theirs = DigestTree(), DigestTree()
    items = [Item("k", f"name-{number}", 1, {"weight": number}) for number in range(10_000)]
    for item in items:
        mine.update(None, item)
        theirs.update(None, item)
    assert compared(mine, theirs)[0] == []
    for change in (Item("k", "name-77", 2, {"weight": 77}), Item("k", "name-77", 1, {"weight": 78}), None):
        theirs.update(items[77], change)
        keys, steps, size = compared(mine, theirs)
        assert ("k", "name-77") in keys and len(keys) < 12
        assert steps == 3 and size < 1500
        theirs.update(change, items[77])
        assert compared(mine, theirs)[0] == []


@settings(max_examples=60)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(1, 3), st.booleans()), max_size=40), st.randoms())
def test_digests_tell_what_is_held_not_how_it_came(
    steps: list[tuple[int, int, bool]], rng: random.Random
) -> None:
    moved: dict[Key, Item] = {}
    mine = DigestTree()
    for name, version, keep in steps:
        new = (
            Item("k", str(name), version, {} if version > 1 else None, "s", rng.randint(1, 99))
            if keep
            else None
        )
        mine.update(moved.pop(("k", str(name)), None), new)
        if new is not None:
            moved[new.key] = new
    fresh = DigestTree()
    held = list(moved.values())
    rng.shuffle(held)
    for item in held:
        fresh.update(None, Item(item.kind, item.name, item.version, item.value, "other", 1))
    assert mine.children("") == fresh.children("") and compared(mine, fresh)[0] == []
    every = [key for leaf in range(16**3) for key in mine.keys(f"{leaf:03x}")]
    assert sorted(every) == sorted(moved)


def test_a_child_that_one_side_has_alone_differs() -> None:
    assert differing_prefixes({"a": "1", "c": "3"}, {"b": "2", "c": "3"}) == ["a", "b"]


def test_what_is_no_prefix_has_no_children_and_no_keys() -> None:
    digests = DigestTree()
    digests.update(None, Item("k", "a", 1, {}))
    leaf = next(
        leaf for a in digests.children("") for b in digests.children(a) for leaf in digests.children(b)
    )
    assert digests.children(leaf) == {} and digests.children("zz") == {} and digests.keys("") == []
    assert digests.keys(leaf) == [("k", "a")]
