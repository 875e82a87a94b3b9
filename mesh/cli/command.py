"""The operators' command line: `python -m mesh.cli`. docs/operate/command_line.md has each
command's output and what the exit codes mean."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import asdict
from typing import Annotated, Any

import typer

from mesh.cli import shape
from mesh.cli.client import Answered, Refused, Unreachable, all_of, ask, look
from mesh.cli.config import config
from mesh.cli.judge import findings
from mesh.cli.members import members
from mesh.cli.mesh_snapshot import MeshSnapshot, Process, Told, number, text
from mesh.cli.options import (
    FINDINGS,
    FINE,
    NOBODY,
    REFUSED,
    USAGE,
    WAIT_S,
    AsJson,
    At,
    SettingsFile,
    Wait,
    fail,
    found,
    heard,
    tell,
)
from mesh.cli.ownership import ownership
from mesh.cli.rollout import rollout
from mesh.cli.state import state
from mesh.cli.text import names
from mesh.data_plane.membership import PROXY
from mesh.transport.link import Address

app = typer.Typer(
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help="Looks at a mesh, changes its configuration and checks its state. Exit codes: 0 fine, 1 findings, "
    "2 usage, 3 nobody answers, 4 refused by the mesh.",
)
routes = typer.Typer(rich_markup_mode=None, no_args_is_help=True, help="How requests find their way.")
app.add_typer(routes, name="routes")
app.add_typer(config, name="config")
app.add_typer(state, name="state")
app.add_typer(members, name="members")
app.add_typer(ownership, name="ownership")
app.add_typer(rollout, name="rollout")

Where = Annotated[str, typer.Option("--from", metavar="NODE", help="The sidecar to ask; else any.")]


@app.command("status")
def _status(
    at: At = None, settings: SettingsFile = None, wait: Wait = WAIT_S, as_json: AsJson = False
) -> None:
    """Members, core, upstreams by service, versions in force; what is not as it should be is first."""
    snapshot = heard(look(found(at, settings, as_json), wait), as_json)
    wrong = findings(snapshot)
    value = {
        "findings": [asdict(finding) for finding in wrong],
        "processes": [shape.process_row(snapshot, process) for process in snapshot.processes],
        "configurations": shape.versions(snapshot),
        "services": shape.services(snapshot),
    }
    tell(value, shape.status(snapshot, wrong), as_json, FINDINGS if wrong else FINE)


@app.command("nodes")
def _nodes(
    at: At = None, settings: SettingsFile = None, wait: Wait = WAIT_S, as_json: AsJson = False
) -> None:
    """Every process, one line each."""
    snapshot = heard(look(found(at, settings, as_json), wait), as_json)
    rows = [shape.process_row(snapshot, process) for process in snapshot.processes]
    tell(rows, shape.nodes(rows), as_json)


@app.command("upstreams")
def _upstreams(
    service: Annotated[str, typer.Argument(metavar="[SERVICE]", help="The one to show; else all.")] = "",
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Upstreams counted by service, or those of one service as the sidecars see them."""
    snapshot = heard(look(found(at, settings, as_json), wait, (PROXY,) if service else ()), as_json)
    if not service:
        counted = shape.services(snapshot)
        tell(counted, shape.all_services(counted), as_json)
    told = [one for _, one in asyncio.run(_ask_all(snapshot, "upstreams", wait, service=service))[0]]
    rows = shape.merged(told)
    if not rows:
        fail(FINDINGS, f"{service}: no upstream of it is known; start one, or look at the name", as_json)
    tell(rows, shape.upstreams(rows), as_json)


@app.command("doctor")
def _doctor(
    at: At = None, settings: SettingsFile = None, wait: Wait = WAIT_S, as_json: AsJson = False
) -> None:
    """What is not as it should be, each with its mend."""
    wrong = findings(heard(look(found(at, settings, as_json), wait), as_json))
    value = [asdict(finding) for finding in wrong]
    tell(value, shape.doctor(wrong), as_json, FINDINGS if wrong else FINE)


