"""The model of orders, explored whole; or the faults seeded in it, found with and without the reduction.

    python -m benchmarks.order_models [--size "two items" ...] [--seconds 600]
    python -m benchmarks.order_models --faults [--seconds 600]

Prints a line for each search and the same as JSON last. Ends with 1 where a property is broken, or where a
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

from rigs.order_model import SIZES, Orders
from rigs.order_model.faults import SEEDED
from statecheck import Report, explore

MEMORY_MB = 3000.0


class Patches(ExitStack):
    """Puts back what it has set."""

    def setattr(self, target: Any, name: str, value: Any) -> None:
        """Until the context ends."""
        self.enter_context(mock.patch.object(target, name, value))


@dataclass(frozen=True)
class Row:
    """One search."""

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
        """For a person."""
        how = self.violation or ("whole" if self.complete else self.stopped)
        what = f"{self.size}, {self.fault}" if self.fault else self.size
        reduction = "" if self.reduced else ", every state"
        return (
            f"{what}{reduction}: {self.states} states, {self.seconds:g} s: {how} {self.events or ''}".strip()
        )


def row(size: str, fault: str, reduced: bool, found: Report) -> Row:
    """What a search found."""
    violation = found.violation.name if found.violation is not None else ""
    return Row(
        size,
        fault,
        reduced,
        found.states,
        found.transitions,
        round(found.seconds, 1),
        found.complete,
        found.stopped,
        violation,
        len(found.trace),
    )


def sizes(names: list[str], seconds: float) -> list[Row]:
    """The shipped code, in these sizes."""
    rows = []
    for name in names:
        rows.append(
            row(name, "", True, explore(Orders(name, SIZES[name]), seconds=seconds, memory_mb=MEMORY_MB))
        )
        print(rows[-1].line(), flush=True)
    return rows


def seeded(seconds: float) -> list[Row]:
    """Each fault twice, with and without the reduction."""
    rows = []
    for seed, name in SEEDED:
        for reduced in (True, False):
            model = Orders(name, SIZES[name], reduced)
            with Patches() as patch:
                seed(patch)
                found = explore(model, seconds=seconds, memory_mb=MEMORY_MB)
            rows.append(row(name, seed.__name__, reduced, found))
            print(rows[-1].line(), flush=True)
    return rows


def main() -> None:
    """See the module."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--size", nargs="+", choices=SIZES, default=list(SIZES))
    words.add_argument("--seconds", type=float, default=600.0, help="bound of each search")
    words.add_argument("--faults", action="store_true")
    given = words.parse_args()
    rows = seeded(given.seconds) if given.faults else sizes(given.size, given.seconds)
    print(json.dumps([asdict(one) for one in rows]))
    sys.exit(any(bool(one.violation) != given.faults for one in rows))


if __name__ == "__main__":
    main()
