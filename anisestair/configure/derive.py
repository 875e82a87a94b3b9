"""A configuration from a description: each value with the reason that it has, and its figures. No I/O.

The same description gives the same bytes: nothing is taken from a clock, an environment or chance. Values
that were set by hand are kept where the checks have nothing against them, and are named.
"""

from __future__ import annotations

import copy
import hashlib
import json
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from anisestair.configure import sizing
from anisestair.configure.description import App
from anisestair.configure.findings import Path, Role, Severity, dotted
from anisestair.configure.judge_app import (
    APP_NAME,
    OPERATOR_NAME,
    PLATFORM_NAME,
    Bundle,
    Judged,
    judge_bundle,
)
from anisestair.configure.source import Document, read_json, read_toml

EFFECTS = {"never": "single_shot", "keyed": "guarded", "free": "free"}
# A connect on a network of data centres takes some milliseconds; a lost first packet is sent again after one
# second. Between the two, more time finds nothing more.
CONNECT_LEAST_MS, CONNECT_MOST_MS = 20.0, 250.0
CONNECT_SHARE = 0.5  # of the shortest wanted time: one failed connect leaves room for another attempt
ATTEMPTS_LEAST, ATTEMPTS_MOST = 2, 4  # beyond four, a call asks a fleet that is down, not a server
RETRY_AFTER_MOST_MS = 2000.0  # callers that are told a longer wait go away for good
DRAIN_MS = 2000.0  # the operators' rule
TICK_MS = 1.0  # a real sidecar handles events as they come; the simulator's is longer
CALLS_PER_CONNECTION = 32  # the operator's file's own default: a break ends them all
CALLS_IN_HAND_LEAST, CALLS_IN_HAND_MOST = 16, 4096


@dataclass(frozen=True, slots=True)
class Reason:
    """Why a field has its value; ``figures`` are the words with the numbers put in."""

    role: Role
    path: Path
    value: Any
    figures: str


@dataclass(frozen=True, slots=True)
class Derived:
    platform: dict[str, Any]
    operator: dict[str, Any] | None
    reasons: tuple[Reason, ...]
    kept: tuple[str, ...] = ()  # hand-made values in force, one line each
    dropped: tuple[str, ...] = ()  # and those that are not, with why

    @property
    def platform_text(self) -> str:
        return json.dumps(self.platform, indent=2, ensure_ascii=False, allow_nan=False) + "\n"

    @property
    def operator_text(self) -> str:
        if self.operator is None:
            return "# The application speaks HTTP alone: nothing is switched on.\n"
        return toml(self.operator)


@dataclass
class _Sheet:
    """Values as they are set, with their reasons."""

    role: Role
    root: dict[str, Any] = field(default_factory=dict)
    reasons: list[Reason] = field(default_factory=list)

    def set(self, path: Path, value: Any, why: str) -> None:
        table: Any = self.root
        for place, step in enumerate(path[:-1]):
            if isinstance(table, list):
                while len(table) <= int(step):
                    table.append({})
                table = table[int(step)]
            else:
                table = table.setdefault(step, [] if isinstance(path[place + 1], int) else {})
        table[path[-1]] = value
        self.reasons.append(Reason(self.role, path, value, why))


def derive(app: App) -> Derived:
    platform = _platform(app)
    operator = _operator(app) if app.speaks_rpc else None
    reasons = [*platform.reasons, *(operator.reasons if operator is not None else [])]
    return Derived(platform.root, operator.root if operator is not None else None, tuple(reasons))


