"""Stateless exploration: a program is run again from its start for every sequence of choices that it can
make.

For what cannot be stored and compared as a state. A run asks `Choices.pick` wherever the order of things, or
their outcome, is open; the next run repeats the choices but the last that had alternatives (Godefroid 1997).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from statecheck.model import Violation


class ViolationError(Exception):
    """Raised by a run in which a property does not hold."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(violation.description)
        self.violation = violation


class Choices:
    """The choices of one run: those given first, then the first alternative each time."""

    def __init__(self, given: list[int]) -> None:
        self._given = given
        self.made: list[tuple[int, int]] = []  # picked, out of how many
        self.labels: list[str] = []

    def pick(self, labels: list[str]) -> int:
        """The number of one of these alternatives; at least one."""
        place = len(self.made)
        number = self._given[place] if place < len(self._given) else 0
        if not 0 <= number < len(labels):
            raise ValueError(
                f"choice {place}: {number} out of {len(labels)}: the program did not repeat itself"
            )
        self.made.append((number, len(labels)))
        self.labels.append(labels[number])
        return number

    def note(self, label: str) -> None:
        """Something that happened without a choice, for a reader of the trace."""
        self.labels.append(label)


@dataclass
class ChoicesReport:
    runs: int = 0
    choices: int = 0  # in all runs
    depth: int = 0  # most in one run
    seconds: float = 0.0
    complete: bool = False
    violation: Violation | None = None
    given: list[int] = field(default_factory=list)  # the choices that lead to the violation
    trace: list[str] = field(default_factory=list)


def explore_choices(
    run: Callable[[Choices], None], *, most_runs: int = 1_000_000, seconds: float = 3600.0
) -> ChoicesReport:
    """Every sequence of choices, depth first. ``complete`` is False where a bound ended it. The bound on
    depth is the program's own: it must end by itself."""
    report, given, start = ChoicesReport(), list[int](), time.perf_counter()
    while True:
        choices = Choices(given)
        try:
            run(choices)
        except ViolationError as broken:
            report.violation, report.trace = broken.violation, choices.labels
            report.given = [number for number, _ in choices.made]
        report.runs += 1
        report.choices += len(choices.made)
        report.depth = max(report.depth, len(choices.made))
        report.seconds = time.perf_counter() - start
        if report.violation is not None:
            return report
        made = choices.made
        while made and made[-1][0] + 1 >= made[-1][1]:
            made.pop()
        if not made:
            report.complete = True
            return report
        given = [number for number, _ in made[:-1]] + [made[-1][0] + 1]
        if report.runs >= most_runs or report.seconds > seconds:
            return report
