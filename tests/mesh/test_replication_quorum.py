"""Durable sets overlap, survive every tolerated loss, and overlap every set that `overlaps` accepts."""

from itertools import chain, combinations, product

from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.quorum import Place, Tolerance, durable, overlaps

AREA = {"a": "r", "b": "r", "c": "q"}
Members = dict[str, Place]


def members_of(zones: str) -> Members:
    return {str(number): Place(zone.strip(), AREA.get(zone, "")) for number, zone in enumerate(zones)}


MEMBERS = st.text("abc ", min_size=1, max_size=5).map(members_of)
KNOWN = st.text("abc", min_size=1, max_size=5).map(members_of)
TOLERANCE = st.builds(Tolerance, st.integers(0, 2), st.integers(0, 2), st.integers(0, 1))


def subsets(names: set[str]) -> list[set[str]]:
    combined = chain.from_iterable(combinations(sorted(names), size) for size in range(len(names) + 1))
    return [set(one) for one in combined]


def losses(members: Members, tolerance: Tolerance) -> list[set[str]]:
    """Every tolerated loss as the rule defines it; members of unknown place may be in any area."""
    lost = [set(some) for some in combinations(members, min(tolerance.machines, len(members)))]
    for part, most in (("zone", tolerance.zones), ("region", tolerance.regions)):
        names = {getattr(place, part) for place in members.values()} - {""}
        for gone in combinations(sorted(names), min(most, len(names))) if most else ():
            lost.append({name for name, place in members.items() if getattr(place, part) in (*gone, "")})
    return lost


@settings(max_examples=60, deadline=None)
@given(MEMBERS, TOLERANCE)
def test_durable_sets_meet_and_outlive_what_the_members_can_bear(
    members: Members, tolerance: Tolerance
) -> None:
    every = set(members)
    sets = [one for one in subsets(every) if durable(one, members, tolerance)]
    assert every in sets
    assert all(one & other for one, other in product(sets, sets))
    for lost in losses(members, tolerance):
        for kept in sets:
            assert kept - lost or kept == every


@settings(max_examples=60, deadline=None)
@given(KNOWN, TOLERANCE)
def test_nothing_more_than_the_rule_is_asked(members: Members, tolerance: Tolerance) -> None:
    every = set(members)
    tolerable = [lost for lost in losses(members, tolerance) if lost != every]
    if len(tolerable) < len(losses(members, tolerance)):
        return  # some loss is not tolerable: all members are needed, see the other test
    for holders in subsets(every):
        assert durable(holders, members, tolerance) == (
            2 * len(holders) > len(every) and all(holders - lost for lost in tolerable)
        )


@settings(max_examples=60, deadline=None)
@given(MEMBERS, TOLERANCE)
def test_after_a_loss_whoever_overlaps_meets_what_is_left(members: Members, tolerance: Tolerance) -> None:
    every = set(members)
    unknown = [name for name, place in members.items() if not place.zone]
    overlapping = [one for one in subsets(every) if overlaps(one, members, tolerance)]
    for zones in product(
        "abc", repeat=min(len(unknown), 2)
    ):  # the writer may know places that the reader does not
        placed = members | {name: Place(zone, AREA[zone]) for name, zone in zip(unknown, zones, strict=False)}
        sets = [one for one in subsets(every) if durable(one, placed, tolerance)]
        for lost in losses(placed, tolerance):
            for responders in overlapping:
                if not responders & lost:
                    assert all(responders & (kept - lost) for kept in sets)
    for responders in overlapping:
        assert all(overlaps(responders | {name}, members, tolerance) for name in every)


@settings(max_examples=60, deadline=None)
@given(KNOWN, TOLERANCE)
def test_those_left_by_a_loss_that_can_be_borne_suffice_to_hear(
    members: Members, tolerance: Tolerance
) -> None:
    every = set(members)
    if any(lost == every for lost in losses(members, tolerance)):
        return
    assert all(overlaps(every - lost, members, tolerance) for lost in losses(members, tolerance))


@settings(max_examples=60, deadline=None)
@given(KNOWN, st.sampled_from("abc"), TOLERANCE)
def test_durable_sets_of_views_one_member_apart_meet(
    members: Members, zone: str, tolerance: Tolerance
) -> None:
    grown = members | {"new": Place(zone, AREA[zone])}
    before = [one for one in subsets(set(members)) if durable(one, members, tolerance)]
    after = [one for one in subsets(set(grown)) if durable(one, grown, tolerance)]
    assert all(one & other for one, other in product(before, after))


def test_what_the_members_cannot_bear_asks_for_all_of_them() -> None:
    one = Tolerance(1, 1, 1)
    assert durable({"0"}, members_of("a"), one)
    assert not durable({"0"}, members_of("ab"), one) and durable({"0", "1"}, members_of("ab"), one)
    assert not durable({"0", "1"}, members_of("aaa"), Tolerance(1, 1, 0))
    assert durable({"0", "1"}, members_of("aaa"), Tolerance(1, 0, 0))
    assert not durable({"0", "1"}, members_of("aab"), Tolerance(1, 1, 0))
    assert not durable({"0", "1"}, members_of("a b"), Tolerance(1, 1, 0))  # "1" may be in "a"
    assert durable({"0", "1"}, members_of("   "), Tolerance(1, 0, 0))  # places without a requirement
    assert not durable(set(), {}, one) and not durable({"0"}, {}, one)
    assert not durable({"x", "y", "0"}, members_of("abc"), Tolerance(0, 0, 0))
