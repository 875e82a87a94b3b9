"""`ownership`: which upstream holds which keys of a sharded service."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Annotated, Any

import typer

from mesh.cli.client import Answered, Unreachable, ask, take_snapshot
from mesh.cli.members import pick_controller
from mesh.cli.mesh_snapshot import number_field, object_field
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
from mesh.cli.text import line, table
from mesh.data_plane.membership import CONTROLLER

ownership = typer.Typer(
    rich_markup_mode=None, no_args_is_help=True, help="Which upstream holds which keys of a service."
)

Service = Annotated[str, typer.Option(help="Only this service.")]
Key = Annotated[int | None, typer.Option(min=0, max=65535, help="Only the key range with this key.")]


@ownership.callback()
def _ownership() -> None:
    """Which upstream holds which keys of a service."""


@ownership.command("show")
def _show(
    service: Service = "",
    key: Key = None,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Shows the key ranges of each sharded service: holders, moves in progress, and shares of the traffic."""
    process = pick_controller(
        run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait, (CONTROLLER,)), as_json),
        as_json,
    )
    reply = asyncio.run(ask(process.address, "ownership", wait))
    if isinstance(reply, Unreachable):
        fail(EXIT_NO_ANSWER, f"{process.node}: {reply.why}; ask another with --at", as_json)
    if not isinstance(reply, Answered):
        fail(EXIT_REFUSED, f"{process.node}: {reply.reason}", as_json)
    services = {
        name: with_only_key(key_map, key)
        for name, key_map in object_field(reply.value, "services").items()
        if isinstance(key_map, dict) and service in ("", name)
    }
    if service and not services:
        fail(
            EXIT_REFUSED,
            f"service {service[:80]!r} has no key map: it is not sharded, or has no upstream",
            as_json,
        )
    print_and_exit({"node": process.node, "services": services}, ownership_lines(services), as_json, EXIT_OK)


def with_only_key(key_map: Mapping[str, Any], key: int | None) -> dict[str, Any]:
    """The map, reduced to the row of ``key`` if one is given."""
    rows = [row for row in key_map.get("rows", []) if key is None or row[0] <= key <= row[1]]
    return {**key_map, "rows": rows}


def ownership_lines(services: Mapping[str, Mapping[str, Any]]) -> list[str]:
    """The key maps as lines."""
    lines: list[str] = []
    for name, key_map in services.items():
        rows = key_map.get("rows", [])
        vacant = sum(row[1] - row[0] + 1 for row in rows if not row[2])
        moving = sum(row[4] is not None for row in rows)
        head = f"{name}: map {number_field(key_map, 'version'):.0f}, {len(rows)} ranges, {moving} moving"
        lines += [line(head + (f", {vacant} keys without a holder" if vacant else "")), ""]
        cells = [
            (
                f"{first}-{last}",
                holder or "none",
                str(fence),
                "-" if to is None else f"to {to or 'the least busy'}, {for_s or 0:.1f} s",
                f"{100.0 * share:.1f}%",
            )
            for first, last, holder, fence, to, for_s, share in rows
        ]
        lines += [*table(("keys", "holder", "fence", "moves", "traffic"), cells), ""]
    return lines or ["no service is sharded by key"]