def _platform(app: App) -> _Sheet:
    sheet = _Sheet(Role.PLATFORM)
    need, fleet, calls = sizing.need(app), app.fleet, app.calls
    sheet.set(("name",), app.name, "the application's name")
    sheet.set(("listen",), app.listen.http, "listen.http: where the application connects")
    sheet.set(("discovery",), app.listen.discovery, "listen.discovery")
    seed = hashlib.sha256(f"{app.member}/{app.name}".encode()).hexdigest()[:16]
    sheet.set(("seed",), seed, "from member and name, so that sidecars differ and each stays the same")
    sheet.set(("limits", "cores"), app.machine.cores, "machine.cores")
    why = f"{need.calls} calls can be in hand at once (bursts, rate x given_up_ms); "
    why += f"it takes {sizing.BASE_MB:g} MB, each call its bodies twice and {sizing.CALL_BYTES // 1024} KiB: "
    why += f"{need.memory_mb:g} MB at the least; the machine gives {app.machine.memory_mb:g}"
    sheet.set(("limits", "memory_mb"), app.machine.memory_mb, why)
    parts = 4 if app.speaks_rpc else 2
    why = f"{need.calls} calls in hand x {parts} (the application's and upstreams' connections"
    why += ", each of two protocols" if app.speaks_rpc else ""
    why += f") + {sizing.SPARE}, in steps of {sizing.STEP_DESCRIPTORS}: {need.descriptors} at the least; "
    why += f"the machine gives {app.machine.descriptors}"
    sheet.set(("limits", "sockets"), min(app.machine.descriptors, max(need.descriptors, 256)), why)
    why = "empty: discovery tells of the servers, and the platform fills in what it last knew"
    sheet.set(("known",), {"seq": 0, "whole": True, "hosts": []}, why)
    for number, call in enumerate(calls):

        def at(name: str, number: int = number) -> Path:
            return ("settings", "classes", number, name)

        sheet.set(at("name"), call.name, "the call's name")
        sheet.set(at("promise-ms"), call.wanted_ms, "wanted_ms of the call")
        sheet.set(
            at("give-up-ms"), call.given_up_ms, "given_up_ms of the call: an answer after it finds nobody"
        )
        sheet.set(at("importance"), call.importance, "importance of the call")
        sheet.set(at("late-share"), call.late_worth, "late_worth of the call")
        whys = {
            "never": "repeat is never: it is not sent again once it may have run",
            "keyed": "repeat is keyed: sent again only to servers that know its key, while they know it",
            "free": "repeat is free: running twice does no harm",
        }
        sheet.set(at("idempotency"), EFFECTS[call.repeat], whys[call.repeat])
        if call.repeat == "keyed":
            sheet.set(
                at("key-scope"),
                call.remembered_by,
                "remembered_by of the call: no wider than servers know keys",
            )
            why_window = f"remembers_ms of the call, {call.remembers_ms:g}: no longer than servers know keys"
            sheet.set(at("window-ms"), call.remembers_ms, why_window)
    _settings(app, sheet)
    wanted, given_up = min(c.wanted_ms for c in calls), min(c.given_up_ms for c in calls)
    connect = float(
        math.floor(min(max(CONNECT_SHARE * wanted, CONNECT_LEAST_MS), CONNECT_MOST_MS, given_up / 2))
    )
    connect = max(connect, 3.0)
    why = f"{CONNECT_SHARE:g} of the shortest wanted_ms, {wanted:g}, "
    why += f"within {CONNECT_LEAST_MS:g} and {CONNECT_MOST_MS:g}: "
    why += "one connection that does not come up leaves time for another attempt"
    sheet.set(("settings", "limits", "connect-timeout-ms"), connect, why)
    why = f"fleet.idle_ms, {fleet.idle_ms:g}: servers close connections that are idle for longer"
    sheet.set(("settings", "limits", "keepalive-ms"), fleet.idle_ms, why)
    attempts = min(max(int(given_up / (2.0 * connect)), ATTEMPTS_LEAST), ATTEMPTS_MOST)
    why = (
        f"as many as fit the shortest given_up_ms, {given_up:g}, at twice the connect time-out, {connect:g}; "
    )
    why += (
        f"{ATTEMPTS_LEAST} to {ATTEMPTS_MOST}. What may run once is sent again only where it cannot have run"
    )
    sheet.set(("settings", "limits", "max-attempts"), attempts, why)
    sheet.set(("settings", "limits", "may-cancel"), True, "an attempt whose caller has gone is given up")
    sheet.set(("settings", "limits", "second-copies"), False, "one attempt at a time: two may both run")
    sheet.set(("settings", "limits", "probing"), False, "servers are learnt from the application's own calls")
    sheet.set(("settings", "limits", "retry-after"), True, "refused callers are told when to come back")
    back = max(10.0, float(math.floor(min(RETRY_AFTER_MOST_MS, max(c.given_up_ms for c in calls)))))
    why = f"the longest given_up_ms, {RETRY_AFTER_MOST_MS:g} at the most: callers told to wait longer go away"
    sheet.set(("settings", "limits", "max-retry-after-ms"), back, why)
    return sheet


