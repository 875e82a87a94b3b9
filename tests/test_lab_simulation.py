"""The simulation in virtual time: known results, one outcome for a seed, the four rules whatever happens."""

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

LIBRARY = Path(__file__).resolve().parent.parent / "lab" / "scenarios"
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


def made(**tables: Any) -> Scenario:
    return scenario.parse_scenario(scenario.merge_tables(SMALL, tables), "test")


def kept(row: Row) -> bool:
    return not (row.broke_lost or row.broke_twice or row.broke_drain or row.ran_twice or row.fault)


# One outcome for a scenario and a seed


def test_a_play_is_a_function_of_its_scenario_and_seed() -> None:
    play_scenario = made(troubles=[{"kind": "dead", "at_ms": 3000, "for_ms": 1500, "share": 0.4}])
    rows = [Simulation(play_scenario, seed).run() for seed in (1, 1, 2)]
    assert rows[0] == rows[1] != rows[2]


def test_policies_meet_the_same_calls_and_troubles_on_a_seed() -> None:
    """Common random numbers: what clients ask first does not hang on what becomes of it."""
    play_scenario = made(troubles=[{"kind": "silent", "at_ms": 3000, "for_ms": 1500, "share": 0.4}])
    seen = []
    for decides in (Random, LeastOfTwo):
        play = Simulation(play_scenario, 7, decides)
        play.run()
        seen.append(([made_.first for made_ in play.measures.bins], [s.speed for s in play.servers]))
    assert seen[0] == seen[1]


def test_how_often_a_stream_is_drawn_from_moves_no_other() -> None:
    alone, beside = Streams(5).of("a"), Streams(5)
    for _ in range(1000):
        beside.of("b").random()
    other = beside.of("a")
    assert [alone.random() for _ in range(600)] == [other.random() for _ in range(600)]


def test_both_orders_of_one_instant_can_be_played() -> None:
    rows = [Simulation(made(ties=ties, network={"jitter": 0.0}), 3).run() for ties in ("first", "last")]
    assert all(kept(row) and row.service > 0.9 for row in rows)


def test_decisions_do_not_hang_on_the_unit_of_time() -> None:
    """Every time slower by the same factor, every decision the same: no constant of the module is a time. The
    factor is a power of two, by which floats scale exactly."""
    times = ("_ms",)

    def slower(value: Any, name: str = "") -> Any:
        if isinstance(value, dict):
            return {key: slower(item, key) for key, item in value.items()}
        if isinstance(value, list | tuple) and not name.endswith(times):
            return [slower(item) for item in value]
        if name.endswith(times) or name == "seconds":
            return [8.0 * v for v in value] if isinstance(value, list | tuple) else 8.0 * value
        return value

    troubles = [
        {"kind": "silent", "at_ms": 3000.0, "for_ms": 1500.0, "share": 0.4},
        {"kind": "slow", "at_ms": 5000.0, "for_ms": 1500.0, "share": 0.4, "size": 6.0},
    ]
    play_scenario = made(troubles=troubles, load={"share": 0.85})
    plain = msgspec.to_builtins(play_scenario)
    rows = []
    for tree in (plain, slower(plain)):
        play = Simulation(scenario.parse_scenario(tree, "test"), 5, Balancer)
        factor = 1.0 if tree is plain else 8.0
        for sidecar in play.sidecars:  # what the platform sets is no part of a scenario
            rules = replace(sidecar.settings.rules, ask_within_ms=10_000.0 * factor)
            sidecar.settings = replace(sidecar.settings, tick_ms=factor, rules=rules)
        row = play.run()
        rows.append((row.calls, row.attempts, row.connects, row.refused, row.failed, row.service))
    assert rows[0] == rows[1]


# Known results


