"""`config`: reads, checks, compares and sends the operator's configuration."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any, NoReturn

import msgspec
import typer

from mesh.cli import bearing, write_client
from mesh.cli.client import Answered, Unreachable, ask, gather_bounded, read_merged_items, take_snapshot
from mesh.cli.mesh_snapshot import MeshSnapshot, number_field, text_field
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
from mesh.cli.text import wrapped
from mesh.configuration.commands import INPUT_LIMITS, ConfigurationWrite, Invalid, decode_change, item_label
from mesh.configuration.read_back import render
from mesh.data_plane.membership import CONTROLLER, PROXY
from mesh.membership.instance_commands import read_address
from mesh.replication.items import Item, Key
from mesh.transport.link import Address

PATH = b"/configuration"
MAX_FILE_BYTES = 64 * 1024 * 1024  # bytes
MAX_SIDECARS_ASKED = 64  # about recent response times
PARTS = ("input_limits", "input_ports", "plant_groups")

config = typer.Typer(rich_markup_mode=None, no_args_is_help=True, help="The operator's configuration.")

File = Annotated[
    str,
    typer.Argument(
        metavar="FILE",
        help="A JSON file with apply and remove, or the output of `config get`; - reads standard input.",
    ),
]


def read_file(name: str, as_json: bool) -> bytes:
    """The call in a file. Exits with EXIT_USAGE if it cannot be read."""
    try:
        if name == "-":
            content = sys.stdin.buffer.read(MAX_FILE_BYTES + 1)
        else:
            with Path(name).open("rb") as stream:
                content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        fail(EXIT_USAGE, f"FILE: {name} cannot be read ({error.strerror}); give a JSON file", as_json)
    if len(content) > MAX_FILE_BYTES:
        fail(EXIT_USAGE, f"FILE: {name} has over {MAX_FILE_BYTES} bytes; send it in several calls", as_json)
    return to_call(content)


def to_call(content: bytes) -> bytes:
    """Turns a configuration as `config get` prints it into a call that sets it; leaves other input as is."""
    try:
        parsed = msgspec.json.decode(content)
    except (msgspec.DecodeError, RecursionError):
        return content
    if (
        isinstance(parsed, dict)
        and not {"apply", "remove"} & parsed.keys()
        and any(part in parsed for part in PARTS)
    ):
        return msgspec.json.encode({"apply": parsed})
    return content


def decode_or_exit(body: bytes, as_json: bool) -> ConfigurationWrite:
    """Decodes a call; exits with EXIT_FINDINGS if it is invalid."""
    change = decode_change(body)
    if isinstance(change, Invalid):
        what, _, mend = change.reason.partition("; ")
        finding = bearing.ChangeFinding(change.item, change.field, what, mend or "correct it")
        print_and_exit({"findings": [asdict(finding)]}, wrapped(finding.line()), as_json, EXIT_FINDINGS)
    return change


async def _current_configuration(
    addresses: Sequence[Address], wait: float
) -> tuple[MeshSnapshot, dict[Key, Item]] | Unreachable:
    """A snapshot of the mesh with its sidecars, and the configuration held by processes that answer."""
    snapshot = await take_snapshot(addresses, wait)
    if isinstance(snapshot, Unreachable):
        return snapshot
    configuration = await read_merged_items(snapshot.answering(), "charter", wait)
    if isinstance(configuration, Unreachable):
        return configuration
    return snapshot, {key: item for key, item in configuration.items() if bearing.is_configuration(key)}


def control_addresses(snapshot: MeshSnapshot) -> list[Address]:
    """The addresses for operators' calls, control processes with contact first."""
    order = sorted(snapshot.answering(CONTROLLER), key=lambda p: not (p.status or {}).get("in_touch"))
    found = [read_address(text_field(process.status, "control")) for process in order]
    return [address for address in found if address is not None]