@app.command("trace")
def _trace(
    attempt: Annotated[str, typer.Argument(metavar="ATTEMPT-ID", help="As the client sent it.")],
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Both hops of a call of late: what was decided, and how it ended."""
    snapshot = heard(look(found(at, settings, as_json), wait, (PROXY,)), as_json)
    told, silent = asyncio.run(_ask_all(snapshot, "trace", wait, attempt=attempt))
    entries: list[dict[str, Any]] = []
    for node, one in told:
        kept = one.get("entries")
        entries += [{"node": node, **entry} for entry in kept if isinstance(entry, dict)] if kept else []
    entries.sort(key=lambda entry: (number(entry, "hop"), -number(entry, "ago_ms")))
    where = {name: text(value, "node") for name, value in snapshot.instances.items()}
    lines = shape.traced(attempt, entries, where)
    if silent:
        lines.append(f"no answer from {len(silent)} sidecars: {names(silent, 60)}")
    if not entries:
        lines.append(f"nothing is kept of it at {len(told)} sidecars: only the last calls are")
    value = {"attempt": attempt, "entries": entries, "silent": silent}
    tell(value, lines, as_json, FINE if entries else FINDINGS)


@routes.command("try")
def _try(
    host: Annotated[str, typer.Argument(metavar="HOST")],
    path: Annotated[str, typer.Argument(metavar="PATH")],
    where: Where = "",
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Where a request would go, as one sidecar sees it: route, services, upstreams, and why each."""
    snapshot = heard(look(found(at, settings, as_json), wait, ()), as_json)
    answering = snapshot.answering(PROXY)
    others = [p for p in snapshot.processes if text(snapshot.nodes.get(p.name), "role") == PROXY]
    if where:
        answering = [p for p in snapshot.processes if p.name == where]
        if not answering:
            fail(USAGE, f"--from: no node {where} is known; nodes lists them", as_json)
    node, reply = asyncio.run(_first(answering or others, wait, host, path))
    if isinstance(reply, Unreachable):
        fail(NOBODY, f"{node}: {reply.why}; name another sidecar with --from", as_json)
    if isinstance(reply, Refused):
        fail(REFUSED, f"{node}: {reply.reason}", as_json)
    if reply.value.get("route") is None:
        known = "no route takes it: 404" if reply.value.get("configured") else "no configuration yet: 503"
        tell({"node": node, **reply.value}, [f"at {node}: {known}"], as_json, FINDINGS)
    tell({"node": node, **reply.value}, shape.tried(node, reply.value), as_json)


async def _first(
    processes: Sequence[Process], wait: float, host: str, path: str
) -> tuple[str, Answered | Refused | Unreachable]:
    """The first of a few that answers, and its answer."""
    node, reply = "-", Unreachable("no sidecar is known")
    told: Answered | Refused | Unreachable = reply
    for process in processes[:3]:
        node, told = process.name, await ask(process.address, "route", wait, host=host, path=path)
        if not isinstance(told, Unreachable):
            break
    return node, told


async def _ask_all(
    snapshot: MeshSnapshot, question: str, wait: float, **what: Any
) -> tuple[list[tuple[str, Told]], list[str]]:
    """The answers of all sidecars, by node, and those that gave none."""
    asked = snapshot.answering(PROXY)
    silent = [p.name for p in snapshot.processes if p.told is None and snapshot.role_of(p) == PROXY]

    async def one(process: Process) -> Answered | Refused | Unreachable:
        address: Address = process.address
        return await ask(address, question, wait, **what)

    told = []
    for process, reply in zip(asked, await all_of(one, asked), strict=True):
        if isinstance(reply, Answered):
            told.append((process.node, reply.value))
        elif isinstance(reply, Unreachable):
            silent.append(process.name)
    return told, silent
