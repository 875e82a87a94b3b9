"""Exhaustive exploration of the consensus model, or the search for each fault seeded in it, with and without
the reduction.

    python -m benchmarks.order_models [--size "two items" ...] [--seconds 600]
    python -m benchmarks.order_models --faults [--seconds 600]

Prints a line for each search, and all of them as JSON last. The exit code is 1 if a property is broken or a
seeded fault is not found.
"""

from __future__ import annotations

import argparse
import json
import sys
from contextlib import ExitStack
from dataclasses import asdict, dataclass
from typing import Any
from unittest import mock

from rigs.order_model import SCENARIOS, ConsensusModel
from rigs.order_model.faults import SEEDED_FAULTS
from statecheck import Report, explore

MEMORY_MB = 3000.0


class Patches(ExitStack):
    """Restores at its end the attributes that it has set."""

    def setattr(self, target: Any, name: str, value: Any) -> None:
        """Sets the attribute until the context ends."""
        self.enter_context(mock.patch.object(target, name, value))


@dataclass(frozen=True)
class Row:
    """The result of one search."""

    size: str
    fault: str
    reduced: bool
    states: int
    transitions: int
    seconds: float
    complete: bool
    stopped: str
    violation: str
    events: int

    def line(self) -> str:
        """Formats the row as a line of text."""
        end = self.violation or ("whole" if self.complete else self.stopped)
        name = f"{self.size}, {self.fault}" if self.fault else self.size
        mode = "" if self.reduced else ", every state"
        return f"{name}{mode}: {self.states} states, {self.seconds:g} s: {end} {self.events or ''}".strip()


def row_of(size: str, fault: str, reduced: bool, report: Report) -> Row:
    """Creates the row of a report."""
    violation = report.violation.name if report.violation is not None else ""
    return Row(
        size,
        fault,
        reduced,
        report.states,
        report.transitions,
        round(report.seconds, 1),
        report.complete,
        report.stopped,
        violation,
        len(report.trace),
    )


def explore_scenarios(names: list[str], seconds: float) -> list[Row]:
    """Explores the shipped code in these scenarios."""
    rows = []
    for name in names:
        rows.append(
            row_of(
                name,
                "",
                True,
                explore(ConsensusModel(name, SCENARIOS[name]), seconds=seconds, memory_mb=MEMORY_MB),
            )
        )
        print(rows[-1].line(), flush=True)
    return rows


def explore_faults(seconds: float) -> list[Row]:
    """Searches for each fault twice, with and without the reduction."""
    rows = []
    for fault, scenario in SEEDED_FAULTS:
        for reduced in (True, False):
            model = ConsensusModel(scenario, SCENARIOS[scenario], reduced)
            with Patches() as patch:
                fault(patch)
                report = explore(model, seconds=seconds, memory_mb=MEMORY_MB)
            rows.append(row_of(scenario, fault.__name__, reduced, report))
            print(rows[-1].line(), flush=True)
    return rows


def main() -> None:
    """Runs the searches that the arguments name."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--size", nargs="+", choices=SCENARIOS, default=list(SCENARIOS))
    parser.add_argument("--seconds", type=float, default=600.0, help="limit of each search")
    parser.add_argument("--faults", action="store_true")
    arguments = parser.parse_args()
    rows = (
        explore_faults(arguments.seconds)
        if arguments.faults
        else explore_scenarios(arguments.size, arguments.seconds)
    )
    print(json.dumps([asdict(row) for row in rows]))
    sys.exit(any(bool(one.violation) != arguments.faults for one in rows))


if __name__ == "__main__":
    main()
