"""Describes how behaviour changes between two configurations, by its effect on calls. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from anisestair.configure import sizing
from anisestair.configure.judge_app import GROUP_RANK, REPEAT_RANK, CheckResult, call_rules
from hareloom.interface import Effect, RequestClass, Settings

TOLERANCE = 1e-9  # values that differ by less are equal


class Impact(Enum):
    """What a change means to operators."""

    RISK = "risk"  # a rule is kept less strictly or with less margin
    SAFER = "safer"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Change:
    """One change in behaviour."""

    impact: Impact
    message: str


def describe_changes(old: CheckResult, new: CheckResult) -> list[Change]:
    """Changes between two effective configurations, risks first; just one if a configuration is invalid."""
    if old.config is None or new.config is None:
        which = "new" if new.config is None else "old"
        return [Change(Impact.RISK, f"a sidecar would not start with the {which} configuration")]
    changes = [
        *_classes_changes(old.config.settings, new.config.settings),
        *_method_changes(old, new),
        *_settings_changes(old.config.settings, new.config.settings),
        *_capacity_changes(old, new),
    ]
    order = list(Impact)
    return sorted(changes, key=lambda item: order.index(item.impact))


def _differs(old: float, new: float) -> bool:
    return abs(old - new) > TOLERANCE


def _classes_changes(old: Settings, new: Settings) -> list[Change]:
    before, after = ({item.name: item for item in settings.classes} for settings in (old, new))
    changes = [
        Change(Impact.RISK, f"calls of class {name!r} are no longer accepted")
        for name in before
        if name not in after
    ]
    changes += [
        Change(Impact.OTHER, f"calls of class {name!r} are accepted") for name in after if name not in before
    ]
    for name in before.keys() & after.keys():
        changes += _class_changes(before[name], after[name])
    return sorted(changes, key=lambda item: item.message)


def _class_changes(old: RequestClass, new: RequestClass) -> list[Change]:
    changes: list[Change] = []
    calls = f"calls of class {new.name!r}"
    if REPEAT_RANK[new.effect] > REPEAT_RANK[old.effect]:
        where = {
            Effect.KEYED: f"for {new.window_ms:g} ms, in one {new.group.value} whose servers drop repeats",
            Effect.SAFE: "up to the limit of attempts, at any server",
            Effect.UNSAFE: "",
        }
        changes.append(
            Change(Impact.RISK, f"{calls} may now run twice: they are retried {where[new.effect]}")
        )
    elif REPEAT_RANK[new.effect] < REPEAT_RANK[old.effect]:
        once = new.effect is Effect.UNSAFE
        message = "are never retried once they may have run" if once else "are retried only with their key"
        changes.append(Change(Impact.SAFER, f"{calls} {message}"))
    elif new.effect is Effect.KEYED:
        if GROUP_RANK[new.group.value] != GROUP_RANK[old.group.value]:
            wider = GROUP_RANK[new.group.value] > GROUP_RANK[old.group.value]
            message = f"{calls} are retried within one {new.group.value}, no longer one {old.group.value}"
            message += "; if servers do not know the key, they may now run twice" if wider else ""
            changes.append(Change(Impact.RISK if wider else Impact.SAFER, message))
        if _differs(old.window_ms, new.window_ms):
            longer = new.window_ms > old.window_ms
            message = f"{calls} are retried for {new.window_ms:g} ms, not {old.window_ms:g}"
            message += "; if servers forget the key earlier, they may now run twice" if longer else ""
            changes.append(Change(Impact.RISK if longer else Impact.SAFER, message))
    if _differs(old.deadline_ms, new.deadline_ms):
        longer = new.deadline_ms > old.deadline_ms
        message = f"{calls} are given up after {new.deadline_ms:g} ms, not {old.deadline_ms:g}"
        changes.append(Change(Impact.OTHER if longer else Impact.RISK, message))
    if _differs(old.aim_ms, new.aim_ms):
        changes.append(
            Change(
                Impact.OTHER, f"{calls} are promised an answer within {new.aim_ms:g} ms, not {old.aim_ms:g}"
            )
        )
    if _differs(old.worth, new.worth) or _differs(old.late_worth, new.late_worth):
        changes.append(
            Change(Impact.OTHER, f"{calls} have a different worth, and a different priority in an overload")
        )
    return changes


def _method_changes(old: CheckResult, new: CheckResult) -> list[Change]:
    """Compares methods by the class that they get, whatever the patterns and their order."""
    tables = [item.operator.rpc if item.operator is not None else None for item in (old, new)]
    if tables[0] is None or tables[1] is None:
        if tables[0] is tables[1]:
            return []
        on = tables[1] is not None
        message = "MessagePack-RPC is " + ("enabled" if on else "no longer enabled")
        return [Change(Impact.OTHER if on else Impact.RISK, message)]
    assert old.config is not None and new.config is not None
    changes = []
    try:
        old_rules, new_rules = call_rules(old.config, tables[0]), call_rules(new.config, tables[1])
    except ValueError as fault:
        return [Change(Impact.RISK, f"the method patterns contradict the classes: {fault}")]
    effects = [
        {item.name: item for item in each.config.settings.classes} for each in (old, new) if each.config
    ]
    names = {
        item.pattern.removesuffix("*") for table in tables if table is not None for item in table.methods
    }
    for name in sorted(names):
        old_rule, new_rule = old_rules.rule(name.encode()), new_rules.rule(name.encode())
        if old_rule is None and new_rule is not None:
            changes.append(
                Change(Impact.OTHER, f"calls of {name!r} are accepted, as class {new_rule.klass!r}")
            )
        elif old_rule is not None and new_rule is None:
            changes.append(Change(Impact.RISK, f"calls of {name!r} are no longer accepted"))
        elif old_rule is not None and new_rule is not None and old_rule.klass != new_rule.klass:
            old_effect, new_effect = effects[0][old_rule.klass].effect, effects[1][new_rule.klass].effect
            message = f"calls of {name!r} are of class {new_rule.klass!r}, not {old_rule.klass!r}"
            if REPEAT_RANK[new_effect] > REPEAT_RANK[old_effect]:
                changes.append(Change(Impact.RISK, f"{message}: they may now run twice"))
            else:
                changes.append(
                    Change(
                        Impact.SAFER if REPEAT_RANK[new_effect] < REPEAT_RANK[old_effect] else Impact.OTHER,
                        message,
                    )
                )
    listed = [item for item in tables[1].turned_away if item not in tables[0].turned_away]
    if listed:
        message = (
            f"calls answered with {', '.join(map(repr, listed))} are treated as not run, and are retried"
        )
        changes.append(Change(Impact.RISK, message))
    return changes


def _settings_changes(old: Settings, new: Settings) -> list[Change]:
    changes: list[Change] = []

    def compare(old_value: float, new_value: float, more: Impact, less: Impact, message: str) -> None:
        if _differs(old_value, new_value):
            changes.append(
                Change(
                    more if new_value > old_value else less,
                    message.format(old=f"{old_value:g}", new=f"{new_value:g}"),
                )
            )

    risk, safer, other = Impact.RISK, Impact.SAFER, Impact.OTHER
    old_limits, new_limits = old.limits, new.limits
    compare(
        old.rules.drain_grace_ms,
        new.rules.drain_grace_ms,
        risk,
        safer,
        "servers drain for {new} ms, not {old}",
    )
    warm = "a started server gets a reduced share for {new} ms, not {old}"
    compare(old.rules.cold_ms, new.rules.cold_ms, safer, risk, warm)
    cold = "a started server gets {new} of its share at first, not {old}"
    compare(old.rules.cold_from, new.rules.cold_from, risk, safer, cold)
    peers = "the initial share is one of {new} sidecars, not {old}"
    compare(float(old.peers), float(new.peers), safer, risk, peers)
    compare(
        float(old_limits.max_attempts),
        float(new_limits.max_attempts),
        other,
        risk,
        "a call has at most {new} attempts, not {old}",
    )
    connect = "a failed connection attempt costs up to {new} ms, not {old}"
    compare(old_limits.connect_timeout_ms, new_limits.connect_timeout_ms, risk, other, connect)
    idle = "idle connections to servers are kept for {new} ms, not {old}"
    compare(old_limits.idle_ms, new_limits.idle_ms, risk, other, idle)
    retry_after = "refused callers are told to retry within {new} ms, not {old}; 0: not told"
    compare(old_limits.max_retry_after_ms, new_limits.max_retry_after_ms, other, risk, retry_after)
    compare(old.tick_ms, new.tick_ms, risk, safer, "timers are up to {new} ms late, not {old}")
    if old_limits.may_cancel != new_limits.may_cancel:
        message = (
            "attempts are cancelled when their call is answered"
            if new_limits.may_cancel
            else "attempts are never cancelled"
        )
        changes.append(Change(Impact.OTHER, message))
    if old.asks_for_list != new.asks_for_list:
        message = (
            "discovery is queried as a shared service"
            if new.asks_for_list
            else "discovery is an agent on this machine"
        )
        changes.append(Change(Impact.OTHER, message))
    if old.zone != new.zone:
        changes.append(Change(Impact.OTHER, f"the sidecar's location is {new.zone!r}, not {old.zone!r}"))
    return changes


def _capacity_changes(old: CheckResult, new: CheckResult) -> list[Change]:
    assert old.config is not None and new.config is not None
    changes: list[Change] = []
    before, after = (
        sizing.client_connections(
            item.config.sockets, item.operator is not None and item.operator.rpc is not None
        )
        for item in (old, new)
        if item.config is not None
    )
    if before != after:
        message = f"{after} connections of the application are accepted, not {before}"
        changes.append(Change(Impact.RISK if after < before else Impact.OTHER, message))
    for action, old_address, new_address in (
        ("listens on", old.config.listen, new.config.listen),
        ("queries discovery at", old.config.discovery, new.config.discovery),
    ):
        if old_address != new_address:
            changes.append(
                Change(
                    Impact.OTHER,
                    f"the sidecar {action} {new_address[0]}:{new_address[1]},"
                    f" not {old_address[0]}:{old_address[1]}",
                )
            )
    return changes
