"""The operators' command line: `python -m mesh.cli`. docs/operate/command_line.md describes each command's
output and the exit codes."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import asdict
from typing import Annotated, Any

import typer

from mesh.cli import shape
from mesh.cli.client import Answered, Refused, Unreachable, ask, gather_bounded, take_snapshot
from mesh.cli.config import config
from mesh.cli.judge import findings
from mesh.cli.members import members
from mesh.cli.mesh_snapshot import JsonObject, MeshSnapshot, Process, number_field, text_field
from mesh.cli.options import (
    DEFAULT_WAIT_S,
    EXIT_FINDINGS,
    EXIT_NO_ANSWER,
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_USAGE,
    AsJson,
    At,
    SettingsFile,
    Wait,
    contact_addresses,
    fail,
    print_and_exit,
    run_or_exit,
)
from mesh.cli.ownership import ownership
from mesh.cli.rollout import rollout
from mesh.cli.state import state
from mesh.cli.text import join_names
from mesh.data_plane.membership import PROXY
from mesh.transport.link import Address

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help="Inspects a mesh, changes its configuration and checks its state. Exit codes: 0 success, 1 problems "
    "found, 2 usage error, 3 no process answers, 4 refused by the mesh.",
)
routes = typer.Typer(rich_markup_mode=None, no_args_is_help=True, help="How requests are routed.")
app.add_typer(routes, name="routes")
app.add_typer(config, name="config")
app.add_typer(state, name="state")
app.add_typer(members, name="members")
app.add_typer(ownership, name="ownership")
app.add_typer(rollout, name="rollout")

FromNode = Annotated[
    str, typer.Option("--from", metavar="NODE", help="The sidecar to ask; any one by default.")
]


@app.command("status")
def _status(
    at: At = None, settings: SettingsFile = None, wait: Wait = DEFAULT_WAIT_S, as_json: AsJson = False
) -> None:
    """Overview of the mesh: problems first, then members, leases, configurations and upstreams by service."""
    snapshot = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait), as_json)
    problems = findings(snapshot)
    value = {
        "findings": [asdict(finding) for finding in problems],
        "processes": [shape.process_row(snapshot, process) for process in snapshot.processes],
        "configurations": shape.configurations(snapshot),
        "services": shape.service_counts(snapshot),
    }
    print_and_exit(
        value, shape.status_lines(snapshot, problems), as_json, EXIT_FINDINGS if problems else EXIT_OK
    )


@app.command("nodes")
def _nodes(
    at: At = None, settings: SettingsFile = None, wait: Wait = DEFAULT_WAIT_S, as_json: AsJson = False
) -> None:
    """Lists every process, one line each."""
    snapshot = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait), as_json)
    rows = [shape.process_row(snapshot, process) for process in snapshot.processes]
    print_and_exit(rows, shape.node_lines(rows), as_json)


@app.command("upstreams")
def _upstreams(
    service: Annotated[
        str, typer.Argument(metavar="[SERVICE]", help="The service to show; all by default.")
    ] = "",
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Counts upstreams by service, or lists those of one service as the sidecars see them."""
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), wait, (PROXY,) if service else ()), as_json
    )
    if not service:
        counted = shape.service_counts(snapshot)
        print_and_exit(counted, shape.service_lines(counted), as_json)
    answers = [one for _, one in asyncio.run(_ask_sidecars(snapshot, "upstreams", wait, service=service))[0]]
    rows = shape.merge_upstreams(answers)
    if not rows:
        fail(
            EXIT_FINDINGS,
            f"{service}: no upstream of this service is known; start one, or check the name",
            as_json,
        )
    print_and_exit(rows, shape.upstream_lines(rows), as_json)


@app.command("doctor")
def _doctor(
    at: At = None, settings: SettingsFile = None, wait: Wait = DEFAULT_WAIT_S, as_json: AsJson = False
) -> None:
    """Lists all problems found, each with its remedy."""
    problems = findings(run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait), as_json))
    value = [asdict(finding) for finding in problems]
    print_and_exit(value, shape.doctor_lines(problems), as_json, EXIT_FINDINGS if problems else EXIT_OK)


