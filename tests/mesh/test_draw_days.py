"""Days drawn from made-up kinds of troubles, played by a stand-in of the bench, read, and taken apart."""

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
HOWS = {
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


def test_kinds_variants_and_figures_are_read_from_what_is_printed() -> None:
    said = parse_kinds_text(KINDS)
    assert {kind.name: {*kind.variants, *kind.modifiers} for kind in said.kinds} == HOWS
    kinds = {kind.name: kind for kind in said.kinds}
    assert kinds["srv_halt"].modifiers == ("near",)
    assert kinds["srv_halt"].figures == {"share": 0.2, "x": 3.0}
    assert kinds["roll_all"].has_integer_x
    assert [kinds[name].target for name in HOWS] == ["servers", "servers", "machines", "machines", *[""] * 5]
    assert kinds["crowd"].places == ("zone", "class")
    assert said.selectors == {"machines": ("first", "last"), "servers": ("everyone", "lone")}
    assert (said.machine_modifiers, said.kind_modifiers, said.cut_variants) == (
        ("again", "soon"),
        {"srv_halt": ("loud",)},
        ("noisy",),
    )
    assert (said.closing_kinds, said.closing_variants) == (("dark_all", "lose_all"), ("late", "early"))
    assert said.figures == {"count": 1.0, "for_s": 4.0, "gap_s": 2.0}


@pytest.mark.parametrize("text", ["", "unknown verb: kinds", "one\n\ntwo three\n"])
def test_a_text_without_kinds_is_refused(text: str) -> None:
    with pytest.raises(KindsTextError):
        parse_kinds_text(text)


def test_the_same_seed_gives_the_same_valid_day_inside_the_sites_bounds() -> None:
    one, plain = drawer(), site()
    for number in range(50):
        day = one.draw_day(f"d-{number}", number, f"s/{number}")
        assert day == one.draw_day(f"d-{number}", number, f"s/{number}") == tomllib.loads(tomli_w.dumps(day))
        assert [*HOWS][number % len(HOWS)] in {entry["kind"] for entry in day["plan"] + day["faults"]}
        for entry in day["plan"] + day["faults"]:
            assert 0 < entry["at"] < plain["length_s"]
            assert 0 < entry.get("share", 1) <= 1 and entry.get("count", 1) >= 1
            assert entry.get("zone", "a") in "ab" and entry.get("class", "read") == "read"
        assert (day["goal"], day["floor_zones"]) == ({"floor": 0.25, "mark": 0.9}, [0.2])
    assert one.site == plain  # untouched


def test_every_kind_variant_moment_and_closing_fault_comes_up() -> None:
    one = drawer()
    days = [one.draw_day("d", number, f"s/{number}") for number in range(600)]
    entries = [entry for day in days for part in ("plan", "faults") for entry in day[part]]
    for name, hows in HOWS.items():
        seen = {word for entry in entries if entry["kind"] == name for word in entry.get("how", "").split()}
        assert hows <= seen, name
        assert any("how" not in entry for entry in entries if entry["kind"] == name)
    said = {word for entry in entries if entry["kind"] == "core_cut" for word in entry.get("how", "").split()}
    assert {"first", "last", "again", "soon", "noisy"} <= said
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
def test_an_end_is_clean_only_where_the_bench_says_so(
    code: int | None, out: str, found: list[dict[str, Any]], state: str, signs: tuple[str, ...]
) -> None:
    read = parse_result(code, out, found)
    assert (read.state, read.signs) == (state, signs)


def test_a_report_tells_of_a_bad_end_only() -> None:
    said: dict[str, Any] = {"breaks": {}, "fault": None, "short": []}
    assert parse_result(0, "", list(find_records(said))).state == "unclear"
    first = [{"rule": "LOST", "at_s": 3.5, "what": "an answer"}]
    lost = parse_result(0, "", list(find_records(said | {"breaks": {"LOST": 1}, "first": first})))
    assert (lost.signs, lost.first) == (("LOST", "gate"), ("LOST at 3.5 s: an answer",))
    assert parse_result(0, "", list(find_records(said | {"short": ["a floor"]}))).signs == ("gate",)


def test_a_day_breaks_as_another_by_a_rule_before_a_fault_before_the_gate() -> None:
    lost, gate = Result("broken", ("LOST", "gate")), Result("broken", ("gate",))
    assert breaks_alike(lost, Result("broken", ("LOST",)))
    assert not breaks_alike(lost, gate) and breaks_alike(gate, lost)
    assert not breaks_alike(lost, Result("unclear", ("LOST",)))


ENTRIES: list[Item] = [("faults", {"at": float(at), "kind": "k"}) for at in range(12)]


def test_what_is_left_of_a_day_breaks_only_together() -> None:
    wanted = [ENTRIES[2], ENTRIES[9]]

    def breaks(tried: Sequence[Sequence[Item]]) -> list[bool]:
        return [all(item in one for item in wanted) for one in tried]

    left, asked, least = minimize(ENTRIES, breaks, 100)
    assert (left, least) == (wanted, True)
    assert 0 < asked < 100


@pytest.mark.parametrize("most", [0, 1, 5, 20, 30])
def test_taking_apart_asks_for_no_more_days_than_it_may(most: int) -> None:
    asked = []

    def breaks(tried: Sequence[Sequence[Item]]) -> list[bool]:
        asked.extend(tried)
        return [False for _ in tried]

    left, days, least = minimize(ENTRIES, breaks, most)
    assert (left, days, len(asked)) == (ENTRIES, min(most, 26), min(most, 26))  # 2, 4, 8, then 12 parts
    assert least == (most >= 26)


def test_what_closes_a_day_can_be_taken_out_too() -> None:
    day = drawer().draw_day("d", 0, "s") | {"closing": {"kind": "dark_all"}}
    whole = removable_items(day)
    assert day_with(day, whole) == day
    assert "closing" not in day_with(day, whole[:-1]) and day_with(day, [whole[-1]])["faults"] == []


STAND_IN = """#!{python}
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
    path.write_text(STAND_IN.format(python=sys.executable, kinds=KINDS))
    path.chmod(0o755)
    (tmp_path / "plain.toml").write_text(tomli_w.dumps(site()))
    return path


def called(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], *said: object
) -> tuple[int, Any]:
    monkeypatch.setattr(sys, "argv", ["draw_days", *map(str, said)])
    monkeypatch.setattr(draw_days.signal, "signal", lambda *_: None)
    code = draw_days.main()
    out = capsys.readouterr().out.splitlines()
    return code, json.loads(out[-1]) if out else None


def test_one_command_plays_them_all_keeps_a_table_and_takes_the_broken_apart(
    bench: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "out"
    given = (bench, tmp_path / "plain.toml", "--out", out)
    code, last = called(
        monkeypatch, capsys, "play", *given, "--seed", 5, "--count", 8, "--jobs", 3, "--reduce"
    )
    rows = [json.loads(row) for row in (out / "days.jsonl").read_text().splitlines()]
    played = [row for row in rows if "reduced" not in row]
    broken = [row for row in played if row["state"] == "broken"]
    assert {row["day"] for row in played} == {f"day-5-{number}" for number in range(8)}
    assert all(row["state"] == ("broken" if "crowd" in row["kinds"] else "clean") for row in played)
    assert 0 < len(broken) < 8  # each of nine kinds begins one
    assert (code, last["played"], last["broken"], last["unclear"]) == (1, 8, len(broken), 0)
    assert last["signs"] == {"LOST": len(broken), "gate": len(broken)}
    assert [row["reduced"]["kinds"] for row in rows if "reduced" in row] == [["crowd"]] * len(broken)
    left = day_files.read_day(out / f"{broken[0]['day']}-reduced.toml")
    assert (describe(left), left["seed"]) == (["crowd"], broken[0]["seed"])
    code, last = called(
        monkeypatch, capsys, "reduce", *given[:2], out / f"{broken[0]['day']}.toml", *given[2:]
    )
    assert (code, last["kinds"], last["least"]) == (0, ["crowd"], True)


def test_a_day_that_takes_too_long_is_ended(bench: Path, tmp_path: Path) -> None:
    day = day_files.write_day(tmp_path / "hang.toml", site()["day"][0] | {"name": "hang"}, False)
    found = Bench(bench, wall_s=0.5).play(tmp_path / "plain.toml", day)
    assert (found.state, found.seconds < 30) == ("given up", True)


def test_drawn_days_stay_outside_the_repository(
    bench: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    inside = day_files.ROOT / "found"
    code, _ = called(
        monkeypatch, capsys, "draw", bench, tmp_path / "plain.toml", "--out", inside, "--seed", 1
    )
    assert code == 2


def test_the_journals_entry_of_a_run_is_found_among_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(bench_runs, "JOURNAL", tmp_path)
    for name, day in (("1", "day-1-1.toml"), ("2", "day-1-11.toml"), ("3", "day-1-1.toml")):
        entry = {"argv": [f".../{day}"], "days": [record(rules={"LOST": int(name)})]}
        (tmp_path / f"{name}.json").write_text(json.dumps(entry, indent=1))
    found = bench_runs.find_journal_entry(Path("/x/day-1-1.toml"), {"1.json"})
    assert found == ("3.json", [record(rules={"LOST": 3})])
