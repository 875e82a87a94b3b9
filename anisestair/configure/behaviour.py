"""What a change of configuration changes in behaviour: not which lines, but what calls will meet. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from anisestair.configure import sizing
from anisestair.configure.judge_app import LOOSER, WIDER, Judged, meaning_of
from hareloom.interface import Effect, RequestClass, Settings

ALIKE = 1e-9


class Turn(Enum):
    """Which way a change goes, as operators would take it."""

    RISK = "risk"  # a rule is held less strictly, or by less room
    SAFER = "safer"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Change:
    turn: Turn
    says: str


def changes(old: Judged, new: Judged) -> list[Change]:
    """From one effective configuration to another, risks first. Of one that would not start, only that."""
    if old.config is None or new.config is None:
        which = "new" if new.config is None else "old"
        return [Change(Turn.RISK, f"the {which} configuration is not one that a sidecar starts with")]
    found = [
        *_classes(old.config.settings, new.config.settings),
        *_methods(old, new),
        *_settings(old.config.settings, new.config.settings),
        *_room(old, new),
    ]
    order = list(Turn)
    return sorted(found, key=lambda item: order.index(item.turn))


def _differs(old: float, new: float) -> bool:
    return abs(old - new) > ALIKE


def _classes(old: Settings, new: Settings) -> list[Change]:
    before, after = ({item.name: item for item in each.classes} for each in (old, new))
    found = [
        Change(Turn.RISK, f"calls of class {name!r} are no longer taken")
        for name in before
        if name not in after
    ]
    found += [
        Change(Turn.OTHER, f"calls of class {name!r} are taken") for name in after if name not in before
    ]
    for name in before.keys() & after.keys():
        found += _class(before[name], after[name])
    return sorted(found, key=lambda item: item.says)


def _class(old: RequestClass, new: RequestClass) -> list[Change]:
    found: list[Change] = []
    calls = f"calls of class {new.name!r}"
    if LOOSER[new.effect] > LOOSER[old.effect]:
        where = {
            Effect.KEYED: f"for {new.window_ms:g} ms, in one {new.group.value} whose servers drop repeats",
            Effect.SAFE: "as often as attempts allow, at any server",
            Effect.UNSAFE: "",
        }
        found.append(Change(Turn.RISK, f"{calls} may now run twice: they are sent again {where[new.effect]}"))
    elif LOOSER[new.effect] < LOOSER[old.effect]:
        once = new.effect is Effect.UNSAFE
        says = (
            "are never sent again once they may have run" if once else "are sent again only under their key"
        )
        found.append(Change(Turn.SAFER, f"{calls} {says}"))
    elif new.effect is Effect.KEYED:
        if WIDER[new.group.value] != WIDER[old.group.value]:
            wider = WIDER[new.group.value] > WIDER[old.group.value]
            says = f"{calls} are sent again within one {new.group.value}, no longer one {old.group.value}"
            says += "; where servers do not know the key they may now run twice" if wider else ""
            found.append(Change(Turn.RISK if wider else Turn.SAFER, says))
        if _differs(old.window_ms, new.window_ms):
            longer = new.window_ms > old.window_ms
            says = f"{calls} are sent again for {new.window_ms:g} ms, not {old.window_ms:g}"
            says += "; where servers remember for less they may now run twice" if longer else ""
            found.append(Change(Turn.RISK if longer else Turn.SAFER, says))
    if _differs(old.deadline_ms, new.deadline_ms):
        longer = new.deadline_ms > old.deadline_ms
        says = f"{calls} are given up after {new.deadline_ms:g} ms, not {old.deadline_ms:g}"
        found.append(Change(Turn.OTHER if longer else Turn.RISK, says))
    if _differs(old.aim_ms, new.aim_ms):
        found.append(Change(Turn.OTHER, f"{calls} are promised within {new.aim_ms:g} ms, not {old.aim_ms:g}"))
    if _differs(old.worth, new.worth) or _differs(old.late_worth, new.late_worth):
        found.append(Change(Turn.OTHER, f"{calls} have another worth, and another place in an overload"))
    return found


def _methods(old: Judged, new: Judged) -> list[Change]:
    """Methods by the class that takes them, whatever the order and the patterns."""
    tables = [item.operator.rpc if item.operator is not None else None for item in (old, new)]
    if tables[0] is None or tables[1] is None:
        if tables[0] is tables[1]:
            return []
        on = tables[1] is not None
        says = "MessagePack-RPC is " + ("listened for" if on else "no longer listened for")
        return [Change(Turn.OTHER if on else Turn.RISK, says)]
    assert old.config is not None and new.config is not None
    found = []
    try:
        before, after = meaning_of(old.config, tables[0]), meaning_of(new.config, tables[1])
    except ValueError as fault:
        return [Change(Turn.RISK, f"the patterns of methods contradict the classes: {fault}")]
    effects = [
        {item.name: item for item in each.config.settings.classes} for each in (old, new) if each.config
    ]
    names = {
        item.pattern.removesuffix("*") for table in tables if table is not None for item in table.methods
    }
    for name in sorted(names):
        was, now = before.rule(name.encode()), after.rule(name.encode())
        if was is None and now is not None:
            found.append(Change(Turn.OTHER, f"calls of {name!r} are taken, as class {now.klass!r}"))
        elif was is not None and now is None:
            found.append(Change(Turn.RISK, f"calls of {name!r} are no longer taken"))
        elif was is not None and now is not None and was.klass != now.klass:
            one, two = effects[0][was.klass].effect, effects[1][now.klass].effect
            says = f"calls of {name!r} are of class {now.klass!r}, not {was.klass!r}"
            if LOOSER[two] > LOOSER[one]:
                found.append(Change(Turn.RISK, f"{says}: they may now run twice"))
            else:
                found.append(Change(Turn.SAFER if LOOSER[two] < LOOSER[one] else Turn.OTHER, says))
    listed = [item for item in tables[1].turned_away if item not in tables[0].turned_away]
    if listed:
        says = f"calls answered {', '.join(map(repr, listed))} count as never run, and are sent again"
        found.append(Change(Turn.RISK, says))
    return found


def _settings(old: Settings, new: Settings) -> list[Change]:
    found: list[Change] = []

    def told(was: float, now: float, more: Turn, less: Turn, says: str) -> None:
        if _differs(was, now):
            found.append(Change(more if now > was else less, says.format(was=f"{was:g}", now=f"{now:g}")))

    risk, safer, other = Turn.RISK, Turn.SAFER, Turn.OTHER
    a, b = old.limits, new.limits
    told(
        old.rules.drain_grace_ms,
        new.rules.drain_grace_ms,
        risk,
        safer,
        "servers drain for {now} ms, not {was}",
    )
    warm = "a server that starts gets its warmed share for {now} ms, not {was}"
    told(old.rules.cold_ms, new.rules.cold_ms, safer, risk, warm)
    cold = "a server that starts gets {now} of its share at first, not {was}"
    told(old.rules.cold_from, new.rules.cold_from, risk, safer, cold)
    peers = "the first share is that of {now} sidecars, not {was}"
    told(float(old.peers), float(new.peers), safer, risk, peers)
    told(
        float(a.max_attempts),
        float(b.max_attempts),
        other,
        risk,
        "a call has {now} attempts at the most, not {was}",
    )
    connect = "a connection that does not come up costs {now} ms, not {was}"
    told(a.connect_timeout_ms, b.connect_timeout_ms, risk, other, connect)
    idle = "idle connections to servers are kept for {now} ms, not {was}"
    told(a.idle_ms, b.idle_ms, risk, other, idle)
    back = "refused callers are told to come back within {now} ms, not {was}; 0: not told"
    told(a.max_retry_after_ms, b.max_retry_after_ms, other, risk, back)
    told(old.tick_ms, new.tick_ms, risk, safer, "timers are as late as {now} ms, not {was}")
    if a.may_cancel != b.may_cancel:
        says = (
            "attempts are given up when their call has its answer"
            if b.may_cancel
            else "attempts run to their end"
        )
        found.append(Change(Turn.OTHER, says))
    if old.asks_for_list != new.asks_for_list:
        says = (
            "discovery is asked as one service"
            if new.asks_for_list
            else "discovery is an agent on this machine"
        )
        found.append(Change(Turn.OTHER, says))
    if old.zone != new.zone:
        found.append(Change(Turn.OTHER, f"the sidecar takes itself to be in {new.zone!r}, not {old.zone!r}"))
    return found


def _room(old: Judged, new: Judged) -> list[Change]:
    assert old.config is not None and new.config is not None
    found: list[Change] = []
    was, now = (
        sizing.holds(item.config.sockets, item.operator is not None and item.operator.rpc is not None)
        for item in (old, new)
        if item.config is not None
    )
    if was != now:
        says = f"{now} connections of the application are held, not {was}"
        found.append(Change(Turn.RISK if now < was else Turn.OTHER, says))
    for what, one, two in (
        ("listens on", old.config.listen, new.config.listen),
        ("asks discovery at", old.config.discovery, new.config.discovery),
    ):
        if one != two:
            found.append(Change(Turn.OTHER, f"the sidecar {what} {two[0]}:{two[1]}, not {one[0]}:{one[1]}"))
    return found