def test_waits_are_those_of_m_m_c() -> None:
    """One server of c workers: the mean wait by Erlang's C (Kleinrock, "Queueing Systems", vol. 1, 3.5)."""
    c, load, work = 4, 0.8, 20.0
    offered = c * load
    terms = [offered**k / math.factorial(k) for k in range(c)]
    last = offered**c / math.factorial(c) / (1.0 - load)
    wait = last / (sum(terms) + last) * work / (c * (1.0 - load))
    play_scenario = made(
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
        play = Simulation(msgspec.structs.replace(play_scenario, troubles=()), seed, Random)
        play.run()
        means.append(statistics.mean(play.measures.latencies) - work)
    error = statistics.stdev(means) / math.sqrt(len(means))
    assert abs(statistics.mean(means) - wait) < 3.0 * error < 0.4 * wait


def test_queues_of_two_choices_fall_off_doubly_fast() -> None:
    """Shares of servers with k or more calls are load^(2^k - 1) with two choices, load^k with one
    (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001)."""
    load, count = 0.8, 150

    def tail(decides: type[Random]) -> list[float]:
        play_scenario = made(
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
        play, found = Simulation(play_scenario, 1, decides), [0.0] * 6
        for turn in range(20):
            play.clock.schedule(2000.0 + 100.0 * turn, look, play, found)
        play.run()
        return found

    def look(play: Simulation, found: list[float]) -> None:
        held = [server.running + len(server.waiting) for server in play.servers]
        for k in range(6):
            found[k] += sum(number >= k for number in held) / count / 20.0

    two, one = tail(LeastOfTwo), tail(Random)
    for k in (1, 2, 3):
        assert abs(two[k] - load ** (2**k - 1)) < 0.06
        assert abs(one[k] - load**k) < 0.1
    assert two[5] < 0.005 < one[5]


# The rules, whatever befalls the simulated system


@pytest.mark.parametrize("kind", get_args(get_type_hints(Trouble)["kind"]))
def test_the_module_keeps_the_rules_through_each_trouble(kind: str) -> None:
    trouble = {"kind": kind, "at_ms": 2500, "for_ms": 2000, "share": 0.5, "size": 2.0, "member": "one"}
    play_scenario = made(troubles=[trouble], discovery={"mode": "ask"} if kind in ("away", "late") else {})
    play = Simulation(play_scenario, 11)
    row = play.run()
    assert kept(row) and row.calls > 500, play.checker.first_violations


@pytest.mark.parametrize("name", sorted(POLICIES))
def test_every_policy_keeps_the_rules_on_repeats_drains_and_answers(name: str) -> None:
    troubles = [
        {"kind": "drain", "at_ms": 2000, "for_ms": 2000, "share": 0.5},
        {"kind": "dead", "at_ms": 4500, "for_ms": 1000, "share": 0.4},
        {"kind": "errors", "at_ms": 3000, "for_ms": 2000, "share": 0.5, "size": 0.4},
    ]
    decides, watched = find_policy(name)
    play = Simulation(made(troubles=troubles, load={"share": 0.9}), 4, decides, watched)
    assert kept(play.run()), play.checker.first_violations


@pytest.mark.parametrize("seed", range(1, 25))
def test_the_rules_hold_on_any_drawn_deployment(seed: int) -> None:
    """The panel in the small: rules alone, over ranges beyond those of both operators."""
    source = scenario.load(LIBRARY / "anything.toml").with_changes(
        {"seconds": 8.0, "troubles.0.at_ms": 2500.0, "troubles.0.for_ms": 2000.0, "troubles.1.at_ms": 3500.0}
        | {"servers.count": 3 + seed % 7, "sidecars.count": 1 + seed % 4, "load.share": 0.3 + seed % 3 * 0.5}
        | {"servers.kinds.0.workers": 1 + seed % 2, "classes.0.work_ms": 20.0 + 10 * (seed % 5)}
    )
    play = Simulation(source.scenario_for(seed), seed)
    assert kept(play.run()), play.checker.first_violations


def test_a_simulation_with_no_server_for_a_while_refuses_and_comes_back() -> None:
    none = {"kind": "none", "at_ms": 2500, "for_ms": 2500}
    play = Simulation(made(troubles=[none], discovery={"notice_ms": [100, 200], "add_ms": [100, 200]}), 2)
    row = play.run()
    during = play.measures.bins[13:17]  # a try of a call that began later may be served when they are back
    assert kept(row) and sum(b.got for b in during) == 0.0 and sum(b.refused for b in during) > 50
    assert sum(b.got for b in play.measures.bins[-8:-4]) > 0.0


def test_a_sidecar_that_stood_still_is_not_blamed_for_clients_that_left_meanwhile() -> None:
    """Found by a hunt: what is due at its resumption answers requests whose clients it does not know to be
    gone."""
    pause = {"kind": "pause", "at_ms": 2000, "for_ms": 4000, "share": 0.6}
    play = Simulation(made(troubles=[pause], load={"share": 1.5}, clients={"tries": 1}), 18)
    row = play.run()
    assert kept(row) and row.lost > 0.02, play.checker.first_violations


def test_servers_that_return_before_the_list_tells_are_not_pushed_over() -> None:
    """Found by a hunt and reduced: one sidecar, three servers that end and are back, cold, four seconds
    later."""
    source = scenario.load(Path(__file__).resolve().parent / "reduced" / "returned_unheard.toml")
    assert Simulation(source.scenario_for(28), 28).run().falls == 0


# The checker sees what breaks them


class Bad(Random):
    """Breaks one rule on purpose."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        actions = super().handle(now, event)
        return [action for item in actions for action in self.worse(item)]

    def worse(self, action: api.Action) -> list[api.Action]:
        return [action]


class Repeats(Bad):
    def worse(self, action: api.Action) -> list[api.Action]:
        if isinstance(action, api.Fail):
            return [api.Send(action.request, sorted(self.servers)[0], 100.0), action]
        return [action]


class Refuses(Bad):
    def worse(self, action: api.Action) -> list[api.Action]:
        return [api.Refuse(action.request) if isinstance(action, api.Fail) else action]


class Silent(Bad):
    def worse(self, action: api.Action) -> list[api.Action]:
        return [] if isinstance(action, api.Refuse | api.Fail) else [action]


class Twice(Bad):
    def worse(self, action: api.Action) -> list[api.Action]:
        return [action, action] if isinstance(action, api.Refuse) else [action]


class Drains(Random):
    def _apply_list(self, event: api.ServerList) -> None:
        known = list(self.ready_servers)
        super()._apply_list(event)
        names = {server.entry.server for server in self.ready_servers}
        self.ready_servers += [server for server in known if server.entry.server not in names]


@pytest.mark.parametrize(
    ("decides", "rule"),
    [(Repeats, "twice"), (Refuses, "twice"), (Silent, "lost"), (Twice, "lost"), (Drains, "drain")],
)
def test_the_checker_names_the_rule_that_a_bad_policy_breaks(decides: type[Bad], rule: str) -> None:
    troubles = [
        {"kind": "errors", "at_ms": 1500, "for_ms": 4000, "share": 0.8, "size": 0.5},
        {"kind": "shrink", "at_ms": 1500, "for_ms": 500, "share": 0.5},
    ]
    play_scenario = made(troubles=troubles, allow={"drain_grace_ms": 300}, load={"share": 1.3})
    play = Simulation(play_scenario, 1, decides)
    row = play.run()
    assert getattr(row, f"broke_{rule}") > 0 and row.score == 0.0 and rule in play.checker.first_violations


def test_a_starting_server_that_gets_too_much_falls_and_that_counts() -> None:
    dead = {"kind": "dead", "at_ms": 3000, "for_ms": 500, "share": 0.5}
    row = Simulation(made(troubles=[dead], load={"share": 1.3}), 1, Random).run()
    assert row.falls > 0 and row.broke_fall == row.falls and row.peak > 2.5 and row.score == 0.0


class Restless(Random):
    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        return [*super().handle(now, event), api.SetTimer(0.0, -1)]


def test_a_policy_that_never_ends_is_ended() -> None:
    row = Simulation(made(most_events=20_000), 1, Restless).run()
    assert row.fault == "more than 20000 events by 0 ms" and row.score == 0.0 and row.events == 20_000


# Models


def test_a_server_that_turned_slow_stays_so_until_it_has_rested() -> None:
    choke = {"share": 1.0, "waiting": 2.0, "over_ms": 500, "slower": 3.0, "idle": 0.5, "idle_ms": 300}
    calls = {"seconds": 8, "load": {"share": 1.4}, "servers": {"choke": choke}}
    assert Simulation(made(**calls), 1, Random).run().chokes > 0
    calls["load"] = {"share": 0.3}
    assert Simulation(made(**calls), 1, Random).run().chokes == 0


def test_a_warm_key_costs_a_server_less() -> None:
    keys = {"count": 3, "gain": 0.8, "kept_ms": 4000.0}
    spans = [
        Simulation(made(load={"share": 0.5, "keys": item}), 1, Random).run().p50_ms for item in (keys, {})
    ]
    assert spans[0] < 0.6 * spans[1]


def test_a_loud_member_is_worth_a_tenth_beyond_its_part() -> None:
    members = [{"name": "a", "entitled": 0.5}, {"name": "b", "entitled": 0.1}]
    play = Simulation(made(members=members, load={"share": 0.6}, sidecars={"count": 1}), 1, Random)
    play.run()
    worth = [sum(v for (_, member), v in play.measures.offered_worth.items() if member == n) for n in (0, 1)]
    assert worth[1] < 0.6 * worth[0]


# The library


@pytest.mark.parametrize("path", sorted(LIBRARY.glob("*.toml")), ids=lambda path: path.stem)
def test_every_scenario_of_the_library_loads(path: Path) -> None:
    assert scenario.load(path).scenario_for(1).name == scenario.load(path).scenario_for(2).name


SET: Mapping[str, Mapping[str, Any]] = {
    "calm": {},
    "outage": {"troubles.0.at_ms": 2500.0, "troubles.0.for_ms": 1500.0},
    "release": {"troubles.0.at_ms": 1500.0, "troubles.0.for_ms": 4000.0, "troubles.1.at_ms": 2000.0},
    "rush": {},
    "loud": {"troubles.0.at_ms": 2000.0, "troubles.0.for_ms": 3000.0},
}
# Of what a small set of plays comes to. A commit that changes decisions or models changes it, and says so.
DIGEST = "8540be7419395505"


def test_a_small_set_of_plays_comes_to_what_it_came_to_before() -> None:
    rows = []
    for name, changes in SET.items():
        small = {"seconds": 7.0, "servers.count": 6, "sidecars.count": 3, "settle_ms": 1000.0}
        source = scenario.load(LIBRARY / f"{name}.toml").with_changes(small | dict(changes))
        for decides in ("module", "least of two"):
            row = Simulation(source.scenario_for(1), 1, *find_policy(decides)).run()
            rows.append([round(v, 9) if isinstance(v, float) else v for v in msgspec.structs.astuple(row)])
    assert xxhash.xxh3_64_hexdigest(msgspec.json.encode(rows)) == DIGEST


def test_a_play_over_real_sockets_keeps_the_rules_and_serves(tmp_path: Path) -> None:
    """Two real sidecars for three seconds, one protocol each; a server dies meanwhile. Nothing is timed."""
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
        found = socket_simulation.play(made(**tables), 1, speaks)  # type: ignore[arg-type]
        served = sum(item.served for item in found.measures.bins)
        assert kept(found.row) and served > 50, found.checker.first_violations
        assert found.latency.get_total_count() == served
