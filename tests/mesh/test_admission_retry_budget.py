"""The retry budget without coordination: in every sliding window all sidecars together keep to the rule."""

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mesh.admission.retry_budget import USED_SHARE, WINDOW_SLOTS, RetryBudget

WINDOW_MS = 1000.0
RATIO, SLACK = 0.3, 12.0
COUNTED_MS = WINDOW_MS * (WINDOW_SLOTS + 1) / WINDOW_SLOTS  # the greatest age of the first counted slot

Events = list[tuple[float, int, str]]  # milliseconds since the previous event, sidecar, kind of event


def excess(events: Events, sidecars: int, share: float, make: Callable[[], RetryBudget]) -> list[str]:
    """Windows in which all sidecars together spent more than ``share`` of what the rule allows."""
    budgets = [make() for _ in range(sidecars)]
    now, requests, retries, found = 0.0, [], [], []
    for wait, which, what in events:
        now += wait
        budget = budgets[which % sidecars]
        if what == "restart":
            budgets[which % sidecars] = make()
        elif what == "request":
            budget.record_request(now)
            requests.append(now)
        elif budget.try_spend(now, sidecars):
            retries.append(now)
            spent = sum(at > now - WINDOW_MS for at in retries)
            limit = share * (RATIO * sum(at > now - COUNTED_MS for at in requests) + SLACK)
            if spent > limit + 1e-9:
                found.append(f"{spent} within the window that ends at {now:g}, at most {limit:g}")
    return found


def budget() -> RetryBudget:
    return RetryBudget(RATIO, WINDOW_MS, SLACK)


WAITS = st.sampled_from([0.0, 0.0, 1.0, 7.0, 49.9, 50.0, 130.0, 950.0, 1001.0])
EVENTS = st.lists(
    st.tuples(WAITS, st.integers(0, 3), st.sampled_from(["request", "spend", "spend", "spend"])), max_size=120
)


@given(EVENTS, st.integers(1, 4))
@settings(max_examples=150)
def test_all_together_keep_to_their_half_in_every_window(events: Events, sidecars: int) -> None:
    assert not excess(events, sidecars, USED_SHARE, budget)


@given(EVENTS, st.integers(1, 4), st.sets(st.integers(0, 3)), st.integers(0, 119))
@settings(max_examples=150)
def test_each_may_start_anew_and_the_whole_rule_still_holds(
    events: Events, sidecars: int, restarted: set[int], at: int
) -> None:
    restarts = [(0.0, which, "restart") for which in restarted if which < sidecars]
    assert not excess(events[:at] + restarts + events[at:], sidecars, 1.0, budget)


class ForgetsTheSpent(RetryBudget):
    def try_spend(self, now: float, sidecars: int) -> bool:
        spent = super().try_spend(now, sidecars)
        self._slots[-1][2] = 0.0
        return spent


class AllTheSlackForEach(RetryBudget):
    def try_spend(self, now: float, sidecars: int) -> bool:
        return super().try_spend(now, 1)


@pytest.mark.parametrize(
    "faulty",
    [
        lambda: ForgetsTheSpent(RATIO, WINDOW_MS, SLACK),
        lambda: AllTheSlackForEach(RATIO, WINDOW_MS, SLACK),
        lambda: RetryBudget(RATIO, WINDOW_MS / 2, SLACK),
        lambda: RetryBudget(2 * RATIO, WINDOW_MS, 2 * SLACK),
    ],
)
def test_the_property_sees_a_budget_that_gives_too_much(faulty: Any) -> None:
    pressed: Events = [(20.0, which % 3, "request" if which % 5 == 0 else "spend") for which in range(200)]
    assert excess(pressed, 3, USED_SHARE, faulty)


def test_another_rule_holds_at_once_and_forgets_nothing_that_was_spent() -> None:
    one = budget()
    for _ in range(100):
        one.record_request(0.0)
    assert [one.try_spend(0.0, 1) for _ in range(10)] == [True] * 10  # of half of 0.3 x 100 + 12
    one.tune(10.0, RATIO / 3.0, 2.0 * WINDOW_MS, SLACK)
    assert [one.try_spend(20.0, 1) for _ in range(2)] == [True, False]  # of half of 0.1 x 100 + 12
    one.tune(30.0, RATIO, WINDOW_MS, SLACK)
    assert [one.try_spend(40.0, 1) for _ in range(11)] == [True] * 10 + [False]


def test_a_request_that_is_taken_anew_counts_once() -> None:
    one = RetryBudget(1.0, WINDOW_MS, 0.0)
    for _ in range(8):
        one.record_request(0.0)
        one.withdraw_request(0.0)
        one.record_request(0.0)
    assert [one.try_spend(0.0, 1) for _ in range(5)] == [True] * 4 + [False]


def test_what_is_used_up_comes_back_after_the_window_and_the_table_has_its_bound() -> None:
    one = budget()
    assert [one.try_spend(0.0, 1) for _ in range(8)] == [True] * 6 + [False] * 2
    assert (one.spent, one.denied) == (6, 2)
    assert not one.try_spend(WINDOW_MS, 1)
    assert one.try_spend(WINDOW_MS + 2 * WINDOW_MS / WINDOW_SLOTS, 1)
    for at in range(1000):
        one.record_request(2000.0 + 33.0 * at)
        assert len(one._slots) <= WINDOW_SLOTS + 1