@app.command("trace")
def _trace(
    attempt: Annotated[
        str, typer.Argument(metavar="ATTEMPT-ID", help="The attempt id that the client sent.")
    ],
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Shows both hops of a recent call: where it was sent and how each try ended."""
    snapshot = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait, (PROXY,)), as_json)
    answers, silent = asyncio.run(_ask_sidecars(snapshot, "trace", wait, attempt=attempt))
    entries: list[dict[str, Any]] = []
    for node, one in answers:
        kept = one.get("entries")
        entries += [{"node": node, **entry} for entry in kept if isinstance(entry, dict)] if kept else []
    entries.sort(key=lambda entry: (number_field(entry, "hop"), -number_field(entry, "ago_ms")))
    where = {name: text_field(value, "node") for name, value in snapshot.instances.items()}
    lines = shape.trace_lines(attempt, entries, where)
    if silent:
        lines.append(f"no answer from {len(silent)} sidecars: {join_names(silent, 60)}")
    if not entries:
        lines.append(f"not found at {len(answers)} sidecars: each keeps only its most recent calls")
    value = {"attempt": attempt, "entries": entries, "silent": silent}
    print_and_exit(value, lines, as_json, EXIT_OK if entries else EXIT_FINDINGS)


@routes.command("try")
def _try(
    host: Annotated[str, typer.Argument(metavar="HOST")],
    path: Annotated[str, typer.Argument(metavar="PATH")],
    where: FromNode = "",
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Shows where one sidecar would send a request: route, services and upstreams, with reasons."""
    snapshot = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait, ()), as_json)
    answering = snapshot.answering(PROXY)
    others = [p for p in snapshot.processes if text_field(snapshot.nodes.get(p.name), "role") == PROXY]
    if where:
        answering = [p for p in snapshot.processes if p.name == where]
        if not answering:
            fail(EXIT_USAGE, f"--from: no node {where} is known; nodes lists them", as_json)
    node, reply = asyncio.run(_ask_first(answering or others, wait, host, path))
    if isinstance(reply, Unreachable):
        fail(EXIT_NO_ANSWER, f"{node}: {reply.why}; choose another sidecar with --from", as_json)
    if isinstance(reply, Refused):
        fail(EXIT_REFUSED, f"{node}: {reply.reason}", as_json)
    if reply.value.get("route") is None:
        known = "no route matches: 404" if reply.value.get("configured") else "no configuration yet: 503"
        print_and_exit({"node": node, **reply.value}, [f"at {node}: {known}"], as_json, EXIT_FINDINGS)
    print_and_exit({"node": node, **reply.value}, shape.route_lines(node, reply.value), as_json)


async def _ask_first(
    processes: Sequence[Process], wait: float, host: str, path: str
) -> tuple[str, Answered | Refused | Unreachable]:
    """The first of up to three processes that answers, and its reply."""
    node, reply = "-", Unreachable("no sidecar is known")
    outcome: Answered | Refused | Unreachable = reply
    for process in processes[:3]:
        node, outcome = process.name, await ask(process.address, "route", wait, host=host, path=path)
        if not isinstance(outcome, Unreachable):
            break
    return node, outcome


async def _ask_sidecars(
    snapshot: MeshSnapshot, question: str, wait: float, **fields: Any
) -> tuple[list[tuple[str, JsonObject]], list[str]]:
    """The answers of all sidecars with their nodes, and the names of those that did not answer."""
    asked = snapshot.answering(PROXY)
    silent = [p.name for p in snapshot.processes if p.status is None and snapshot.role_of(p) == PROXY]

    async def one(process: Process) -> Answered | Refused | Unreachable:
        address: Address = process.address
        return await ask(address, question, wait, **fields)

    answers = []
    for process, reply in zip(asked, await gather_bounded(one, asked), strict=True):
        if isinstance(reply, Answered):
            answers.append((process.node, reply.value))
        elif isinstance(reply, Unreachable):
            silent.append(process.name)
    return answers, silent
