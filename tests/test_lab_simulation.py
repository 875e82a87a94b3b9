"""The simulation in virtual time: determinism, known queueing results, the four rules under all faults."""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec
import pytest
import xxhash

from hareloom import Balancer
from hareloom import interface as api
from lab import scenario, socket_simulation
from lab.measures import Row
from lab.policies import POLICIES, find_policy
from lab.policies.choices import LeastOfTwo, Random
from lab.scenario_tables import Scenario, Trouble
from lab.simulation import Simulation
from lab.streams import Streams

SCENARIOS = Path(__file__).resolve().parent.parent / "lab" / "scenarios"
SMALL: dict[str, Any] = {
    "name": "small",
    "seconds": 9,
    "settle_ms": 1000,
    "servers": {"count": 6, "kinds": [{"workers": 1}], "warm_up_ms": 1500, "queue": 10, "speed_cv": 0.2},
    "network": {"zones": ["a", "b"]},
    "sidecars": {"count": 3, "uneven": 0.5},
    "clients": {"ignoring": 0.2, "impatient": 0.05},
    "discovery": {"silent_notice_ms": [500, 1500]},
}


def variant(**tables: Any) -> Scenario:
    return scenario.parse_scenario(scenario.merge_tables(SMALL, tables), "test")


def rules_kept(row: Row) -> bool:
    return not (row.broke_lost or row.broke_twice or row.broke_drain or row.ran_twice or row.fault)


# Determinism


def test_a_run_is_a_function_of_its_scenario_and_seed() -> None:
    config = variant(troubles=[{"kind": "dead", "at_ms": 3000, "for_ms": 1500, "share": 0.4}])
    rows = [Simulation(config, seed).run() for seed in (1, 1, 2)]
    assert rows[0] == rows[1] != rows[2]


def test_policies_meet_the_same_calls_and_troubles_on_a_seed() -> None:
    """Common random numbers: the calls that clients start do not depend on their outcomes."""
    config = variant(troubles=[{"kind": "silent", "at_ms": 3000, "for_ms": 1500, "share": 0.4}])
    seen = []
    for policy_class in (Random, LeastOfTwo):
        simulation = Simulation(config, 7, policy_class)
        simulation.run()
        seen.append(([b.first for b in simulation.measures.bins], [s.speed for s in simulation.servers]))
    assert seen[0] == seen[1]


def test_draws_from_one_stream_do_not_affect_another() -> None:
    alone, beside = Streams(5).of("a"), Streams(5)
    for _ in range(1000):
        beside.of("b").random()
    other = beside.of("a")
    assert [alone.random() for _ in range(600)] == [other.random() for _ in range(600)]


def test_simultaneous_events_can_run_in_either_order() -> None:
    rows = [Simulation(variant(ties=ties, network={"jitter": 0.0}), 3).run() for ties in ("first", "last")]
    assert all(rules_kept(row) and row.service > 0.9 for row in rows)


def test_decisions_do_not_hang_on_the_unit_of_time() -> None:
    """With all times scaled by the same factor, every decision is the same: no constant of the balancer is a
    time. The factor is a power of two, by which floats scale exactly."""
    times = ("_ms",)

    def scaled(value: Any, name: str = "") -> Any:
        if isinstance(value, dict):
            return {key: scaled(item, key) for key, item in value.items()}
        if isinstance(value, list | tuple) and not name.endswith(times):
            return [scaled(item) for item in value]
        if name.endswith(times) or name == "seconds":
            return [8.0 * v for v in value] if isinstance(value, list | tuple) else 8.0 * value
        return value

    troubles = [
        {"kind": "silent", "at_ms": 3000.0, "for_ms": 1500.0, "share": 0.4},
        {"kind": "slow", "at_ms": 5000.0, "for_ms": 1500.0, "share": 0.4, "size": 6.0},
    ]
    config = variant(troubles=troubles, load={"share": 0.85})
    plain = msgspec.to_builtins(config)
    rows = []
    for tree in (plain, scaled(plain)):
        simulation = Simulation(scenario.parse_scenario(tree, "test"), 5, Balancer)
        factor = 1.0 if tree is plain else 8.0
        for sidecar in simulation.sidecars:  # settings of the platform are not part of a scenario
            rules = replace(sidecar.settings.rules, ask_within_ms=10_000.0 * factor)
            sidecar.settings = replace(sidecar.settings, tick_ms=factor, rules=rules)
        row = simulation.run()
        rows.append((row.calls, row.attempts, row.connects, row.refused, row.failed, row.service))
    assert rows[0] == rows[1]


# Known results


