"""Storm detection: statistics of scripted traffic, changes of state, retry delays and the running program."""

from __future__ import annotations

import asyncio
import json
import math
import random
import re
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_process import ROOT, config

from anisestair.configure.operator_file import OperatorError, load
from anisestair.states import command as states_command
from anisestair.states import storm_state
from anisestair.storms import command, report, table
from anisestair.storms import state as storm_rules
from anisestair.storms.advice import SPREAD, RetryDelay
from anisestair.storms.figures import (
    MAX_EXPECTED_RETRIES,
    SLOT_COUNT,
    SLOT_MS,
    TrafficMonitor,
    TrafficSnapshot,
)
from anisestair.storms.state import Change, State, StormDetector, has_fault_evidence
from anisestair.storms.watch import MAX_CHANGES, Watch
from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState
from lab import scenario
from lab.simulation import Simulation
from rigs import fleet
from statecheck import check_liveness, explore

CALM = TrafficSnapshot(
    request_rate=100.0,
    original_rate=100.0,
    baseline_rate=100.0,
    retry_share=0.0,
    unserved_share=0.0,
    connect_rate=0.0,
    connect_failure_share=0.0,
    error_share=0.0,
    success_rate=100.0,
    servers=10,
    unresponsive_share=0.0,
    warming_servers=0,
    warming_rate_share=1.0,
    oldest_answer_ms=50.0,
)
UNRESPONSIVE = replace(CALM, unresponsive_share=0.18)
STORM = replace(CALM, request_rate=220.0, unserved_share=0.5, retry_share=0.55, unresponsive_share=0.18)
SUBSIDING = replace(CALM, request_rate=120.0, unserved_share=0.1)


class ScriptedTraffic:
    """Scripted requests and their outcomes, observed by a TrafficMonitor."""

    def __init__(self, servers: int = 10) -> None:
        self.monitor, self.now, self.count = TrafficMonitor(8000.0), 0.0, 0
        self.list(*(api.ServerEntry(f"s{number}") for number in range(servers)))

    def list(self, *entries: api.ServerEntry, kind: ListKind = ListKind.FULL) -> None:
        self.monitor.observe_event(self.now, api.ServerList(kind, 1, entries))

    def request(
        self, server: str, outcome: Outcome = Outcome.OK, age: float = 20.0, retry: bool = False
    ) -> None:
        self.count += 1
        name = f"r{self.count}"
        self.monitor.observe_event(self.now, api.Request(name, "sale", self.now + 1000.0, retry=retry))
        self.monitor.observe_action(self.now, api.Send(name, server, 1000.0))
        ended = api.AttemptEnded(name, 0, outcome, age, outcome is Outcome.OK)
        self.monitor.observe_event(self.now + age, ended)
        if outcome is not Outcome.OK:
            self.monitor.observe_action(self.now + age, api.Fail(name))

    def refuse(self, delay_ms: float = 100.0, retry: bool = False) -> None:
        self.count += 1
        name = f"r{self.count}"
        self.monitor.observe_event(self.now, api.Request(name, "sale", self.now + 1000.0, retry=retry))
        self.monitor.observe_action(self.now, api.Refuse(name, delay_ms))

    def calm(self, seconds: float = 4.0) -> TrafficSnapshot:
        for number in range(int(seconds * 100)):
            self.request(f"s{number % 10}")
            self.now += 10.0
            if number % 25 == 0:
                self.monitor.snapshot(self.now)
        return self.monitor.snapshot(self.now)


def test_calm_traffic_consists_of_original_requests_and_sets_the_baseline() -> None:
    snapshot = ScriptedTraffic().calm()
    assert snapshot.request_rate == pytest.approx(
        100.0, rel=0.15
    ) and snapshot.baseline_rate == pytest.approx(snapshot.original_rate, rel=0.15)
    assert (
        snapshot.retry_share,
        snapshot.unserved_share,
        snapshot.unresponsive_share,
        snapshot.warming_servers,
    ) == (
        0.0,
        0.0,
        0.0,
        0,
    )
    assert (
        snapshot.success_rate == pytest.approx(snapshot.request_rate, rel=0.1)
        and snapshot.oldest_answer_ms < 200.0
    )
    assert not has_fault_evidence(snapshot)


def test_the_baseline_does_not_adapt_to_the_load_of_a_storm() -> None:
    script = ScriptedTraffic()
    baseline_rate = script.calm().baseline_rate
    script.monitor.learns_baseline = False
    for number in range(1000):
        script.request(f"s{number % 10}")
        script.request(f"s{number % 10}")
        script.now += 10.0
        script.monitor.snapshot(script.now)
    assert script.monitor.baseline_rate == baseline_rate


