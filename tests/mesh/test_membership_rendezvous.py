"""Rendezvous hashing: a name that joins or leaves changes only its own selections, and the load is spread."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership.rendezvous import rendezvous_order, select_top

NAMES = st.sets(st.text("abcdef0123", min_size=1, max_size=4), min_size=1, max_size=20)


@given(st.text(max_size=5), NAMES, st.text("xyz", min_size=1, max_size=4), st.integers(1, 6))
@settings(max_examples=100)
def test_one_that_comes_takes_one_place_at_most_and_moves_nobody(
    me: str, names: set[str], new: str, most: int
) -> None:
    before, after = select_top(me, names, most), select_top(me, names | {new}, most)
    assert [name for name in after if name != new] == before[: len(after) - (new in after)]
    assert [name for name in rendezvous_order(me, names | {new}) if name != new] == rendezvous_order(
        me, names
    )


@given(st.text(max_size=5), NAMES)
@settings(max_examples=50)
def test_the_order_does_not_depend_on_the_order_in_which_names_are_told(me: str, names: set[str]) -> None:
    assert rendezvous_order(me, sorted(names)) == rendezvous_order(me, sorted(names, reverse=True))
    assert sorted(rendezvous_order(me, names)) == sorted(names)


def test_sets_are_spread_and_a_loss_moves_only_those_that_had_it() -> None:
    names = [f"core-{number}" for number in range(9)]
    chosen = {f"side-{n}": select_top(f"side-{n}", names, 3) for n in range(900)}
    load = Counter(name for some in chosen.values() for name in some)
    assert all(230 <= load[name] <= 370 for name in names), load  # 300 each
    without = [name for name in names if name != "core-4"]
    moved = [me for me, some in chosen.items() if select_top(me, without, 3) != some]
    assert moved == [me for me, some in chosen.items() if "core-4" in some]
    first = Counter(some[0] for some in chosen.values())
    assert all(60 <= first[name] <= 150 for name in names), first  # the first holds a duty: 100 each
