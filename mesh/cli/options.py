"""What all commands share: how the mesh is found, how answers are printed, how a command ends."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Coroutine, Sequence
from pathlib import Path
from typing import Annotated, Any, NoReturn, TypeVar

import typer

from mesh.cli.client import Unreachable
from mesh.cli.text import line
from mesh.membership.instance_commands import read_address
from mesh.runtime.settings import InvalidSettings, parse_settings
from mesh.transport.link import Address

EXIT_OK, EXIT_FINDINGS, EXIT_USAGE, EXIT_NO_ANSWER, EXIT_REFUSED = 0, 1, 2, 3, 4
DEFAULT_WAIT_S, DISK_WAIT_S = 2.0, 30.0
T = TypeVar("T")

At = Annotated[
    list[str] | None,
    typer.Option("--at", metavar="HOST:PORT", help="A process of the mesh, by its peers' port; repeatable."),
]
SettingsFile = Annotated[
    Path | None,
    typer.Option(
        "--settings",
        metavar="FILE",
        envvar="ANISESTAIR_BOOT",
        help="A process's settings file: its seeds are asked. --at wins over it.",
    ),
]
Wait = Annotated[float, typer.Option("--wait", min=0.05, max=600.0, help="Seconds for one answer.")]
AsJson = Annotated[bool, typer.Option("--json", help="The answer as JSON.")]


def fail(code: int, reason: str, as_json: bool) -> NoReturn:
    """Ends with one line on standard error, and with --json the same on standard output."""
    typer.echo(line(reason) if not as_json else reason, err=True)
    if as_json:
        typer.echo(json.dumps({"error": reason}))
    raise typer.Exit(code)


def print_and_exit(value: Any, lines: Sequence[str], as_json: bool, code: int = EXIT_OK) -> NoReturn:
    """Prints ``value`` as JSON or ``lines``, and ends with ``code``."""
    typer.echo(json.dumps(value, indent=1) if as_json else "\n".join(lines))
    raise typer.Exit(code)


def contact_addresses(at: list[str] | None, settings: Path | None, as_json: bool) -> list[Address]:
    """Where to ask. Ends with USAGE where neither says it."""
    if at:
        addresses = [read_address(one) for one in at]
        if None in addresses:
            fail(
                EXIT_USAGE,
                f"--at: {at[addresses.index(None)]} is no HOST:PORT; give a process's peer port",
                as_json,
            )
        return [address for address in addresses if address is not None]
    if settings is None:
        fail(EXIT_USAGE, "--at: missing; give HOST:PORT of any process, or --settings FILE", as_json)
    try:
        told = parse_settings(settings.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as fault:
        fail(EXIT_USAGE, f"--settings: {settings} cannot be read ({fault}); give a settings file", as_json)
    if isinstance(told, InvalidSettings):
        fail(EXIT_USAGE, f"--settings: {settings}: {told.findings[0]}", as_json)
    port = told.port_range[0]
    return list(dict.fromkeys([*((host, port) for host, _ in told.seeds), (told.ip, port)]))


def run_or_exit(coming: Coroutine[Any, Any, T | Unreachable], as_json: bool) -> T:
    """Runs it; ends with NOBODY where nobody answered."""
    outcome = asyncio.run(coming)
    if isinstance(outcome, Unreachable):
        fail(EXIT_NO_ANSWER, f"{outcome.why}; check --at and whether the processes run", as_json)
    return outcome
