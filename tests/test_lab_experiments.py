"""Experiments: missing plays are run and saved completely, and reports agree with the rows."""

from __future__ import annotations

import math
import os
import shutil
import signal
import statistics
import subprocess
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import example, given, settings
from hypothesis import strategies as st

from lab import experiment, hunt, pool, report, running, scenario, tables
from lab.command import main
from lab.experiment import Plan, Play, Point
from lab.measures import Row
from lab.reduce import Symptom, candidates, reduce_scenario
from lab.results import MixedCodesError, ResultFolder, rows_of_one_code
from lab.revisions import libraries
from lab.scenario import Draw, InvalidInput
from lab.statistics import compare_paired, mean_interval, more_seeds
from lab.worker import Job, failed_row

TINY = """
name = "tiny"
seconds = 3
settle_ms = 500
[servers]
count = 3
kinds = [{ workers = 1 }]
[sidecars]
count = 2
[[troubles]]
kind = "dead"
at_ms = 1000
for_ms = 500
share = 0.3
"""
PLAN = """
name = "try"
scenarios = ["tiny.toml"]
policies = ["module", "least of two"]
seeds = 3
[factors]
"load.share" = [0.5, 0.9]
"servers.warm_up_ms" = [500, 1500]
"""


@pytest.fixture
def plan(tmp_path: Path) -> Plan:
    (tmp_path / "tiny.toml").write_text(TINY)
    (tmp_path / "plan.toml").write_text(PLAN)
    return experiment.load(tmp_path / "plan.toml")


@pytest.fixture(scope="module")
def played(tmp_path_factory: pytest.TempPathFactory) -> Iterator[tuple[Plan, Path]]:
    folder = tmp_path_factory.mktemp("played")
    (folder / "tiny.toml").write_text(TINY)
    (folder / "plan.toml").write_text(PLAN)
    plan = experiment.load(folder / "plan.toml")
    running.run_missing_plays(plan, folder / "all", workers=2)
    yield plan, folder / "all"


def copied(folder: Path, to: Path) -> Path:
    shutil.copytree(folder, to)
    return to


# Results


def test_two_shards_with_one_worker_give_the_same_bytes_as_one_run(
    played: tuple[Plan, Path], tmp_path: Path
) -> None:
    plan, results = played
    for part in ("1/2", "2/2"):
        running.run_missing_plays(plan, tmp_path / part[0], workers=1, shard=part)
    ResultFolder(tmp_path / "both", libraries()).compact(
        [ResultFolder(tmp_path / "1"), ResultFolder(tmp_path / "2")]
    )
    assert len(ResultFolder(results).load().rows) == 24
    for name in ("plays.parquet", "series.parquet"):
        assert (tmp_path / "both" / name).read_bytes() == (results / name).read_bytes()