def test_retries_are_recognised_by_their_mark_and_by_their_arrival_time() -> None:
    marked, unmarked, burst = ScriptedTraffic(), ScriptedTraffic(), ScriptedTraffic()
    for script in (marked, unmarked, burst):
        script.calm()
    for number in range(200):
        for script in (marked, unmarked, burst):
            script.request(f"s{number % 10}")
        marked.refuse(retry=True)
        unmarked.refuse(100.0)  # retried after that delay: twice the requests, a little later
        burst.request(f"s{number % 10}")  # twice the requests, and none was refused
        for script in (marked, unmarked, burst):
            script.now += 10.0
    found = [script.monitor.snapshot(script.now) for script in (marked, unmarked, burst)]
    assert found[0].retry_share == pytest.approx(0.5, abs=0.05) and found[0].amplification > 1.8
    assert found[1].retry_share > 0.35 and found[1].amplification > 1.5
    assert found[2].retry_share == 0.0 and found[2].original_rate == pytest.approx(200.0, rel=0.1)


def test_a_server_is_unresponsive_after_several_consecutive_timeouts_and_not_after_one() -> None:
    script = ScriptedTraffic()
    script.calm()
    script.request("s0", Outcome.TIMEOUT, 300.0)
    script.now += 300.0
    assert script.monitor.snapshot(script.now).unresponsive_share == 0.0
    for _ in range(2):
        script.request("s1", Outcome.TIMEOUT, 300.0)
        script.now += 300.0
    assert script.monitor.snapshot(script.now).unresponsive_share == pytest.approx(0.1)
    script.request("s1")
    script.now += 20.0
    snapshot = script.monitor.snapshot(script.now)
    assert snapshot.unresponsive_share == 0.0 and snapshot.warming_servers == 1, (
        "it warms up after it has answered again"
    )


def test_a_server_that_answers_between_timeouts_is_not_unresponsive() -> None:
    script = ScriptedTraffic()
    for _ in range(4):
        script.request("s1", Outcome.TIMEOUT, 500.0)  # sent before the next one was answered
        script.request("s1", age=490.0)
        script.now += 600.0
    assert script.monitor.snapshot(script.now).unresponsive_share == 0.0


def test_restarts_are_seen_in_the_list_and_compared_with_the_earlier_rate() -> None:
    script = ScriptedTraffic()
    script.calm()
    restarted = [api.ServerEntry(f"s{n}", started_at=script.now) for n in range(3)]
    script.list(*restarted, kind=ListKind.DELTA)
    snapshot = script.monitor.snapshot(script.now)
    assert snapshot.warming_servers == 3 and snapshot.warming_rate_share < 0.2
    script.calm(3.0)
    assert script.monitor.snapshot(script.now).warming_rate_share > 0.7
    script.calm(6.0)
    assert script.monitor.snapshot(script.now).warming_servers == 0, "all are warm by then"


def test_removed_servers_are_not_counted_and_a_failed_list_changes_nothing() -> None:
    script = ScriptedTraffic()
    script.list(kind=ListKind.LOST)
    assert script.monitor.snapshot(script.now).servers == 10
    script.list(api.ServerEntry("s0", ServerState.GONE), kind=ListKind.DELTA)
    assert script.monitor.snapshot(script.now).servers == 9
    script.list(api.ServerEntry("s1"))
    assert script.monitor.snapshot(script.now).servers == 1


def test_memory_is_bounded() -> None:
    script = ScriptedTraffic()
    for _ in range(2 * MAX_EXPECTED_RETRIES):
        script.refuse(60_000.0)
    script.now += 10_000.0
    script.refuse()
    monitor = script.monitor
    assert len(monitor._retry_intervals) <= MAX_EXPECTED_RETRIES and len(monitor._slots) <= SLOT_COUNT + 1
    for number in range(100):
        script.request("s0", Outcome.TIMEOUT if number % 2 else Outcome.OK)
    assert not monitor._attempt_counts and not monitor._in_flight