def _settings(app: App, sheet: _Sheet) -> None:
    """What hangs on the fleet."""
    fleet = app.fleet
    sheet.set(("settings", "discovery"), fleet.discovery, "fleet.discovery")
    why = (
        f"fleet.sidecars, {fleet.sidecars}: the first share of {fleet.servers} servers is one part of so many"
    )
    sheet.set(("settings", "peers-total"), fleet.sidecars, why)
    if app.data_centre:
        sheet.set(("settings", "locality"), app.data_centre, "data_centre")
    sheet.set(("settings", "tick-ms"), TICK_MS, "a real sidecar handles events as they come")
    sheet.set(("settings", "weight-source"), "nominal", "shares in discovery's list are registered sizes")
    sheet.set(
        ("settings", "rules", "answer-slack-ms"), 20.0, "the time of an answer on its way to the caller"
    )
    sheet.set(("settings", "rules", "ask-within-ms"), 10_000.0, "a watch is renewed well within it")
    sheet.set(
        ("settings", "rules", "drain-grace-ms"),
        DRAIN_MS,
        "the rule: nothing new to a draining server after it",
    )
    if fleet.warm_up_ms > 0:
        why = f"fleet.cold_share, {fleet.cold_share:g}: what a server can do as it starts"
        sheet.set(("settings", "rules", "cold-from"), fleet.cold_share, why)
        why = f"fleet.warm_up_ms, {fleet.warm_up_ms:g}: a starting server gets its warmed share for so long"
        sheet.set(("settings", "rules", "cold-ms"), fleet.warm_up_ms, why)


def _operator(app: App) -> _Sheet:
    sheet = _Sheet(Role.OPERATOR)
    sheet.set(("rpc", "listen"), app.listen.rpc, "listen.rpc: where the application connects")
    why = "answers come in any order, and a break ends them all"
    sheet.set(("rpc", "calls_per_connection"), CALLS_PER_CONNECTION, why)
    calls = sizing.in_hand(app)
    power = 2 ** math.ceil(math.log2(max(calls, 1)))
    room = min(max(power, CALLS_IN_HAND_LEAST), CALLS_IN_HAND_MOST)
    why = f"{calls} calls can be in hand at once, all on one connection; the next power of two, "
    why += f"{CALLS_IN_HAND_LEAST} to {CALLS_IN_HAND_MOST}"
    sheet.set(("rpc", "calls_in_hand"), room, why)
    if app.fleet.turned_away:
        why = "fleet.turned_away: errors that servers send only before a call runs"
        sheet.set(("rpc", "turned_away"), list(app.fleet.turned_away), why)
    number = 0
    for call in app.calls:
        for method in call.methods:
            path: Path = ("rpc", "methods", number)
            sheet.set((*path, "pattern"), method, f"a method of the call {call.name!r}")
            sheet.set((*path, "class"), call.name, f"a method of the call {call.name!r}")
            if call.key:
                sheet.set((*path, "key"), list(call.key), f"key of the call {call.name!r}")
            if call.id:
                sheet.set((*path, "id"), list(call.id), f"id of the call {call.name!r}")
            number += 1
    return sheet


# Hand-made values


def keeping(app: App, app_text: str, platform: Document | None, operator: Document | None) -> Derived:
    """What is derived, with the values of an older configuration that the checks have nothing against.

    Each value is tried alone, on top of those that were kept before it: two that are safe only apart are not
    both kept. Names, addresses, the seed and the list of servers are the description's and the platform's.
    """
    derived = derive(app)
    kept: list[str] = []
    dropped: list[str] = []
    if platform is not None and platform.flaw is not None:
        dropped.append(f"{platform.file}: {platform.flaw.says}")
    elif platform is not None:
        for path, value in _leaves(platform.data, derived.platform):
            derived = _tried(derived, app_text, Role.PLATFORM, path, value, kept, dropped)
    if operator is not None and derived.operator is not None and operator.flaw is None:
        for path, value in _leaves(operator.data, derived.operator):
            derived = _tried(derived, app_text, Role.OPERATOR, path, value, kept, dropped)
    return Derived(derived.platform, derived.operator, derived.reasons, tuple(kept), tuple(dropped))


