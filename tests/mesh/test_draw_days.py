"""Random days with made-up kinds of faults: drawn, run by a stand-in for the bench, evaluated and reduced."""

from __future__ import annotations

import json
import sys
import tomllib
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from benchmarks import bench_runs, day_files, draw_days
from benchmarks.bench_runs import Bench, Result, find_records, parse_result
from benchmarks.day_drawer import Drawer, describe, drawers
from benchmarks.reduce_days import Item, breaks_alike, day_with, minimize, removable_items
from benchmarks.trouble_kinds import KindsTextError, parse_kinds_text

KINDS = """Made-up words. for_s: how long (4). gap_s: a pause (2). share: a part, 0 to 1.
For servers, 'how' may also hold everyone (of all) and lone. For machines, 'how' may also hold first or last.
After these may stand again (twice), soon and, for srv_halt, loud. Cuts are quiet unless 'how' holds noisy.
closing = { kind = dark_all | lose_all, down_s } comes last (how late: a while after; how early: before)

srv_halt: share (.2) of the servers stop; how: quick (at once), slow (x (3) times), + near (of to_zone)
srv_lie: share (.1) say well (how: loud mute), or say ill (how: ill)
roll_all: share (1) get SIGUSR, x (1) at a time, each gap_s; how: off (they go)
core_cut: count (1) machines are cut off; how: half, both (one, then the other)
write_lost: the machine that wrote (and count - 1 more) stops; how: kill, late (a while after)
write_gone: the same, and all goes (how: all, they go)
crowd: x times the callers of a zone or class
news: how: one two three
more_news: the same, of count items; on all: soon; how far: those too
"""
VARIANTS_BY_KIND = {
    "srv_halt": {"quick", "slow", "near"},
    "srv_lie": {"loud", "mute", "ill"},
    "roll_all": {"off"},
    "core_cut": {"half", "both"},
    "write_lost": {"kill", "late"},
    "write_gone": {"kill", "late"},
    "crowd": set(),
    "news": {"one", "two", "three"},
    "more_news": {"far"},
}


def site(**more: Any) -> dict[str, Any]:
    day = {
        "name": "plain",
        "seed": 1,
        "closing": {"kind": "dark_all", "down_s": 1.0, "how": "aimed"},
        "goal": {"floor": 0.5, "mark": 0.9},
        "floor_classes": [0.4],
        "floor_zones": [0.4],
        "labels": ["plain"],
        "plan": [{"at": 1.0, "kind": "news", "how": "one"}, {"at": 2.0, "kind": "roll_all", "how": "odd"}],
        "faults": [{"at": 5.0, "kind": "crowd", "x": 1.5}],
    }
    return {
        "name": "plain",
        "length_s": 20.0,
        "zones": [{"name": "a"}, {"name": "b"}],
        "services": [{"name": "shop"}],
        "machines": [
            {"class": "side", "zone": "a", "app": "shop", "count": 6},
            {"class": "side", "zone": "b", "app": "shop", "count": 4},
            {"class": "core", "zone": "a", "count": 5},
        ],
        "classes": [{"name": "read"}, {"name": "within", "inner": True}],
        "troubles": [{"kind": "more_news", "count": 100}],
        "day": [day],
        **more,
    }


def drawer(text: str = KINDS) -> Drawer:
    return drawers([site()], [text])[0]


def test_kinds_variants_and_figures_are_parsed_from_the_output() -> None:
    parsed = parse_kinds_text(KINDS)
    assert {kind.name: {*kind.variants, *kind.modifiers} for kind in parsed.kinds} == VARIANTS_BY_KIND
    kinds = {kind.name: kind for kind in parsed.kinds}
    assert kinds["srv_halt"].modifiers == ("near",)
    assert kinds["srv_halt"].figures == {"share": 0.2, "x": 3.0}
    assert kinds["roll_all"].has_integer_x
    assert [kinds[name].target for name in VARIANTS_BY_KIND] == [
        "servers",
        "servers",
        "machines",
        "machines",
        *[""] * 5,
    ]
    assert kinds["crowd"].places == ("zone", "class")
    assert parsed.selectors == {"machines": ("first", "last"), "servers": ("everyone", "lone")}
    assert (parsed.machine_modifiers, parsed.kind_modifiers, parsed.cut_variants) == (
        ("again", "soon"),
        {"srv_halt": ("loud",)},
        ("noisy",),
    )
    assert (parsed.closing_kinds, parsed.closing_variants) == (("dark_all", "lose_all"), ("late", "early"))
    assert parsed.figures == {"count": 1.0, "for_s": 4.0, "gap_s": 2.0}


