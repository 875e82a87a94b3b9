"""Leases of duties: the order of the holders, the epochs, and a holder that stops when it is superseded."""

from __future__ import annotations

from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.membership.lease import (
    LEASE,
    MAX_EPOCH,
    REAPING,
    TENURE_FACTOR,
    Claim,
    Hold,
    Lease,
    LeaseRecord,
    Standby,
    first_live,
    lease_value,
    read_lease,
)
from mesh.replication.items import Item
from mesh.replication.store import Store

STABLE_S = 3.0
NAMES = [f"c{number}" for number in range(1, 6)]


def order() -> list[str]:
    """The order that results from removing the first live process repeatedly."""
    left, found = list(NAMES), []
    while left:
        found.append(first_live(REAPING, left, left))
        left.remove(found[-1])
    return found


def holding(node: str, now: float = 0.0) -> tuple[Lease, float]:
    """A lease with epoch 1 claimed, and the time of the claim."""
    lease = Lease(REAPING, node, STABLE_S)
    assert lease.decide(now, NAMES, NAMES) == Standby()
    now += STABLE_S
    assert lease.decide(now, NAMES, NAMES) == Claim(1)
    lease.note_claimed(now, 1)
    assert lease.decide(now, NAMES, NAMES) == Hold(1)
    return lease, now


def test_the_order_is_the_same_wherever_it_is_worked_out_and_differs_by_duty() -> None:
    assert sorted(order()) == NAMES
    for names in permutations(NAMES):
        assert first_live(REAPING, names, NAMES) == order()[0]
    assert len({first_live(f"duty {n}", NAMES, NAMES) for n in range(50)}) == len(NAMES)
    assert first_live(REAPING, NAMES, {order()[3], order()[2]}) == order()[2]
    assert first_live(REAPING, NAMES, ()) == "" and first_live(REAPING, NAMES, ["another"]) == ""


def test_only_the_first_that_is_live_claims_and_only_once_it_has_been_so_for_a_while() -> None:
    one, two = order()[:2]
    lease = Lease(REAPING, two, STABLE_S)
    for now in range(100):
        assert lease.decide(float(now), NAMES, NAMES) == Standby()
    alone = set(NAMES) - {one}
    assert lease.decide(100.0, NAMES, alone) == Standby()
    assert lease.decide(102.0, NAMES, NAMES) == Standby()  # the first process was back: the time starts again
    assert lease.decide(102.5, NAMES, alone) == Standby()
    assert lease.decide(105.4, NAMES, alone) == Standby()
    assert lease.decide(105.5, NAMES, alone) == Claim(1)
    assert lease.decide(105.6, NAMES, alone - {two}) == Standby()  # out of contact itself: it does not act


def test_who_is_overtaken_stops_and_waits_before_it_outbids() -> None:
    one, two = order()[:2]
    lease, now = holding(one)
    assert lease.note(now, LeaseRecord(2, two))
    assert lease.decide(now, NAMES, NAMES) == Standby()
    assert lease.decide(now + TENURE_FACTOR * STABLE_S - 0.1, NAMES, NAMES) == Standby()
    assert lease.decide(now + TENURE_FACTOR * STABLE_S, NAMES, NAMES) == Claim(3)


def test_a_life_does_not_act_under_a_claim_of_the_one_before() -> None:
    one = order()[0]
    lease = Lease(REAPING, one, STABLE_S)
    lease.note(0.0, LeaseRecord(7, one))
    assert lease.decide(0.0, NAMES, NAMES) == Standby()
    assert lease.decide(STABLE_S, NAMES, NAMES) == Claim(8)


def test_an_order_of_an_old_epoch_is_refused_and_of_a_higher_one_is_remembered() -> None:
    one, two = order()[:2]
    lease, now = holding(one)
    assert lease.note(now, LeaseRecord(1, one))
    assert lease.note(now, LeaseRecord(4, two)) and lease.latest == LeaseRecord(4, two)
    assert not lease.note(now, LeaseRecord(3, one)) and not lease.note(now, LeaseRecord(1, one))
    assert lease.latest == LeaseRecord(4, two)


claims = st.builds(LeaseRecord, st.integers(1, 4), st.sampled_from(NAMES))


@settings(max_examples=200)
@given(st.lists(claims, max_size=8))
def test_claims_end_the_same_in_every_order_and_as_the_roll_has_them(records: list[LeaseRecord]) -> None:
    leases = [Lease(REAPING, "c1", STABLE_S) for _ in range(2)]
    roll = Store("s", 10)
    for lease, received in zip(leases, (records, records[::-1]), strict=True):
        for record in received:
            before = lease.latest
            taken = lease.note(0.0, record)
            assert taken == (lease.latest == record) and lease.latest.epoch >= before.epoch
    for record in records:
        roll.merge([Item(LEASE, REAPING, record.epoch, lease_value(record.holder), "x", 1)], {})
    assert leases[0].latest == leases[1].latest
    if records:
        item = roll.items[LEASE, REAPING]
        assert read_lease(item.version, item.value) == leases[0].latest


@pytest.mark.parametrize(
    ("epoch", "fields"),
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
def test_what_is_no_claim_is_not_read(epoch: object, fields: dict[str, object] | None) -> None:
    with pytest.raises(ValueError):
        read_lease(epoch, fields)