@given(st.integers(0, 2**32), st.integers(1, 400))
@settings(max_examples=60, deadline=None)
def test_statistics_are_in_range_for_random_events_in_any_order(seed: int, length: int) -> None:
    chance, monitor, now = random.Random(seed), TrafficMonitor(warm_up_ms_of(seed)), 0.0
    for number in range(length):
        now += chance.choice((0.0, 1.0, 40.0, 2500.0))
        name, server = f"r{chance.randrange(20)}", f"s{chance.randrange(4)}"
        started = chance.choice((None, now, 5.0))
        entries = (api.ServerEntry(server, chance.choice(list(ServerState)), started_at=started),)
        kind = chance.randrange(8)
        if kind == 0:
            monitor.observe_event(now, api.Request(name, "sale", now + 1000.0, retry=chance.random() < 0.5))
        elif kind == 1:
            monitor.observe_action(now, api.Send(name, server, 100.0))
        elif kind == 2:
            outcome = chance.choice(list(Outcome))
            monitor.observe_event(
                now, api.AttemptEnded(name, chance.randrange(2), outcome, 5.0, chance.random() < 0.5)
            )
        elif kind == 3:
            monitor.observe_action(now, api.Refuse(name, chance.choice((0.0, 60.0))))
        elif kind == 4:
            monitor.observe_action(now, api.Fail(name))
        elif kind == 5:
            monitor.observe_event(now, api.ServerList(chance.choice(list(ListKind)), number, entries))
        elif kind == 6:
            monitor.observe_event(now, api.ClientGone(name))
        else:
            monitor.observe_connect(now)
        snapshot = monitor.snapshot(now)
        values = (
            msgspec.structs.asdict(snapshot) if isinstance(snapshot, msgspec.Struct) else values_of(snapshot)
        )
        assert all(math.isfinite(value) and value >= 0.0 for value in values.values()), values
        assert all(value <= 1.0 for name, value in values.items() if name.endswith("share")), values
        assert snapshot.amplification >= 1.0 - 1e-9 or snapshot.original_rate == 0.0


def warm_up_ms_of(seed: int) -> float:
    return float(seed % 3) * 4000.0


def values_of(snapshot: TrafficSnapshot) -> dict[str, float]:
    return {name: getattr(snapshot, name) for name in TrafficSnapshot.__dataclass_fields__}


# The state


def run_detector(*steps: tuple[float, TrafficSnapshot]) -> tuple[StormDetector, list[Change]]:
    """Update a detector four times a second, with each snapshot for a number of seconds."""
    detector, now, found = StormDetector(), 0.0, []
    for seconds, snapshot in steps:
        for _ in range(int(seconds * 4)):
            now += SLOT_MS
            change = detector.update(now, snapshot)
            if change is not None:
                found.append(change)
    return detector, found


def test_a_storm_passes_through_each_state_once_and_each_change_has_a_reason() -> None:
    detector, found = run_detector((5, CALM), (2, UNRESPONSIVE), (5, STORM), (3, SUBSIDING), (5, CALM))
    assert [item.after.value for item in found] == ["forming", "storm", "recovering", "calm"]
    assert detector.state is State.CALM
    assert (
        "18% of 10 servers unresponsive" in found[0].reason
        and "220 requests/s, 100 without retries" in found[1].reason
    )


def test_a_burst_of_original_requests_and_its_overload_are_no_storm() -> None:
    burst = replace(CALM, request_rate=180.0, original_rate=170.0, unserved_share=0.1, retry_share=0.05)
    heavy = replace(CALM, request_rate=300.0, original_rate=180.0, unserved_share=0.5, retry_share=0.4)
    assert run_detector((5, CALM), (5, burst), (5, heavy), (5, CALM))[1] == []
    # The same traffic with evidence of a fault is one.
    found = run_detector((5, CALM), (5, replace(heavy, connect_failure_share=0.2)), (5, heavy))[1]
    assert [item.after.value for item in found] == ["forming", "storm"]


def test_amplification_by_retries_is_a_storm_even_if_all_servers_respond() -> None:
    amplified = replace(CALM, request_rate=200.0, retry_share=0.5, unserved_share=0.5)
    assert [item.after.value for item in run_detector((3, CALM), (4, amplified))[1]] == ["forming", "storm"]


def test_short_conditions_change_nothing_and_values_near_a_threshold_do_not_flap() -> None:
    assert run_detector(*[(0.5, UNRESPONSIVE), (0.5, CALM)] * 6)[1] == []
    edge = [replace(STORM, unserved_share=share, request_rate=150.0) for share in (0.19, 0.21)]
    found = run_detector((2, UNRESPONSIVE), (3, STORM), *[(0.25, edge[number % 2]) for number in range(80)])[
        1
    ]
    assert len(found) == 2, "forming and storm, and no way back while servers are unresponsive"