@config.command("get")
def _get(
    item: Annotated[str, typer.Option("--item", metavar="KIND/NAME", help="Only this item.")] = "",
    held: Annotated[
        bool,
        typer.Option("--held", help="What the processes that answer hold, even if it is not the newest."),
    ] = False,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Prints the newest configuration, or one item of it, as JSON."""
    addresses = contact_addresses(at, settings, as_json)
    if held:
        _, configuration = run_or_exit(_current_configuration(addresses, wait), as_json)
        content = render(
            (i.kind, i.name, i.version, dict(i.value)) for i in configuration.values() if i.value is not None
        )
    else:
        snapshot = run_or_exit(take_snapshot(addresses, wait, (CONTROLLER,)), as_json)
        outcome = asyncio.run(write_client.send(control_addresses(snapshot), b"GET", PATH, b"", wait))
        if not isinstance(outcome, write_client.Accepted):
            _fail_without_answer(
                outcome, "config get --held shows what the processes that answer hold", as_json
            )
        content = outcome.body
    value = msgspec.json.decode(content)
    if item:
        value = _select_item(content, item, as_json)
    typer.echo(json.dumps(value, indent=None if as_json else 1))
    raise typer.Exit(EXIT_OK)


def _select_item(content: bytes, wanted: str, as_json: bool) -> Mapping[str, Any]:
    kind, _, name = wanted.partition("/")
    change = decode_change(to_call(content))
    if isinstance(change, ConfigurationWrite):
        for write in change.writes:
            if write.kind == kind and write.name == (name or INPUT_LIMITS) and write.value is not None:
                return write.value
    fail(
        EXIT_FINDINGS,
        f"--item: {wanted} does not exist; give KIND/NAME such as route/r1 or plant/red",
        as_json,
    )


def _fail_without_answer(
    outcome: write_client.Rejected | write_client.Indeterminate, mend: str, as_json: bool
) -> NoReturn:
    if isinstance(outcome, write_client.Rejected):
        fail(EXIT_REFUSED, f"{outcome.status}: {outcome.reason}", as_json)
    fail(
        EXIT_REFUSED if outcome.any_answer else EXIT_NO_ANSWER,
        f"no definite answer ({outcome.reason}); {mend}",
        as_json,
    )


@config.command("check")
def _check(
    file: File,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Checks a change, without sending it, against the current configuration and the state of the mesh."""
    change = decode_or_exit(read_file(file, as_json), as_json)
    snapshot, configuration = run_or_exit(
        _current_configuration(contact_addresses(at, settings, as_json), wait), as_json
    )
    findings = bearing.review_change(change, configuration, asyncio.run(_facts(snapshot, wait)))
    lines = [line for finding in findings for line in wrapped(finding.line())]
    summary = f"{len(change.writes)} items: no problems found"
    value = {"items": len(change.writes), "findings": [asdict(finding) for finding in findings]}
    print_and_exit(value, lines or [summary], as_json, EXIT_FINDINGS if findings else EXIT_OK)


async def _facts(snapshot: MeshSnapshot, wait: float) -> bearing.MeshFacts:
    proxies = snapshot.answering(PROXY)
    replies = await gather_bounded(lambda p: ask(p.address, "answers", wait), proxies[:MAX_SIDECARS_ASKED])
    return bearing.MeshFacts(
        bearing.count_settled(snapshot.instances),
        tuple(reply.value for reply in replies if isinstance(reply, Answered)),
        tuple(number_field(p.status, "retry_ratio", 1.0) for p in proxies),
    )


@config.command("diff")
def _diff(
    file: File,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Shows what a change would do: + new, ~ changed, - dropped, < older than the current version."""
    change = decode_or_exit(read_file(file, as_json), as_json)
    _, configuration = run_or_exit(
        _current_configuration(contact_addresses(at, settings, as_json), wait), as_json
    )
    changes = bearing.differences(change, configuration)
    lines, unchanged = [], 0
    for one in changes:
        if one.sign == "=":
            unchanged += 1
            continue
        before = f"r{one.stands} -> " if one.stands is not None else ""
        lines += wrapped(f"{one.sign} {one.item}: {before}r{one.version}")
        lines += [line for field in one.fields for line in wrapped(f"    {field}", "      ")]
    named = {(write.kind, write.name) for write in change.writes}
    others = sum(item.value is not None and key not in named for key, item in configuration.items())
    lines.append(f"{unchanged} items are unchanged, {others} are not in the file and stay as they are")
    value = {
        "differences": [asdict(one) for one in changes if one.sign != "="],
        "alike": unchanged,
        "others": others,
    }
    print_and_exit(value, lines, as_json, EXIT_FINDINGS if len(changes) > unchanged else EXIT_OK)


@config.command("apply")
def _apply(
    file: File,
    within: Annotated[
        float, typer.Option("--within", min=0.5, max=3600.0, help="Timeout of all tries in seconds.")
    ] = 10.0,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Sends a change to one control process after another until one gives a definite answer."""
    body = read_file(file, as_json)
    change = decode_or_exit(body, as_json)
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), wait, (CONTROLLER,)), as_json
    )
    addresses = control_addresses(snapshot)
    if not addresses:
        fail(
            EXIT_NO_ANSWER,
            "no control process answers: nothing was sent; check --at and whether they run",
            as_json,
        )
    outcome = asyncio.run(write_client.send(addresses, b"PATCH", PATH, body, within))
    if not isinstance(outcome, write_client.Accepted):
        _fail_without_answer(outcome, "the change may be in force: send the same file again", as_json)
    else:
        names = [item_label(write.kind, write.name) for write in change.writes]
        host, port = outcome.address
        value = {"items": len(names), "by": f"{host}:{port}", "tries": outcome.tries}
        print_and_exit(
            value, [f"accepted by {host}:{port}: {len(names)} items are in force and stored"], as_json
        )
