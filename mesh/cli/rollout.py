"""`rollout`: shows the rollout of changes to the sidecars, and holds or releases staged ones."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any, NoReturn

import typer

from mesh.cli.client import Answered, Refused, Unreachable, ask, gather_bounded, take_snapshot
from mesh.cli.mesh_snapshot import JsonObject, MeshSnapshot, Process, number_field, object_field
from mesh.cli.options import (
    DEFAULT_WAIT_S,
    EXIT_FINDINGS,
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
from mesh.cli.text import join_names, table, wrapped
from mesh.configuration.commands import ROUTE
from mesh.data_plane.membership import CONTROLLER, PROXY
from mesh.rollout.change_kinds import STAGED

rollout = typer.Typer(
    rich_markup_mode=None, no_args_is_help=True, help="Staged rollouts of changes to the sidecars."
)

NAMES_WIDTH = 60  # in columns
Item = Annotated[str, typer.Argument(metavar="ITEM", help="KIND/NAME, or the name of a route.")]
Name = Annotated[str, typer.Argument(metavar="ROUTE", help="The route's name.")]
Next = Annotated[
    bool, typer.Option("--next", help="Apply to the route's next version, if it arrives within 60 s.")
]


@rollout.command("show")
def _show(
    at: At = None, settings: SettingsFile = None, wait: Wait = DEFAULT_WAIT_S, as_json: AsJson = False
) -> None:
    """Shows the recent changes and the sidecars that have not confirmed them."""
    snapshot = run_or_exit(
        take_snapshot(contact_addresses(at, settings, as_json), wait, (CONTROLLER,)), as_json
    )
    node, answer = _ask_core(snapshot, wait, as_json, "rollouts")
    rows: list[JsonObject] = [one for one in answer.get("rollouts", []) if isinstance(one, dict)]
    lines = [
        f"at {node}: {answer.get('sidecars')} sidecars",
        *change_lines(rows, int(number_field(answer, "sidecars"))),
    ]
    lines += vote_lines(object_field(answer, "votes"))
    open_now = any(one.get("missing") or one.get("worse") for one in rows)
    print_and_exit({"node": node, **answer}, lines, as_json, EXIT_FINDINGS if open_now else EXIT_OK)


@rollout.command("explain")
def _explain(
    item: Item,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Shows when each sidecar activated an item's versions, and why a stage waited."""
    kind, _, name = (
        item.rpartition("/")
        if item.startswith(("route/", "plant/", "input_limits/"))
        else (
            ROUTE,
            "",
            item,
        )
    )
    snapshot = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait), as_json)
    node, core = _ask_core(snapshot, wait, as_json, "rollout", kind=kind, name=name)
    answers, silent = _ask_sidecars(snapshot, wait, "rollout", name=name) if kind == ROUTE else ([], [])
    value = {"node": node, "core": core, "sidecars": answers, "silent": silent}
    print_and_exit(
        value,
        explain_lines(kind, name, core, answers, silent),
        as_json,
        EXIT_FINDINGS if core.get("missing") else EXIT_OK,
    )


