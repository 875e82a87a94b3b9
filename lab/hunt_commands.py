"""`python -m lab hunt` and `reduce`: finds scenarios that break a rule or score low, and reduces them."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Any

import click
import tomli_w

from lab import hunt, pool, scenario
from lab.command_options import FILE_PATH, FOLDER_PATH, WORKERS_OPTION, ProgressBar, reports_errors
from lab.experiment import Play, Point
from lab.policies import find_policy
from lab.reduce import RULES, Symptom, reduce_scenario
from lab.revisions import Revisions
from lab.scenario import InvalidInput, Source
from lab.simulation import Simulation
from lab.worker import Job, failed_row


def run_jobs(jobs: list[tuple[Play, Job, Path]], workers: int) -> dict[int, Any]:
    """Runs all jobs on this many worker processes and shows progress; returns their rows by seed."""
    with ProgressBar() as bar:
        rows = {}
        for done, (play, result) in enumerate(pool.run(jobs, workers), 1):
            rows[play.seed] = result.row
            bar(done, len(jobs), "")
    return rows


@click.command("hunt")
@click.argument("file", type=FILE_PATH)
@click.option("--policy", "policy_name", default="module", show_default=True)
@click.option("--rounds", type=click.IntRange(1, 64), default=4, show_default=True)
@click.option("--plays", type=click.IntRange(1, 100_000), default=64, show_default=True, help="per round")
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option(
    "--found",
    type=FOLDER_PATH,
    default=Path("found"),
    show_default=True,
    help="folder for the worst scenarios",
)
@WORKERS_OPTION
@reports_errors
def hunt_worst(
    file: Path, policy_name: str, rounds: int, plays: int, first_seed: int, found: Path, workers: int
) -> int:
    """Searches a scenario's ranges for the plays that break a rule or have the lowest scores."""
    find_policy(policy_name)
    source = scenario.load(file)
    search = hunt.WorstCaseSearch(source, first_seed)
    with tempfile.TemporaryDirectory() as scratch:
        directory = Revisions(Path(scratch)).directory(policy_name)
        for round_index in range(rounds):
            proposed = search.propose(plays)
            jobs = []
            for values, seed in proposed:
                point = Point(scenario=file.stem, policy=policy_name, changes=values)
                jobs.append(
                    (
                        Play(point=point, seed=seed, code=""),
                        Job(source=source.with_changes(values), policy=policy_name, seed=seed),
                        directory,
                    )
                )
            rows = run_jobs(jobs, workers)
            search.record_trials(
                [hunt.Trial(values=values, seed=seed, row=rows[seed]) for values, seed in proposed]
            )
            worst = search.worst(1)[0]
            broken = sum(item.breaks_a_rule() for item in search.trials)
            click.echo(
                f"round {round_index + 1}: {len(search.trials)} plays, {broken} broke a rule; worst score"
                f" {worst.row.score:.3f}, seed {worst.seed}"
            )
    found.mkdir(parents=True, exist_ok=True)
    for item in search.worst(3):
        path = found / f"{file.stem}-{item.seed}.toml"
        path.write_text(
            _scenario_file(search.scenario_tree(item), item.seed, f"score {item.row.score:.3f}"),
            encoding="utf-8",
        )
        click.echo(path)
    return 1 if any(item.breaks_a_rule() for item in search.trials) else 0


def _scenario_file(tree: dict[str, Any], seed: int, description: str) -> str:
    return f"# Seed {seed}: {description}.\n" + tomli_w.dumps(tree)


@click.command("reduce")
@click.argument("file", type=FILE_PATH)
@click.option("--policy", "policy_name", default="module", show_default=True)
@click.option("--seed", type=int, required=True)
@click.option("--rule", type=click.Choice(RULES), help="the symptom: this rule is broken")
@click.option("--below", type=float, help="the symptom: a score below this value")
@click.option(
    "--plays", type=click.IntRange(1, 100_000), default=200, show_default=True, help="maximum number of plays"
)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True)
@reports_errors
def reduce(
    file: Path, policy_name: str, seed: int, rule: str | None, below: float | None, plays: int, out: Path
) -> int:
    """Reduces a scenario to the smallest one that still shows a symptom, and writes it to a file."""
    if (rule is None) == (below is None):
        raise InvalidInput("--rule or --below: give exactly one of them as the symptom")
    symptom = Symptom(rule=rule or "", below=below or 0.0)
    policy, watch_storms = find_policy(policy_name)
    source = scenario.load(file)

    def shows(tree: dict[str, Any]) -> bool:
        try:
            reduced = Source(path=str(file), tree=tree, draws={}).scenario_for(seed)
        except InvalidInput:
            return False
        return symptom.shows(Simulation(reduced, seed, policy, watch_storms).run())

    tree = hunt.WorstCaseSearch(source).scenario_tree(
        hunt.Trial(values=hunt.draw(source.draws, seed), seed=seed, row=failed_row(""))
    )
    if not shows(tree):
        raise InvalidInput(
            f"{file}: seed {seed}: does not show the symptom ({symptom.description()}); use another seed"
        )
    smaller, plays_made = reduce_scenario(
        tree, shows, plays, lambda step: click.echo(f"kept: {step}", err=True)
    )
    out.write_text(_scenario_file(smaller, seed, symptom.description()), encoding="utf-8")
    click.echo(f"{out}: after {plays_made} plays")
    return 0
