"""Derives a configuration from an application's description, with a reason for each value. No I/O.

The same description gives the same bytes: no value depends on a clock, the environment or chance. Values that
were edited by hand are kept if the checks find no error in them, and are reported.
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
from anisestair.configure.findings import FieldPath, Role, Severity, dotted
from anisestair.configure.judge_app import (
    APP_NAME,
    OPERATOR_NAME,
    PLATFORM_NAME,
    Bundle,
    CheckResult,
    check_bundle,
)
from anisestair.configure.source import Document, read_json, read_toml

IDEMPOTENCY_BY_REPEAT = {"never": "single_shot", "keyed": "guarded", "free": "free"}
# Connecting between data centres takes some milliseconds, and a lost first packet is retransmitted after one
# second. A timeout between the two gains nothing by being longer.
MIN_CONNECT_TIMEOUT_MS, MAX_CONNECT_TIMEOUT_MS = 20.0, 250.0
CONNECT_TIMEOUT_SHARE = 0.5  # of the shortest wanted_ms: a failed connect leaves time for another attempt
MIN_ATTEMPTS, MAX_ATTEMPTS = 2, 4  # after four failed attempts it is the fleet that is down, not a server
MAX_RETRY_AFTER_MS = 2000.0  # callers that are told to wait longer do not return
DRAIN_GRACE_MS = 2000.0  # the operators' rule
TICK_MS = 1.0  # a real sidecar handles events as they arrive; the simulator's tick is longer
CALLS_PER_CONNECTION = 32  # default of the operator's file; a lost connection ends all of its calls
MIN_CALLS_IN_HAND, MAX_CALLS_IN_HAND = 16, 4096


@dataclass(frozen=True, slots=True)
class Reason:
    """Why a field has its value; ``explanation`` includes the figures that led to it."""

    role: Role
    path: FieldPath
    value: Any
    explanation: str


@dataclass(frozen=True, slots=True)
class DerivedConfig:
    """The platform's JSON and the operator's file, as derived from a description."""

    platform: dict[str, Any]
    operator: dict[str, Any] | None
    reasons: tuple[Reason, ...]
    kept: tuple[str, ...] = ()  # edits by hand that were kept, one line each
    dropped: tuple[str, ...] = ()  # edits by hand that were not kept, with the reason

    @property
    def platform_text(self) -> str:
        """The platform's file. Raises ValueError for a value that JSON lacks, such as NaN."""
        return json.dumps(self.platform, indent=2, ensure_ascii=False, allow_nan=False) + "\n"

    @property
    def operator_text(self) -> str:
        """The operator's file; just a comment if the application needs none."""
        if self.operator is None:
            return "# The application uses HTTP only: no optional feature is enabled.\n"
        return to_toml(self.operator)


@dataclass
class _ExplainedValues:
    """Collects values and their reasons."""

    role: Role
    root: dict[str, Any] = field(default_factory=dict)
    reasons: list[Reason] = field(default_factory=list)

    def set(self, path: FieldPath, value: Any, reason: str) -> None:
        table: Any = self.root
        for index, step in enumerate(path[:-1]):
            if isinstance(table, list):
                while len(table) <= int(step):
                    table.append({})
                table = table[int(step)]
            else:
                table = table.setdefault(step, [] if isinstance(path[index + 1], int) else {})
        table[path[-1]] = value
        self.reasons.append(Reason(self.role, path, value, reason))


def derive(app: App) -> DerivedConfig:
    """Derives the configuration of an application, without regard to existing files."""
    platform = _derive_platform(app)
    operator = _derive_operator(app) if app.speaks_rpc else None
    reasons = [*platform.reasons, *(operator.reasons if operator is not None else [])]
    return DerivedConfig(platform.root, operator.root if operator is not None else None, tuple(reasons))