def test_mean_wait_of_one_server_is_that_of_m_m_c() -> None:
    """One server of c workers: the mean wait by Erlang's C formula (Kleinrock, "Queueing Systems", vol. 1,
    3.5)."""
    c, load, work = 4, 0.8, 20.0
    offered = c * load
    terms = [offered**k / math.factorial(k) for k in range(c)]
    last = offered**c / math.factorial(c) / (1.0 - load)
    wait = last / (sum(terms) + last) * work / (c * (1.0 - load))
    config = variant(
        seconds=60,
        servers={"count": 1, "kinds": [{"workers": c}], "queue": 10_000, "thrash": 0.0, "speed_cv": 0.0}
        | {"handshake_ms": 0.0, "handshake_rtts": 0.0, "connections": 20_000},
        network={"same_ms": 0.0, "cross_ms": 0.0},
        classes=[
            {"name": "m", "dist": "exp", "noise": 0.0, "aim_ms": 1e5, "deadline_ms": 1e5, "work_ms": work}
        ],
        load={"share": load},
        sidecars={"count": 1},
    )
    means = []
    for seed in range(6):
        simulation = Simulation(msgspec.structs.replace(config, troubles=()), seed, Random)
        simulation.run()
        means.append(statistics.mean(simulation.measures.latencies) - work)
    error = statistics.stdev(means) / math.sqrt(len(means))
    assert abs(statistics.mean(means) - wait) < 3.0 * error < 0.4 * wait


def test_queue_lengths_with_two_choices_fall_off_doubly_exponentially() -> None:
    """The share of servers with k or more calls is load^(2^k - 1) with two choices and load^k with one
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001)."""
    load, count = 0.8, 150

    def tail(policy_class: type[Random]) -> list[float]:
        config = variant(
            seconds=4,
            servers={"count": count, "queue": 10_000, "thrash": 0.0, "speed_cv": 0.0, "connections": 20_000}
            | {"handshake_ms": 0.0, "handshake_rtts": 0.0},
            network={"same_ms": 0.0, "cross_ms": 0.0, "zones": ["a"]},
            classes=[
                {"name": "m", "dist": "exp", "noise": 0.0, "aim_ms": 1e5, "deadline_ms": 1e5, "work_ms": 20.0}
            ],
            load={"share": load},
            sidecars={"count": 1},
        )
        simulation, found = Simulation(config, 1, policy_class), [0.0] * 6
        for turn in range(20):
            simulation.clock.schedule(2000.0 + 100.0 * turn, look, simulation, found)
        simulation.run()
        return found

    def look(simulation: Simulation, found: list[float]) -> None:
        held = [server.running + len(server.waiting) for server in simulation.servers]
        for k in range(6):
            found[k] += sum(number >= k for number in held) / count / 20.0

    two, one = tail(LeastOfTwo), tail(Random)
    for k in (1, 2, 3):
        assert abs(two[k] - load ** (2**k - 1)) < 0.06
        assert abs(one[k] - load**k) < 0.1
    assert two[5] < 0.005 < one[5]


# The rules under faults


@pytest.mark.parametrize("kind", get_args(get_type_hints(Trouble)["kind"]))
def test_the_balancer_keeps_the_rules_under_each_trouble(kind: str) -> None:
    trouble = {"kind": kind, "at_ms": 2500, "for_ms": 2000, "share": 0.5, "size": 2.0, "member": "one"}
    config = variant(troubles=[trouble], discovery={"mode": "ask"} if kind in ("away", "late") else {})
    simulation = Simulation(config, 11)
    row = simulation.run()
    assert rules_kept(row) and row.calls > 500, simulation.checker.first_violations


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_every_policy_keeps_the_rules_on_repeats_drains_and_answers(name: str) -> None:
    troubles = [
        {"kind": "drain", "at_ms": 2000, "for_ms": 2000, "share": 0.5},
        {"kind": "dead", "at_ms": 4500, "for_ms": 1000, "share": 0.4},
        {"kind": "errors", "at_ms": 3000, "for_ms": 2000, "share": 0.5, "size": 0.4},
    ]
    policy_class, watch_storms = find_policy(name)
    simulation = Simulation(variant(troubles=troubles, load={"share": 0.9}), 4, policy_class, watch_storms)
    assert rules_kept(simulation.run()), simulation.checker.first_violations


