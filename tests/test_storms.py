"""Storms: what the figures show of scripted traffic, the state that follows, advice, and the program with it
on."""

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
from anisestair.storms.advice import SPREAD, Advice
from anisestair.storms.figures import MOST_DUE, SLOT_MS, SLOTS, Figures, Sight
from anisestair.storms.state import Change, Judge, State, evidence
from anisestair.storms.watch import KEPT_CHANGES, Watch
from hareloom import interface as api
from hareloom.interface import ListKind, Outcome, ServerState
from lab import scenario
from lab.simulation import Simulation
from rigs import fleet
from statecheck import check_liveness, explore

CALM = Figures(
    offered=100.0,
    first=100.0,
    usual=100.0,
    repeat_share=0.0,
    turned_share=0.0,
    opened=0.0,
    unconnected_share=0.0,
    error_share=0.0,
    answered=100.0,
    servers=10,
    silent_share=0.0,
    returning=0,
    back_share=1.0,
    oldest_ms=50.0,
)
SILENT = replace(CALM, silent_share=0.18)
STORM = replace(CALM, offered=220.0, turned_share=0.5, repeat_share=0.55, silent_share=0.18)
AFTER = replace(CALM, offered=120.0, turned_share=0.1)


class Script:
    """Requests to a Sight, a number each step of ten milliseconds, with what becomes of them."""

    def __init__(self, servers: int = 10) -> None:
        self.sight, self.now, self.count = Sight(8000.0), 0.0, 0
        self.list(*(api.ServerEntry(f"s{number}") for number in range(servers)))

    def list(self, *entries: api.ServerEntry, kind: ListKind = ListKind.FULL) -> None:
        self.sight.told(self.now, api.ServerList(kind, 1, entries))

    def ask(self, server: str, outcome: Outcome = Outcome.OK, age: float = 20.0, retry: bool = False) -> None:
        self.count += 1
        name = f"r{self.count}"
        self.sight.told(self.now, api.Request(name, "sale", self.now + 1000.0, retry=retry))
        self.sight.said(self.now, api.Send(name, server, 1000.0))
        ended = api.AttemptEnded(name, 0, outcome, age, outcome is Outcome.OK)
        self.sight.told(self.now + age, ended)
        if outcome is not Outcome.OK:
            self.sight.said(self.now + age, api.Fail(name))

    def refuse(self, advice: float = 100.0, retry: bool = False) -> None:
        self.count += 1
        name = f"r{self.count}"
        self.sight.told(self.now, api.Request(name, "sale", self.now + 1000.0, retry=retry))
        self.sight.said(self.now, api.Refuse(name, advice))

    def calm(self, seconds: float = 4.0) -> Figures:
        for number in range(int(seconds * 100)):
            self.ask(f"s{number % 10}")
            self.now += 10.0
            if number % 25 == 0:
                self.sight.figures(self.now)
        return self.sight.figures(self.now)


def test_calm_traffic_is_all_first_tries_and_becomes_the_usual_rate() -> None:
    seen = Script().calm()
    assert seen.offered == pytest.approx(100.0, rel=0.15) and seen.usual == pytest.approx(
        seen.first, rel=0.15
    )
    assert (seen.repeat_share, seen.turned_share, seen.silent_share, seen.returning) == (0.0, 0.0, 0.0, 0)
    assert seen.answered == pytest.approx(seen.offered, rel=0.1) and seen.oldest_ms < 200.0
    assert not evidence(seen)


def test_a_storms_own_tries_do_not_become_usual() -> None:
    script = Script()
    usual = script.calm().usual
    script.sight.calm = False
    for number in range(1000):
        script.ask(f"s{number % 10}")
        script.ask(f"s{number % 10}")
        script.now += 10.0
        script.sight.figures(script.now)
    assert script.sight.usual == usual


def test_repeats_are_told_by_their_mark_and_by_the_time_at_which_they_come() -> None:
    marked, unmarked, burst = Script(), Script(), Script()
    for script in (marked, unmarked, burst):
        script.calm()
    for number in range(200):
        for script in (marked, unmarked, burst):
            script.ask(f"s{number % 10}")
        marked.refuse(retry=True)
        unmarked.refuse(100.0)  # comes back after what it was told: as many more tries, a little later
        burst.ask(f"s{number % 10}")  # as many more, and nobody was turned away
        for script in (marked, unmarked, burst):
            script.now += 10.0
    found = [script.sight.figures(script.now) for script in (marked, unmarked, burst)]
    assert found[0].repeat_share == pytest.approx(0.5, abs=0.05) and found[0].amplification > 1.8
    assert found[1].repeat_share > 0.35 and found[1].amplification > 1.5
    assert found[2].repeat_share == 0.0 and found[2].first == pytest.approx(200.0, rel=0.1)