def _derive_platform(app: App) -> _ExplainedValues:
    values = _ExplainedValues(Role.PLATFORM)
    required, fleet, calls = sizing.requirements(app), app.fleet, app.calls
    values.set(("name",), app.name, "the application's name")
    values.set(("listen",), app.listen.http, "listen.http: where the application connects")
    values.set(("discovery",), app.listen.discovery, "listen.discovery")
    seed = hashlib.sha256(f"{app.member}/{app.name}".encode()).hexdigest()[:16]
    values.set(("seed",), seed, "from member and name: different for each sidecar, and always the same")
    values.set(("limits", "cores"), app.machine.cores, "machine.cores")
    reason = f"{required.calls} calls can be in flight (bursts, rate x given_up_ms); "
    reason += (
        f"a sidecar takes {sizing.BASE_MEMORY_MB:g} MB,"
        f" each call its bodies twice and {sizing.CALL_OVERHEAD_BYTES // 1024} KiB: "
    )
    reason += f"at least {required.memory_mb:g} MB; the machine has {app.machine.memory_mb:g}"
    values.set(("limits", "memory_mb"), app.machine.memory_mb, reason)
    parts = 4 if app.speaks_rpc else 2
    reason = f"{required.calls} calls in flight x {parts} (connections of the application and to upstreams"
    reason += ", each of two protocols" if app.speaks_rpc else ""
    reason += (
        f") + {sizing.RESERVED_DESCRIPTORS}, in steps of {sizing.DESCRIPTOR_STEP}:"
        f" at least {required.descriptors}; "
    )
    reason += f"the machine has {app.machine.descriptors}"
    values.set(("limits", "sockets"), min(app.machine.descriptors, max(required.descriptors, 256)), reason)
    reason = "empty: discovery reports the servers, and the platform fills in the last known list"
    values.set(("known",), {"seq": 0, "whole": True, "hosts": []}, reason)
    for number, call in enumerate(calls):

        def at(name: str, number: int = number) -> FieldPath:
            return ("settings", "classes", number, name)

        values.set(at("name"), call.name, "the call's name")
        values.set(at("promise-ms"), call.wanted_ms, "wanted_ms of the call")
        values.set(
            at("give-up-ms"), call.given_up_ms, "given_up_ms of the call: later answers reach no caller"
        )
        values.set(at("importance"), call.importance, "importance of the call")
        values.set(at("late-share"), call.late_worth, "late_worth of the call")
        reasons = {
            "never": "repeat is never: not retried once it may have run",
            "keyed": "repeat is keyed: retried only at servers that know its key, while they remember it",
            "free": "repeat is free: running twice is harmless",
        }
        values.set(at("idempotency"), IDEMPOTENCY_BY_REPEAT[call.repeat], reasons[call.repeat])
        if call.repeat == "keyed":
            values.set(
                at("key-scope"),
                call.remembered_by,
                "remembered_by of the call: only servers that know its key",
            )
            window_reason = f"remembers_ms of the call, {call.remembers_ms:g}: while servers remember its key"
            values.set(at("window-ms"), call.remembers_ms, window_reason)
    _derive_fleet_settings(app, values)
    wanted, given_up = min(c.wanted_ms for c in calls), min(c.given_up_ms for c in calls)
    connect_timeout = float(
        math.floor(
            min(
                max(CONNECT_TIMEOUT_SHARE * wanted, MIN_CONNECT_TIMEOUT_MS),
                MAX_CONNECT_TIMEOUT_MS,
                given_up / 2,
            )
        )
    )
    connect_timeout = max(connect_timeout, 3.0)
    reason = f"{CONNECT_TIMEOUT_SHARE:g} of the shortest wanted_ms, {wanted:g}, "
    reason += f"between {MIN_CONNECT_TIMEOUT_MS:g} and {MAX_CONNECT_TIMEOUT_MS:g}: "
    reason += "one failed connection leaves time for another attempt"
    values.set(("settings", "limits", "connect-timeout-ms"), connect_timeout, reason)
    reason = f"fleet.idle_ms, {fleet.idle_ms:g}: servers close connections that are idle for longer"
    values.set(("settings", "limits", "keepalive-ms"), fleet.idle_ms, reason)
    attempts = min(max(int(given_up / (2.0 * connect_timeout)), MIN_ATTEMPTS), MAX_ATTEMPTS)
    reason = (
        f"as many as fit the shortest given_up_ms, {given_up:g},"
        f" at twice the connect timeout, {connect_timeout:g}; "
    )
    reason += (
        f"{MIN_ATTEMPTS} to {MAX_ATTEMPTS}. A call that must not run twice is retried only if it did not run"
    )
    values.set(("settings", "limits", "max-attempts"), attempts, reason)
    values.set(("settings", "limits", "may-cancel"), True, "an attempt whose caller has gone is cancelled")
    values.set(("settings", "limits", "second-copies"), False, "one attempt at a time: both of two might run")
    values.set(
        ("settings", "limits", "probing"), False, "servers are measured by the application's own calls"
    )
    values.set(("settings", "limits", "retry-after"), True, "refused callers are told when to retry")
    retry_after = max(10.0, float(math.floor(min(MAX_RETRY_AFTER_MS, max(c.given_up_ms for c in calls)))))
    reason = (
        f"the longest given_up_ms, at most {MAX_RETRY_AFTER_MS:g}: callers told to wait longer do not return"
    )
    values.set(("settings", "limits", "max-retry-after-ms"), retry_after, reason)
    return values


