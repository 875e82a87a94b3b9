"""`state`: checks, copies and restores the control processes' disks while they run."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any

import typer

from mesh.cli.client import Answered, Unreachable, ask, gather_bounded, take_snapshot
from mesh.cli.mesh_snapshot import JsonObject, Process, number_field, text_field
from mesh.cli.options import (
    DISK_WAIT_S,
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
from mesh.cli.text import wrapped
from mesh.data_plane.membership import CONTROLLER

STATUS_WAIT_S = 2.0  # for statuses; the longer wait is for disks

state = typer.Typer(
    rich_markup_mode=None, no_args_is_help=True, help="The state on the control processes' disks."
)


@state.command("verify")
def _verify(
    at: At = None, settings: SettingsFile = None, wait: Wait = DISK_WAIT_S, as_json: AsJson = False
) -> None:
    """Reads and checks every row on every control process's disk; changes wait there meanwhile."""
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), min(wait, STATUS_WAIT_S), (CONTROLLER,)),
        as_json,
    )
    asked = snapshot.answering(CONTROLLER)
    if not asked:
        fail(EXIT_NO_ANSWER, "no control process answers; check --at and whether they run", as_json)

    async def one(process: Process) -> dict[str, Any]:
        reply = await ask(process.address, "verify", wait)
        if isinstance(reply, Answered):
            return {"node": process.node, **reply.value, "findings": disk_findings(reply.value)}
        return {
            "node": process.node,
            "findings": [reply.why if isinstance(reply, Unreachable) else reply.reason],
        }

    rows = asyncio.run(gather_bounded(one, asked))
    lines = []
    for row in rows:
        for finding in row["findings"]:
            lines += wrapped(f"{row['node']}: {finding}")
        if not row["findings"]:
            moving = "; changed during the check, so memory was not compared" if row.get("moving") else ""
            lines.append(f"{row['node']}: {row.get('items')} items, digest {row.get('disk')}{moving}")
    has_findings = any(row["findings"] for row in rows)
    print_and_exit(rows, lines, as_json, EXIT_FINDINGS if has_findings else EXIT_OK)


def disk_findings(answer: JsonObject) -> list[str]:
    """The problems of a disk in its process's answer."""
    findings = answer.get("findings")
    reasons = [str(one) for one in findings] if isinstance(findings, list) else []
    if (
        not reasons
        and not answer.get("moving")
        and text_field(answer, "disk") != text_field(answer, "memory")
    ):
        reasons.append(
            f"disk holds {number_field(answer, 'items'):.0f} items, digest {text_field(answer, 'disk')}, "
            f"memory {text_field(answer, 'memory')}; "
            f"look for refused disk writes in its log, then restart it"
        )
    return reasons


@state.command("restore")
def _restore(
    copy: Annotated[
        str,
        typer.Argument(
            metavar="[COPY]",
            help="A backup's folder under the state folder; by default the process's own disk.",
        ),
    ] = "",
    lost: Annotated[
        list[str] | None,
        typer.Option("--lost", metavar="ADDRESS", help="A member that is permanently lost; repeatable."),
    ] = None,
    where: Annotated[
        str, typer.Option("--from", metavar="NODE", help="The control process whose state is restored.")
    ] = "",
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DISK_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Restores the mesh from one control process's disk, or from a backup, after more losses than are
    tolerated. Refused if that would replace newer state by older."""
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), min(wait, STATUS_WAIT_S), (CONTROLLER,)),
        as_json,
    )
    candidates = [p for p in snapshot.answering(CONTROLLER) if where in ("", p.node)]
    candidates.sort(key=lambda p: not (p.status or {}).get("whole"))
    if not candidates:
        fail(EXIT_NO_ANSWER, "no such control process answers; check --at and whether it runs", as_json)
    process = candidates[0]
    reply = asyncio.run(ask(process.address, "restore", wait, copy=copy, lost=list(lost or ())))
    if isinstance(reply, Unreachable):
        fail(EXIT_NO_ANSWER, f"{process.node}: {reply.why}; the restore may be done: check status", as_json)
    if not isinstance(reply, Answered):
        fail(EXIT_REFUSED, f"{process.node}: {reply.reason}", as_json)
    answer = reply.value
    names = ", ".join(str(one) for one in answer.get("members", []))
    lines = wrapped(
        f"{process.node}: {number_field(answer, 'items'):.0f} items restored, "
        f"epoch {number_field(answer, 'epoch'):.0f}, "
        f"members: {names}; the others join again by themselves"
    )
    print_and_exit({"node": process.node, **answer}, lines, as_json)


@state.command("backup")
def _backup(
    to: Annotated[str, typer.Argument(metavar="TO", help="A new folder under the process's state folder.")],
    where: Annotated[
        str, typer.Option("--from", metavar="NODE", help="The control process; any one by default.")
    ] = "",
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DISK_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Backs up a control process's store to a new folder under its state folder."""
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), min(wait, STATUS_WAIT_S), (CONTROLLER,)),
        as_json,
    )
    candidates = [p for p in snapshot.answering(CONTROLLER) if where in ("", p.node)]
    candidates.sort(key=lambda p: not ((p.status or {}).get("in_touch") and (p.status or {}).get("whole")))
    if not candidates and where and where not in snapshot.nodes:
        fail(EXIT_USAGE, f"--from: no node {where} is known; nodes lists them", as_json)
    if not candidates:
        fail(EXIT_NO_ANSWER, "no such control process answers; check --at and whether it runs", as_json)
    process = candidates[0]
    reply = asyncio.run(ask(process.address, "backup", wait, to=to))
    if isinstance(reply, Unreachable):
        fail(
            EXIT_NO_ANSWER,
            f"{process.node}: {reply.why}; the backup may still be made: check that folder",
            as_json,
        )
    if not isinstance(reply, Answered):
        fail(EXIT_REFUSED, f"{process.node}: {reply.reason}", as_json)
    value = {"node": process.node, **reply.value}
    print_and_exit(
        value, [f"{process.node}: {reply.value.get('bytes')} bytes in {reply.value.get('to')}"], as_json
    )
