"""`python -m anisestair states`: explore the models, seed bugs in them, step through what was found."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from anisestair.states import bugs, policy, scenarios, storm_state, takeover
from anisestair.states.world import World
from statecheck import Choices, Violation, check_liveness, explore, explore_choices
from statecheck.model import Model
from statecheck.orders import ViolationError
from statecheck.trace import Trace, TraceError, load_trace, step_through

# Liveness is looked for in the smallest: it wants all edges, and no reduction.
OTHERS: dict[str, type[Model]] = {
    storm_state.NAME: storm_state.StormState,
    takeover.NAME: takeover.Takeover,
    takeover.SLOW_NAME: takeover.SlowTakeover,
}
LIVENESS = ("sale-small", "sale-uncancelled", "listing-small", *OTHERS)
POLICIES = {script.name: script for script in policy.SCRIPTS}
MAX_JOBS = 8


@dataclass(frozen=True)
class Row:
    """What one model came to. For a stateless one, states are runs and transitions choices."""

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
        word = (
            "complete" if self.complete else f"BROKEN: {self.property}" if self.property else "not complete"
        )
        return (
            f"{self.model:<26} {self.kind:<9} {self.states:>9} {self.transitions:>10} {self.depth:>6}"
            f" {self.seconds:>8.1f}  {word}"
        )


HEAD = f"{'model':<26} {'kind':<9} {'states':>9} {'transitions':>10} {'depth':>6} {'seconds':>8}"


def check(name: str, memory_mb: float, seconds: float, reduced: bool = True) -> list[Row]:
    """Explore one model; a small one for liveness as well."""
    if name in POLICIES:
        return [_policy(name, seconds)]
    model = model_of(name)
    report = explore(model, memory_mb=memory_mb, seconds=seconds, symmetry=reduced, partial_order=reduced)
    found = report.violation or Violation("", "")
    rows = [
        Row(
            *(name, "safety", report.states, report.transitions, report.depth, round(report.seconds, 2)),
            *(round(report.bytes_per_state), report.complete, found.name, found.description),
            tuple(map(str, report.trace)),
        )
    ]
    if name in LIVENESS and report.complete:
        lasts = storm_state.Calming() if name == storm_state.NAME else model
        live = check_liveness(lasts, memory_mb=memory_mb, seconds=seconds)
        found, report = live.violation or Violation("", ""), live.report
        rows.append(
            Row(
                *(
                    name,
                    "liveness",
                    report.states,
                    report.transitions,
                    report.depth,
                    round(report.seconds, 2),
                ),
                *(round(report.bytes_per_state), report.complete, found.name, found.description),
                tuple(map(str, [*live.trace, *live.cycle])),
            )
        )
    return rows


def model_of(name: str) -> Model:
    return OTHERS[name]() if name in OTHERS else World(scenarios.BY_NAME[name])


def _policy(name: str, seconds: float) -> Row:
    report = explore_choices(policy.run_of(POLICIES[name]), seconds=seconds)
    found = report.violation or Violation("", "")
    return Row(
        *(name, "orders", report.runs, report.choices, report.depth, round(report.seconds, 2), 0),
        *(
            report.complete,
            found.name,
            found.description,
            tuple(report.trace),
            tuple(report.violating_choices),
        ),
    )


def hunt(bug: bugs.Bug, seconds: float) -> Row:
    """Seed a bug and look for it, without partial-order reduction, so that the trace is a shortest one."""
    with bug.seeded():
        if bug.model in POLICIES:
            return replace(_policy(bug.model, seconds), kind="bug")
        model = model_of(bug.model)
        if bug.lasts:
            live = check_liveness(model, seconds=seconds)
            report, violation, trace = live.report, live.violation, live.trace
        else:
            report = explore(model, seconds=seconds, partial_order=False)
            violation, trace = report.violation, report.trace
        found = violation or Violation("", "")
        return Row(
            *(bug.model, "bug", report.states, report.transitions, report.depth, round(report.seconds, 2)),
            *(round(report.bytes_per_state), report.complete, found.name, found.description),
            tuple(map(str, trace)),
        )


def _numbered(row: Row) -> str:
    lines = [f"{row.property}: {row.words}"]
    lines += [f"{number:>4}. {event}" for number, event in enumerate(row.events, 1)]
    return "\n".join(lines)


def _save(row: Row, bug: str, path: Path) -> None:
    Trace(row.model, bug, Violation(row.property, row.words), row.events, row.choices).save(path)


def _step(path: Path) -> int:
    """Play a saved counterexample again, event by event. Exit 1 where the property is broken as it was."""
    trace = load_trace(path)
    if trace.bug and trace.bug not in bugs.BY_NAME:
        raise TraceError(f"{path}: bug: {trace.bug}: not known: see --list-bugs")
    if trace.model not in (*scenarios.BY_NAME, *POLICIES, *OTHERS):
        raise TraceError(f"{path}: model: {trace.model}: not known: see --list")
    if trace.model in POLICIES:
        return _step_policy(trace)
    model, broken = model_of(trace.model), False

    def play() -> None:
        nonlocal broken
        for number, (label, shown, violations) in enumerate(step_through(model, trace.events), 1):
            print(f"{number:>4}. {label}\n        {shown}")
            for violation in violations:
                print(f"      * {violation.name}: {violation.description}")
                broken = True

    if trace.bug:
        with bugs.BY_NAME[trace.bug].seeded():
            play()
    else:
        play()
    if not broken:
        print("no property is broken at the end of these events")
    return int(broken)


def _step_policy(trace: Trace) -> int:
    choices = Choices(list(trace.choices))
    try:
        policy.run_of(POLICIES[trace.model])(choices)
    except ViolationError as broken:
        print(*choices.labels, f"* {broken.violation.name}: {broken.violation.description}", sep="\n")
        return 1
    except ValueError as fault:
        raise TraceError(f"model {trace.model}: {fault}") from None
    print(*choices.labels, "no property is broken at the end of these choices", sep="\n")
    return 0


def _words() -> argparse.ArgumentParser:
    words = argparse.ArgumentParser(prog="anisestair states", description=__doc__)
    words.add_argument("--model", action="append", metavar="NAME", help="only this one; may be repeated")
    words.add_argument("--quick", action="store_true", help="only the models that CI explores")
    words.add_argument("--list", action="store_true", help="the names of the models")
    words.add_argument("--list-bugs", action="store_true", help="the names of the bugs that can be seeded")
    words.add_argument("--bug", metavar="NAME", help="seed this bug; exit 1 with the trace that shows it")
    words.add_argument("--save", metavar="FILE", type=Path, help="save the counterexample found")
    words.add_argument("--trace", metavar="FILE", type=Path, help="step through a saved counterexample")
    words.add_argument("--no-reduction", action="store_true", help="without symmetry and partial orders")
    words.add_argument("--memory-mb", type=float, default=2048.0, help="bound for each model (2048)")
    words.add_argument("--seconds", type=float, default=3600.0, help="bound for each model (3600)")
    words.add_argument("--jobs", type=int, default=1, help=f"models side by side (1; {MAX_JOBS} at most)")
    words.add_argument("--json", action="store_true", help="the results as JSON")
    return words


def _explore(names: list[str], given: argparse.Namespace, say: Callable[[Row], None]) -> list[Row]:
    rows = []
    with ProcessPoolExecutor(min(max(given.jobs, 1), MAX_JOBS)) as pool:
        bounds = (given.memory_mb, given.seconds, not given.no_reduction)
        for found in [pool.submit(check, name, *bounds) for name in names]:
            for row in found.result():
                rows.append(row)
                say(row)
    return rows


def main(arguments: list[str]) -> int:
    """Exit 0: all explored, nothing broken; 1: a property broken, or a search not complete; 2: unusable
    words."""
    given = _words().parse_args(arguments)
    every = [
        *OTHERS,
        *(item.name for item in scenarios.SMALL),
        *POLICIES,
        *(item.name for item in scenarios.LARGE),
    ]
    if given.list:
        print(*every, sep="\n")
        return 0
    if given.list_bugs:
        print(*(f"{bug.name:<24} {bug.model:<18} {bug.words}" for bug in bugs.BUGS), sep="\n")
        return 0
    try:
        if given.trace is not None:
            return _step(given.trace)
    except TraceError as fault:
        print(f"anisestair states: {fault}", file=sys.stderr)
        return 2
    if given.bug is not None:
        if given.bug not in bugs.BY_NAME:
            print(f"anisestair states: --bug {given.bug}: not known: see --list-bugs", file=sys.stderr)
            return 2
        rows = [hunt(bugs.BY_NAME[given.bug], given.seconds)]
        print(json.dumps([asdict(rows[0])]) if given.json else _numbered(rows[0]))
    else:
        names = given.model or (every[: -len(scenarios.LARGE)] if given.quick else every)
        for name in names:
            if name not in every:
                print(f"anisestair states: --model {name}: not known: see --list", file=sys.stderr)
                return 2

        def say(row: Row) -> None:
            if not given.json:
                print(row.line() + ("\n" + _numbered(row) if row.property else ""), flush=True)

        if not given.json:
            print(HEAD)
        rows = _explore(names, given, say)
        if given.json:
            print(json.dumps([asdict(row) for row in rows]))
    for row in rows:
        if row.property and given.save is not None:
            _save(row, given.bug or "", given.save)
    return 0 if all(row.complete and not row.property for row in rows) else 1