def test_a_second_run_only_runs_missing_plays(
    played: tuple[Plan, Path], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    plan, results = played
    folder = copied(results, tmp_path / "here")
    totals: list[int] = []
    running.run_missing_plays(plan, folder, workers=1, progress=lambda done, total, _: totals.append(total))
    assert not totals
    loaded = ResultFolder(folder).load()
    (folder / "plays.parquet").unlink()
    ResultFolder(folder).add(loaded.rows[:-2], [])
    running.run_missing_plays(plan, folder, workers=1, progress=lambda done, total, _: totals.append(total))
    assert totals == [2, 2]


@pytest.mark.parametrize("keep", [0, 3, 100, -1])
def test_a_truncated_file_is_set_aside_and_its_plays_are_run_again(
    played: tuple[Plan, Path], tmp_path: Path, keep: int, capsys: pytest.CaptureFixture[str]
) -> None:
    plan, results = played
    folder = copied(results, tmp_path / "here")
    file = folder / "plays.parquet"
    file.write_bytes(file.read_bytes()[:keep])
    (folder / "parts").mkdir()
    (folder / "parts" / "plays-all-1-00000.unfinished").write_bytes(b"PAR1 killed in mid-write")
    loaded = running.run_missing_plays(plan, folder, workers=2)
    assert list(map(repr, loaded.rows)) == list(
        map(repr, ResultFolder(results).load().rows)
    )  # compared as text, since NaN != NaN
    assert (folder / "plays.damaged").exists() and "set aside" in capsys.readouterr().err


def test_results_of_another_code_version_are_not_mixed_in(played: tuple[Plan, Path], tmp_path: Path) -> None:
    plan, results = played
    folder = copied(results, tmp_path / "here")
    rows = ResultFolder(folder).load().rows
    older = [row | {"code": "0" * 16, "score": 0.0} for row in rows]
    ResultFolder(folder).add(older, [])
    with pytest.raises(MixedCodesError, match=r"several codes .*--code"):
        rows_of_one_code(ResultFolder(folder).load().rows)
    one = rows_of_one_code(ResultFolder(folder).load().rows, {row["code"] for row in rows})
    assert list(map(repr, one)) == list(map(repr, rows))
    totals: list[int] = []
    running.run_missing_plays(plan, folder, workers=1, progress=lambda done, total, _: totals.append(total))
    assert not totals, "all plays of this code version have results"


def test_a_killed_worker_fails_only_its_own_play(plan: Plan, monkeypatch: pytest.MonkeyPatch) -> None:
    killed = []
    original = pool._Worker.run

    def play(worker: Any, job: Job) -> Any:
        if job.seed == 2 and job.policy == "module":
            os.kill(worker._process.pid, signal.SIGKILL)
            killed.append(1)
        return original(worker, job)

    monkeypatch.setattr(pool._Worker, "run", play)
    codes = dict.fromkeys(plan.experiment.policies, "c")
    jobs = [
        (play_, Job(source=plan.source(play_.point), policy=play_.point.policy, seed=play_.seed), pool.ROOT)
        for play_ in list(plan.plays(codes))[::4]
    ]
    found = {(p.point.label(), p.seed): f.row for p, f in pool.run(jobs, 2)}
    faults = {key: row.fault for key, row in found.items() if row.fault}
    assert len(found) == len(jobs) and len(killed) == pool.MAX_TRIES * len(faults)
    assert all(seed == 2 and "the worker ended" in fault for (_, seed), fault in faults.items()) and faults


def test_a_play_that_raises_gives_a_row_with_its_fault(plan: Plan) -> None:
    source = plan.sources["tiny"]
    job = Job(source=msgspec.structs.replace(source, tree={"name": 3}), policy="module", seed=1)
    point = Point(scenario="tiny", policy="module")
    [(_, found)] = pool.run([(Play(point=point, seed=1, code=""), job, pool.ROOT)], 1)
    assert found.row.fault.startswith("InvalidInput: ") and found.row.score == 0.0


# Plans, shards and scenario files


def test_shards_partition_the_plays_and_plays_are_ordered_by_seed(plan: Plan) -> None:
    plays = list(plan.plays({"module": "a", "least of two": "b"}))
    parts = [experiment.select_shard(plays, f"{n}/3") for n in (1, 2, 3)]
    assert sorted(p.key() for part in parts for p in part) == sorted(p.key() for p in plays)
    assert [p.seed for p in plays] == sorted(p.seed for p in plays)
    for bad in ("0/3", "4/3", "3", "a/b"):
        with pytest.raises(InvalidInput, match="--shard"):
            experiment.select_shard(plays, bad)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("lode = 1", r"s\.toml: the file: .*lode"),
        ("[load]\nshare = 'a'", r"s\.toml: load\.share: Expected `float`"),
        ("[load]\nshare = -1.0", r"s\.toml: load\.share: "),
        ("[[troubles]]\nkind = 'rain'", r"s\.toml: troubles\[0\]\.kind: "),
        (
            "[[troubles]]\nkind = 'loud'\nmember = 'x'",
            r"troubles\.0\.member: 'x' is not the name of a member",
        ),
        ("[[classes]]\nname = 'a'\n[[classes]]\nname = 'a'", "classes: duplicate name"),
        ("[[classes]]\nname = 'a'\naim_ms = 9e9", r"classes\.0\.aim_ms: greater than the deadline"),
        ("[draw]\n'load.share' = { low = 2.0, high = 1.0 }", r"draw\.load\.share: low is greater than high"),
        ("[draw]\n'load.share' = { low = 2.0 }", "set either low and high, or one_of"),
        ("[draw]\n'troubles.3.size' = { one_of = [1] }", r"troubles\.3\.size: no such field"),
        ("include = ['s.toml']", "includes itself"),
        ("include = 's.toml'", "not an array"),
        ("include = ['gone.toml']", r"gone\.toml: "),
        ("[load", r"s\.toml: "),
    ],
)
def test_invalid_input_is_reported_in_one_line_with_file_and_field(
    tmp_path: Path, text: str, message: str
) -> None:
    file = tmp_path / "s.toml"
    file.write_text(('name = "s"\n' if "include" not in text else "") + text)
    with pytest.raises(InvalidInput, match=message) as found:
        scenario.load(file)
    assert "\n" not in str(found.value)