def test_a_false_alarm_ends_and_a_storm_can_recur() -> None:
    assert [item.after.value for item in run_detector((2, UNRESPONSIVE), (4, CALM))[1]] == ["forming", "calm"]
    found = run_detector((2, UNRESPONSIVE), (3, STORM), (2, SUBSIDING), (3, STORM))[1]
    assert [item.after.value for item in found] == ["forming", "storm", "recovering", "storm"]
    assert found[-1].reason.startswith("again: ")


@given(st.lists(st.sampled_from([CALM, UNRESPONSIVE, STORM, SUBSIDING]), max_size=120))
@settings(max_examples=80, deadline=None)
def test_states_follow_one_another_in_their_order(snapshots: list[TrafficSnapshot]) -> None:
    detector, before = StormDetector(), State.CALM
    order = {
        State.CALM: {State.FORMING},
        State.FORMING: {State.CALM, State.STORM},
        State.STORM: {State.RECOVERING},
        State.RECOVERING: {State.STORM, State.CALM},
    }
    for number, snapshot in enumerate(snapshots):
        change = detector.update(number * SLOT_MS, snapshot)
        if change is not None:
            assert change.before is before and change.after in order[before]
            before = change.after
    assert detector.state is before


# Retry delays


def test_the_retry_delay_is_the_balancers_in_calm_and_otherwise_spread_up_to_the_limit() -> None:
    retry_delay = RetryDelay(1000.0, 1)
    assert [retry_delay.delay_ms(State.CALM, 60.0) for _ in range(3)] == [60.0, 60.0, 60.0]
    for state in (State.FORMING, State.STORM, State.RECOVERING):
        delays = [retry_delay.delay_ms(state, 60.0) for _ in range(200)]
        assert (
            min(delays) >= 60.0 * (1 - SPREAD)
            and max(delays) <= 60.0 * (1 + SPREAD)
            and len(set(delays)) > 150
        )
    assert max(retry_delay.delay_ms(State.STORM, 900.0) for _ in range(100)) == 1000.0
    assert retry_delay.delay_ms(State.STORM, 0.0) == 0.0, "no delay is invented where clients follow none"
    assert [RetryDelay(1000.0, seed).delay_ms(State.STORM, 60.0) for seed in (1, 2)] != [60.0, 60.0]


# The simulated fleet


def changes_in(**tables: object) -> list[tuple[int, Change]]:
    """Return the changes of state with the number of the sidecar, in a simulation of three sidecars."""
    made = {"name": "t", "seconds": 32, "sidecars": {"count": 3}, "load": {"share": 0.7}}
    servers = {"count": 5, "kinds": [{"workers": 2}]}
    simulation = Simulation(
        scenario.parse_scenario(made | {"servers": servers} | tables, "test"), 1, watch_storms=True
    )
    simulation.run()
    return simulation.measures.storm_changes


def test_every_sidecar_detects_the_storm_after_an_outage_and_its_end() -> None:
    outage = {"kind": "silent", "at_ms": 6000, "for_ms": 5000, "share": 0.4}
    found = changes_in(troubles=[outage], clients={"ignoring": 0.3})
    for number in range(3):
        own = [change for who, change in found if who == number]
        assert [change.after.value for change in own][:2] == ["forming", "storm"], own
        assert own[-1].after in (State.CALM, State.RECOVERING)
        assert 6000.0 < own[0].at < 9000.0


def test_a_burst_in_the_simulated_fleet_is_no_storm() -> None:
    found = changes_in(troubles=[{"kind": "burst", "at_ms": 15_000, "for_ms": 5000, "size": 1.25}])
    assert [change for _, change in found if change.after is State.STORM] == []


# The table, the socket, the program


def test_the_table_shows_the_state_the_statistics_and_the_last_changes() -> None:
    watch = Watch(config_settings(), 1)
    assert table.lines(watch, 0.0)[0].startswith("state")
    watch.snapshot = STORM
    watch.changes = [Change(State.CALM, State.FORMING, 1000.0, "words")]
    text = "\n".join(table.lines(watch, 3000.0))
    assert "2.20  requests per original request" in text and "2.0 s ago  calm -> forming: words" in text


def config_settings() -> api.Settings:
    return api.Settings(
        (api.RequestClass("sale", 400.0, 1200.0),), limits=api.Limits(max_retry_after_ms=1000.0)
    )