def _derive_fleet_settings(app: App, values: _ExplainedValues) -> None:
    """Settings that depend on the fleet of servers and sidecars."""
    fleet = app.fleet
    values.set(("settings", "discovery"), fleet.discovery, "fleet.discovery")
    reason = (
        f"fleet.sidecars, {fleet.sidecars}: that many sidecars initially share the {fleet.servers} servers"
    )
    values.set(("settings", "peers-total"), fleet.sidecars, reason)
    if app.data_centre:
        values.set(("settings", "locality"), app.data_centre, "data_centre")
    values.set(("settings", "tick-ms"), TICK_MS, "a real sidecar handles events as they arrive")
    values.set(("settings", "weight-source"), "nominal", "weights in discovery's list are registered sizes")
    values.set(("settings", "rules", "answer-slack-ms"), 20.0, "transit time of an answer to the caller")
    values.set(
        ("settings", "rules", "ask-within-ms"), 10_000.0, "a discovery watch is renewed well within this time"
    )
    values.set(
        ("settings", "rules", "drain-grace-ms"),
        DRAIN_GRACE_MS,
        "the operators' rule: a draining server gets nothing new after this time",
    )
    if fleet.warm_up_ms > 0:
        reason = f"fleet.cold_share, {fleet.cold_share:g}: share of its capacity that a server starts with"
        values.set(("settings", "rules", "cold-from"), fleet.cold_share, reason)
        reason = f"fleet.warm_up_ms, {fleet.warm_up_ms:g}: how long a started server gets a reduced share"
        values.set(("settings", "rules", "cold-ms"), fleet.warm_up_ms, reason)


def _derive_operator(app: App) -> _ExplainedValues:
    values = _ExplainedValues(Role.OPERATOR)
    values.set(("rpc", "listen"), app.listen.rpc, "listen.rpc: where the application connects")
    reason = "answers come in any order, and a lost connection ends all of its calls"
    values.set(("rpc", "calls_per_connection"), CALLS_PER_CONNECTION, reason)
    calls = sizing.calls_in_flight(app)
    power_of_two = 2 ** math.ceil(math.log2(max(calls, 1)))
    calls_in_hand = min(max(power_of_two, MIN_CALLS_IN_HAND), MAX_CALLS_IN_HAND)
    reason = f"{calls} calls can be in flight, all on one connection; the next power of two, "
    reason += f"{MIN_CALLS_IN_HAND} to {MAX_CALLS_IN_HAND}"
    values.set(("rpc", "calls_in_hand"), calls_in_hand, reason)
    if app.fleet.turned_away:
        reason = "fleet.turned_away: errors that servers send only before a call runs"
        values.set(("rpc", "turned_away"), list(app.fleet.turned_away), reason)
    number = 0
    for call in app.calls:
        for method in call.methods:
            path: FieldPath = ("rpc", "methods", number)
            values.set((*path, "pattern"), method, f"a method of the call {call.name!r}")
            values.set((*path, "class"), call.name, f"a method of the call {call.name!r}")
            if call.key:
                values.set((*path, "key"), list(call.key), f"key of the call {call.name!r}")
            if call.id:
                values.set((*path, "id"), list(call.id), f"id of the call {call.name!r}")
            number += 1
    return values


# Edits by hand


def derive_keeping_edits(
    app: App, app_text: str, platform: Document | None, operator: Document | None
) -> DerivedConfig:
    """Derives a configuration and keeps the values of an existing one in which the checks find no error.

    Each value is checked together with those already kept, so two values that are valid only separately are
    not both kept. Names, addresses, the seed and the server list are never kept: the description or the
    platform defines them.
    """
    derived = derive(app)
    kept: list[str] = []
    dropped: list[str] = []
    if platform is not None and platform.failure is not None:
        dropped.append(f"{platform.file}: {platform.failure.message}")
    elif platform is not None:
        for path, value in _changed_values(platform.data, derived.platform):
            derived = _keep_if_valid(derived, app_text, Role.PLATFORM, path, value, kept, dropped)
    if operator is not None and derived.operator is not None and operator.failure is None:
        for path, value in _changed_values(operator.data, derived.operator):
            derived = _keep_if_valid(derived, app_text, Role.OPERATOR, path, value, kept, dropped)
    return DerivedConfig(derived.platform, derived.operator, derived.reasons, tuple(kept), tuple(dropped))