def test_a_file_overrides_what_it_includes_and_set_values_are_not_drawn(tmp_path: Path) -> None:
    (tmp_path / "under.toml").write_text('name = "u"\n[load]\nshare = 0.2\nburst = 3\n')
    (tmp_path / "s.toml").write_text(
        'include = ["under.toml"]\n[load]\nshare = 0.4\n[draw]\n"servers.count" = { low = 3, high = 90 }\n'
    )
    source = scenario.load(tmp_path / "s.toml")
    made = source.scenario_for(1)
    assert (made.name, made.load.share, made.load.burst) == ("u", 0.4, 3)
    assert len({source.scenario_for(seed).servers.count for seed in range(20)}) > 8
    assert {
        source.with_changes({"servers.count": 7}).scenario_for(seed).servers.count for seed in range(5)
    } == {7}


# Statistics


def test_an_interval_contains_the_mean_as_often_as_its_level_says() -> None:
    covered = 0
    for turn in range(200):
        values = [math.exp(((turn * 7919 + n * 104_729) % 10_007) / 10_007 * 2.0) for n in range(30)]
        found = mean_interval(values)
        truth = (math.exp(2.0) - 1.0) / 2.0
        covered += found.low <= truth <= found.high
    assert covered >= 180
    assert math.isnan(mean_interval([1.0, 2.0]).low) and mean_interval([3.0] * 9).half_width() == 0.0


def test_a_verdict_names_the_better_one_or_how_many_seeds_would_settle_it() -> None:
    base = {n: math.sin(n * 12.9898) for n in range(20)}
    better = {n: value + 0.2 + 0.02 * math.cos(n * 78.2) for n, value in base.items()}
    assert compare_paired(better, base).verdict("a", "b", "score").startswith("a has 0.2")
    assert compare_paired(base, better).verdict("a", "b", "score").startswith("b has 0.2")
    same = {n: value + 0.05 * math.cos(n * 3.7) for n, value in base.items()}
    words = compare_paired(same, base).verdict("a", "b", "score")
    assert words.startswith("no difference seen at n = 20") and "seeds would settle" in words
    assert compare_paired({1: 1.0}, {1: 2.0}).verdict("a", "b", "score").startswith("1 seeds are too few")


