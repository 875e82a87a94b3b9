"""python -m lab: simulation runs ("plays"), experiments, comparisons, reports and searches for worst cases.

Exit status: 0 for success, 1 if a checked play broke a rule or failed, 2 for invalid input."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Literal

import click
import msgspec

from lab import experiment, report, running, scenario, statistics, tables
from lab.command_options import (
    FILE_PATH,
    FOLDER_PATH,
    SET_OPTION,
    WORKERS_OPTION,
    ProgressBar,
    parse_changes,
    reports_errors,
)
from lab.experiment import Experiment, Plan, Point
from lab.hunt_commands import hunt_worst, reduce
from lab.policies import POLICIES, find_policy
from lab.results import ResultFolder, rows_of_one_code
from lab.revisions import Revisions, libraries
from lab.scenario import InvalidInput
from lab.simulation import Simulation


@click.group(help=__doc__, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    pass


@main.command("play")
@click.argument("file", type=FILE_PATH)
@click.option("--policy", "policy_name", default="module", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@SET_OPTION
@reports_errors
def play(file: Path, policy_name: str, seed: int, settings: tuple[str, ...]) -> int:
    """Runs one play of a scenario in this process, and prints its result as JSON.

    Example: python -m lab play lab/scenarios/outage.toml --set load.share=0.9
    """
    policy_factory, watch_storms = find_policy(policy_name)
    simulation = Simulation(
        scenario.load(file).with_changes(parse_changes(settings)).scenario_for(seed),
        seed,
        policy_factory,
        watch_storms,
    )
    row = simulation.run()
    click.echo(msgspec.json.format(msgspec.json.encode(msgspec.structs.asdict(row))).decode())
    for rule, message in sorted(simulation.checker.first_violations.items()):
        click.echo(f"{rule}: {message}", err=True)
    return 1 if simulation.checker.violations or row.falls or row.fault else 0


@main.command("run")
@click.argument("file", type=FILE_PATH)
@click.option(
    "--out", type=FOLDER_PATH, help="folder for the results; by default beside the file, with its name"
)
@click.option("--shard", default="1/1", metavar="N/OF", help="run only this shard of the plays")
@click.option(
    "--most-seconds", type=float, default=3600.0, show_default=True, help="time limit of a play, in real time"
)
@WORKERS_OPTION
@reports_errors
def run(file: Path, out: Path | None, shard: str, most_seconds: float, workers: int) -> int:
    """Runs the plays of an experiment that have no result yet, and merges all results into one file.

    Example: python -m lab run lab/experiments/policies.toml --out results/policies
    """
    plan = experiment.load(file)
    folder = out or file.with_suffix("")
    with ProgressBar() as bar:
        loaded = running.run_missing_plays(
            plan, folder, workers=workers, shard=shard, progress=bar, timeout_s=most_seconds
        )
    _print_cells(tables.cells(loaded.rows, "score"), "score")
    total = len(plan.points) * plan.experiment.seeds
    click.echo(f"{folder}: {len(loaded.rows)} plays; the experiment has {total}")
    return 0


def _print_cells(cells: list[tables.Cell], metric: str) -> None:
    for cell in cells:
        ends = f"[{tables.format_number(cell.metric.low)} to {tables.format_number(cell.metric.high)}]"
        mean = f"{metric} {tables.format_number(cell.metric.mean)} {ends}"
        line = f"{cell.point.label()}: {mean}, {cell.metric.n} plays"
        if cell.broken:
            line += "; plays that broke " + ", ".join(f"{rule}: {n}" for rule, n in cell.broken.items())
        click.echo(line + (f"; failed: {cell.faults}" if cell.faults else ""))


@main.command("merge")
@click.argument("folders", type=FOLDER_PATH, nargs=-1, required=True)
@click.option("--into", type=FOLDER_PATH, required=True)
@reports_errors
def merge(folders: tuple[Path, ...], into: Path) -> int:
    """Merges folders of results, such as shards from several machines."""
    loaded = ResultFolder(into, libraries()).compact([ResultFolder(path) for path in folders])
    for path in loaded.damaged:
        click.echo(f"{path}: could not be read and was set aside", err=True)
    click.echo(f"{into}: {len(loaded.rows)} plays")
    return 1 if loaded.damaged else 0


@main.command("compare")
@click.argument("files", type=FILE_PATH, nargs=-1, required=True)
@click.option(
    "--a", "first", default="module", show_default=True, help="a policy; NAME@REVISION for an older revision"
)
@click.option("--b", "second", default="module", show_default=True)
@click.option("--set-a", multiple=True, metavar="PATH=VALUE")
@click.option("--set-b", multiple=True, metavar="PATH=VALUE")
@click.option("--metric", default="score", show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=20, show_default=True)
@click.option(
    "--until", type=float, default=0.0, help="adds seeds until the interval's half-width is at most this"
)
@click.option("--most-seeds", type=click.IntRange(1), default=400, show_default=True)
@click.option("--out", type=FOLDER_PATH, help="folder in which results are kept and reused")
@WORKERS_OPTION
@reports_errors
def compare(
    files: tuple[Path, ...],
    first: str,
    second: str,
    set_a: tuple[str, ...],
    set_b: tuple[str, ...],
    metric: str,
    seeds: int,
    until: float,
    most_seeds: int,
    out: Path | None,
    workers: int,
) -> int:
    """Compares two policies, settings or revisions on the same seeds.

    Example: python -m lab compare lab/scenarios/outage.toml --a module --b module@HEAD~20 --until 0.004
    """
    find_policy(first), find_policy(second)
    changes = [parse_changes(set_a), parse_changes(set_b)]
    sources = {path.stem: scenario.load(path) for path in files}
    policies = dict.fromkeys((first, second))
    compared = Experiment(
        name="compare", scenarios=tuple(sources), policies=tuple(policies), seeds=seeds, series_seeds=0
    )
    plan = Plan(compared, sources)
    plan.points = [
        Point(scenario=name, policy=policy_name, changes=change)
        for name in sources
        for policy_name, change in zip((first, second), changes, strict=True)
    ]
    with tempfile.TemporaryDirectory() as scratch:
        folder, count = out or Path(scratch), seeds
        while True:
            with ProgressBar() as bar:
                loaded = running.run_missing_plays(
                    plan, folder, workers=workers, seeds=range(1, count + 1), progress=bar
                )
            rows = [row for row in loaded.rows if row["seed"] <= count]
            with tempfile.TemporaryDirectory() as checkouts:
                revisions = Revisions(Path(checkouts))
                codes = {revisions.code(policy_name) for policy_name in policies}
            rows = [row for row in rows if row["code"] in codes]
            comparisons = [
                tables.compare_points(rows, plan.points[2 * index], plan.points[2 * index + 1], metric)
                for index in range(len(sources))
            ]
            more = (
                max(statistics.more_seeds(item.difference, until, most_seeds) for item in comparisons)
                if until
                else 0
            )
            if not more:
                break
            count += more
    labels = [
        f"{policy_name}{' with ' + ', '.join(settings) if settings else ''}"
        for policy_name, settings in ((first, set_a), (second, set_b))
    ]
    for name, item in zip(sources, comparisons, strict=True):
        click.echo(f"{name}: {item.verdict(labels[0], labels[1], metric)}")
    return 0


@main.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--metric", default="score", show_default=True)
@click.option("--title", default="")
@click.option("--code", "codes", multiple=True, help="only rows of this code digest; may be repeated")
@click.option(
    "--own", "reference", default="module", show_default=True, help="the others are compared with it"
)
@click.option(
    "--multiple",
    "fall_multiple",
    default=2.5,
    show_default=True,
    help="load / capacity at which a server fails",
)
@reports_errors
def write_report(
    folder: Path, metric: str, title: str, codes: tuple[str, ...], reference: str, fall_multiple: float
) -> int:
    """Writes an HTML page with PNG charts into the folder of results."""
    loaded = ResultFolder(folder).load()
    page = report.write(
        loaded, folder / "report", title or folder.name, metric, fall_multiple, reference, codes
    )
    click.echo(page)
    return 0


@main.command("way")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--metric", default="service", show_default=True)
@click.option("--floor", default="random", show_default=True)
@click.option("--ceiling", default="oracle", show_default=True)
@click.option("--code", "codes", multiple=True, help="only rows of this code digest; may be repeated")
@reports_errors
def write_gaps(folder: Path, metric: str, floor: str, ceiling: str, codes: tuple[str, ...]) -> int:
    """Prints, by point, the share of the gap between two policies that each other policy closes.

    Example: python -m lab way lab/results/scale
    """
    rows = rows_of_one_code(ResultFolder(folder).load().rows, codes)
    gaps = tables.gaps_closed(rows, metric, floor, ceiling)
    for item in gaps:
        share, number = item.gap_closed, tables.format_number
        interval = f"[{number(share.low, 2)}, {number(share.high, 2)}]"
        values = (
            f"{number(item.policy_mean.mean)} between {number(item.floor.mean)}"
            f" and {number(item.ceiling.mean)}"
        )
        text = f"{number(share.mean, 2)} {interval} of the gap; {metric} {values}, {share.n} seeds"
        click.echo(f"{item.point.label()}: {text}")
    if not gaps:
        raise InvalidInput(
            f"{folder}: no plays of {floor!r}, {ceiling!r} and another policy on the same seeds; run them"
        )
    return 0


@main.command("sockets")
@click.argument("file", type=FILE_PATH)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--speaks", "protocol", type=click.Choice(["http", "rpc"]), default="http", show_default=True)
@click.option(
    "--drivers",
    type=click.IntRange(1, 16),
    help="processes that emulate servers and clients; by default chosen by the load",
)
@SET_OPTION
@reports_errors
def over_sockets(
    file: Path,
    seed: int,
    protocol: Literal["http", "rpc"],
    drivers: int | None,
    settings: tuple[str, ...],
) -> int:
    """Runs one play over real sockets with real sidecar processes, and the same play in virtual time.

    It takes as long as the scenario does. Example: python -m lab sockets lab/scenarios/outage.toml --set
    seconds=12
    """
    from lab import many  # imported here because only this command needs the sidecar's dependencies

    source = scenario.load(file).with_changes(parse_changes(settings))
    try:
        result, up_s = many.play(source, seed, drivers, protocol)
    except many.DriverDiedError as fault:
        click.echo(str(fault), err=True)
        return 1
    real, emulated = result.row, Simulation(source.scenario_for(seed), seed).run()
    output = {
        "sockets": msgspec.structs.asdict(real) | result.percentiles(),
        "emulated": msgspec.structs.asdict(emulated),
        "service_less_emulated": round(real.service - emulated.service, 4),
        "most_late_ms": round(result.late_ms, 1),
        "up_s": round(up_s, 2),
        "memory_mb": result.memory_mb(),
    }
    click.echo(msgspec.json.format(msgspec.json.encode(output)).decode())
    for rule, message in sorted(result.checker.first_violations.items()):
        click.echo(f"{rule}: {message}", err=True)
    return 1 if result.checker.violations or real.fault else 0


@main.command("schema")
def schema() -> None:
    """Prints the JSON schema of scenario files."""
    click.echo(msgspec.json.format(msgspec.json.encode(scenario.schema())).decode())


@main.command("policies")
def policies() -> None:
    """Lists the names of all policies."""
    click.echo("\n".join(sorted(POLICIES)))


main.add_command(hunt_worst)
main.add_command(reduce)
