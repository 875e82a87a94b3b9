"""Whose turn a duty is: the order, the epochs, and who stops when it is overtaken."""

from __future__ import annotations

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership.lease import (
    DUTY,
    MOST_EPOCH,
    REAPING,
    TENURE,
    Claim,
    Hold,
    Rest,
    Standing,
    Turn,
    first,
    read_standing,
    value,
)
from mesh.replication.items import Item
from mesh.replication.store import Store

STEADY_S = 3.0
NAMES = [f"c{number}" for number in range(1, 6)]


def order() -> list[str]:
    """As taking away the first one again and again gives it."""
    left, found = list(NAMES), []
    while left:
        found.append(first(REAPING, left, left))
        left.remove(found[-1])
    return found


def holding(me: str, now: float = 0.0) -> tuple[Turn, float]:
    """A turn that has claimed epoch 1, and when."""
    turn = Turn(REAPING, me, STEADY_S)
    assert turn.decide(now, NAMES, NAMES) == Rest()
    now += STEADY_S
    assert turn.decide(now, NAMES, NAMES) == Claim(1)
    turn.claimed(now, 1)
    assert turn.decide(now, NAMES, NAMES) == Hold(1)
    return turn, now


def test_the_order_is_the_same_wherever_it_is_worked_out_and_differs_by_duty() -> None:
    assert sorted(order()) == NAMES
    for names in permutations(NAMES):
        assert first(REAPING, names, NAMES) == order()[0]
    assert len({first(f"duty {n}", NAMES, NAMES) for n in range(50)}) == len(NAMES)
    assert first(REAPING, NAMES, {order()[3], order()[2]}) == order()[2]
    assert first(REAPING, NAMES, ()) == "" and first(REAPING, NAMES, ["another"]) == ""


def test_only_the_first_that_is_live_claims_and_only_once_it_has_been_so_for_a_while() -> None:
    one, two = order()[:2]
    turn = Turn(REAPING, two, STEADY_S)
    for now in range(100):
        assert turn.decide(float(now), NAMES, NAMES) == Rest()
    alone = set(NAMES) - {one}
    assert turn.decide(100.0, NAMES, alone) == Rest()
    assert turn.decide(102.0, NAMES, NAMES) == Rest()  # it was there again: the time begins anew
    assert turn.decide(102.5, NAMES, alone) == Rest()
    assert turn.decide(105.4, NAMES, alone) == Rest()
    assert turn.decide(105.5, NAMES, alone) == Claim(1)
    assert turn.decide(105.6, NAMES, alone - {two}) == Rest()  # not in touch itself: it does not act


def test_who_is_overtaken_stops_and_waits_before_it_outbids() -> None:
    one, two = order()[:2]
    turn, now = holding(one)
    assert turn.note(now, Standing(2, two))
    assert turn.decide(now, NAMES, NAMES) == Rest()
    assert turn.decide(now + TENURE * STEADY_S - 0.1, NAMES, NAMES) == Rest()
    assert turn.decide(now + TENURE * STEADY_S, NAMES, NAMES) == Claim(3)


def test_a_life_does_not_act_under_a_claim_of_the_one_before() -> None:
    one = order()[0]
    turn = Turn(REAPING, one, STEADY_S)
    turn.note(0.0, Standing(7, one))
    assert turn.decide(0.0, NAMES, NAMES) == Rest()
    assert turn.decide(STEADY_S, NAMES, NAMES) == Claim(8)


def test_an_order_of_an_old_epoch_is_refused_and_of_a_higher_one_is_remembered() -> None:
    one, two = order()[:2]
    turn, now = holding(one)
    assert turn.note(now, Standing(1, one))
    assert turn.note(now, Standing(4, two)) and turn.newest == Standing(4, two)
    assert not turn.note(now, Standing(3, one)) and not turn.note(now, Standing(1, one))
    assert turn.newest == Standing(4, two)


claims = st.builds(Standing, st.integers(1, 4), st.sampled_from(NAMES))


@settings(max_examples=200)
@given(st.lists(claims, max_size=8))
def test_claims_end_the_same_in_every_order_and_as_the_roll_has_them(heard: list[Standing]) -> None:
    turns = [Turn(REAPING, "c1", STEADY_S) for _ in range(2)]
    roll = Store("s", 10)
    for turn, told in zip(turns, (heard, heard[::-1]), strict=True):
        for standing in told:
            before = turn.newest
            taken = turn.note(0.0, standing)
            assert taken == (turn.newest == standing) and turn.newest.epoch >= before.epoch
    for standing in heard:
        roll.merge([Item(DUTY, REAPING, standing.epoch, value(standing.holder), "x", 1)], {})
    assert turns[0].newest == turns[1].newest
    if heard:
        item = roll.items[DUTY, REAPING]
        assert read_standing(item.version, item.value) == turns[0].newest


@pytest.mark.parametrize(
    ("epoch", "told"),
    [
        (0, {"holder": "c1"}),
        (MOST_EPOCH, {"holder": "c1"}),
        ("1", {"holder": "c1"}),
        (1, None),
        (1, {}),
        (1, {"holder": ""}),
        (1, {"holder": 7}),
        (1, {"holder": "x" * 257}),
    ],
)
def test_what_is_no_claim_is_not_read(epoch: object, told: dict[str, object] | None) -> None:
    with pytest.raises(ValueError):
        read_standing(epoch, told)