@settings(deadline=None, max_examples=60)
@given(st.lists(st.floats(-1.0, 1.0), min_size=0, max_size=40), st.floats(0.0, 0.5), st.integers(1, 200))
@example([0.0, 0.0, 0.0, 0.0, 1.0], 2.2250738585072014e-308, 6)  # needs more seeds than a float can hold
def test_more_seeds_end_at_the_bound_or_at_the_wanted_precision(
    values: list[float], precision: float, most: int
) -> None:
    found = mean_interval(values)
    more = more_seeds(found, precision, most)
    assert more >= 0 and (more == 0 or found.n + more <= most)
    if more == 0:
        assert found.n >= most or found.half_width() <= precision


# Searches and reductions


def row(**fields: Any) -> Row:
    return msgspec.structs.replace(failed_row(""), **fields)


def test_a_search_converges_on_the_worst_case(tmp_path: Path) -> None:
    drawn = [
        '"load.share" = { low = 0.1, high = 1.5 }',
        '"servers.count" = { low = 1, high = 64, log = true }',
        '"clients.growing" = { one_of = [true, false] }',
    ]
    (tmp_path / "s.toml").write_text("\n".join(['name = "s"', "[draw]", *drawn]))
    search = hunt.WorstCaseSearch(scenario.load(tmp_path / "s.toml"))
    for _ in range(6):
        trials = []
        for values, seed in search.propose(16):
            score = abs(values["load.share"] - 0.9) + abs(math.log(values["servers.count"] / 20.0))
            trials.append(hunt.Trial(values=values, seed=seed, row=row(score=score)))
        search.record_trials(trials)
    [worst] = search.worst(1)
    assert abs(worst.values["load.share"] - 0.9) < 0.1 and 16 <= worst.values["servers.count"] <= 25
    made = scenario.parse_scenario(search.scenario_tree(worst), "found")
    assert made.load.share == worst.values["load.share"]
    broke = hunt.Trial(values=worst.values, seed=99, row=row(score=0.9, broke_twice=1))
    search.record_trials([broke])
    assert search.worst(1) == [broke], "a broken rule is worse than any score"


@settings(deadline=None, max_examples=60)
@given(st.floats(0.1, 5.0), st.floats(1.01, 50.0), st.booleans(), st.floats(0.0, 1.0))
def test_a_halved_range_lies_within_the_range_and_contains_the_value(
    low: float, times: float, log: bool, at: float
) -> None:
    given_, high = Draw(low=low, high=low * times, log=log), low * times
    value = low + (high - low) * at
    half = hunt.halved_range(given_, value)
    assert half.low is not None and half.high is not None
    assert low - 1e-6 <= half.low <= value + 1e-6 and value - 1e-6 <= half.high <= high + 1e-6


def test_a_scenario_is_reduced_to_what_shows_the_symptom() -> None:
    tree = {
        "name": "s",
        "seconds": 40.0,
        "servers": {"count": 16, "queue": 3},
        "sidecars": {"count": 8},
        "load": {"share": 0.9, "burst": 4},
        "troubles": [{"kind": kind, "at_ms": 1000.0} for kind in ("dead", "slow", "loss")],
    }

    def shows(made: dict[str, Any]) -> bool:
        kinds = [item["kind"] for item in made["troubles"]]
        return "slow" in kinds and made["servers"]["count"] >= 4 and made["load"].get("burst", 1) == 4

    smaller, plays = reduce_scenario(tree, shows, 200)
    assert smaller["troubles"] == [{"kind": "slow", "at_ms": 1000.0}] and smaller["servers"] == {"count": 4}
    assert smaller["sidecars"] == {"count": 1} and smaller["load"] == {"burst": 4} and plays <= 200
    assert smaller["seconds"] < 8.0
    assert reduce_scenario(tree, lambda _: True, 3)[1] == 3 and tree["sidecars"] == {"count": 8}
    assert all(made != tree for _, made in candidates(tree))


