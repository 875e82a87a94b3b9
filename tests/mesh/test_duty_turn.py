"""Whose turn a duty is: the order, the epochs, and who stops when it is overtaken."""

from __future__ import annotations

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership.lease import (
    DUTY,
    MAX_EPOCH,
    REAPING,
    TENURE_FACTOR,
    Claim,
    DutyLease,
    Hold,
    LeaseRecord,
    Standby,
    first_live,
    lease_value,
    read_lease,
)
from mesh.replication.items import Item
from mesh.replication.store import Store

STEADY_S = 3.0
NAMES = [f"c{number}" for number in range(1, 6)]


def order() -> list[str]:
    """As taking away the first one again and again gives it."""
    left, found = list(NAMES), []
    while left:
        found.append(first_live(REAPING, left, left))
        left.remove(found[-1])
    return found


def holding(me: str, now: float = 0.0) -> tuple[DutyLease, float]:
    """A turn that has claimed epoch 1, and when."""
    turn = DutyLease(REAPING, me, STEADY_S)
    assert turn.decide(now, NAMES, NAMES) == Standby()
    now += STEADY_S
    assert turn.decide(now, NAMES, NAMES) == Claim(1)
    turn.note_claimed(now, 1)
    assert turn.decide(now, NAMES, NAMES) == Hold(1)
    return turn, now


def test_the_order_is_the_same_wherever_it_is_worked_out_and_differs_by_duty() -> None:
    assert sorted(order()) == NAMES
    for names in permutations(NAMES):
        assert first_live(REAPING, names, NAMES) == order()[0]
    assert len({first_live(f"duty {n}", NAMES, NAMES) for n in range(50)}) == len(NAMES)
    assert first_live(REAPING, NAMES, {order()[3], order()[2]}) == order()[2]
    assert first_live(REAPING, NAMES, ()) == "" and first_live(REAPING, NAMES, ["another"]) == ""


def test_only_the_first_that_is_live_claims_and_only_once_it_has_been_so_for_a_while() -> None:
    one, two = order()[:2]
    turn = DutyLease(REAPING, two, STEADY_S)
    for now in range(100):
        assert turn.decide(float(now), NAMES, NAMES) == Standby()
    alone = set(NAMES) - {one}
    assert turn.decide(100.0, NAMES, alone) == Standby()
    assert turn.decide(102.0, NAMES, NAMES) == Standby()  # it was there again: the time begins anew
    assert turn.decide(102.5, NAMES, alone) == Standby()
    assert turn.decide(105.4, NAMES, alone) == Standby()
    assert turn.decide(105.5, NAMES, alone) == Claim(1)
    assert turn.decide(105.6, NAMES, alone - {two}) == Standby()  # not in touch itself: it does not act


def test_who_is_overtaken_stops_and_waits_before_it_outbids() -> None:
    one, two = order()[:2]
    turn, now = holding(one)
    assert turn.note(now, LeaseRecord(2, two))
    assert turn.decide(now, NAMES, NAMES) == Standby()
    assert turn.decide(now + TENURE_FACTOR * STEADY_S - 0.1, NAMES, NAMES) == Standby()
    assert turn.decide(now + TENURE_FACTOR * STEADY_S, NAMES, NAMES) == Claim(3)


def test_a_life_does_not_act_under_a_claim_of_the_one_before() -> None:
    one = order()[0]
    turn = DutyLease(REAPING, one, STEADY_S)
    turn.note(0.0, LeaseRecord(7, one))
    assert turn.decide(0.0, NAMES, NAMES) == Standby()
    assert turn.decide(STEADY_S, NAMES, NAMES) == Claim(8)


def test_an_order_of_an_old_epoch_is_refused_and_of_a_higher_one_is_remembered() -> None:
    one, two = order()[:2]
    turn, now = holding(one)
    assert turn.note(now, LeaseRecord(1, one))
    assert turn.note(now, LeaseRecord(4, two)) and turn.latest == LeaseRecord(4, two)
    assert not turn.note(now, LeaseRecord(3, one)) and not turn.note(now, LeaseRecord(1, one))
    assert turn.latest == LeaseRecord(4, two)


claims = st.builds(LeaseRecord, st.integers(1, 4), st.sampled_from(NAMES))


@settings(max_examples=200)
@given(st.lists(claims, max_size=8))
def test_claims_end_the_same_in_every_order_and_as_the_roll_has_them(heard: list[LeaseRecord]) -> None:
    turns = [DutyLease(REAPING, "c1", STEADY_S) for _ in range(2)]
    roll = Store("s", 10)
    for turn, told in zip(turns, (heard, heard[::-1]), strict=True):
        for standing in told:
            before = turn.latest
            taken = turn.note(0.0, standing)
            assert taken == (turn.latest == standing) and turn.latest.epoch >= before.epoch
    for standing in heard:
        roll.merge([Item(DUTY, REAPING, standing.epoch, lease_value(standing.holder), "x", 1)], {})
    assert turns[0].latest == turns[1].latest
    if heard:
        item = roll.items[DUTY, REAPING]
        assert read_lease(item.version, item.value) == turns[0].latest


@pytest.mark.parametrize(
    ("epoch", "told"),
    [
        (0, {"holder": "c1"}),
        (MAX_EPOCH, {"holder": "c1"}),
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
        read_lease(epoch, told)
