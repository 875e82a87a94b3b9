"""`python -m lab hunt` and `reduce`: scenarios that break a rule or score low, and the smallest that do."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import click
import tomli_w

from lab import hunt, pool, scenario
from lab.command_options import FILE, FOLDER, WORKERS, ProgressBar, told
from lab.experiment import Play, Point
from lab.policies import find_policy
from lab.reduce import RULES, Symptom, reduced
from lab.revisions import Revisions
from lab.scenario import InvalidInput, Source
from lab.simulation import Simulation
from lab.worker import Job, broken


def run_all(jobs: list[tuple[Play, Job, Path]], workers: int) -> dict[int, Any]:
    """Plays all jobs by so many processes, with progress shown; their rows by seed."""
    with ProgressBar() as bar:
        found = {}
        for done, (made, result) in enumerate(pool.run(jobs, workers), 1):
            found[made.seed] = result.row
            bar(done, len(jobs), "")
    return found


@click.command("hunt")
@click.argument("file", type=FILE)
@click.option("--policy", "way", default="module", show_default=True)
@click.option("--rounds", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--plays", type=click.IntRange(1, 100_000), default=64, show_default=True, help="a round")
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option(
    "--found", type=FOLDER, default=Path("found"), show_default=True, help="where the worst are kept"
)
@WORKERS
@told
def hunt_worst(
    file: Path, way: str, rounds: int, plays: int, first_seed: int, found: Path, workers: int
) -> int:
    """Searches a scenario's ranges for the plays that break a rule or lose most."""
    find_policy(way)
    source = scenario.load(file)
    search = hunt.Hunt(source, first_seed)
    with tempfile.TemporaryDirectory() as scratch:
        place = Revisions(Path(scratch)).place(way)
        for turn in range(rounds):
            proposed = search.propose(plays)
            jobs = []
            for values, seed in proposed:
                point = Point(scenario=file.stem, policy=way, changes=values)
                jobs.append(
                    (
                        Play(point=point, seed=seed, code=""),
                        Job(source=source.with_changes(values), policy=way, seed=seed),
                        place,
                    )
                )
            rows = run_all(jobs, workers)
            search.told([hunt.Tried(values=values, seed=seed, row=rows[seed]) for values, seed in proposed])
            worst = search.worst(1)[0]
            broken = sum(item.breaks() for item in search.tried)
            click.echo(
                f"round {turn + 1}: {len(search.tried)} plays, {broken} broke a rule; worst score"
                f" {worst.row.score:.3f}, seed {worst.seed}"
            )
    found.mkdir(parents=True, exist_ok=True)
    for item in search.worst(3):
        path = found / f"{file.stem}-{item.seed}.toml"
        path.write_text(
            _file(search.file_of(item), item.seed, f"score {item.row.score:.3f}"), encoding="utf-8"
        )
        click.echo(path)
    return 1 if any(item.breaks() for item in search.tried) else 0


def _file(tree: dict[str, Any], seed: int, words: str) -> str:
    return f"# Seed {seed}: {words}.\n" + tomli_w.dumps(tree)


@click.command("reduce")
@click.argument("file", type=FILE)
@click.option("--policy", "way", default="module", show_default=True)
@click.option("--seed", type=int, required=True)
@click.option("--rule", type=click.Choice(RULES), help="the symptom: this rule is broken")
@click.option("--below", type=float, help="the symptom: a score below this")
@click.option("--plays", type=click.IntRange(1, 100_000), default=200, show_default=True, help="at the most")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True)
@told
def shrink(
    file: Path, way: str, seed: int, rule: str | None, below: float | None, plays: int, out: Path
) -> int:
    """Shrinks a scenario to the smallest that still shows a symptom, as a file."""
    if (rule is None) == (below is None):
        raise InvalidInput("--rule or --below: give one of them, as the symptom")
    symptom = Symptom(rule=rule or "", below=below or 0.0)
    decides, watched = find_policy(way)
    source = scenario.load(file)

    def shows(tree: dict[str, Any]) -> bool:
        try:
            made = Source(path=str(file), tree=tree, draws={}).scenario_for(seed)
        except InvalidInput:
            return False
        return symptom.shows(Simulation(made, seed, decides, watched).run())

    tree = hunt.Hunt(source).file_of(
        hunt.Tried(values=hunt.draw(source.draws, seed), seed=seed, row=broken(""))
    )
    if not shows(tree):
        raise InvalidInput(
            f"{file}: seed {seed}: it does not show the symptom ({symptom.words()}); take another seed"
        )
    smaller, made = reduced(tree, shows, plays, lambda words: click.echo(f"kept: {words}", err=True))
    out.write_text(_file(smaller, seed, symptom.words()), encoding="utf-8")
    click.echo(f"{out}: after {made} plays")
    return 0
