"""The CPU budget of decisions: no window exceeds it, levels have hysteresis, service degrades gradually."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hareloom import Balancer
from hareloom import interface as api
from hareloom.governor import BUCKET_MS, FULL, RATE_SHARE, SAMPLED, SHED, Governor
from lab import scenario
from lab.policies.choices import LeastOfTwo
from lab.sidecars import Policy
from lab.simulation import Simulation

COSTS = api.Costs(request=4.0, pick=18.0, look=0.4, ended=14.0, timer=6.0, entry=4.0, other=2.0)
CLASSES = (
    api.RequestClass("much", 100.0, 400.0, worth=10.0, late_worth=0.2),
    api.RequestClass("less", 100.0, 400.0, worth=1.0, late_worth=0.2, effect=api.Effect.SAFE),
)
BUDGET = 20_000.0
SETTINGS = api.Settings(
    CLASSES, limits=api.Limits(cpu_us_per_s=BUDGET, max_retry_after_ms=2000.0), costs=COSTS
)
BUSY = Path(__file__).resolve().parent.parent / "lab" / "scenarios" / "busy.toml"


@given(st.lists(st.tuples(st.floats(0.0, 400.0), st.booleans()), max_size=200))
def test_no_window_spends_more_than_its_budget(steps: list[tuple[float, bool]]) -> None:
    """Work that is done only if the bucket can pay for it keeps to the rate plus one bucket in any window."""
    governor, now, spent = Governor(SETTINGS), 0.0, list[tuple[float, float]]()
    for gap, most_worth in steps:
        now += gap
        governor.refill(now)
        while governor.tokens >= governor.mean_cost and governor.affords(most_worth) and len(spent) < 4000:
            governor.spend(governor.mean_cost)
            spent.append((now, governor.mean_cost))
    for index, (begin, _) in enumerate(spent[:: max(len(spent) // 50, 1)]):
        window = [cost for when, cost in spent[index:] if begin <= when <= begin + 1000.0]
        assert sum(window) <= (RATE_SHARE + BUCKET_MS / 1000.0) * BUDGET + governor.mean_cost
    assert -governor.capacity <= governor.tokens <= governor.capacity and FULL <= governor.level <= SHED


def test_effort_falls_in_steps_and_recovers_with_hysteresis() -> None:
    governor, seen = Governor(SETTINGS), list[int]()
    governor.refill(0.0)
    while governor.tokens > 0.0:
        governor.spend(10.0)
        seen.append(governor.level)
    assert seen == sorted(seen) and set(seen) == {0, 1, 2, 3}
    shed_at = seen.index(SHED) / len(seen)
    for now in range(1, 200):
        governor.refill(float(now))
        governor.spend(0.0)
        if governor.level < SHED:
            break
    assert governor.tokens / governor.capacity > 1.0 - shed_at + 0.1


def test_a_fill_near_a_threshold_does_not_make_the_level_oscillate() -> None:
    governor, level_changes, last = Governor(SETTINGS), 0, FULL
    for step in range(2000):  # spends at the refill rate in lumps, so the fill stays near one value
        governor.refill(float(step))
        governor.spend(governor.rate + (40.0 if step % 2 else -governor.rate))
        level_changes, last = level_changes + (governor.level != last), governor.level
    assert level_changes <= 6


@pytest.mark.parametrize("delay", [float("nan"), float("inf"), -1.0, 0.0, 1e300])
def test_an_invalid_delay_from_the_host_has_no_lasting_effect(delay: float) -> None:
    governor = Governor(SETTINGS)
    governor.on_delay(delay)
    governor.refill(0.0)
    governor.refill(10_000.0)  # a hundred aims: the delay has decayed
    governor.spend(0.0)
    assert governor.level == FULL


@pytest.mark.parametrize("cost", [0.0, 10e6])
def test_costs_of_zero_and_of_ten_seconds(cost: float) -> None:
    """Costs of 0: nothing is charged. Costs of ten seconds: every request is refused at once."""
    costs = api.Costs(cost, cost, cost, cost, cost, cost, cost)
    module = Balancer(replace(SETTINGS, costs=costs), 1)
    module.handle(0.0, api.ServerList(api.ListKind.FULL, 1, (api.ServerEntry("s"),)))
    for at in range(50):
        actions = module.handle(10.0 * at, api.Request(f"r{at}", "much", 10.0 * at + 400.0))
        finals = [item for item in actions if isinstance(item, api.Refuse)]
        assert len(finals) == (1 if cost else 0) or not cost
    assert (module.governor.level == SHED) == bool(cost) and not (cost and module.requests)


def test_requests_of_less_worth_are_refused_first_with_a_retry_delay() -> None:
    module = Balancer(SETTINGS, 1)
    module.handle(0.0, api.ServerList(api.ListKind.FULL, 1, (api.ServerEntry("s"),)))
    refused = {"much": 0, "less": 0}
    for at in range(3000):
        name = ("much", "less")[at % 2]
        for action in module.handle(1.0 * at, api.Request(f"r{at}", name, 1.0 * at + 400.0)):
            if isinstance(action, api.Refuse):
                refused[name] += 1
                assert action.retry_after_ms > 0.0
            elif isinstance(action, api.Send):
                module.handle(1.0 * at, api.AttemptEnded(action.request, 0, api.Outcome.OK, 20.0, True))
    assert refused["less"] > 2 * refused["much"]


def test_a_delayed_event_loop_lowers_effort_until_it_recovers() -> None:
    module = Balancer(replace(SETTINGS, costs=api.Costs()), 1)  # no budget: only the delay counts
    for delay, level in ((5.0, FULL), (15.0, SAMPLED), (60.0, SHED)):
        module.handle(0.0, api.Late(delay))
        assert module.governor.level == level
    for at in range(10):  # the delay decays with any event
        module.handle(100.0 + 100.0 * at, api.ClientGone("nobody"))
    assert module.governor.level == FULL


def service(balancer: Policy, share: float) -> float:
    source = scenario.load(BUSY).with_changes({"seconds": 6.0, "settle_ms": 1000.0, "load.share": share})
    return Simulation(source.scenario_for(1), 1, balancer).run().service


def test_service_degrades_gradually_where_a_textbook_policy_collapses() -> None:
    """Traffic from within the budget up to three times as much: as much as the budget allows is served."""
    services = {share: service(Balancer, share) for share in (0.3, 0.45, 0.9)}
    assert services[0.3] > 0.99 and services[0.45] > 0.85
    assert services[0.9] > 0.5 > service(LeastOfTwo, 0.9)