NEVER_KEPT = {"name", "listen", "discovery", "seed", "known", "pattern", "class", "methods"}


def _changed_values(old: Any, new: Any, path: FieldPath = ()) -> Iterator[tuple[FieldPath, Any]]:
    """The values of ``old`` that differ from ``new``, for fields that both have."""
    if isinstance(old, dict) and isinstance(new, dict):
        for name in new:
            if name in old and (
                name not in NEVER_KEPT or (name == "discovery" and path) or name == "methods"
            ):
                yield from _changed_values(old[name], new[name], (*path, name))
    elif isinstance(old, list) and isinstance(new, list) and any(isinstance(item, dict) for item in new):
        named = {_element_name(item): item for item in old if isinstance(item, dict)}
        for number, item in enumerate(new):
            if _element_name(item) in named:
                yield from _changed_values(named[_element_name(item)], item, (*path, number))
    elif old != new or isinstance(old, bool) != isinstance(new, bool):  # 1 == True
        yield path, old


def _element_name(item: Any) -> Any:
    return item.get("name", item.get("pattern")) if isinstance(item, dict) else None


def _keep_if_valid(
    derived: DerivedConfig,
    app_text: str,
    role: Role,
    path: FieldPath,
    value: Any,
    kept: list[str],
    dropped: list[str],
) -> DerivedConfig:
    platform, operator = copy.deepcopy(derived.platform), copy.deepcopy(derived.operator)
    table: Any = platform if role is Role.PLATFORM else operator
    for step in path[:-1]:
        table = table[step]
    derived_value, table[path[-1]] = table[path[-1]], value
    candidate = DerivedConfig(platform, operator, derived.reasons)
    try:
        result = check_derived(candidate, app_text)
    except (ValueError, TypeError) as fault:  # a value that cannot be encoded, such as NaN
        dropped.append(f"{dotted(path)} = {value!r}: {fault}; {derived_value!r} applies")
        return derived
    errors = [item for item in result.findings if item.severity is Severity.ERROR]
    if errors:
        dropped.append(
            f"{dotted(path)} = {value!r}: {errors[0].rule}: {errors[0].message}; {derived_value!r} applies"
        )
        return derived
    kept.append(f"{dotted(path)} = {value!r}, edited; the derived value is {derived_value!r}")
    return candidate


def check_derived(derived: DerivedConfig, app_text: str) -> CheckResult:
    """Checks a derived configuration like one read from files."""
    operator = read_toml(OPERATOR_NAME, derived.operator_text) if derived.operator is not None else None
    bundle = Bundle(
        str(derived.platform["name"]),
        platform=read_json(PLATFORM_NAME, derived.platform_text),
        operator=operator,
        app=read_toml(APP_NAME, app_text),
    )
    return check_bundle(bundle, {})


# Writing TOML, as far as an operator's file needs it


def to_toml(root: dict[str, Any]) -> str:
    """Encodes tables, arrays of tables and inline values, in the order of ``root``."""
    lines = ["# Written by `python -m anisestair config generate`; `config explain FIELD` gives the reasons."]
    for name, table in root.items():
        lines += ["", f"[{name}]"]
        arrays = {}
        for key, value in table.items():
            if isinstance(value, list) and value and isinstance(value[0], dict) and key == "methods":
                arrays[key] = value
            else:
                lines.append(f"{key} = {_inline_value(value)}")
        for key, items in arrays.items():
            for item in items:
                lines += [
                    "",
                    f"[[{name}.{key}]]",
                    *(f"{word} = {_inline_value(value)}" for word, value in item.items()),
                ]
    return "\n".join(lines) + "\n"


def _inline_value(value: Any) -> str:
    if isinstance(value, list):
        return f"[{', '.join(map(_inline_value, value))}]"
    if isinstance(value, dict):
        return (
            "{" + ", ".join(f"{json.dumps(key)} = {_inline_value(item)}" for key, item in value.items()) + "}"
        )
    # A JSON string is also a basic string of TOML, except for DEL, which only JSON allows unescaped.
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
