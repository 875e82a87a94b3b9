"""No kind of call is starved at the line, and where there is room for all the shares change nothing."""

import pytest

from mesh.admission.fair_share import FEW, HALVED_MS, KINDS, LEAST, RARE_MS, Shares
from mesh.admission.wait_queue import Line

HIGH, MID, LOW = 2.0, 1.0, 0.25


def overloaded(kinds: dict[float, int], places: int, guarded: bool, rounds: int = 600) -> dict[float, float]:
    """Each round of 10 ms so many calls of each kind come and so many places get free; how often each kind
    was passed on. Patience is three rounds, and eight wait."""
    line, shares, passed = Line(), Shares(), dict.fromkeys(kinds, 0)
    number = 0
    for now in range(0, 10 * rounds, 10):
        line.over(now)
        for rank, count in kinds.items():
            for _ in range(count):
                number += 1
                shares.came(now, rank)
                line.add((number, rank), rank, now + 30.0, 8, shares.behind() if guarded else ())
        for _ in range(places):
            call = line.next(shares.behind() if guarded else ())
            if call is not None:
                _, rank = call  # type: ignore[misc]
                shares.passed(rank)
                passed[rank] += 1
    return {rank: passed[rank] / (count * rounds) for rank, count in kinds.items()}


@pytest.mark.parametrize(("kinds", "places"), [({HIGH: 8, LOW: 2}, 5), ({HIGH: 9, MID: 3, LOW: 1}, 6)])
def test_in_a_long_overload_no_kind_is_passed_on_less_than_a_third_as_often_as_all(
    kinds: dict[float, int], places: int
) -> None:
    whole = places / sum(kinds.values())
    assert min(overloaded(kinds, places, guarded=False).values()) < 0.05 * whole
    found = overloaded(kinds, places, guarded=True)
    assert min(found.values()) > whole / 3.0
    assert found[HIGH] == max(found.values())
    assert sum(found[rank] * count for rank, count in kinds.items()) == pytest.approx(places, rel=0.01)


def test_where_the_least_has_its_part_places_go_by_rank_as_ever() -> None:
    kinds = {HIGH: 3, LOW: 6}
    assert overloaded(kinds, 6, guarded=True) == overloaded(kinds, 6, guarded=False)


def test_a_kind_is_behind_only_when_enough_of_it_came_and_is_forgotten_when_it_comes_no_more() -> None:
    shares = Shares()
    for _ in range(int(FEW) - 1):
        shares.came(0.0, LOW)
    for _ in range(20):
        shares.came(0.0, HIGH)
        shares.passed(HIGH)
    assert shares.behind() == []
    shares.came(0.0, LOW)
    assert shares.behind() == [LOW]
    shares.came(RARE_MS, HIGH)
    assert shares.behind() == [LOW]
    shares.came(RARE_MS + 1.1 * HALVED_MS, HIGH)
    assert shares.behind() == []
    assert LEAST > 0.25


def test_what_was_long_ago_fades_for_a_kind_that_comes_often() -> None:
    shares = Shares()
    for _ in range(int(8 * FEW)):
        shares.came(0.0, LOW)
        shares.came(0.0, HIGH)
        shares.passed(HIGH)
    assert shares.behind() == [LOW]
    for halvings in range(1, 5):
        shares.came(1.1 * HALVED_MS * halvings, LOW)
        shares.passed(LOW)
        shares.passed(LOW)
    assert shares.behind() == []


@pytest.mark.parametrize("every", [10, 100, 200, 500])
def test_a_kind_of_which_each_upstream_sees_few_is_not_starved_either(every: int) -> None:
    """Of the least in rank one call comes each ``every`` rounds of 10 ms: at 500 one in five seconds."""
    line, shares, rounds, passed = Line(), Shares(), 12_000, 0
    for number in range(rounds):
        now = 10.0 * number
        line.over(now)
        for rank in [HIGH, HIGH, LOW][: 2 + (number % every == 0)]:
            shares.came(now, rank)
            line.add((number, rank, object()), rank, now + 30.0, 8, shares.behind())
        call = line.next(shares.behind())
        if call is not None:
            shares.passed(call[1])  # type: ignore[index]
            passed += call[1] == LOW  # type: ignore[index]
    assert passed / (rounds / every) > 0.5 / 4.0


def test_so_many_kinds_are_counted_and_no_more() -> None:
    shares = Shares()
    for rank in range(3 * KINDS):
        for _ in range(1 + (rank == 0)):
            shares.came(0.0, float(rank))
    assert len(shares._kinds) == KINDS and 0.0 in shares._kinds
