"""The table of the days that were run, from journal entries like the bench's; and composed sites."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from benchmarks import compose_site, days_played
from benchmarks.day_files import DayFileError, read_day


def day(name: str, seed: int | None, **more: Any) -> dict[str, Any]:
    return {"name": name, "seed": seed, "rules": {}, "fault": None, "gate": True, **more}


def entry(command: str, days: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    site = "plain" if days else None
    return {"cmd": command, "argv": [".../plain.toml"], "limit": 0, "site": site, "days": days, **more}


ENTRIES = {
    "20261202T050000-aaaaaaaa": entry("run", [day("cut", 2)], why="Trial: first"),
    "20261202T050001-bbbbbbbb": entry("score", [day("cut-3", 3), day("day-7-0", 5, gate=None)]),
    "20261202T050002-cccccccc": entry("hunt", [day("cut --seed 4", 4, rules={"LOST": 2}, gate=False)]),
    "20261202T050003-dddddddd": entry("hunt", [], error="the run did not finish", why="a hunt"),
    "20261202T050004-eeeeeeee": entry("hunt", [day("hunt-eee-3", None), day("fresh-1e", None)]),
    "20261202T050005-ffffffff": entry("score", [day("big-1", 1)], limit=1200),  # the sidecar in service
}
ROWS = [
    "| plain | cut | 3 | 2, 3, 4 | 2 clean; broken: LOST 2, gate (seed 4, cccccccc); 1 of these trials "
    "| aaaaaaaa bbbbbbbb cccccccc |",
    "| plain | drawn by the bench | 2 | not told | 2 clean | eeeeeeee |",
    "| plain | drawn days, seed 7 | 1 | 5 | 0 clean; 1 no gate told | bbbbbbbb |",
]


@pytest.fixture
def journal(tmp_path: Path) -> Path:
    for name, one in ENTRIES.items():
        (tmp_path / f"{name}.json").write_text(json.dumps(one))
    return tmp_path


def run_main(monkeypatch: pytest.MonkeyPatch, *arguments: object) -> int:
    monkeypatch.setattr("sys.argv", ["days_played", *map(str, arguments)])
    return days_played.main()


def test_the_table_lists_all_runs_and_unfinished_ones(
    journal: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run_main(monkeypatch, "--journal", journal) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[2:5] == ROWS
    assert "In all 6 plays: 4 clean, 1 broken, 1 without a gate told." in lines
    assert lines[-1] == "| dddddddd | hunt | plain | a hunt | the run did not finish |"


def test_a_page_keeps_everything_but_its_table_and_needs_both_marks(
    journal: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    page = tmp_path / "page.md"
    page.write_text(f"before\n{days_played.BEGIN}\nan old table\n{days_played.END}\nafter\n")
    arguments = ("--journal", journal, "--since", "20261202T050004", "--write", page)
    assert run_main(monkeypatch, *arguments) == run_main(monkeypatch, *arguments) == 0
    lines = page.read_text().splitlines()
    assert (lines[0], lines[-1], "an old table" in lines) == ("before", "after", False)
    assert lines[4] == ROWS[1] and "aaaaaaaa" not in page.read_text()
    page.write_text("no marks\n")
    assert run_main(monkeypatch, *arguments) == 1
    assert "needs the lines" in capsys.readouterr().err and page.read_text() == "no marks\n"


OWN_DAY = {
    "name": "cut",
    "seed": 9,
    "plan": [],
    "faults": [{"at": 1.0, "kind": "node_cut"}],
    "goal": {"floor": 0.0},
}


def write_site(folder: Path) -> Path:
    site_day = {"name": "quiet", "seed": 1, "floor_zones": [0.4], "closing": {"kind": "x"}, "slot": "quiet"}
    path = folder / "plain.toml"
    path.write_text(tomli_w.dumps({"name": "plain", "wire": "wire.json", "day": [site_day]}))
    (folder / "wire.json").write_text("{}")
    (folder / "cut.toml").write_text(tomli_w.dumps(OWN_DAY))
    return path


def test_a_composed_site_has_each_day_with_each_seed_without_floors_or_closing_fault_of_the_site(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    arguments = [write_site(tmp_path), tmp_path / "cut.toml", "--out", tmp_path / "out", "--seeds", 1, 2]
    monkeypatch.setattr("sys.argv", ["compose_site", *map(str, arguments)])
    assert compose_site.main() == 0
    path = Path(capsys.readouterr().out.strip())
    composed = tomllib.loads(path.read_text())
    assert (composed["name"], (path.parent / composed["wire"]).read_text()) == ("plain", "{}")
    expected = [{"slot": "quiet", **OWN_DAY, "name": f"cut-{seed}", "seed": seed} for seed in (1, 2)]
    assert composed["day"] == expected
    assert compose_site.with_seeds([OWN_DAY], []) == [OWN_DAY]


@pytest.mark.parametrize("path", sorted((compose_site.ROOT / "benchmarks" / "days").glob("*.toml")))
def test_a_kept_day_is_named_like_its_file_and_its_entries_begin_during_the_traffic(path: Path) -> None:
    kept_day = read_day(path)
    entries = kept_day["plan"] + kept_day["faults"]
    assert kept_day["name"] == path.stem and kept_day["goal"] == {"floor": 0.0}
    assert entries and all(0 < entry["at"] < 30 and entry["kind"] for entry in entries)


def test_an_incomplete_day_and_a_folder_inside_the_repository_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    site, bad = write_site(tmp_path), tmp_path / "bad.toml"
    bad.write_text('name = "bad"\nplan = []\n')
    with pytest.raises(DayFileError, match="seed, faults missing"):
        read_day(bad)
    for out, code, message in (
        (tmp_path, 1, "seed, faults missing"),
        (compose_site.ROOT, 2, "give a folder"),
    ):
        monkeypatch.setattr("sys.argv", ["compose_site", str(site), str(bad), "--out", str(out)])
        assert compose_site.main() == code
        assert message in capsys.readouterr().err
