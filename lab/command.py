"""python -m lab: plays, experiments, comparisons, reports, hunts. Exit status 0 done, 1 a rule broken or a
play not ended where that was asked for, 2 something given cannot be used."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Literal

import click
import msgspec

from lab import experiment, report, running, scenario, statistics, tables
from lab.command_options import FILE, FOLDER, SET, WORKERS, ProgressBar, changes_of, told
from lab.experiment import Experiment, Plan, Point
from lab.hunt_commands import hunt_worst, shrink
from lab.policies import POLICIES, find_policy
from lab.results import Folder, of_one_code
from lab.revisions import Revisions, libraries
from lab.scenario import InvalidInput
from lab.simulation import Simulation


@click.group(help=__doc__, context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    pass


@main.command("play")
@click.argument("file", type=FILE)
@click.option("--policy", "way", default="module", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@SET
@told
def play(file: Path, way: str, seed: int, settings: tuple[str, ...]) -> int:
    """One play of a scenario, here, as JSON.

    Example: python -m lab play lab/scenarios/outage.toml --set load.share=0.9
    """
    decides, watched = find_policy(way)
    simulation = Simulation(
        scenario.load(file).with_changes(changes_of(settings)).scenario_for(seed), seed, decides, watched
    )
    row = simulation.run()
    click.echo(msgspec.json.format(msgspec.json.encode(msgspec.structs.asdict(row))).decode())
    for rule, words in sorted(simulation.checker.first_violations.items()):
        click.echo(f"{rule}: {words}", err=True)
    return 1 if simulation.checker.violations or row.falls or row.fault else 0


@main.command("run")
@click.argument("file", type=FILE)
@click.option(
    "--out", type=FOLDER, help="the folder of results; beside the file, by its name, where not given"
)
@click.option("--shard", default="1/1", metavar="N/OF", help="this part of the plays alone")
@click.option("--most-seconds", type=float, default=3600.0, show_default=True, help="of real time, a play")
@WORKERS
@told
def run(file: Path, out: Path | None, shard: str, most_seconds: float, workers: int) -> int:
    """Makes the plays of an experiment that are missing, and one file of all.

    Example: python -m lab run lab/experiments/policies.toml --out results/policies
    """
    plan = experiment.load(file)
    folder = out or file.with_suffix("")
    with ProgressBar() as bar:
        loaded = running.make(plan, folder, workers=workers, part=shard, progress=bar, most_s=most_seconds)
    _print(tables.cells(loaded.rows, "score"), "score")
    asked = len(plan.points) * plan.experiment.seeds
    click.echo(f"{folder}: {len(loaded.rows)} plays; the experiment has {asked}")
    return 0


def _print(found: list[tables.Cell], metric: str) -> None:
    for cell in found:
        ends = f"[{tables.number(cell.metric.low)} to {tables.number(cell.metric.high)}]"
        mean = f"{metric} {tables.number(cell.metric.mean)} {ends}"
        line = f"{cell.point.label()}: {mean}, {cell.metric.n} plays"
        if cell.broken:
            line += "; plays that broke " + ", ".join(f"{rule}: {n}" for rule, n in cell.broken.items())
        click.echo(line + (f"; not ended: {cell.faults}" if cell.faults else ""))


@main.command("merge")
@click.argument("folders", type=FOLDER, nargs=-1, required=True)
@click.option("--into", type=FOLDER, required=True)
@told
def merge(folders: tuple[Path, ...], into: Path) -> int:
    """Joins folders of results, of shards on several machines."""
    loaded = Folder(into, libraries()).compact([Folder(path) for path in folders])
    for path in loaded.damaged:
        click.echo(f"{path}: could not be read and was set aside", err=True)
    click.echo(f"{into}: {len(loaded.rows)} plays")
    return 1 if loaded.damaged else 0


@main.command("compare")
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option(
    "--a", "first", default="module", show_default=True, help="a policy; NAME@REVISION for older code"
)
@click.option("--b", "second", default="module", show_default=True)
@click.option("--set-a", multiple=True, metavar="PLACE=VALUE")
@click.option("--set-b", multiple=True, metavar="PLACE=VALUE")
@click.option("--metric", default="score", show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=20, show_default=True)
@click.option(
    "--until", type=float, default=0.0, help="more seeds until the interval is this wide to each side"
)
@click.option("--most-seeds", type=click.IntRange(1), default=400, show_default=True)
@click.option("--out", type=FOLDER, help="keep the plays here, and use those that are there")
@WORKERS
@told
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
    """Two policies, two settings or two revisions on the same seeds.

    Example: python -m lab compare lab/scenarios/outage.toml --a module --b module@HEAD~20 --until 0.004
    """
    find_policy(first), find_policy(second)
    changes = [changes_of(set_a), changes_of(set_b)]
    sources = {path.stem: scenario.load(path) for path in files}
    ways = dict.fromkeys((first, second))
    made = Experiment(
        name="compare", scenarios=tuple(sources), policies=tuple(ways), seeds=seeds, series_seeds=0
    )
    plan = Plan(made, sources)
    plan.points = [
        Point(scenario=name, policy=way, changes=change)
        for name in sources
        for way, change in zip((first, second), changes, strict=True)
    ]
    with tempfile.TemporaryDirectory() as scratch:
        folder, count = out or Path(scratch), seeds
        while True:
            with ProgressBar() as bar:
                loaded = running.make(plan, folder, workers=workers, seeds=range(1, count + 1), progress=bar)
            rows = [row for row in loaded.rows if row["seed"] <= count]
            with tempfile.TemporaryDirectory() as place:
                revisions = Revisions(Path(place))
                codes = {revisions.code(way) for way in ways}
            rows = [row for row in rows if row["code"] in codes]
            found = [
                tables.against(rows, plan.points[2 * at], plan.points[2 * at + 1], metric)
                for at in range(len(sources))
            ]
            more = (
                max(statistics.more_seeds(item.difference, until, most_seeds) for item in found)
                if until
                else 0
            )
            if not more:
                break
            count += more
    labels = [
        f"{way}{' with ' + ', '.join(given) if given else ''}"
        for way, given in ((first, set_a), (second, set_b))
    ]
    for name, item in zip(sources, found, strict=True):
        click.echo(f"{name}: {item.verdict(labels[0], labels[1], metric)}")
    return 0


@main.command("report")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--metric", default="score", show_default=True)
@click.option("--title", default="")
@click.option("--code", "codes", multiple=True, help="rows of this code alone; several may be named")
@click.option("--own", default="module", show_default=True, help="the others are held against it")
@click.option(
    "--multiple", default=2.5, show_default=True, help="of what a server can do, where it falls over"
)
@told
def write_report(
    folder: Path, metric: str, title: str, codes: tuple[str, ...], own: str, multiple: float
) -> int:
    """One HTML page with PNG charts, beside the results."""
    loaded = Folder(folder).load()
    page = report.write(loaded, folder / "report", title or folder.name, metric, multiple, own, codes)
    click.echo(page)
    return 0


@main.command("way")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--metric", default="service", show_default=True)
@click.option("--floor", default="random", show_default=True)
@click.option("--ceiling", default="oracle", show_default=True)
@click.option("--code", "codes", multiple=True, help="rows of this code alone; several may be named")
@told
def write_way(folder: Path, metric: str, floor: str, ceiling: str, codes: tuple[str, ...]) -> int:
    """What part of the way from one policy to another each of the others goes, by point.

    Example: python -m lab way lab/results/scale
    """
    rows = of_one_code(Folder(folder).load().rows, codes)
    found = tables.ways(rows, metric, floor, ceiling)
    for item in found:
        way, number = item.way, tables.number
        ends = f"[{number(way.low, 2)}, {number(way.high, 2)}]"
        values = f"{number(item.own.mean)} between {number(item.floor.mean)} and {number(item.ceiling.mean)}"
        words = f"{number(way.mean, 2)} {ends} of the way; {metric} {values}, {way.n} seeds"
        click.echo(f"{item.point.label()}: {words}")
    if not found:
        raise InvalidInput(f"{folder}: no play of {floor!r} and {ceiling!r} beside another; play all three")
    return 0


@main.command("sockets")
@click.argument("file", type=FILE)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--speaks", type=click.Choice(["http", "rpc"]), default="http", show_default=True)
@click.option(
    "--drivers",
    type=click.IntRange(1, 16),
    help="processes that speak for servers and clients; by the load where not given",
)
@SET
@told
def over_sockets(
    file: Path,
    seed: int,
    speaks: Literal["http", "rpc"],
    drivers: int | None,
    settings: tuple[str, ...],
) -> int:
    """One play over real sockets, with real sidecar processes, beside the same play in virtual time.

    It takes as long as the scenario says. Example: python -m lab sockets lab/scenarios/outage.toml --set
    seconds=12
    """
    from lab import many  # the sidecar's own packages are needed for this alone

    source = scenario.load(file).with_changes(changes_of(settings))
    try:
        found, up_s = many.play(source, seed, drivers, speaks)
    except many.Broken as fault:
        click.echo(str(fault), err=True)
        return 1
    real, emulated = found.row, Simulation(source.scenario_for(seed), seed).run()
    shown = {
        "sockets": msgspec.structs.asdict(real) | found.percentiles(),
        "emulated": msgspec.structs.asdict(emulated),
        "service_less_emulated": round(real.service - emulated.service, 4),
        "most_late_ms": round(found.late_ms, 1),
        "up_s": round(up_s, 2),
        "memory_mb": found.memory_mb(),
    }
    click.echo(msgspec.json.format(msgspec.json.encode(shown)).decode())
    for rule, words in sorted(found.checker.first_violations.items()):
        click.echo(f"{rule}: {words}", err=True)
    return 1 if found.checker.violations or real.fault else 0


@main.command("schema")
def schema() -> None:
    """The JSON schema of scenario files."""
    click.echo(msgspec.json.format(msgspec.json.encode(scenario.schema())).decode())


@main.command("policies")
def policies() -> None:
    """The names of what can decide."""
    click.echo("\n".join(sorted(POLICIES)))


main.add_command(hunt_worst)
main.add_command(shrink)
