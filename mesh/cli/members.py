"""`members`: shows the members and the losses that they tolerate, and removes a machine that is gone."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Annotated, Any

import typer

from mesh.cli.client import Answered, Unreachable, ask, take_snapshot
from mesh.cli.mesh_snapshot import MeshSnapshot, Process, number_field, object_field, text_field
from mesh.cli.options import (
    DEFAULT_WAIT_S,
    EXIT_NO_ANSWER,
    EXIT_OK,
    EXIT_REFUSED,
    AsJson,
    At,
    SettingsFile,
    Wait,
    contact_addresses,
    fail,
    print_and_exit,
    run_or_exit,
)
from mesh.cli.text import line, table, tolerated_losses, wrapped
from mesh.data_plane.membership import CONTROLLER

REMOVE_WAIT_S = 10.0

members = typer.Typer(
    rich_markup_mode=None, no_args_is_help=True, help="The voting members of the control plane."
)


@members.command("show")
def _show(
    at: At = None, settings: SettingsFile = None, wait: Wait = DEFAULT_WAIT_S, as_json: AsJson = False
) -> None:
    """Shows the members, their epoch, the state of their disks, and how many more losses are tolerated."""
    view = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait, (CONTROLLER,)), as_json)
    process = pick_controller(view, as_json)
    reply = asyncio.run(ask(process.address, "members", wait))
    holder = _holder(view, reply)
    # Only the holder of the lease knows why a silent member is kept
    if holder is not None and holder.node != process.node:
        answer = asyncio.run(ask(holder.address, "members", wait))
        if isinstance(answer, Answered):
            process, reply = holder, answer
    if isinstance(reply, Unreachable):
        fail(EXIT_NO_ANSWER, f"{process.node}: {reply.why}; ask another with --at", as_json)
    if not isinstance(reply, Answered):
        fail(EXIT_REFUSED, f"{process.node}: {reply.reason}", as_json)
    print_and_exit({"node": process.node, **reply.value}, member_lines(reply.value), as_json, EXIT_OK)


@members.command("remove")
def _remove(
    node: Annotated[
        str, typer.Argument(metavar="NODE", help="The name of a node or the address of a member.")
    ],
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = REMOVE_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Removes a member whose machine is permanently gone; refused if the removal is not safe."""
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), min(wait, DEFAULT_WAIT_S), (CONTROLLER,)),
        as_json,
    )
    process = pick_controller(snapshot, as_json)
    reply = asyncio.run(ask(process.address, "members remove", wait, node=node))
    if isinstance(reply, Unreachable):
        fail(
            EXIT_NO_ANSWER,
            f"{process.node}: {reply.why}; the removal may be in progress: check members show",
            as_json,
        )
    if not isinstance(reply, Answered):
        fail(EXIT_REFUSED, f"{process.node}: {reply.reason}", as_json)
    names = ", ".join(str(one) for one in reply.value.get("members", []))
    lines = wrapped(f"{node} is no longer a member, epoch {number_field(reply.value, 'epoch'):.0f}: {names}")
    print_and_exit({"node": process.node, **reply.value}, lines, as_json, EXIT_OK)


def pick_controller(snapshot: MeshSnapshot, as_json: bool) -> Process:
    """A control process that answers, preferably one with contact; exits if there is none."""
    controllers = snapshot.answering(CONTROLLER)
    if not controllers:
        fail(EXIT_NO_ANSWER, "no control process answers; check --at and whether they run", as_json)
    return min(controllers, key=lambda process: not (process.status or {}).get("in_touch"))


def _holder(snapshot: MeshSnapshot, reply: object) -> Process | None:
    """The holder of the lease `members`, if it answers."""
    name = text_field(reply.value, "holder") if isinstance(reply, Answered) else ""
    return next((process for process in snapshot.answering(CONTROLLER) if process.node == name), None)


def member_lines(answer: Mapping[str, Any]) -> list[str]:
    suffix = ", a change is in progress" if answer.get("joint") else ""
    lines = [
        line(
            f"epoch {number_field(answer, 'epoch'):.0f}{suffix}; "
            f"{tolerated_losses(object_field(answer, 'borne'))}"
        )
    ]
    rows, why = [], []
    listed = answer.get("members")
    for row in listed if isinstance(listed, list) else []:
        vote = "yes" if row.get("counts") else "joining" if row.get("joins") else "no"
        if row.get("before") and not row.get("counts"):
            vote = "leaving"
        disk = "complete" if row.get("whole") else "incomplete"
        state = "leaving" if row.get("leaves") else "heard" if row.get("heard") else "silent"
        if state == "silent":
            state += f" {number_field(row, 'silent_s'):.0f} s"
        cells = (row.get("address"), row.get("node") or "-", row.get("zone") or "-", vote, disk)
        rows.append((*cells, f"{number_field(row, 'level'):.0f}", state))
        if text_field(row, "stays"):
            why += wrapped(f"{row.get('address')} is kept: {text_field(row, 'stays')}")
    lines += ["", *table(("member", "node", "zone", "vote", "disk", "level", "state"), rows)]
    if why or text_field(answer, "waits"):
        lines += ["", *why]
    if text_field(answer, "waits"):
        lines += wrapped(f"waits: {text_field(answer, 'waits')}")
    return lines
