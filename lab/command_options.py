"""What the commands of `python -m lab` share: options, progress, and how a command that cannot run ends."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any, ParamSpec

import click
import msgspec
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from lab.policies import UnknownPolicy
from lab.results import Mixed
from lab.scenario import InvalidInput

P = ParamSpec("P")
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)
CORES = os.cpu_count() or 1


def told(command: Callable[P, int | None]) -> Callable[P, None]:
    """What cannot be used ends in one line and status 2."""

    @wraps(command)
    def call(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            sys.exit(command(*args, **kwargs) or 0)
        except (InvalidInput, UnknownPolicy, Mixed) as fault:
            click.echo(f"lab: {fault}", err=True)
            sys.exit(2)

    return call


class ProgressBar:
    """Progress on a terminal's standard error; nothing where there is none."""

    def __init__(self) -> None:
        """Shown while its context lasts."""
        self._bar = Progress(
            *(TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()),
            transient=True,
            disable=not sys.stderr.isatty(),
        )
        self._task = self._bar.add_task("plays")

    def __enter__(self) -> ProgressBar:
        """Show it."""
        self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Take it away."""
        self._bar.stop()

    def __call__(self, done: int, of: int, last: str) -> None:
        """So many plays are done, of so many."""
        self._bar.update(self._task, completed=done, total=of)


def changes_of(given: tuple[str, ...]) -> dict[str, Any]:
    """PLACE=VALUE words; values as JSON, or as text. Raises InvalidInput."""
    found: dict[str, Any] = {}
    for word in given:
        place, equals, value = word.partition("=")
        if not equals:
            raise InvalidInput(f"--set {word!r}: no value; write it as load.share=0.9")
        try:
            found[place] = msgspec.json.decode(value)
        except msgspec.DecodeError:
            found[place] = value
    return found


SET = click.option(
    "--set", "settings", multiple=True, metavar="PLACE=VALUE", help="another value in the scenario"
)
WORKERS = click.option("--workers", type=click.IntRange(1, 256), default=CORES, show_default=True)