@pytest.mark.parametrize("seed", range(1, 25))
def test_the_rules_hold_on_any_drawn_deployment(seed: int) -> None:
    """Drawn deployments over wider ranges than those of both operators; only the rules are checked."""
    source = scenario.load(SCENARIOS / "anything.toml").with_changes(
        {"seconds": 8.0, "troubles.0.at_ms": 2500.0, "troubles.0.for_ms": 2000.0, "troubles.1.at_ms": 3500.0}
        | {"servers.count": 3 + seed % 7, "sidecars.count": 1 + seed % 4, "load.share": 0.3 + seed % 3 * 0.5}
        | {"servers.kinds.0.workers": 1 + seed % 2, "classes.0.work_ms": 20.0 + 10 * (seed % 5)}
    )
    simulation = Simulation(source.scenario_for(seed), seed)
    assert rules_kept(simulation.run()), simulation.checker.first_violations


def test_with_no_servers_for_a_while_calls_are_refused_until_they_return() -> None:
    none = {"kind": "none", "at_ms": 2500, "for_ms": 2500}
    simulation = Simulation(
        variant(troubles=[none], discovery={"notice_ms": [100, 200], "add_ms": [100, 200]}), 2
    )
    row = simulation.run()
    during = simulation.measures.bins[13:17]  # tries of later calls may be served after the return
    assert rules_kept(row) and sum(b.got for b in during) == 0.0 and sum(b.refused for b in during) > 50
    assert sum(b.got for b in simulation.measures.bins[-8:-4]) > 0.0


def test_a_paused_sidecar_is_not_blamed_for_clients_that_left_meanwhile() -> None:
    """When a paused sidecar resumes, its overdue timers answer requests whose clients have gone without its
    knowledge. Found by a random search."""
    pause = {"kind": "pause", "at_ms": 2000, "for_ms": 4000, "share": 0.6}
    simulation = Simulation(variant(troubles=[pause], load={"share": 1.5}, clients={"tries": 1}), 18)
    row = simulation.run()
    assert rules_kept(row) and row.lost > 0.02, simulation.checker.first_violations


def test_servers_that_return_before_the_list_reports_it_are_not_overloaded() -> None:
    """One sidecar and three servers that stop and return cold four seconds later, before the list reports it.
    Found by a random search and reduced."""
    source = scenario.load(Path(__file__).resolve().parent / "reduced" / "returned_unheard.toml")
    assert Simulation(source.scenario_for(28), 28).run().falls == 0


# The checker detects violations


class RuleBreaker(Random):
    """A policy that breaks one rule on purpose, by replacing its actions."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        return [action for item in actions for action in self.replace_action(item)]

    def replace_action(self, action: api.Action) -> list[api.Action]:
        return [action]


class Repeats(RuleBreaker):
    def replace_action(self, action: api.Action) -> list[api.Action]:
        if isinstance(action, api.Fail):
            return [api.Send(action.request, sorted(self.servers)[0], 100.0), action]
        return [action]


class Refuses(RuleBreaker):
    def replace_action(self, action: api.Action) -> list[api.Action]:
        return [api.Refuse(action.request) if isinstance(action, api.Fail) else action]


class Silent(RuleBreaker):
    def replace_action(self, action: api.Action) -> list[api.Action]:
        return [] if isinstance(action, api.Refuse | api.Fail) else [action]


class AnswersAgain(RuleBreaker):
    def replace_action(self, action: api.Action) -> list[api.Action]:
        return [action, action] if isinstance(action, api.Refuse) else [action]


class IgnoresDrain(Random):
    def _apply_list(self, event: api.ServerList) -> None:
        known = list(self.ready_servers)
        super()._apply_list(event)
        names = {server.entry.server for server in self.ready_servers}
        self.ready_servers += [server for server in known if server.entry.server not in names]


@pytest.mark.parametrize(
    ("policy_class", "rule"),
    [
        (Repeats, "twice"),
        (Refuses, "twice"),
        (Silent, "lost"),
        (AnswersAgain, "lost"),
        (IgnoresDrain, "drain"),
    ],
)
def test_the_checker_names_the_rule_that_a_policy_breaks(policy_class: type[RuleBreaker], rule: str) -> None:
    troubles = [
        {"kind": "errors", "at_ms": 1500, "for_ms": 4000, "share": 0.8, "size": 0.5},
        {"kind": "shrink", "at_ms": 1500, "for_ms": 500, "share": 0.5},
    ]
    config = variant(troubles=troubles, allow={"drain_grace_ms": 300}, load={"share": 1.3})
    simulation = Simulation(config, 1, policy_class)
    row = simulation.run()
    assert (
        getattr(row, f"broke_{rule}") > 0 and row.score == 0.0 and rule in simulation.checker.first_violations
    )


def test_an_overloaded_cold_server_crashes_and_the_row_counts_it() -> None:
    dead = {"kind": "dead", "at_ms": 3000, "for_ms": 500, "share": 0.5}
    row = Simulation(variant(troubles=[dead], load={"share": 1.3}), 1, Random).run()
    assert row.falls > 0 and row.broke_fall == row.falls and row.peak > 2.5 and row.score == 0.0


class EndlessTimers(Random):
    """A policy that sets a new timer at every event."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [*super().handle(now, event), api.SetTimer(0.0, -1)]


