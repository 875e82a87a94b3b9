"""Shared parts of the commands of `python -m lab`: options, progress bar and error handling."""

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

from lab.policies import UnknownPolicyError
from lab.results import MixedCodesError
from lab.scenario import InvalidInput

P = ParamSpec("P")
FILE_PATH = click.Path(exists=True, dir_okay=False, path_type=Path)
FOLDER_PATH = click.Path(file_okay=False, path_type=Path)
CORES = os.cpu_count() or 1


def reports_errors(command: Callable[P, int | None]) -> Callable[P, None]:
    """Decorator: invalid input ends the command with a one-line message and exit status 2."""

    @wraps(command)
    def call(*args: P.args, **kwargs: P.kwargs) -> None:
        try:
            sys.exit(command(*args, **kwargs) or 0)
        except (InvalidInput, UnknownPolicyError, MixedCodesError) as fault:
            click.echo(f"lab: {fault}", err=True)
            sys.exit(2)

    return call


class ProgressBar:
    """A progress bar on standard error if that is a terminal; otherwise nothing."""

    def __init__(self) -> None:
        """The bar is shown while the context is active."""
        self._bar = Progress(
            *(TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()),
            transient=True,
            disable=not sys.stderr.isatty(),
        )
        self._task = self._bar.add_task("plays")

    def __enter__(self) -> ProgressBar:
        """Shows the bar."""
        self._bar.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Removes the bar."""
        self._bar.stop()

    def __call__(self, done: int, total: int, last: str) -> None:
        """Updates the number of plays done."""
        self._bar.update(self._task, completed=done, total=total)


def parse_changes(arguments: tuple[str, ...]) -> dict[str, Any]:
    """Parses PATH=VALUE arguments; a value that is not JSON is taken as text. Raises InvalidInput."""
    changes: dict[str, Any] = {}
    for argument in arguments:
        path, equals, value = argument.partition("=")
        if not equals:
            raise InvalidInput(f"--set {argument!r}: has no value; write it as load.share=0.9")
        try:
            changes[path] = msgspec.json.decode(value)
        except msgspec.DecodeError:
            changes[path] = value
    return changes


SET_OPTION = click.option(
    "--set", "settings", multiple=True, metavar="PATH=VALUE", help="overrides a value of the scenario"
)
WORKERS_OPTION = click.option("--workers", type=click.IntRange(1, 256), default=CORES, show_default=True)
