"""Shared by all commands: options, finding the mesh, printing results, exit codes."""

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
    typer.Option("--at", metavar="HOST:PORT", help="The peer port of any process of the mesh; repeatable."),
]
SettingsFile = Annotated[
    Path | None,
    typer.Option(
        "--settings",
        metavar="FILE",
        envvar="ANISESTAIR_BOOT",
        help="A process's settings file; its seeds are contacted. --at overrides it.",
    ),
]
Wait = Annotated[
    float, typer.Option("--wait", min=0.05, max=600.0, help="Timeout of each answer in seconds.")
]
AsJson = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]


def fail(code: int, reason: str, as_json: bool) -> NoReturn:
    """Exits with ``code`` after one line on standard error and, with --json, an object on standard output."""
    typer.echo(line(reason) if not as_json else reason, err=True)
    if as_json:
        typer.echo(json.dumps({"error": reason}))
    raise typer.Exit(code)


def print_and_exit(value: Any, lines: Sequence[str], as_json: bool, code: int = EXIT_OK) -> NoReturn:
    """Prints ``value`` as JSON, or ``lines``, and exits with ``code``."""
    typer.echo(json.dumps(value, indent=1) if as_json else "\n".join(lines))
    raise typer.Exit(code)


def contact_addresses(at: list[str] | None, settings: Path | None, as_json: bool) -> list[Address]:
    """The addresses to ask. Exits with EXIT_USAGE if neither option gives any."""
    if at:
        addresses = [read_address(one) for one in at]
        if None in addresses:
            fail(
                EXIT_USAGE,
                f"--at: {at[addresses.index(None)]} is not HOST:PORT; give a process's peer port",
                as_json,
            )
        return [address for address in addresses if address is not None]
    if settings is None:
        fail(EXIT_USAGE, "--at: missing; give HOST:PORT of any process, or --settings FILE", as_json)
    try:
        parsed = parse_settings(settings.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        fail(EXIT_USAGE, f"--settings: {settings} cannot be read ({error}); give a settings file", as_json)
    if isinstance(parsed, InvalidSettings):
        fail(EXIT_USAGE, f"--settings: {settings}: {parsed.findings[0]}", as_json)
    port = parsed.port_range[0]
    return list(dict.fromkeys([*((host, port) for host, _ in parsed.seeds), (parsed.ip, port)]))


def run_or_exit(awaitable: Coroutine[Any, Any, T | Unreachable], as_json: bool) -> T:
    """Runs a coroutine and returns its result; exits with EXIT_NO_ANSWER if no process answered."""
    outcome = asyncio.run(awaitable)
    if isinstance(outcome, Unreachable):
        fail(EXIT_NO_ANSWER, f"{outcome.why}; check --at and whether the processes run", as_json)
    return outcome
