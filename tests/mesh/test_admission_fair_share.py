"""Fair share: no rank starves in the wait queue, and without an overload the dispatch order is unchanged."""

import pytest

from mesh.admission.fair_share import (
    HALVING_PERIOD_MS,
    MAX_RANKS,
    MIN_CALLS,
    MIN_RELATIVE_SHARE,
    RARE_RETENTION_MS,
    FairShare,
)
from mesh.admission.wait_queue import WaitQueue

HIGH, MID, LOW = 2.0, 1.0, 0.25


def overloaded(ranks: dict[float, int], slots: int, guarded: bool, rounds: int = 600) -> dict[float, float]:
    """In each round of 10 ms the given number of calls of each rank arrives and ``slots`` get free; returns
    the share of dispatched calls by rank. Calls wait at most three rounds, and eight can wait."""
    queue, shares, dispatched = WaitQueue(), FairShare(), dict.fromkeys(ranks, 0)
    number = 0
    for now in range(0, 10 * rounds, 10):
        queue.pop_expired(now)
        for rank, count in ranks.items():
            for _ in range(count):
                number += 1
                shares.record_arrival(now, rank)
                queue.add((number, rank), rank, now + 30.0, 8, shares.starved_ranks() if guarded else ())
        for _ in range(slots):
            call = queue.pop_next(shares.starved_ranks() if guarded else ())
            if call is not None:
                _, rank = call  # type: ignore[misc]
                shares.record_dispatch(rank)
                dispatched[rank] += 1
    return {rank: dispatched[rank] / (count * rounds) for rank, count in ranks.items()}


@pytest.mark.parametrize(("ranks", "slots"), [({HIGH: 8, LOW: 2}, 5), ({HIGH: 9, MID: 3, LOW: 1}, 6)])
def test_in_a_long_overload_no_kind_is_passed_on_less_than_a_third_as_often_as_all(
    ranks: dict[float, int], slots: int
) -> None:
    whole = slots / sum(ranks.values())
    assert min(overloaded(ranks, slots, guarded=False).values()) < 0.05 * whole
    found = overloaded(ranks, slots, guarded=True)
    assert min(found.values()) > whole / 3.0
    assert found[HIGH] == max(found.values())
    assert sum(found[rank] * count for rank, count in ranks.items()) == pytest.approx(slots, rel=0.01)


def test_where_the_least_has_its_part_places_go_by_rank_as_ever() -> None:
    ranks = {HIGH: 3, LOW: 6}
    assert overloaded(ranks, 6, guarded=True) == overloaded(ranks, 6, guarded=False)


def test_a_kind_is_behind_only_when_enough_of_it_came_and_is_forgotten_when_it_comes_no_more() -> None:
    shares = FairShare()
    for _ in range(int(MIN_CALLS) - 1):
        shares.record_arrival(0.0, LOW)
    for _ in range(20):
        shares.record_arrival(0.0, HIGH)
        shares.record_dispatch(HIGH)
    assert shares.starved_ranks() == []
    shares.record_arrival(0.0, LOW)
    assert shares.starved_ranks() == [LOW]
    shares.record_arrival(RARE_RETENTION_MS, HIGH)
    assert shares.starved_ranks() == [LOW]
    shares.record_arrival(RARE_RETENTION_MS + 1.1 * HALVING_PERIOD_MS, HIGH)
    assert shares.starved_ranks() == []
    assert MIN_RELATIVE_SHARE > 0.25


def test_what_was_long_ago_fades_for_a_kind_that_comes_often() -> None:
    shares = FairShare()
    for _ in range(int(8 * MIN_CALLS)):
        shares.record_arrival(0.0, LOW)
        shares.record_arrival(0.0, HIGH)
        shares.record_dispatch(HIGH)
    assert shares.starved_ranks() == [LOW]
    for halvings in range(1, 5):
        shares.record_arrival(1.1 * HALVING_PERIOD_MS * halvings, LOW)
        shares.record_dispatch(LOW)
        shares.record_dispatch(LOW)
    assert shares.starved_ranks() == []


@pytest.mark.parametrize("every", [10, 100, 200, 500])
def test_a_kind_of_which_each_upstream_sees_few_is_not_starved_either(every: int) -> None:
    """One call of the lowest rank arrives every ``every`` rounds of 10 ms: at 500 one in five seconds."""
    queue, shares, rounds, dispatched = WaitQueue(), FairShare(), 12_000, 0
    for number in range(rounds):
        now = 10.0 * number
        queue.pop_expired(now)
        for rank in [HIGH, HIGH, LOW][: 2 + (number % every == 0)]:
            shares.record_arrival(now, rank)
            queue.add((number, rank, object()), rank, now + 30.0, 8, shares.starved_ranks())
        call = queue.pop_next(shares.starved_ranks())
        if call is not None:
            shares.record_dispatch(call[1])  # type: ignore[index]
            dispatched += call[1] == LOW  # type: ignore[index]
    assert dispatched / (rounds / every) > 0.5 / 4.0


def test_so_many_kinds_are_counted_and_no_more() -> None:
    shares = FairShare()
    for rank in range(3 * MAX_RANKS):
        for _ in range(1 + (rank == 0)):
            shares.record_arrival(0.0, float(rank))
    assert len(shares._counts) == MAX_RANKS and 0.0 in shares._counts