NOT_KEPT = {"name", "listen", "discovery", "seed", "known", "pattern", "class", "methods"}


def _leaves(old: Any, new: Any, path: Path = ()) -> Iterator[tuple[Path, Any]]:
    """Values that differ, of fields that both have."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in new:
            if name in old and (name not in NOT_KEPT or (name == "discovery" and path) or name == "methods"):
                yield from _leaves(old[name], new[name], (*path, name))
    elif isinstance(old, list) and isinstance(new, list) and any(isinstance(item, dict) for item in new):
        named = {_tag(item): item for item in old if isinstance(item, dict)}
        for number, item in enumerate(new):
            if _tag(item) in named:
                yield from _leaves(named[_tag(item)], item, (*path, number))
    elif old != new or isinstance(old, bool) != isinstance(new, bool):  # 1 == True
        yield path, old


def _tag(item: Any) -> Any:
    return item.get("name", item.get("pattern")) if isinstance(item, dict) else None


def _tried(
    derived: Derived, app_text: str, role: Role, path: Path, value: Any, kept: list[str], dropped: list[str]
) -> Derived:
    platform, operator = copy.deepcopy(derived.platform), copy.deepcopy(derived.operator)
    table: Any = platform if role is Role.PLATFORM else operator
    for step in path[:-1]:
        table = table[step]
    was, table[path[-1]] = table[path[-1]], value
    with_it = Derived(platform, operator, derived.reasons)
    try:
        judged = judge(with_it, app_text)
    except (ValueError, TypeError) as fault:  # a value that cannot be written, as NaN
        dropped.append(f"{dotted(path)} = {value!r}: {fault}; {was!r} is in force")
        return derived
    wrong = [item for item in judged.findings if item.severity is Severity.ERROR]
    if wrong:
        dropped.append(f"{dotted(path)} = {value!r}: {wrong[0].rule}: {wrong[0].says}; {was!r} is in force")
        return derived
    kept.append(f"{dotted(path)} = {value!r}, by hand; derived is {was!r}")
    return with_it


def judge(derived: Derived, app_text: str) -> Judged:
    """The checks on what is derived, as on files."""
    operator = read_toml(OPERATOR_NAME, derived.operator_text) if derived.operator is not None else None
    bundle = Bundle(
        str(derived.platform["name"]),
        platform=read_json(PLATFORM_NAME, derived.platform_text),
        operator=operator,
        app=read_toml(APP_NAME, app_text),
    )
    return judge_bundle(bundle, {})


# TOML, for what an operator's file holds


def toml(root: dict[str, Any]) -> str:
    """Tables, arrays of tables, and inline values below them; the order is the value's own."""
    lines = ["# Written by `python -m anisestair config generate`; `config explain FIELD` gives the reasons."]
    for name, table in root.items():
        lines += ["", f"[{name}]"]
        arrays = {}
        for key, value in table.items():
            if isinstance(value, list) and value and isinstance(value[0], dict) and key == "methods":
                arrays[key] = value
            else:
                lines.append(f"{key} = {_inline(value)}")
        for key, items in arrays.items():
            for item in items:
                lines += [
                    "",
                    f"[[{name}.{key}]]",
                    *(f"{word} = {_inline(value)}" for word, value in item.items()),
                ]
    return "\n".join(lines) + "\n"


def _inline(value: Any) -> str:
    if isinstance(value, list):
        return f"[{', '.join(map(_inline, value))}]"
    if isinstance(value, dict):
        return "{" + ", ".join(f"{json.dumps(key)} = {_inline(item)}" for key, item in value.items()) + "}"
    # A JSON text in quotes is a basic string of TOML, but for DEL, which only JSON takes as it is.
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
