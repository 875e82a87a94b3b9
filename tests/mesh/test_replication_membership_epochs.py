"""Views: quorums of neighbouring epochs overlap, and anything that is not a view is refused."""

from __future__ import annotations

from itertools import chain, combinations
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.replication.membership_epochs import (
    EMPTY_VIEW,
    MAX_CACHED_CHECKS,
    MAX_EPOCH,
    MAX_MEMBERS,
    View,
    read_view,
    write_view,
)
from mesh.replication.quorum import Place, Tolerance

PLACES = st.sampled_from([Place("a", "r"), Place("b", "r"), Place("c", "q")])
PART = st.dictionaries(st.sampled_from("12345"), PLACES, min_size=1, max_size=4)
TOLERANCE = st.builds(Tolerance, st.integers(0, 2), st.integers(0, 1), st.integers(0, 1))


def subsets(names: frozenset[str]) -> list[frozenset[str]]:
    combined = chain.from_iterable(combinations(sorted(names), size) for size in range(len(names) + 1))
    return [frozenset(one) for one in combined]


@settings(max_examples=150, deadline=None)
@given(PART, PART, TOLERANCE)
def test_quorums_of_neighbouring_epochs_meet(
    before: dict[str, Place], now: dict[str, Place], tolerance: Tolerance
) -> None:
    """Every accept quorum of one overlaps every prepare quorum of the other, in both directions."""
    views = [View(1, before), View(2, now, before), View(3, now)]
    everybody = subsets(frozenset(before) | frozenset(now))
    for one, other in ((0, 1), (1, 0), (1, 1), (1, 2), (2, 1)):
        accepts = [some for some in everybody if views[one].durable(some, tolerance)]
        prepares = [some for some in everybody if views[other].overlaps(some, tolerance)]
        assert accepts and prepares and all(some & another for some in accepts for another in prepares)


def test_verdicts_are_kept_up_to_a_bound_and_are_of_one_tolerance() -> None:
    view = View(1, {str(number): Place("", "") for number in range(12)})
    few, many = Tolerance(1, 0, 0), Tolerance(9, 0, 0)
    for holders in subsets(view.names)[:: 4096 // (2 * MAX_CACHED_CHECKS)]:
        assert view.durable(holders, few) is (len(holders) > 6)
        assert view.durable(holders, many) is (len(holders) > 9)
        assert view.overlaps(holders, few) is (len(holders) > 5)
        assert len(view._cached_checks) <= MAX_CACHED_CHECKS
    assert view == View(1, dict(view.members))


def test_a_joint_epoch_wants_a_quorum_of_both() -> None:
    at, one = Place("z", "r"), Tolerance(1, 0, 0)
    joint = View(2, dict.fromkeys("bcde", at), dict.fromkeys("abc", at))
    assert joint.joint and joint.names == frozenset("abcde")
    assert joint.durable("bcd", one) and not joint.durable("cde", one) and not joint.durable("abc", one)
    assert joint.overlaps("bcd", one) and not joint.overlaps("ab", one) and not joint.overlaps("ade", one)
    assert not EMPTY_VIEW.overlaps("a", one) and not EMPTY_VIEW.durable("a", one)


@given(st.integers(1, MAX_EPOCH - 1), PART, PART | st.none())
def test_what_is_written_reads_back(epoch: int, now: Any, before: Any) -> None:
    view = View(epoch, now, before)
    assert read_view(epoch, write_view(view)) == view


@pytest.mark.parametrize(
    ("epoch", "value"),
    [
        (0, {"now": {"a": ["z", "r"]}}),
        (MAX_EPOCH, {"now": {"a": ["z", "r"]}}),
        ("1", {"now": {"a": ["z", "r"]}}),
        (1, None),
        (1, {}),
        (1, {"now": {}}),
        (1, {"now": {"a": ["z"]}}),
        (1, {"now": {"a": ["z", "r"]}, "before": {}}),
        (1, {"now": {str(n): ["z", "r"] for n in range(MAX_MEMBERS + 1)}}),
    ],
)
def test_what_is_no_view_is_told(epoch: Any, value: Any) -> None:
    with pytest.raises(ValueError, match="view|member"):
        read_view(epoch, value)