def test_a_server_is_silent_after_attempts_in_a_row_without_a_word_and_not_after_one_slow_one() -> None:
    script = Script()
    script.calm()
    script.ask("s0", Outcome.TIMEOUT, 300.0)
    script.now += 300.0
    assert script.sight.figures(script.now).silent_share == 0.0
    for _ in range(2):
        script.ask("s1", Outcome.TIMEOUT, 300.0)
        script.now += 300.0
    assert script.sight.figures(script.now).silent_share == pytest.approx(0.1)
    script.ask("s1")
    script.now += 20.0
    seen = script.sight.figures(script.now)
    assert seen.silent_share == 0.0 and seen.returning == 1, "an answer after silence is a return"


def test_time_outs_beside_answers_of_the_same_server_are_no_silence() -> None:
    script = Script()
    for _ in range(4):
        script.ask("s1", Outcome.TIMEOUT, 500.0)  # sent before the answer of the next one came
        script.ask("s1", age=490.0)
        script.now += 600.0
    assert script.sight.figures(script.now).silent_share == 0.0


def test_returns_are_seen_in_the_list_and_measured_against_what_was_before() -> None:
    script = Script()
    script.calm()
    again = [api.ServerEntry(f"s{n}", started_at=script.now) for n in range(3)]
    script.list(*again, kind=ListKind.DELTA)
    seen = script.sight.figures(script.now)
    assert seen.returning == 3 and seen.back_share < 0.2
    script.calm(3.0)
    assert script.sight.figures(script.now).back_share > 0.7
    script.calm(6.0)
    assert script.sight.figures(script.now).returning == 0, "warm by then"


def test_servers_that_are_gone_and_lists_that_failed() -> None:
    script = Script()
    script.list(kind=ListKind.LOST)
    assert script.sight.figures(script.now).servers == 10
    script.list(api.ServerEntry("s0", ServerState.GONE), kind=ListKind.DELTA)
    assert script.sight.figures(script.now).servers == 9
    script.list(api.ServerEntry("s1"))
    assert script.sight.figures(script.now).servers == 1


def test_memory_is_bounded_whatever_comes() -> None:
    script = Script()
    for _ in range(2 * MOST_DUE):
        script.refuse(60_000.0)
    script.now += 10_000.0
    script.refuse()
    sight = script.sight
    assert len(sight._due) <= MOST_DUE and len(sight._slots) <= SLOTS + 1
    for number in range(100):
        script.ask("s0", Outcome.TIMEOUT if number % 2 else Outcome.OK)
    assert not sight._tries and not sight._out


@given(st.integers(0, 2**32), st.integers(1, 400))
@settings(max_examples=60, deadline=None)
def test_figures_are_shares_and_rates_whatever_happens_in_whatever_order(seed: int, length: int) -> None:
    chance, sight, now = random.Random(seed), Sight(chance_of(seed)), 0.0
    for number in range(length):
        now += chance.choice((0.0, 1.0, 40.0, 2500.0))
        name, server = f"r{chance.randrange(20)}", f"s{chance.randrange(4)}"
        started = chance.choice((None, now, 5.0))
        entries = (api.ServerEntry(server, chance.choice(list(ServerState)), started_at=started),)
        kind = chance.randrange(8)
        if kind == 0:
            sight.told(now, api.Request(name, "sale", now + 1000.0, retry=chance.random() < 0.5))
        elif kind == 1:
            sight.said(now, api.Send(name, server, 100.0))
        elif kind == 2:
            outcome = chance.choice(list(Outcome))
            sight.told(now, api.AttemptEnded(name, chance.randrange(2), outcome, 5.0, chance.random() < 0.5))
        elif kind == 3:
            sight.said(now, api.Refuse(name, chance.choice((0.0, 60.0))))
        elif kind == 4:
            sight.said(now, api.Fail(name))
        elif kind == 5:
            sight.told(now, api.ServerList(chance.choice(list(ListKind)), number, entries))
        elif kind == 6:
            sight.told(now, api.ClientGone(name))
        else:
            sight.opened(now)
        seen = sight.figures(now)
        values = msgspec.structs.asdict(seen) if isinstance(seen, msgspec.Struct) else vars_of(seen)
        assert all(math.isfinite(value) and value >= 0.0 for value in values.values()), values
        assert all(value <= 1.0 for name, value in values.items() if name.endswith("share")), values
        assert seen.amplification >= 1.0 - 1e-9 or seen.first == 0.0


def chance_of(seed: int) -> float:
    return float(seed % 3) * 4000.0


def vars_of(seen: Figures) -> dict[str, float]:
    return {name: getattr(seen, name) for name in Figures.__dataclass_fields__}


# The state


