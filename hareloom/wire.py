"""The simulator's text protocol: parses lines into events and formats actions as lines. No decisions."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from hareloom import interface as api


class WireError(Exception):
    """A line that cannot be parsed."""


EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
STATES = {
    "Ready": api.ServerState.READY,
    "Terminating": api.ServerState.DRAINING,
    "Gone": api.ServerState.GONE,
}
LIST_KINDS = {
    "total": api.ListKind.FULL,
    "incr": api.ListKind.DELTA,
    "warm_copy": api.ListKind.CACHED,
    "lost": api.ListKind.LOST,
}
OUTCOMES = {item.value: item for item in api.Outcome}
TRUE, FALSE = "1", "0"


def fields_of(line: str, text_field: str = "") -> dict[str, str]:
    """Returns the name=value pairs of a line; the value of ``text_field`` extends to the end of the line."""
    fields: dict[str, str] = {}
    rest = line.partition(" ")[2]
    while rest:
        name, equals, value = rest.partition("=")
        if not equals or not name or " " in name:
            raise WireError(f"not a name=value pair: {rest.split(' ', 1)[0]!r}")
        if name == text_field:
            fields[name] = value
            return fields
        fields[name], _, rest = value.partition(" ")
    return fields


def required(fields: dict[str, str], name: str) -> str:
    """Returns a field. Raises WireError if it is missing."""
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"field {name!r} is missing") from None


def number(text: str, name: str) -> float:
    """Parses a finite number. Raises WireError naming the field, as the functions below do."""
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"field {name!r} is not a number: {text!r}") from None
    if value != value or value in (float("inf"), float("-inf")):
        raise WireError(f"field {name!r} is not a finite number: {text!r}")
    return value


def integer(text: str, name: str) -> int:
    """Parses an integer."""
    try:
        return int(text)
    except ValueError:
        raise WireError(f"field {name!r} is not a whole number: {text!r}") from None


def boolean(text: str, name: str) -> bool:
    """Parses 1 or 0."""
    if text in (TRUE, FALSE):
        return text == TRUE
    raise WireError(f"field {name!r} is neither 1 nor 0: {text!r}")


def lookup(table: Mapping[Any, Any], text: str | int, name: str) -> Any:
    """Returns the table's value for a field's text."""
    try:
        return table[text]
    except KeyError:
        raise WireError(f"field {name!r} has an unknown value: {text!r}") from None


def parse_entry(line: str) -> api.ServerEntry:
    """Parses a line with one entry of a server list."""
    fields = fields_of(line)
    started = number(fields.get("boot-time-ms", "0"), "boot-time-ms")
    return api.ServerEntry(
        server=required(fields, "upstream"),
        state=lookup(STATES, fields.get("condition", "Ready"), "condition"),
        zone=fields.get("hall", ""),
        cell=integer(fields.get("group", "0"), "group"),
        kind=fields.get("hw", ""),
        size=number(fields.get("rating", "1"), "rating"),
        started_at=started or None,
    )


def parse_event(keyword: str, line: str, lists: dict[int, tuple[api.ServerEntry, ...]]) -> api.Event | None:
    """Parses an event; returns None for a kind of event that the Balancer does not use."""
    fields = fields_of(line)
    if keyword == "ASK":
        hint = fields.get("work-ms")
        return api.Request(
            request=required(fields, "msg-id"),
            klass=required(fields, "profile"),
            deadline=number(required(fields, "not-after-ms"), "not-after-ms"),
            cost_ms=None if hint is None else number(hint, "work-ms"),
            retry=boolean(fields.get("is-retry", FALSE), "is-retry"),
        )
    if keyword == "RETURNED":
        return api.AttemptEnded(
            request=required(fields, "msg-id"),
            attempt=integer(required(fields, "copy"), "copy"),
            outcome=lookup(OUTCOMES, required(fields, "status"), "status"),
            latency_ms=number(fields.get("took-ms", "0"), "took-ms"),
            closed=boolean(fields.get("no-more", FALSE), "no-more"),
        )
    if keyword == "WAKE":
        return api.Timer(integer(required(fields, "tag"), "tag"))
    if keyword == "SYNC":
        kind = lookup(LIST_KINDS, required(fields, "kind"), "kind")
        version = integer(fields.get("index", "0"), "index")
        if kind is api.ListKind.LOST:
            return api.ServerList(kind, version)
        return api.ServerList(kind, version, lookup(lists, integer(required(fields, "ref"), "ref"), "ref"))
    if keyword == "ABANDONED":
        return api.ClientGone(required(fields, "msg-id"))
    if keyword == "FIRST":
        return api.StreamStarted(
            request=required(fields, "msg-id"),
            attempt=integer(required(fields, "copy"), "copy"),
            latency_ms=number(fields.get("took-ms", "0"), "took-ms"),
        )
    if keyword == "PROBED":
        return api.ProbeEnded(
            server=required(fields, "upstream"),
            outcome=lookup(OUTCOMES, required(fields, "status"), "status"),
            latency_ms=number(fields.get("took-ms", "0"), "took-ms"),
        )
    if keyword == "FROM_PEER":
        return None
    raise WireError(f"unknown message {keyword!r}")


def format_action(item: api.Action) -> str:
    """Formats an action as a line."""
    if isinstance(item, api.Send):
        return f"SEND msg-id={item.request} upstream={item.server} within-ms={item.timeout_ms:.3f}"
    if isinstance(item, api.SetTimer):
        return f"SET_ALARM span-ms={item.delay_ms:.3f} tag={item.token}"
    if isinstance(item, api.Cancel):
        return f"WITHDRAW msg-id={item.request} copy={item.attempt}"
    if isinstance(item, api.Refuse):
        return f"DENY msg-id={item.request} backoff-ms={item.retry_after_ms:.3f}"
    if isinstance(item, api.Fail):
        return f"ABORT msg-id={item.request}"
    if isinstance(item, api.Probe):
        return f"PING upstream={item.server}"
    return f"KEEP_INFORMED on={TRUE}"


def cpu_budget(value: Any) -> float:
    """Returns a CPU limit, or 0 for no limit if the value is unusable; `config check` reports that."""
    usable = isinstance(value, (int, float)) and 0.0 <= value < 1e15
    return float(value) if usable else 0.0


def parse_settings(text: str) -> api.Settings:
    """Parses the settings from JSON, ignoring unknown fields. Raises WireError."""
    try:
        config = json.loads(text)
        limits, rules = config.get("limits", {}), config.get("rules", {})
        default_rules, default_limits = api.Rules(), api.Limits()
        return api.Settings(
            classes=tuple(
                api.RequestClass(
                    name=item["name"],
                    aim_ms=float(item["promise-ms"]),
                    deadline_ms=float(item["give-up-ms"]),
                    worth=float(item.get("importance", 1.0)),
                    late_worth=float(item.get("late-share", 0.0)),
                    effect=EFFECTS[item.get("idempotency", "single_shot")],
                    group=api.Group(item.get("key-scope", "all")),
                    window_ms=float(item.get("window-ms", 0.0)),
                )
                for item in config["classes"]
            ),
            peers=max(int(config.get("peers-total", 1)), 1),
            me=max(int(config.get("me", -1)), -1),
            zone=config.get("locality", ""),
            asks_for_list=config.get("discovery", "push") == "ask",
            sized=config.get("weight-source", "silent") in ("nominal", "rough"),
            limits=api.Limits(
                max_attempts=int(limits.get("max-attempts", 1)),
                may_cancel=bool(limits.get("may-cancel", False)),
                second_copies=bool(limits.get("second-copies", False)),
                may_probe=bool(limits.get("probing", False)),
                max_retry_after_ms=(
                    float(limits.get("max-retry-after-ms", 0.0)) if limits.get("retry-after", False) else 0.0
                ),
                connect_timeout_ms=float(limits.get("connect-timeout-ms", default_limits.connect_timeout_ms)),
                idle_ms=float(limits.get("keepalive-ms", default_limits.idle_ms)),
                cpu_us_per_s=cpu_budget(limits.get("cpu-us-per-s")),
                cpu_us_per_request=cpu_budget(limits.get("cpu-us-per-request")),
            ),
            rules=api.Rules(
                answer_slack_ms=float(rules.get("answer-slack-ms", default_rules.answer_slack_ms)),
                drain_grace_ms=float(rules.get("drain-grace-ms", default_rules.drain_grace_ms)),
                ask_within_ms=float(rules.get("ask-within-ms", default_rules.ask_within_ms)),
                cold_from=float(rules.get("cold-from", default_rules.cold_from)),
                cold_ms=float(rules.get("cold-ms", default_rules.cold_ms)),
                fall_multiple=float(rules.get("tip-multiple", default_rules.fall_multiple)),
                fall_ms=float(rules.get("overload-for-ms", default_rules.fall_ms)),
            ),
            tick_ms=float(config.get("tick-ms", 1.0)),
            worst_class_weight=float(config.get("scoring-mix", {}).get("worst-class", 0.0)),
            cross_zone_price=float(config.get("tariffs", {}).get("cross-zone", 0.0)),
            by_work=config.get("worth-by", "request") == "work",
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as error:  # OverflowError: an integer field of 1e400
        raise WireError(f"field 'config' cannot be used: {type(error).__name__}: {error}") from None