def test_a_run_with_endless_events_is_stopped() -> None:
    row = Simulation(variant(most_events=20_000), 1, EndlessTimers).run()
    assert row.fault == "more than 20000 events by 0 ms" and row.score == 0.0 and row.events == 20_000


# Models


def test_a_choked_server_stays_slow_until_its_load_has_been_low() -> None:
    choke = {"share": 1.0, "waiting": 2.0, "over_ms": 500, "slower": 3.0, "idle": 0.5, "idle_ms": 300}
    calls = {"seconds": 8, "load": {"share": 1.4}, "servers": {"choke": choke}}
    assert Simulation(variant(**calls), 1, Random).run().chokes > 0
    calls["load"] = {"share": 0.3}
    assert Simulation(variant(**calls), 1, Random).run().chokes == 0


def test_a_cached_key_needs_less_work() -> None:
    keys = {"count": 3, "gain": 0.8, "kept_ms": 4000.0}
    spans = [
        Simulation(variant(load={"share": 0.5, "keys": item}), 1, Random).run().p50_ms for item in (keys, {})
    ]
    assert spans[0] < 0.6 * spans[1]


def test_calls_beyond_a_members_entitlement_are_worth_a_tenth() -> None:
    members = [{"name": "a", "entitled": 0.5}, {"name": "b", "entitled": 0.1}]
    simulation = Simulation(variant(members=members, load={"share": 0.6}, sidecars={"count": 1}), 1, Random)
    simulation.run()
    worth = [sum(v for (_, m), v in simulation.measures.offered_worth.items() if m == n) for n in (0, 1)]
    assert worth[1] < 0.6 * worth[0]


# The scenario files


@pytest.mark.parametrize("path", sorted(SCENARIOS.glob("*.toml")), ids=lambda path: path.stem)
def test_every_scenario_file_loads(path: Path) -> None:
    assert scenario.load(path).scenario_for(1).name == scenario.load(path).scenario_for(2).name


CHANGES_BY_SCENARIO: Mapping[str, Mapping[str, Any]] = {
    "calm": {},
    "outage": {"troubles.0.at_ms": 2500.0, "troubles.0.for_ms": 1500.0},
    "release": {"troubles.0.at_ms": 1500.0, "troubles.0.for_ms": 4000.0, "troubles.1.at_ms": 2000.0},
    "rush": {},
    "loud": {"troubles.0.at_ms": 2000.0, "troubles.0.for_ms": 3000.0},
}
# Digest of the rows of a small set of runs. A commit that changes decisions or models updates it.
DIGEST = "8540be7419395505"


def test_a_small_set_of_runs_gives_the_same_rows_as_before() -> None:
    rows = []
    for name, changes in CHANGES_BY_SCENARIO.items():
        small = {"seconds": 7.0, "servers.count": 6, "sidecars.count": 3, "settle_ms": 1000.0}
        source = scenario.load(SCENARIOS / f"{name}.toml").with_changes(small | dict(changes))
        for policy_name in ("module", "least of two"):
            row = Simulation(source.scenario_for(1), 1, *find_policy(policy_name)).run()
            rows.append([round(v, 9) if isinstance(v, float) else v for v in msgspec.structs.astuple(row)])
    assert xxhash.xxh3_64_hexdigest(msgspec.json.encode(rows)) == DIGEST


def test_a_run_over_real_sockets_keeps_the_rules_and_serves(tmp_path: Path) -> None:
    """Two real sidecars for three seconds, one per protocol, while a server crashes. No times are checked."""
    patient = {
        "name": "sale",
        "aim_ms": 5000.0,
        "deadline_ms": 9000.0,
        "effect": "keyed",
        "window_ms": 9000.0,
    }
    dead = {"kind": "dead", "at_ms": 1000.0, "for_ms": 800.0, "share": 0.3}
    tables: dict[str, Any] = {"seconds": 3, "settle_ms": 0, "classes": [patient], "troubles": [dead]}
    tables |= {"load": {"share": 0.3}, "sidecars": {"count": 1}, "clients": {"impatient": 0.0}}
    for speaks in ("http", "rpc"):
        found = socket_simulation.play(variant(**tables), 1, speaks)  # type: ignore[arg-type]
        served = sum(item.served for item in found.measures.bins)
        assert rules_kept(found.row) and served > 50, found.checker.first_violations
        assert found.latency.get_total_count() == served
