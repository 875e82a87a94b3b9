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

ownership = typer.Typer(rich_markup_mode=None, no_args_is_help=True, help="Who holds the keys of a service.")

Service = Annotated[str, typer.Option(help="Only this service.")]
Key = Annotated[int | None, typer.Option(min=0, max=65535, help="Only the row with this key.")]


@ownership.callback()
def _ownership() -> None:
    """Who holds the keys of a service."""


@ownership.command("show")
def _show(
    service: Service = "",
    key: Key = None,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """The map of each divided service: rows, holders, what is in motion, and each row's share of traffic."""
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
            f"service {service[:80]!r}: it has no map; it is not divided, or has no upstream",
            as_json,
        )
    print_and_exit({"node": process.node, "services": services}, ownership_lines(services), as_json, EXIT_OK)


def with_only_key(key_map: Mapping[str, Any], key: int | None) -> dict[str, Any]:
    """The map, reduced to the row of ``key`` if one is given."""
    rows = [row for row in key_map.get("rows", []) if key is None or row[0] <= key <= row[1]]
    return {**key_map, "rows": rows}


def ownership_lines(services: Mapping[str, Mapping[str, Any]]) -> list[str]:
    """The maps as lines."""
    lines: list[str] = []
    for name, key_map in services.items():
        rows = key_map.get("rows", [])
        vacant = sum(row[1] - row[0] + 1 for row in rows if not row[2])
        moving = sum(row[4] is not None for row in rows)
        head = f"{name}: map {number_field(key_map, 'version'):.0f}, {len(rows)} rows, {moving} in motion"
        lines += [line(head + (f", {vacant} keys without a holder" if vacant else "")), ""]
        cells = [
            (
                f"{first}-{last}",
                holder or "nobody",
                str(fence),
                "-" if to is None else f"to {to or 'whoever is least busy'}, {for_s or 0:.1f} s",
                f"{100.0 * share:.1f}%",
            )
            for first, last, holder, fence, to, for_s, share in rows
        ]
        lines += [*table(("keys", "holder", "fence", "leaves", "traffic"), cells), ""]
    return lines or ["no service is divided by key"]