def played(*steps: tuple[float, Figures]) -> tuple[Judge, list[Change]]:
    """So many seconds of each, looked at four times a second."""
    judge, now, found = Judge(), 0.0, []
    for seconds, seen in steps:
        for _ in range(int(seconds * 4)):
            now += SLOT_MS
            change = judge.step(now, seen)
            if change is not None:
                found.append(change)
    return judge, found


def test_a_storm_goes_through_its_states_once_and_each_change_says_why() -> None:
    judge, found = played((5, CALM), (2, SILENT), (5, STORM), (3, AFTER), (5, CALM))
    assert [item.after.value for item in found] == ["forming", "storm", "recovering", "calm"]
    assert judge.state is State.CALM
    assert "18% of 10 servers silent" in found[0].reason and "220 tries/s for 100 first" in found[1].reason


def test_a_burst_of_first_tries_is_no_storm_and_neither_is_its_overload() -> None:
    burst = replace(CALM, offered=180.0, first=170.0, turned_share=0.1, repeat_share=0.05)
    heavy = replace(CALM, offered=300.0, first=180.0, turned_share=0.5, repeat_share=0.4)
    assert played((5, CALM), (5, burst), (5, heavy), (5, CALM))[1] == []
    # The same tries with evidence of a trouble are one.
    told = played((5, CALM), (5, replace(heavy, unconnected_share=0.2)), (5, heavy))[1]
    assert [item.after.value for item in told] == ["forming", "storm"]


def test_repeats_that_feed_on_themselves_are_a_storm_without_any_silent_server() -> None:
    feeding = replace(CALM, offered=200.0, repeat_share=0.5, turned_share=0.5)
    assert [item.after.value for item in played((3, CALM), (4, feeding))[1]] == ["forming", "storm"]


def test_what_lasts_for_a_moment_changes_nothing_and_values_at_an_edge_do_not_flap() -> None:
    assert played(*[(0.5, SILENT), (0.5, CALM)] * 6)[1] == []
    edge = [replace(STORM, turned_share=share, offered=150.0) for share in (0.19, 0.21)]
    found = played((2, SILENT), (3, STORM), *[(0.25, edge[number % 2]) for number in range(80)])[1]
    assert len(found) == 2, "forming and storm, and no way back while servers are silent"


def test_a_false_alarm_ends_and_a_storm_that_comes_again_is_one() -> None:
    assert [item.after.value for item in played((2, SILENT), (4, CALM))[1]] == ["forming", "calm"]
    found = played((2, SILENT), (3, STORM), (2, AFTER), (3, STORM))[1]
    assert [item.after.value for item in found] == ["forming", "storm", "recovering", "storm"]
    assert found[-1].reason.startswith("again: ")


@given(st.lists(st.sampled_from([CALM, SILENT, STORM, AFTER]), max_size=120))
@settings(max_examples=80, deadline=None)
def test_states_follow_one_another_in_their_order(seen: list[Figures]) -> None:
    judge, before = Judge(), State.CALM
    order = {
        State.CALM: {State.FORMING},
        State.FORMING: {State.CALM, State.STORM},
        State.STORM: {State.RECOVERING},
        State.RECOVERING: {State.STORM, State.CALM},
    }
    for number, item in enumerate(seen):
        change = judge.step(number * SLOT_MS, item)
        if change is not None:
            assert change.before is before and change.after in order[before]
            before = change.after
    assert judge.state is before


# Advice


def test_advice_is_the_modules_in_calm_and_spread_out_of_it_within_what_clients_follow() -> None:
    advice = Advice(1000.0, 1)
    assert [advice.after(State.CALM, 60.0) for _ in range(3)] == [60.0, 60.0, 60.0]
    for state in (State.FORMING, State.STORM, State.RECOVERING):
        made = [advice.after(state, 60.0) for _ in range(200)]
        assert min(made) >= 60.0 * (1 - SPREAD) and max(made) <= 60.0 * (1 + SPREAD) and len(set(made)) > 150
    assert max(advice.after(State.STORM, 900.0) for _ in range(100)) == 1000.0
    assert advice.after(State.STORM, 0.0) == 0.0, "where clients take no advice, none is made up"
    assert [Advice(1000.0, seed).after(State.STORM, 60.0) for seed in (1, 2)] != [60.0, 60.0]


# The fleet in virtual time


def changes_in(**tables: object) -> list[tuple[int, Change]]:
    """Of the state, by sidecar, in a simulation of three."""
    made = {"name": "t", "seconds": 32, "sidecars": {"count": 3}, "load": {"share": 0.7}}
    servers = {"count": 5, "kinds": [{"workers": 2}]}
    simulation = Simulation(scenario.typed(made | {"servers": servers} | tables, "test"), 1, watched=True)
    simulation.run()
    return simulation.measures.changes