@pytest.mark.parametrize("text", ["", "unknown verb: kinds", "one\n\ntwo three\n"])
def test_a_text_without_kinds_is_rejected(text: str) -> None:
    with pytest.raises(KindsTextError):
        parse_kinds_text(text)


def test_the_same_seed_gives_the_same_valid_day_within_the_bounds_of_the_site() -> None:
    one, plain = drawer(), site()
    for number in range(50):
        day = one.draw_day(f"d-{number}", number, f"s/{number}")
        assert day == one.draw_day(f"d-{number}", number, f"s/{number}") == tomllib.loads(tomli_w.dumps(day))
        assert [*VARIANTS_BY_KIND][number % len(VARIANTS_BY_KIND)] in {
            entry["kind"] for entry in day["plan"] + day["faults"]
        }
        for entry in day["plan"] + day["faults"]:
            assert 0 < entry["at"] < plain["length_s"]
            assert 0 < entry.get("share", 1) <= 1 and entry.get("count", 1) >= 1
            assert entry.get("zone", "a") in "ab" and entry.get("class", "read") == "read"
        assert (day["goal"], day["floor_zones"]) == ({"floor": 0.25, "mark": 0.9}, [0.2])
    assert one.site == plain  # not modified


def test_every_kind_variant_time_and_closing_fault_occurs() -> None:
    one = drawer()
    days = [one.draw_day("d", number, f"s/{number}") for number in range(600)]
    entries = [entry for day in days for part in ("plan", "faults") for entry in day[part]]
    for name, variants in VARIANTS_BY_KIND.items():
        seen = {word for entry in entries if entry["kind"] == name for word in entry.get("how", "").split()}
        assert variants <= seen, name
        assert any("how" not in entry for entry in entries if entry["kind"] == name)
    words = {
        word for entry in entries if entry["kind"] == "core_cut" for word in entry.get("how", "").split()
    }
    assert {"first", "last", "again", "soon", "noisy"} <= words
    assert any(entry.get("on") == "core" for entry in entries if entry["kind"] == "roll_all")
    assert all("to_zone" in entry for entry in entries if "near" in entry.get("how", ""))
    assert {entry["kind"] for day in days for entry in day["plan"]} == {"news", "roll_all"}
    assert {int(entry["at"]) for entry in entries} == set(range(19))
    closings = {(day["closing"]["kind"], day["closing"].get("how")) for day in days if "closing" in day}
    assert closings == {
        (k, how) for k in ("dark_all", "lose_all") for how in (None, "late", "early", "aimed")
    }
    assert any("closing" not in day for day in days)
    at_once = [Counter((e["at"], e["kind"]) for e in day["plan"] + day["faults"]) for day in days]
    assert max(max(counted.values()) for counted in at_once) >= 8
    assert any(
        len({kind for at, kind in counted if at == one}) > 2 for counted in at_once for one, _ in counted
    )


def record(**more: Any) -> dict[str, Any]:
    return {"rules": {}, "fault": None, "gate": True, "short": [], **more}


