"""The rules of the paper's round-robin (Cicconetti et al.), each checked on a small example."""

from collections import Counter

import pytest
from helpers import Driver

from hareloom import interface as api
from hareloom.activity import ALPHA


def test_first_sample_sets_w_and_later_ones_are_smoothed() -> None:
    driver = Driver()
    driver.listed("a")
    driver.serve(latency=100.0)
    assert driver.server("a").w == pytest.approx(100.0)
    for _ in range(30):
        driver.serve(latency=100.0)
    old, cost = driver.server("a").w, driver.cost("a")
    request = driver.ask()
    driver.now += 200.0
    driver.end(request, api.Outcome.OK, 200.0)
    keep = ALPHA
    assert driver.server("a").w == pytest.approx(keep * old + (1 - keep) * 200.0 / cost)


def test_shares_follow_inverse_latency() -> None:
    driver = Driver()
    driver.listed("a", "b")
    driver.warm({"a": 50.0, "b": 100.0})
    latency = {"a": 50.0, "b": 100.0}
    count: Counter[str] = Counter()
    for _ in range(300):
        request = driver.ask()
        server = driver.sent[request][0]
        count[server] += 1
        driver.now += latency[server]
        driver.end(request, api.Outcome.OK, latency[server])
    assert count["a"] / count["b"] == pytest.approx(2.0, rel=0.1)


def test_the_lowest_deficit_is_chosen_and_charged_its_w() -> None:
    driver = Driver()
    driver.listed("a", "b")
    driver.warm({"a": 80.0, "b": 80.0})
    driver.server("a").deficit, driver.server("b").deficit = 30.0, 20.0
    expected = driver.server("b").w * driver.cost("b")
    request = driver.ask()
    assert driver.sent[request] == ["b"]
    assert driver.server("b").deficit == pytest.approx(20.0 + expected)
    assert driver.server("a").deficit == 30.0


def test_a_slow_server_leaves_and_a_trial_brings_it_back() -> None:
    driver = Driver()
    names = [f"s{number}" for number in range(8)]
    driver.listed(*names)
    driver.warm(dict.fromkeys(names, 50.0))
    slow = driver.server("s0")
    while slow.active:
        request = driver.ask()
        late = 350.0 if driver.sent[request] == ["s0"] else 50.0
        driver.now += late
        driver.end(request, api.Outcome.OK, late)
    assert not slow.active and slow.trial_at > driver.now
    assert driver.sent[driver.ask()] != ["s0"], "no trial before it is due"
    driver.now = slow.trial_at
    trial = driver.ask()
    assert driver.sent[trial] == ["s0"]
    assert driver.sent[driver.ask()] != ["s0"], "only one trial at a time"
    cost = driver.cost("s0")
    driver.now += 60.0
    driver.end(trial, api.Outcome.OK, 60.0)
    assert slow.active and slow.backoff == driver.balancer.activity.backoff_min
    assert slow.w == pytest.approx(60.0 / cost)


def test_admission_lowers_every_deficit_by_the_lowest() -> None:
    driver = Driver()
    driver.listed("a", "b")
    driver.warm({"a": 50.0, "b": 50.0})
    driver.server("a").deficit, driver.server("b").deficit = 700.0, 730.0
    driver.listed("c", kind=api.ListKind.DELTA)
    trial = driver.ask()
    assert driver.sent[trial] == ["c"], "a new server gets a trial at once"
    driver.now += 50.0
    driver.end(trial, api.Outcome.OK, 50.0)
    assert (driver.server("a").deficit, driver.server("b").deficit) == (0.0, 30.0)
    assert driver.server("c").active


def test_a_failed_trial_doubles_the_wait_up_to_a_limit() -> None:
    driver = Driver()
    names = [f"s{number}" for number in range(8)]
    driver.listed(*names)
    driver.warm(dict.fromkeys(names, 50.0))
    slow = driver.server("s0")
    slow.active, slow.trial_at = False, driver.now
    waits = []
    for _ in range(6):
        driver.now = max(driver.now, slow.trial_at)
        driver.balancer.activity.trials.tokens = 1.0
        trial = driver.ask()
        assert driver.sent[trial] == ["s0"]
        waits.append(slow.backoff)
        driver.end(trial, api.Outcome.ERROR)
    aims = [wait / driver.balancer.mean_aim for wait in waits]
    assert aims == pytest.approx([0.87, 1.74, 3.48, 6.96, 7.0, 7.0])


def test_a_fast_error_counts_as_the_deadline_at_least() -> None:
    driver = Driver()
    driver.listed("a", "b", "c", "d")
    driver.warm(dict.fromkeys("abcd", 50.0))
    request = driver.ask()
    server = driver.server(driver.sent[request][0])
    before = server.w
    driver.now += 1.0
    driver.end(request, api.Outcome.ERROR, 1.0)
    assert server.w > before


def test_with_nothing_active_the_soonest_due_trial_takes_the_request() -> None:
    driver = Driver()
    driver.listed("a", "b")
    for name, due in (("a", 5000.0), ("b", 3000.0)):
        driver.server(name).trial_at = due
        driver.server(name).w = 50.0
    assert driver.sent[driver.ask()] == ["b"]


def test_a_cancelled_attempt_gives_no_sample_unless_overdue() -> None:
    driver = Driver()
    driver.listed("a")
    driver.warm({"a": 50.0})
    for wait, learns in ((10.0, False), (300.0, True)):
        samples = driver.server("a").samples
        request = driver.ask()
        driver.now += wait
        driver.give(api.ClientGone(request))
        driver.end(request, api.Outcome.CANCELLED, wait)
        assert (driver.server("a").samples > samples) is learns
