"""`python -m anisestair states`: explores the models, seeds bugs in them, and replays counterexamples."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from anisestair.states import bugs, policy, scenarios, storm_state, takeover
from anisestair.states.world import LifecycleModel
from statecheck import Choices, Violation, check_liveness, explore, explore_choices
from statecheck.model import Model
from statecheck.orders import ViolationError
from statecheck.trace import Trace, TraceError, load_trace, step_through

OTHER_MODELS: dict[str, type[Model]] = {
    storm_state.NAME: storm_state.StormDetectorModel,
    takeover.NAME: takeover.Takeover,
    takeover.SLOW_NAME: takeover.SlowTakeover,
}
# Only small models are checked for liveness: that stores all edges and allows no reduction.
LIVENESS_MODELS = ("sale-small", "sale-uncancelled", "listing-small", *OTHER_MODELS)
POLICY_SCRIPTS = {script.name: script for script in policy.POLICY_SCRIPTS}
MAX_JOBS = 8


@dataclass(frozen=True)
class ResultRow:
    """The result for one model, in the form of the JSON output. For a stateless exploration, ``states``
    counts runs and ``transitions`` choices."""

    model: str
    kind: str
    states: int
    transitions: int
    depth: int
    seconds: float
    bytes_per_state: int
    complete: bool
    property: str = ""
    words: str = ""
    events: tuple[str, ...] = ()
    choices: tuple[int, ...] = ()

    def line(self) -> str:
        """Return the row of the printed table."""
        result = (
            "complete" if self.complete else f"BROKEN: {self.property}" if self.property else "not complete"
        )
        return (
            f"{self.model:<26} {self.kind:<9} {self.states:>9} {self.transitions:>10} {self.depth:>6}"
            f" {self.seconds:>8.1f}  {result}"
        )


TABLE_HEADER = f"{'model':<26} {'kind':<9} {'states':>9} {'transitions':>10} {'depth':>6} {'seconds':>8}"


def check(name: str, memory_mb: float, seconds: float, reduced: bool = True) -> list[ResultRow]:
    """Explore one model; check a small one for liveness as well."""
    if name in POLICY_SCRIPTS:
        return [_explore_policy(name, seconds)]
    model = model_of(name)
    report = explore(model, memory_mb=memory_mb, seconds=seconds, symmetry=reduced, partial_order=reduced)
    violation = report.violation or Violation("", "")
    rows = [
        ResultRow(
            *(name, "safety", report.states, report.transitions, report.depth, round(report.seconds, 2)),
            *(round(report.bytes_per_state), report.complete, violation.name, violation.description),
            tuple(map(str, report.trace)),
        )
    ]
    if name in LIVENESS_MODELS and report.complete:
        liveness_model = storm_state.CalmingModel() if name == storm_state.NAME else model
        liveness = check_liveness(liveness_model, memory_mb=memory_mb, seconds=seconds)
        violation, report = liveness.violation or Violation("", ""), liveness.report
        rows.append(
            ResultRow(
                *(
                    name,
                    "liveness",
                    report.states,
                    report.transitions,
                    report.depth,
                    round(report.seconds, 2),
                ),
                *(round(report.bytes_per_state), report.complete, violation.name, violation.description),
                tuple(map(str, [*liveness.trace, *liveness.cycle])),
            )
        )
    return rows


def model_of(name: str) -> Model:
    """Create the model with that name."""
    return OTHER_MODELS[name]() if name in OTHER_MODELS else LifecycleModel(scenarios.BY_NAME[name])


def _explore_policy(name: str, seconds: float) -> ResultRow:
    report = explore_choices(policy.runner(POLICY_SCRIPTS[name]), seconds=seconds)
    violation = report.violation or Violation("", "")
    return ResultRow(
        *(name, "orders", report.runs, report.choices, report.depth, round(report.seconds, 2), 0),
        *(
            report.complete,
            violation.name,
            violation.description,
            tuple(report.trace),
            tuple(report.violating_choices),
        ),
    )


def find_bug(bug: bugs.Bug, seconds: float) -> ResultRow:
    """Seed a bug and search for it, without partial-order reduction, so that the trace is a shortest one."""
    with bug.seeded():
        if bug.model in POLICY_SCRIPTS:
            return replace(_explore_policy(bug.model, seconds), kind="bug")
        model = model_of(bug.model)
        if bug.violates_liveness:
            liveness = check_liveness(model, seconds=seconds)
            report, violation, trace = liveness.report, liveness.violation, liveness.trace
        else:
            report = explore(model, seconds=seconds, partial_order=False)
            violation, trace = report.violation, report.trace
        violation = violation or Violation("", "")
        return ResultRow(
            *(bug.model, "bug", report.states, report.transitions, report.depth, round(report.seconds, 2)),
            *(round(report.bytes_per_state), report.complete, violation.name, violation.description),
            tuple(map(str, trace)),
        )


def _format_trace(row: ResultRow) -> str:
    lines = [f"{row.property}: {row.words}"]
    lines += [f"{number:>4}. {event}" for number, event in enumerate(row.events, 1)]
    return "\n".join(lines)


def _save_trace(row: ResultRow, bug: str, path: Path) -> None:
    Trace(row.model, bug, Violation(row.property, row.words), row.events, row.choices).save(path)


def _replay(path: Path) -> int:
    """Replay a saved counterexample event by event. Return exit status 1 if a property is violated."""
    trace = load_trace(path)
    if trace.bug and trace.bug not in bugs.BY_NAME:
        raise TraceError(f"{path}: bug: {trace.bug}: not known: see --list-bugs")
    if trace.model not in (*scenarios.BY_NAME, *POLICY_SCRIPTS, *OTHER_MODELS):
        raise TraceError(f"{path}: model: {trace.model}: not known: see --list")
    if trace.model in POLICY_SCRIPTS:
        return _replay_policy(trace)
    model, violated = model_of(trace.model), False

    def replay() -> None:
        nonlocal violated
        for number, (label, state_text, violations) in enumerate(step_through(model, trace.events), 1):
            print(f"{number:>4}. {label}\n        {state_text}")
            for violation in violations:
                print(f"      * {violation.name}: {violation.description}")
                violated = True

    if trace.bug:
        with bugs.BY_NAME[trace.bug].seeded():
            replay()
    else:
        replay()
    if not violated:
        print("no property is broken at the end of these events")
    return int(violated)


def _replay_policy(trace: Trace) -> int:
    choices = Choices(list(trace.choices))
    try:
        policy.runner(POLICY_SCRIPTS[trace.model])(choices)
    except ViolationError as error:
        print(*choices.labels, f"* {error.violation.name}: {error.violation.description}", sep="\n")
        return 1
    except ValueError as error:
        raise TraceError(f"model {trace.model}: {error}") from None
    print(*choices.labels, "no property is broken at the end of these choices", sep="\n")
    return 0


def _argument_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="anisestair states", description=__doc__)
    parser.add_argument(
        "--model", action="append", metavar="NAME", help="explore only this model; may be repeated"
    )
    parser.add_argument("--quick", action="store_true", help="explore only the models that CI explores")
    parser.add_argument("--list", action="store_true", help="list the models")
    parser.add_argument("--list-bugs", action="store_true", help="list the bugs that can be seeded")
    parser.add_argument("--bug", metavar="NAME", help="seed this bug; exit 1 with a counterexample")
    parser.add_argument("--save", metavar="FILE", type=Path, help="save the counterexample found")
    parser.add_argument("--trace", metavar="FILE", type=Path, help="replay a saved counterexample")
    parser.add_argument(
        "--no-reduction", action="store_true", help="disable symmetry and partial-order reduction"
    )
    parser.add_argument("--memory-mb", type=float, default=2048.0, help="memory limit for each model (2048)")
    parser.add_argument("--seconds", type=float, default=3600.0, help="time limit for each model (3600)")
    parser.add_argument(
        "--jobs", type=int, default=1, help=f"models explored in parallel (1; at most {MAX_JOBS})"
    )
    parser.add_argument("--json", action="store_true", help="print the results as JSON")
    return parser


def _explore_models(
    names: list[str], options: argparse.Namespace, on_row: Callable[[ResultRow], None]
) -> list[ResultRow]:
    rows = []
    with ProcessPoolExecutor(min(max(options.jobs, 1), MAX_JOBS)) as pool:
        limits = (options.memory_mb, options.seconds, not options.no_reduction)
        for future in [pool.submit(check, name, *limits) for name in names]:
            for row in future.result():
                rows.append(row)
                on_row(row)
    return rows


def main(arguments: list[str]) -> int:
    """Return the exit status. 0: all models are explored completely without a violation; 1: a property is
    violated or a search is incomplete; 2: invalid arguments."""
    options = _argument_parser().parse_args(arguments)
    all_names = [
        *OTHER_MODELS,
        *(item.name for item in scenarios.SMALL),
        *POLICY_SCRIPTS,
        *(item.name for item in scenarios.LARGE),
    ]
    if options.list:
        print(*all_names, sep="\n")
        return 0
    if options.list_bugs:
        print(*(f"{bug.name:<24} {bug.model:<18} {bug.description}" for bug in bugs.BUGS), sep="\n")
        return 0
    try:
        if options.trace is not None:
            return _replay(options.trace)
    except TraceError as error:
        print(f"anisestair states: {error}", file=sys.stderr)
        return 2
    if options.bug is not None:
        if options.bug not in bugs.BY_NAME:
            print(f"anisestair states: --bug {options.bug}: not known: see --list-bugs", file=sys.stderr)
            return 2
        rows = [find_bug(bugs.BY_NAME[options.bug], options.seconds)]
        print(json.dumps([asdict(rows[0])]) if options.json else _format_trace(rows[0]))
    else:
        names = options.model or (all_names[: -len(scenarios.LARGE)] if options.quick else all_names)
        for name in names:
            if name not in all_names:
                print(f"anisestair states: --model {name}: not known: see --list", file=sys.stderr)
                return 2

        def on_row(row: ResultRow) -> None:
            if not options.json:
                print(row.line() + ("\n" + _format_trace(row) if row.property else ""), flush=True)

        if not options.json:
            print(TABLE_HEADER)
        rows = _explore_models(names, options, on_row)
        if options.json:
            print(json.dumps([asdict(row) for row in rows]))
    for row in rows:
        if row.property and options.save is not None:
            _save_trace(row, options.bug or "", options.save)
    return 0 if all(row.complete and not row.property for row in rows) else 1