@pytest.mark.parametrize(
    ("code", "out", "found", "state", "signs"),
    [
        (0, "row\n", [record()], "clean", ()),
        (1, "row\n", [record(rules={"LOST": 2}, gate=False)], "broken", ("LOST", "gate")),
        (0, "row\n", [record(fault="n0 crashed", gate=False)], "broken", ("fault", "gate")),
        (0, "row\n", [record(gate=False, short=["a floor"])], "broken", ("gate",)),
        (1, "d 0.2  BROKEN: CONFIG 5, fault (else 0.00)\n", [], "broken", ("CONFIG", "fault")),
        (1, "d 0.2  BROKEN: 5\n", [], "broken", ("unnamed",)),
        (0, "row\n", [record(fault="given up: the machine is too busy", gate=False)], "given up", ()),
        (None, "", [], "given up", ()),
        (None, "", [record(rules={"LOST": 2})], "broken", ("LOST",)),
        (0, "all went well; most for worth given up late\n", [], "unclear", ()),
        (3, "row\n", [record()], "unclear", ()),
        (0, "row\n", [record(gate=None)], "unclear", ()),
        (0, "row\n", [record(rules=None)], "unclear", ()),
    ],
)
def test_a_result_is_clean_only_if_the_bench_states_it(
    code: int | None, out: str, found: list[dict[str, Any]], state: str, signs: tuple[str, ...]
) -> None:
    parsed = parse_result(code, out, found)
    assert (parsed.state, parsed.signs) == (state, signs)


def test_a_report_shows_failures_only() -> None:
    report: dict[str, Any] = {"breaks": {}, "fault": None, "short": []}
    assert parse_result(0, "", list(find_records(report))).state == "unclear"
    first = [{"rule": "LOST", "at_s": 3.5, "what": "an answer"}]
    lost = parse_result(0, "", list(find_records(report | {"breaks": {"LOST": 1}, "first": first})))
    assert (lost.signs, lost.first) == (("LOST", "gate"), ("LOST at 3.5 s: an answer",))
    assert parse_result(0, "", list(find_records(report | {"short": ["a floor"]}))).signs == ("gate",)


def test_days_break_alike_by_rules_then_by_fault_then_by_gate() -> None:
    lost, gate = Result("broken", ("LOST", "gate")), Result("broken", ("gate",))
    assert breaks_alike(lost, Result("broken", ("LOST",)))
    assert not breaks_alike(lost, gate) and breaks_alike(gate, lost)
    assert not breaks_alike(lost, Result("unclear", ("LOST",)))


ENTRIES: list[Item] = [("faults", {"at": float(at), "kind": "k"}) for at in range(12)]


def test_minimized_entries_break_only_together() -> None:
    required = [ENTRIES[2], ENTRIES[9]]

    def breaks(candidates: Sequence[Sequence[Item]]) -> list[bool]:
        return [all(item in candidate for item in required) for candidate in candidates]

    remaining, days_run, is_minimal = minimize(ENTRIES, breaks, 100)
    assert (remaining, is_minimal) == (required, True)
    assert 0 < days_run < 100


@pytest.mark.parametrize("max_days", [0, 1, 5, 20, 30])
def test_minimizing_runs_at_most_the_given_number_of_days(max_days: int) -> None:
    judged = []

    def breaks(candidates: Sequence[Sequence[Item]]) -> list[bool]:
        judged.extend(candidates)
        return [False for _ in candidates]

    remaining, days_run, is_minimal = minimize(ENTRIES, breaks, max_days)
    # 26 days: 2, 4, 8, then 12 parts.
    assert (remaining, days_run, len(judged)) == (ENTRIES, min(max_days, 26), min(max_days, 26))
    assert is_minimal == (max_days >= 26)


def test_the_closing_fault_can_be_removed_too() -> None:
    day = drawer().draw_day("d", 0, "s") | {"closing": {"kind": "dark_all"}}
    items = removable_items(day)
    assert day_with(day, items) == day
    assert "closing" not in day_with(day, items[:-1]) and day_with(day, [items[-1]])["faults"] == []