@pytest.mark.parametrize(
    ("symptom", "fields", "shows"),
    [
        (Symptom(rule="fall"), {"broke_fall": 2}, True),
        (Symptom(rule="twice"), {"broke_fall": 2}, False),
        (Symptom(below=0.5), {"score": 0.4}, True),
        (Symptom(below=0.5), {"score": 0.6}, False),
        (Symptom(below=0.5), {"score": 0.0, "fault": "ended"}, False),
    ],
)
def test_a_symptom_is_a_broken_rule_or_a_low_score(
    symptom: Symptom, fields: dict[str, Any], shows: bool
) -> None:
    assert symptom.shows(row(**fields)) is shows


# Reports and the command


def test_a_report_depends_only_on_its_rows(played: tuple[Plan, Path], tmp_path: Path) -> None:
    _, results = played
    codes = sorted({row["code"] for row in ResultFolder(results).load().rows})
    pages = [
        report.write(ResultFolder(results).load(), tmp_path / n, "try", reference="module", codes=codes)
        for n in ("a", "b")
    ]
    text = pages[0].read_text()
    assert (
        "module against the others" in text
        and "least of two" in text
        and "Broken rules" in text
        and "never" in text
    )
    files = sorted(path.name for path in (tmp_path / "a").iterdir())
    assert {"scores.png", "latency-tiny.png", "map-0.png", "map-1.png", "report.html"} < set(files)
    for name in files:
        assert (tmp_path / "a" / name).read_bytes() == (tmp_path / "b" / name).read_bytes(), name


def test_cells_summarize_their_rows(played: tuple[Plan, Path]) -> None:
    rows = ResultFolder(played[1]).load().rows
    found = tables.cells(rows, "service")
    assert len(found) == 8 and all(cell.metric.n == 3 for cell in found)
    [cell] = [
        c
        for c in found
        if c.point.policy == "module" and c.point.changes == {"load.share": 0.5, "servers.warm_up_ms": 500}
    ]
    by_seed = tables.metric_by_seed(rows, cell.point, "service")
    assert cell.metric.mean == pytest.approx(statistics.mean(by_seed.values())) and len(by_seed) == 3
    assert len(tables.comparisons(rows, "module", "score")) == 4


def test_the_command_plays_compares_reduces_and_reports_invalid_input(tmp_path: Path) -> None:
    file = tmp_path / "tiny.toml"
    file.write_text(TINY)
    call = CliRunner().invoke
    assert '"score"' in call(main, ["play", str(file), "--set", "load.share=0.5"]).output
    same = call(main, ["compare", str(file), "--seeds", "5", "--workers", "2"])
    assert same.exit_code == 0 and "no difference seen at n = 5" in same.output
    out = tmp_path / "small.toml"
    words = ["reduce", str(file), "--seed", "1", "--below", "2", "--plays", "12", "--out", str(out)]
    assert call(main, words).exit_code == 0 and "Seed 1: score below 2" in out.read_text()
    for bad in (["play", str(file), "--policy", "x"], ["play", str(file), "--set", "load.share=x"]):
        result = call(main, bad)
        assert result.exit_code == 2 and result.output.startswith("lab: ") and result.output.count("\n") == 1
    assert '"$defs"' in call(main, ["schema"]).output


def test_decisions_of_an_older_revision_are_loaded_from_git(tmp_path: Path) -> None:
    known = subprocess.run(["git", "rev-parse", "HEAD"], cwd=pool.ROOT, capture_output=True)
    if known.returncode:
        pytest.skip("no git history")
    file = tmp_path / "tiny.toml"
    file.write_text(TINY)
    words = ["compare", str(file), "--b", "module@HEAD", "--seeds", "5", "--workers", "2"]
    result = CliRunner().invoke(main, [*words, "--out", str(tmp_path / "out")])
    assert result.exit_code == 0 and "at n = 5" in result.output
    rows = ResultFolder(tmp_path / "out").load().rows
    assert {row["policy"] for row in rows} == {"module", "module@HEAD"} and not any(r["fault"] for r in rows)
    result = CliRunner().invoke(main, ["compare", str(file), "--b", "module@nowhere"])
    assert result.exit_code == 2 and "no revision" in result.output