def test_every_sidecar_sees_the_storm_of_an_outage_and_its_end() -> None:
    outage = {"kind": "silent", "at_ms": 6000, "for_ms": 5000, "share": 0.4}
    found = changes_in(troubles=[outage], clients={"ignoring": 0.3})
    for number in range(3):
        own = [change for who, change in found if who == number]
        assert [change.after.value for change in own][:2] == ["forming", "storm"], own
        assert own[-1].after in (State.CALM, State.RECOVERING)
        assert 6000.0 < own[0].at < 9000.0


def test_a_plain_burst_is_not_taken_for_a_storm() -> None:
    found = changes_in(troubles=[{"kind": "burst", "at_ms": 15_000, "for_ms": 5000, "size": 1.25}])
    assert [change for _, change in found if change.after is State.STORM] == []


# The table, the socket, the program


def test_the_table_says_state_figures_and_the_last_changes() -> None:
    watch = Watch(config_settings(), 1)
    assert table.lines(watch, 0.0)[0].startswith("state")
    watch.seen = STORM
    watch.changes = [Change(State.CALM, State.FORMING, 1000.0, "words")]
    text = "\n".join(table.lines(watch, 3000.0))
    assert "2.20  tries for each first one" in text and "2.0 s ago  calm -> forming: words" in text


def config_settings() -> api.Settings:
    return api.Settings(
        (api.RequestClass("sale", 400.0, 1200.0),), limits=api.Limits(max_retry_after_ms=1000.0)
    )


def test_changes_kept_for_the_table_are_bounded() -> None:
    watch, now = Watch(config_settings(), 1), 0.0
    watch.sight.figures = lambda now: SILENT if int(now / 4000.0) % 2 else CALM  # type: ignore[method-assign]
    changes = 0
    for _ in range(1500):
        now += SLOT_MS
        changes += watch.told(now, api.Timer(1)) is not None
    assert changes > KEPT_CHANGES and len(watch.changes) == KEPT_CHANGES


def test_the_operators_table(tmp_path: Path) -> None:
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


def test_the_command_prints_the_table_of_a_running_sidecar_and_one_line_where_none_is(tmp_path: Path) -> None:
    path, file = tmp_path / "storms.sock", tmp_path / "sidecar.toml"
    file.write_text(f'[storms]\nshow = "unix:{path}"\n')

    async def run() -> tuple[str, str]:
        async with fleet.program(ROOT, json.dumps(config("127.0.0.1:1")), "--operator", str(file)) as running:
            words = [sys.executable, "-m", "anisestair", "storms", "show", f"unix:{path}"]
            shown = await asyncio.to_thread(subprocess.run, words, cwd=ROOT, capture_output=True, text=True)
            mode = oct(path.stat().st_mode & 0o777)
            running.process.terminate()
            await running.process.wait()
        return shown.stdout, mode

    text, mode = asyncio.run(run())
    assert re.match(r"state +calm ", text) and mode == "0o600"
    assert not path.exists(), "an orderly end takes the socket away"
    assert command.main(["show", str(path)]) == 1


def test_more_readers_than_there_is_room_for_are_let_go(tmp_path: Path) -> None:
    path = tmp_path / "s.sock"

    async def run() -> list[bytes]:
        watch = report.Reported.__new__(report.Reported)
        Watch.__init__(watch, config_settings(), 1)
        watch._name, watch._path, watch._server, watch._readers = "n", str(path), None, report.READERS
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


# Every order of figures


def test_all_orders_of_figures_are_explored_and_break_nothing() -> None:
    rows = states_command.check(storm_state.NAME, 500.0, 60.0)
    assert [(row.kind, row.complete, row.property) for row in rows] == [
        ("safety", True, ""),
        ("liveness", True, ""),
    ]
    assert rows[0].states > 1000


@pytest.mark.parametrize(
    ("name", "value", "broken"),
    [
        ("ENTER_MS", 0.0, storm_state.LASTING.name),  # one look is enough
        ("BURST", 1e9, storm_state.NO_ALARM.name),  # nothing counts as a burst
    ],
)
def test_the_search_finds_bugs_in_the_rules_of_the_state(
    name: str, value: float, broken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(storm_rules, name, value)
    found = explore(storm_state.StormState()).violation
    assert found is not None and found.name == broken


def test_the_search_finds_a_step_out_of_order_and_a_state_that_never_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with monkeypatch.context() as patched:
        patched.setattr(storm_rules, "OVER", 0.0)  # nothing is ever over
        live = check_liveness(storm_state.Calming())
        assert live.violation is not None and live.cycle
    wanted = Judge._wanted

    def skips(judge: Judge, now: float, seen: Figures) -> tuple[State, str, float]:
        found = wanted(judge, now, seen)
        return (State.STORM, "", 500.0) if found[0] is State.FORMING else found

    monkeypatch.setattr(Judge, "_wanted", skips)
    found = explore(storm_state.StormState()).violation
    assert found is not None and found.name == storm_state.IN_ORDER.name