@rollout.command("hold")
def _hold(
    route: Name,
    at_next: Next = False,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Holds the second stage back until its deadline, whatever the canaries report."""
    _order("hold", route, at_next, at, settings, wait, as_json)


@rollout.command("go")
def _go(
    route: Name,
    at_next: Next = False,
    at: At = None,
    settings: SettingsFile = None,
    wait: Wait = DEFAULT_WAIT_S,
    as_json: AsJson = False,
) -> None:
    """Activates the route's held version at all sidecars at once."""
    _order("go", route, at_next, at, settings, wait, as_json)


def _order(
    command: str, route: str, at_next: bool, at: Any, settings: Any, wait: float, as_json: bool
) -> NoReturn:
    snapshot = run_or_exit(take_snapshot(contact_addresses(at, settings, as_json), wait, (PROXY,)), as_json)
    answers, silent = _ask_sidecars(snapshot, wait, "order", name=route, order=command, next=at_next)
    if not answers:
        fail(EXIT_NO_ANSWER, "no sidecar answers; check --at and whether they run", as_json)
    value = {"sidecars": answers, "silent": silent}
    notes = [f"no answer from {len(silent)} sidecars: {join_names(silent, NAMES_WIDTH)}"] if silent else []
    if at_next:
        print_and_exit(
            value, [f"{len(answers)} sidecars: {command} for the next version within 60 s", *notes], as_json
        )
    obeyed = [one for one in answers if one.get("obeyed") is not None]
    if not obeyed:
        in_force = ", ".join(sorted({f"r{v}" for one in answers if (v := one.get("in_force")) is not None}))
        fail(
            EXIT_REFUSED,
            f"{route}: {in_force or 'nothing'} is in force, nothing is held back; send a higher version, or "
            "use --next",
            as_json,
        )
    print_and_exit(
        value, [f"{command}: {len(obeyed)} of {len(answers)} sidecars were holding it back", *notes], as_json
    )


def _ask_core(
    snapshot: MeshSnapshot, wait: float, as_json: bool, question: str, **fields: Any
) -> tuple[str, JsonObject]:
    """The answer of a control process, those with contact first; exits if there is none."""
    controllers = sorted(
        snapshot.answering(CONTROLLER), key=lambda p: (not (p.status or {}).get("in_touch"), p.node)
    )
    why = "no control process answers; check --at and whether they run"
    for process in controllers:
        reply = asyncio.run(ask(process.address, question, wait, **fields))
        if isinstance(reply, Answered):
            return process.node, reply.value
        if isinstance(reply, Refused):
            fail(EXIT_REFUSED, f"{process.node}: {reply.reason}", as_json)
        why = f"{process.node}: {reply.why}"
    fail(EXIT_NO_ANSWER, why, as_json)


def _ask_sidecars(
    snapshot: MeshSnapshot, wait: float, question: str, **fields: Any
) -> tuple[list[JsonObject], list[str]]:
    """The sidecars' answers, each with its node, and the names of those that did not answer."""
    sidecars = [p for p in snapshot.processes if snapshot.role_of(p) == PROXY]

    async def one(process: Process) -> Answered | Refused | Unreachable:
        return await ask(process.address, question, wait, **fields)

    async def ask_all() -> list[Answered | Refused | Unreachable]:
        return await gather_bounded(one, sidecars)

    answers: list[JsonObject] = []
    silent = []
    for process, reply in zip(sidecars, asyncio.run(ask_all()), strict=True):
        if isinstance(reply, Answered):
            answers.append({**reply.value, "node": process.node})
        else:
            silent.append(process.node)
    return answers, silent


def change_lines(rows: list[JsonObject], sidecars: int) -> list[str]:
    """A table of the changes, the newest first."""
    if not rows:
        return ["no change since this control process started"]
    cells = []
    for one in rows:
        took = f"{one['took_ms']} ms" if one.get("took_ms") is not None else "-"
        verdict = "worse: " + ", ".join(one.get("worse", [])) if one.get("worse") else ""
        cells.append(
            [
                f"{number_field(one, 'ago_ms') / 1000.0:.1f} s",
                f"{one.get('items')}",
                join_names([str(name) for name in one.get("named", [])], 30),
                f"{sidecars - int(number_field(one, 'missing'))} of {sidecars}",
                took,
                verdict or ("sound" if one.get("sound") else "-"),
                join_names([str(name) for name in one.get("lack", [])], 24) or "-",
            ]
        )
    return table(["ago", "items", "which", "confirmed", "after", "canaries", "missing at"], cells)


def vote_lines(votes: JsonObject) -> list[str]:
    """The number of open votes, and a line for each refused order of a version that another order has."""
    count = int(number_field(votes, "open"))
    lines = [f"{count} open votes: they are decided within seconds"] if count else []
    for one in votes.get("rivalled", []):
        ago = f"{number_field(one, 'ago_ms') / 1000.0:.1f} s ago"
        named = f"{one.get('kind')} {one.get('name')} r{one.get('version')}"
        lines.append(f"conflict: {named}, {ago}: another change has this version")
    return lines


def part_name(passed: JsonObject) -> str:
    """The stage that a sidecar belongs to; changes that are not staged have only one."""
    if passed.get("kind") not in {kind.value for kind in STAGED}:
        return "all"
    return "canary" if passed.get("first") else "rest"


def explain_lines(
    kind: str, name: str, core: JsonObject, answers: list[JsonObject], silent: list[str]
) -> list[str]:
    """The item's state at the control plane, and each version's rollout at the sidecars."""
    state = "dropped" if core.get("dropped") else "set"
    confirmed = int(number_field(core, "sidecars") - number_field(core, "missing"))
    lines = [
        f"{kind} {name} r{core.get('version')}, {state}: in force at {confirmed} of {core.get('sidecars')}"
    ]
    for node, since in core.get("lack", []):
        last_report = (
            "never reported"
            if since is None
            else f"last report {number_field({'s': since}, 's') / 1000.0:.1f} s ago"
        )
        lines.append(f"  {node} has not confirmed it: {last_report}")
    if kind != ROUTE:
        return [*lines, "  not staged: each sidecar activates it as soon as it receives it"]
    lines += wrapped(f"  canaries: {', '.join(str(one) for one in core.get('first', []))}", "    ")
    new_calls, new_failures, old_calls, old_failures = [*core.get("word", []), 0, 0, 0, 0][:4]
    if new_calls:
        lines.append(
            f"  its calls: {new_failures} of {new_calls} failed, before it {old_failures} of {old_calls}"
        )
    for one in answers:
        if one.get("dry"):
            lines.append(f"  {one['node']}: {one['dry']} had no live upstream when the route arrived")
    versions = sorted({int(p["version"]) for one in answers for p in one.get("passes", [])}, reverse=True)
    for version in versions[:4]:
        rows = []
        for one in answers:
            for passed in one.get("passes", []):
                if passed["version"] == version:
                    after = passed.get("after_ms")
                    rows.append(
                        [
                            one["node"],
                            part_name(passed),
                            passed.get("state"),
                            f"{number_field(passed, 'ago_ms') / 1000.0:.2f} s ago",
                            f"{after:g} ms" if after is not None else "held",
                            passed.get("why"),
                        ]
                    )
        lines.append(f"r{version}")
        lines += table(["node", "stage", "state", "received", "in force after", "why"], rows, "  ")
    if silent:
        lines.append(f"no answer from {len(silent)} sidecars: {join_names(silent, NAMES_WIDTH)}")
    return lines