BENCH_STAND_IN = """#!{python}
import json, pathlib, sys, threading, tomllib
verb = sys.argv[1]
if verb == "kinds":
    print({kinds!r})
elif verb == "run":
    day = tomllib.load(open(sys.argv[3], "rb"))["day"][0]
    good = "crowd" not in [entry["kind"] for part in ("plan", "faults") for entry in day[part]]
    if day["name"] == "hang":
        threading.Event().wait()
    end = dict(rules={{}} if good else {{"LOST": 1}}, fault=None, gate=good, short=[])
    into = sys.argv[sys.argv.index("--report") + 1]
    pathlib.Path(into).write_text("a line of another form\\n" + json.dumps({{"ends": [end]}}) + "\\n")
"""


@pytest.fixture
def bench(tmp_path: Path) -> Path:
    path = tmp_path / "bench"
    path.write_text(BENCH_STAND_IN.format(python=sys.executable, kinds=KINDS))
    path.chmod(0o755)
    (tmp_path / "plain.toml").write_text(tomli_w.dumps(site()))
    return path


def run_main(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], *arguments: object
) -> tuple[int, Any]:
    monkeypatch.setattr(sys, "argv", ["draw_days", *map(str, arguments)])
    monkeypatch.setattr(draw_days.signal, "signal", lambda *_: None)
    code = draw_days.main()
    out = capsys.readouterr().out.splitlines()
    return code, json.loads(out[-1]) if out else None


def test_one_command_runs_days_records_them_and_reduces_broken_ones(
    bench: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "out"
    bench_arguments = (bench, tmp_path / "plain.toml", "--out", out)
    code, result = run_main(
        monkeypatch, capsys, "play", *bench_arguments, "--seed", 5, "--count", 8, "--jobs", 3, "--reduce"
    )
    rows = [json.loads(row) for row in (out / "days.jsonl").read_text().splitlines()]
    played = [row for row in rows if "reduced" not in row]
    broken = [row for row in played if row["state"] == "broken"]
    assert {row["day"] for row in played} == {f"day-5-{number}" for number in range(8)}
    assert all(row["state"] == ("broken" if "crowd" in row["kinds"] else "clean") for row in played)
    assert 0 < len(broken) < 8  # eight days begin with eight of the nine kinds
    assert (code, result["played"], result["broken"], result["unclear"]) == (1, 8, len(broken), 0)
    assert result["signs"] == {"LOST": len(broken), "gate": len(broken)}
    assert [row["reduced"]["kinds"] for row in rows if "reduced" in row] == [["crowd"]] * len(broken)
    reduced = day_files.read_day(out / f"{broken[0]['day']}-reduced.toml")
    assert (describe(reduced), reduced["seed"]) == (["crowd"], broken[0]["seed"])
    code, result = run_main(
        monkeypatch,
        capsys,
        "reduce",
        *bench_arguments[:2],
        out / f"{broken[0]['day']}.toml",
        *bench_arguments[2:],
    )
    assert (code, result["kinds"], result["least"]) == (0, ["crowd"], True)


def test_a_day_that_takes_too_long_is_terminated(bench: Path, tmp_path: Path) -> None:
    day = day_files.write_day(tmp_path / "hang.toml", site()["day"][0] | {"name": "hang"}, False)
    found = Bench(bench, wall_s=0.5).run_day(tmp_path / "plain.toml", day)
    assert (found.state, found.seconds < 30) == ("given up", True)


def test_drawn_days_stay_outside_the_repository(
    bench: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    inside = day_files.ROOT / "found"
    code, _ = run_main(
        monkeypatch, capsys, "draw", bench, tmp_path / "plain.toml", "--out", inside, "--seed", 1
    )
    assert code == 2


def test_the_journal_entry_of_a_run_is_found_among_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bench_runs, "JOURNAL", tmp_path)
    for name, day in (("1", "day-1-1.toml"), ("2", "day-1-11.toml"), ("3", "day-1-1.toml")):
        entry = {"argv": [f".../{day}"], "days": [record(rules={"LOST": int(name)})]}
        (tmp_path / f"{name}.json").write_text(json.dumps(entry, indent=1))
    found = bench_runs.find_journal_entry(Path("/x/day-1-1.toml"), {"1.json"})
    assert found == ("3.json", [record(rules={"LOST": 3})])
