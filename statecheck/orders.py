"""Stateless model checking: runs a program from its start for every possible sequence of choices.

Used for programs whose state cannot be stored and compared. A run calls `Choices.pick` wherever the order or
the outcome of events is open. The next run repeats the sequence up to the last choice with an untried
alternative, and takes that one (Godefroid 1997).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from statecheck.model import Violation


class ViolationError(Exception):
    """Raised by a run that violates a property."""

    def __init__(self, violation: Violation) -> None:
        super().__init__(violation.description)
        self.violation = violation


class Choices:
    """The choices of one run: first those of a given prefix, then always the first alternative."""

    def __init__(self, prefix: list[int]) -> None:
        self._prefix = prefix
        self.made: list[tuple[int, int]] = []  # index of the alternative, number of alternatives
        self.labels: list[str] = []

    def pick(self, labels: list[str]) -> int:
        """Return the index of the chosen alternative, of at least one."""
        position = len(self.made)
        index = self._prefix[position] if position < len(self._prefix) else 0
        if not 0 <= index < len(labels):
            raise ValueError(
                f"choice {position}: {index} out of {len(labels)}: the program is not deterministic"
            )
        self.made.append((index, len(labels)))
        self.labels.append(labels[index])
        return index

    def note(self, label: str) -> None:
        """Add an event without alternatives to the trace."""
        self.labels.append(label)


@dataclass
class ChoicesReport:
    """The result of a stateless exploration."""

    runs: int = 0
    choices: int = 0  # of all runs
    depth: int = 0  # maximum number of choices in one run
    seconds: float = 0.0
    complete: bool = False
    violation: Violation | None = None
    violating_choices: list[int] = field(default_factory=list)  # those that lead to the violation
    trace: list[str] = field(default_factory=list)


def explore_choices(
    run: Callable[[Choices], None], *, max_runs: int = 1_000_000, seconds: float = 3600.0
) -> ChoicesReport:
    """Run the program for every sequence of choices, depth first. ``complete`` is False if a limit stopped
    the exploration. There is no limit on depth: the program must terminate by itself."""
    report, prefix, start = ChoicesReport(), list[int](), time.perf_counter()
    while True:
        choices = Choices(prefix)
        try:
            run(choices)
        except ViolationError as error:
            report.violation, report.trace = error.violation, choices.labels
            report.violating_choices = [index for index, _ in choices.made]
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
        prefix = [index for index, _ in made[:-1]] + [made[-1][0] + 1]
        if report.runs >= max_runs or report.seconds > seconds:
            return report