def test_the_number_of_changes_kept_for_the_table_is_limited() -> None:
    watch, now = Watch(config_settings(), 1), 0.0
    watch.monitor.snapshot = lambda now: UNRESPONSIVE if int(now / 4000.0) % 2 else CALM  # type: ignore[method-assign]
    changes = 0
    for _ in range(1500):
        now += SLOT_MS
        changes += watch.observe_event(now, api.Timer(1)) is not None
    assert changes > MAX_CHANGES and len(watch.changes) == MAX_CHANGES


def test_the_storms_table_of_the_operators_file(tmp_path: Path) -> None:
    file = tmp_path / "sidecar.toml"
    file.write_text("[storms]\n")
    assert load(file).storms is not None and load(file).rpc is None
    for text, named in (
        ('show = "x"', "show"),
        ('shown = "unix:/x"', "shown"),
        (f'show = "unix:/{"x" * 99}"', "100"),
    ):
        file.write_text(f"[storms]\n{text}\n")
        with pytest.raises(OperatorError, match=named):
            load(file)


def test_the_command_prints_the_table_of_a_running_sidecar_and_fails_without_one(tmp_path: Path) -> None:
    path, file = tmp_path / "storms.sock", tmp_path / "sidecar.toml"
    file.write_text(f'[storms]\nshow = "unix:{path}"\n')

    async def run() -> tuple[str, str]:
        async with fleet.run_program(
            ROOT, json.dumps(config("127.0.0.1:1")), "--operator", str(file)
        ) as running:
            arguments = [sys.executable, "-m", "anisestair", "storms", "show", f"unix:{path}"]
            done = await asyncio.to_thread(
                subprocess.run, arguments, cwd=ROOT, capture_output=True, text=True
            )
            mode = oct(path.stat().st_mode & 0o777)
            running.process.terminate()
            await running.process.wait()
        return done.stdout, mode

    text, mode = asyncio.run(run())
    assert re.match(r"state +calm ", text) and mode == "0o600"
    assert not path.exists(), "the socket is removed at shutdown"
    assert command.main(["show", str(path)]) == 1


def test_readers_above_the_limit_are_disconnected(tmp_path: Path) -> None:
    path = tmp_path / "s.sock"

    async def run() -> list[bytes]:
        watch = report.StormReporter.__new__(report.StormReporter)
        Watch.__init__(watch, config_settings(), 1)
        watch._name, watch._path, watch._server, watch._readers = "n", str(path), None, report.MAX_READERS
        await watch.listen()
        full = await read()
        watch._readers = 0
        free = await read()
        watch.close()
        return [full, free]

    async def read() -> bytes:
        reader, writer = await asyncio.open_unix_connection(str(path))
        try:
            return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    full, free = asyncio.run(run())
    assert full == b"" and free.startswith(b"state")


# The model of the storm detection


def test_all_orders_of_traffic_are_explored_without_a_violation() -> None:
    rows = states_command.check(storm_state.NAME, 500.0, 60.0)
    assert [(row.kind, row.complete, row.property) for row in rows] == [
        ("safety", True, ""),
        ("liveness", True, ""),
    ]
    assert rows[0].states > 1000


@pytest.mark.parametrize(
    ("name", "value", "violated"),
    [
        ("ENTER_MS", 0.0, storm_state.REASON_LASTED.name),  # a single update is enough
        ("BURST_FACTOR", 1e9, storm_state.NO_FALSE_ALARM.name),  # nothing counts as a burst
    ],
)
def test_the_model_detects_wrong_constants_of_the_detector(
    name: str, value: float, violated: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(storm_rules, name, value)
    found = explore(storm_state.StormDetectorModel()).violation
    assert found is not None and found.name == violated


def test_the_model_detects_a_skipped_state_and_a_storm_that_never_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with monkeypatch.context() as patched:
        patched.setattr(storm_rules, "CALM_AMPLIFICATION", 0.0)  # no storm is ever over
        liveness = check_liveness(storm_state.CalmingModel())
        assert liveness.violation is not None and liveness.cycle
    original = StormDetector._next_state

    def skips(detector: StormDetector, now: float, snapshot: TrafficSnapshot) -> tuple[State, str, float]:
        found = original(detector, now, snapshot)
        return (State.STORM, "", 500.0) if found[0] is State.FORMING else found

    monkeypatch.setattr(StormDetector, "_next_state", skips)
    found = explore(storm_state.StormDetectorModel()).violation
    assert found is not None and found.name == storm_state.IN_ORDER.name
