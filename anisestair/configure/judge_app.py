"""Checks on an application's whole configuration, against what its owner describes. No I/O.

The description says what calls are, so that a sale is found under whatever name or indirection: the effect of
its class, the pattern that takes its method, a group or a window that is wider than what servers remember.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from anisestair.configure import judge, known_fields, sizing
from anisestair.configure.description import App, Call, Fleet, Listen, Machine
from anisestair.configure.description import convert as convert_app
from anisestair.configure.effective import Config
from anisestair.configure.findings import Finding, Path, Role, Severity, error, warning
from anisestair.configure.operator_tables import MethodTable, OperatorConfig, RpcTable
from anisestair.configure.source import Document
from anisestair.endpoints import address
from hareloom.interface import Effect, RequestClass

if TYPE_CHECKING:  # loaded where there is an operator's file: most applications have none
    from anisestair.rpc.meaning import CallRules, Rule

# The usual names of an application's files, in a folder of its own.
PLATFORM_NAME, OPERATOR_NAME, APP_NAME = "config.json", "sidecar.toml", "app.toml"

REPEATS = {"never": Effect.UNSAFE, "keyed": Effect.KEYED, "free": Effect.SAFE}
# The tables of each text, for the nearest name of a misspelt field.
APP, OPERATOR = (App, Call, Fleet, Listen, Machine), (OperatorConfig, RpcTable, MethodTable)

LOOSER = {Effect.UNSAFE: 0, Effect.KEYED: 1, Effect.SAFE: 2}
WIDER = {"cell": 0, "zone": 1, "all": 2}


@dataclass(frozen=True, slots=True)
class Bundle:
    """The texts of one application's configuration; those that it has."""

    name: str
    platform: Document | None = None
    operator: Document | None = None
    app: Document | None = None
    environment: Document | None = None

    def document(self, role: Role) -> Document | None:
        return {
            Role.PLATFORM: self.platform,
            Role.OPERATOR: self.operator,
            Role.APP: self.app,
            Role.ENVIRONMENT: self.environment,
        }[role]


@dataclass(frozen=True, slots=True)
class Judged:
    """What was found, and what a sidecar would really use, where it would start."""

    bundle: Bundle
    findings: tuple[Finding, ...]
    config: Config | None = None
    operator: OperatorConfig | None = None
    app: App | None = None

    @property
    def errors(self) -> list[Finding]:
        return [item for item in self.findings if item.severity is Severity.ERROR]


def judge_bundle(bundle: Bundle, environ: Mapping[str, str]) -> Judged:
    """``environ``: the variables that a sidecar would see, of the bundle's own file or the caller's."""
    found: list[Finding] = []
    config = operator = app = None
    if (own := bundle.environment) is not None:
        if own.flaw is not None:
            would = "the variables after it do not reach the sidecar"
            found.append(error("unreadable", Role.ENVIRONMENT, (), own.flaw.says, would, "correct the line"))
        else:
            found += judge.repeated(own, Role.ENVIRONMENT)
            found += _leads(own, bundle.platform)
    if bundle.platform is not None:
        more, config = judge.platform(bundle.platform, environ)
        found += more
    if bundle.operator is not None:
        more, operator = operator_file(bundle.operator)
        found += more
    if bundle.app is not None:
        more, app = description(bundle.app)
        found += more
    if config is not None and operator is not None and operator.rpc is not None:
        found += rpc(config, operator.rpc, app)
    if config is not None and app is not None:
        found = _by_description(found, app)
        found += against(app, config, operator, environ)
    return Judged(bundle, tuple(_once(found)), config, operator, app)


def _once(found: list[Finding]) -> list[Finding]:
    """One finding of a rule at a field: a second way to see the same is no second mistake."""
    kept: dict[tuple[str, Role, Path], Finding] = {}
    for item in found:
        kept.setdefault((item.rule, item.role, item.path), item)
    return list(kept.values())


def _by_description(found: list[Finding], app: App) -> list[Finding]:
    """What was judged without the description, and where it says that nothing is owed."""
    if app.sells and app.fleet.warm_up_ms > 0 and app.fleet.cold_share < 1.0:
        return found
    return [item for item in found if item.rule != "cold-start"]


def _leads(own: Document, platform: Document | None) -> list[Finding]:
    named = own.data.get("BALANCER_CONFIG", "")
    if not named or platform is None:
        return []
    if named.replace("\\", "/").rpartition("/")[2] == platform.file.replace("\\", "/").rpartition("/")[2]:
        return []
    says = f"names {named!r}, and {platform.file!r} is what is checked"
    would = "the sidecar reads another file than the one that was judged"
    mend = "name the checked file, or check the named one"
    return [error("environment", Role.ENVIRONMENT, ("BALANCER_CONFIG",), says, would, mend)]


def _typed(
    document: Document, role: Role, fault: msgspec.ValidationError, would: str, structs: tuple[type, ...]
) -> Finding:
    """A msgspec fault, "what - at `$.path[0].field`", as a finding."""
    known = _fields(*structs)
    said, _, where = str(fault).partition(" - at `$")
    path: list[str | int] = []
    for part in where.rstrip("`").replace("[", ".[").split("."):
        if part.startswith("["):
            if part[1:-1].isdigit():
                path.append(int(part[1:-1]))
            elif part == "[...]":
                path += _element(document, tuple(path), said)
        elif part:
            path.append("class" if part == "klass" else part)
    rule, mend = "wrong-type", "write the type that is meant"
    if said.startswith("Object contains unknown field"):
        name = said.split("`")[1]
        path.append(name)
        near = known_fields.nearest(name, known)
        rule, mend = "unknown-field", f"write {near!r}" if near else "leave it out"
        said = f"unknown field; nearest is {near!r}" if near else "unknown field"
    elif "missing required" in said:
        rule, mend = "refused-start", f"add {said.split('`')[1]!r}"
    elif "Invalid enum value" in said:
        rule, mend = "unknown-value", "write one of the values that the schema lists"
    elif "Expected `float` >" in said or "Expected `int` >" in said or "<= " in said or ">= " in said:
        rule, mend = "out-of-range", "write a value within the range"
    elif said and not said.startswith("Expected"):
        first = said.partition(":")[0]
        numbers = _calls_named(document, said)
        if first.replace("_", "").isalpha() and first in known:
            path += [first, *numbers]
        rule, mend = "contradiction", "make the two agree"
    return error(rule, role, tuple(path), said, would, mend)


def _calls_named(document: Document, said: str) -> list[int]:
    """The place in `calls` of the one that a description's own words are about."""
    if not said.startswith("calls: "):
        return []
    names = [call["name"] for call in document.data["calls"]]
    if said.endswith("share a name"):
        return [next(n for n, name in enumerate(names) if name in names[:n])]
    return [names.index(said.split()[1])]


def _element(document: Document, path: Path, said: str) -> list[int]:
    """msgspec names no element of a tuple of any length; the one at fault is the first that fails alone."""
    value = document.data
    for step in path:
        value = value[step]
    kind: type = Call if path == ("calls",) else MethodTable
    for number, item in enumerate(value):
        try:
            msgspec.convert(item, kind)
        except msgspec.ValidationError as fault:
            if str(fault).partition(" - at ")[0] == said:
                return [number]
    return []


def _fields(*structs: type) -> list[str]:
    return [field.encode_name for struct in structs for field in msgspec.structs.fields(struct)]


def operator_file(document: Document) -> tuple[list[Finding], OperatorConfig | None]:
    if document.flaw is not None:
        return [
            error("unreadable", Role.OPERATOR, (), document.flaw.says, known_fields.REFUSED, "write it anew")
        ], None
    try:
        return [], msgspec.convert(document.data, OperatorConfig)
    except msgspec.ValidationError as fault:
        return [_typed(document, Role.OPERATOR, fault, known_fields.REFUSED, OPERATOR)], None


def description(document: Document) -> tuple[list[Finding], App | None]:
    would = "nothing can be derived from the description, or judged by it"
    if document.flaw is not None:
        return [error("unreadable", Role.APP, (), document.flaw.says, would, "write it anew")], None
    try:
        app = convert_app(document.data)
    except msgspec.ValidationError as fault:
        return [_typed(document, Role.APP, fault, would, APP)], None
    found = []
    for number, call in enumerate(app.calls):
        if call.repeat != "never" and any(judge.names_a_sale(name) for name in (call.name, *call.methods)):
            found.append(
                error(
                    "sale-repeats",
                    Role.APP,
                    ("calls", number, "repeat"),
                    f"{call.name!r} is a sale by its name and may be sent again",
                    "a sale whose answer is lost is sold twice",
                    "write 'never', or give what is no sale another name",
                )
            )
    return found, app


def _rule(item: MethodTable) -> Rule:
    from anisestair.rpc.meaning import Rule

    return Rule(item.pattern, item.klass, item.deadline_ms, item.key, item.id, item.deadline)


def meaning_of(config: Config, table: RpcTable) -> CallRules:
    """Raises ValueError, as the sidecar's start does."""
    from anisestair.rpc.meaning import CallRules

    rules = tuple(map(_rule, table.methods))
    return CallRules(rules, table.turned_away, {item.name: item for item in config.settings.classes})


def rpc(config: Config, table: RpcTable, app: App | None) -> list[Finding]:
    """The operator's [rpc] table, with the platform's settings."""
    found: list[Finding] = []
    if (
        not table.listen.startswith("unix:")
        and address(table.listen, 0) == config.listen
        and config.listen[1]
    ):
        would = "the second listener cannot be opened, and the sidecar ends at its start"
        says = f"{table.listen} is where HTTP is listened for as well"
        found.append(
            error("contradiction", Role.OPERATOR, ("rpc", "listen"), says, would, "write another port")
        )
    try:
        meaning_of(config, table)
    except ValueError as fault:
        return [*found, _meaningless(str(fault), table)]
    classes = {item.name: item for item in config.settings.classes}
    for number, item in enumerate(table.methods):
        if judge.names_a_sale(item.pattern) and classes[item.klass].effect is not Effect.UNSAFE:
            says = f"{item.pattern!r} is a sale by its name, and class {item.klass!r} is sent again"
            path: Path = ("rpc", "methods", number, "class")
            would, mend = "a sale whose answer is lost is sold twice", "name a single_shot class"
            found.append(error("sale-repeats", Role.OPERATOR, path, says, would, mend))
    if app is None and table.turned_away and any(k.effect is not Effect.SAFE for k in classes.values()):
        says = "no description says that these errors come only before a call has run"
        would = "if one of them comes after a call has run, the call is sent again"
        mend = "add app.toml with fleet.turned_away"
        found.append(warning("turned-away", Role.OPERATOR, ("rpc", "turned_away"), says, would, mend))
    return found


def _meaningless(said: str, table: RpcTable) -> Finding:
    """The error of CallRules, "pattern: field: what", at its place."""
    pattern, _, rest = said.partition(": ")
    field, _, what = rest.partition(": ")
    numbers = [n for n, item in enumerate(table.methods) if item.pattern == pattern]
    if not numbers:  # "pattern: the same start is given twice"
        seen: set[str] = set()
        for number, item in enumerate(table.methods):
            if item.pattern in seen:
                numbers, field = [number], "pattern"
            seen.add(item.pattern)
    number = numbers[-1] if field == "pattern" else numbers[0]
    path: Path = ("rpc", "methods", number, field)
    return error(
        "refused-start", Role.OPERATOR, path, what or rest, known_fields.REFUSED, "correct the field"
    )


def against(
    app: App, config: Config, operator: OperatorConfig | None, environ: Mapping[str, str]
) -> list[Finding]:
    """The effective configuration held against the description."""
    table = operator.rpc if operator is not None else None
    found = [*_who(app, config, table, environ), *_room(app, config, table), *_fleet(app, config)]
    classes = {item.name: item for item in config.settings.classes}
    rules = None
    if table is not None:
        try:
            rules = meaning_of(config, table)
        except ValueError:
            return found  # told already, and no sidecar would start
    for number, call in enumerate(app.calls):
        klass = classes.get(call.name)
        if "http" in app.protocols:
            if klass is None:
                says = f"the call {call.name!r} has no class in the settings"
                path: Path = ("settings", "classes")
                would, mend = (
                    "each such request is refused as one that has no place here",
                    f"add {call.name!r}",
                )
                found.append(error("uncovered-call", Role.PLATFORM, path, says, would, mend))
            else:
                found += _call(call, config, klass)
        if app.speaks_rpc and table is not None and rules is not None:
            found += _methods(call, config, table, rules)
        elif app.speaks_rpc:
            says = f"{call.name!r} is called over MessagePack-RPC, and no operator's file has [rpc]"
            would, mend = "nothing listens where the application calls", "add [rpc] to the operator's file"
            path = ("calls", number, "methods")
            found.append(error("uncovered-call", Role.APP, path, says, would, mend))
    return found


def _effect(call: Call, klass: RequestClass, role: Role, path: Path) -> list[Finding]:
    """Whether a class may be sent again as its call may."""
    allowed = REPEATS[call.repeat]
    if LOOSER[klass.effect] > LOOSER[allowed]:
        rule = "sale-repeats" if allowed is Effect.UNSAFE else "keyed-window"
        says = (
            f"{call.name!r} may be repeated {call.repeat!r}, and class {klass.name!r} is {klass.effect.value}"
        )
        would = "a call whose answer is lost is sent again and runs twice"
        right = {"never": "single_shot", "keyed": "guarded", "free": "free"}[call.repeat]
        mend = f"write {right!r}" if role is Role.PLATFORM else f"name a class that is {right!r}"
        return [error(rule, role, path, says, would, mend)]
    if LOOSER[klass.effect] < LOOSER[allowed]:
        says = (
            f"{call.name!r} may be repeated {call.repeat!r}, and class {klass.name!r} is {klass.effect.value}"
        )
        would = "it fails where it could be served elsewhere"
        return [warning("few-attempts", role, path, says, would, "let it be repeated, or say so in app.toml")]
    return []


def _call(call: Call, config: Config, klass: RequestClass) -> list[Finding]:
    """A call, and the class that carries it."""

    def at(field: str) -> Path:
        return judge.class_path(config, klass, field)

    return [
        *_effect(call, klass, Role.PLATFORM, at("idempotency")),
        *_memory(call, config, klass),
        *_deadline(call, klass.deadline_ms, Role.PLATFORM, at("give-up-ms")),
    ]


def _memory(call: Call, config: Config, klass: RequestClass) -> list[Finding]:
    """A keyed class against what servers remember."""
    found: list[Finding] = []
    if call.repeat != "keyed" or klass.effect is not Effect.KEYED:
        return found
    would = "a repeat reaches a server that does not know the key, and the call runs twice"
    if WIDER[klass.group.value] > WIDER[call.remembered_by]:
        says = f"key-scope is {klass.group.value!r}, and keys are remembered by {call.remembered_by!r}"
        path = judge.class_path(config, klass, "key-scope")
        mend = f"write {call.remembered_by!r}"
        found.append(error("keyed-group", Role.PLATFORM, path, says, would, mend))
    if klass.window_ms > call.remembers_ms:
        says = f"window-ms {klass.window_ms:g}, and servers remember a key for {call.remembers_ms:g} ms"
        path = judge.class_path(config, klass, "window-ms")
        mend = f"write {call.remembers_ms:g} or less"
        found.append(error("keyed-window", Role.PLATFORM, path, says, would, mend))
    return found


def _deadline(call: Call, used_ms: float, role: Role, path: Path) -> list[Finding]:
    if used_ms > call.given_up_ms:
        says = f"{used_ms:g} ms, and the callers of {call.name!r} go away after {call.given_up_ms:g}"
        would = "the last answers come to callers that have gone: those calls are lost, and may have run"
        return [error("time-outs", role, path, says, would, f"write {call.given_up_ms:g} or less")]
    if used_ms < call.given_up_ms / 2:
        says = f"{used_ms:g} ms, and the callers of {call.name!r} wait for {call.given_up_ms:g}"
        would = "calls are given up on that their callers still wait for"
        return [warning("time-outs", role, path, says, would, f"write {call.given_up_ms:g}")]
    return []


def _methods(call: Call, config: Config, table: RpcTable, rules: CallRules) -> list[Finding]:
    """A call's methods, by the patterns that really take them: exact ones, then the longest start."""
    found: list[Finding] = []
    classes = {item.name: item for item in config.settings.classes}
    patterns = [item.pattern for item in table.methods]
    for method in call.methods:
        start = method.removesuffix("*")
        rule = rules.rule(method.encode()) or rules.rule(start.encode())
        taking = [rule] if rule is not None else []
        if method.endswith("*"):  # patterns within it take a part of what it stands for
            taking += [rules_of for rules_of in _within(start, table) if rules_of not in taking]
        if rule is None:
            says = f"no pattern matches the method {method!r} of {call.name!r}"
            would, mend = "each such call is answered unknown_method", "add a pattern for it"
            found.append(error("uncovered-call", Role.OPERATOR, ("rpc", "methods"), says, would, mend))
        for item in taking:
            path: Path = ("rpc", "methods", patterns.index(item.pattern))
            klass = classes[item.klass]
            found += _effect(call, klass, Role.OPERATOR, (*path, "class"))
            found += _memory(call, config, klass)
            used = item.deadline_ms or klass.deadline_ms
            role, where = (
                (Role.OPERATOR, (*path, "deadline_ms"))
                if item.deadline_ms
                else (
                    Role.PLATFORM,
                    judge.class_path(config, klass, "give-up-ms"),
                )
            )
            found += _deadline(call, used, role, where)
            if call.repeat == "keyed" and item.key and item.key != call.key:
                says = f"key is {list(item.key)}, and {call.name!r} has it at {list(call.key)}"
                would, mend = (
                    "each such call is answered bad_call: no key is found",
                    f"write {list(call.key)}",
                )
                found.append(error("contradiction", Role.OPERATOR, (*path, "key"), says, would, mend))
            if call.id and item.id and item.id != call.id:
                says = f"id is {list(item.id)}, and {call.name!r} has it at {list(call.id)}"
                would, mend = "each such call is answered bad_call: no id is found", f"write {list(call.id)}"
                found.append(error("contradiction", Role.OPERATOR, (*path, "id"), says, would, mend))
    return found


def _within(start: str, table: RpcTable) -> list[Rule]:
    return [_rule(item) for item in table.methods if item.pattern.startswith(start)]


def _who(app: App, config: Config, table: RpcTable | None, environ: Mapping[str, str]) -> list[Finding]:
    """Names and addresses."""
    found: list[Finding] = []
    if config.name != app.name:
        role, path = judge.origin(environ, "BALANCER_NAME")
        says = f"the name is {config.name!r}, and the application's {app.name!r}"
        found.append(
            warning(
                "contradiction", role, path, says, "its log is taken for another's", f"write {app.name!r}"
            )
        )
    for variable, given, described in (
        ("BALANCER_LISTEN", config.listen, app.listen.http),
        ("BALANCER_DISCOVERY", config.discovery, app.listen.discovery),
    ):
        if f"{given[0]}:{given[1]}" == described.replace("[", "").replace("]", ""):
            continue
        role, path = judge.origin(environ, variable)
        says = f"{given[0]}:{given[1]}, and the description has {described}"
        if variable == "BALANCER_LISTEN":
            would = "the application connects where nothing listens"
            found.append(error("contradiction", role, path, says, would, f"write {described}"))
        else:
            would = "discovery is not asked where it is: no drain is heard of within 2 s"
            found.append(error("drain", role, path, says, would, f"write {described}"))
    if table is not None and app.speaks_rpc and table.listen != app.listen.rpc:
        says = f"{table.listen}, and the description has {app.listen.rpc}"
        would = "the application connects where nothing listens"
        found.append(
            error("contradiction", Role.OPERATOR, ("rpc", "listen"), says, would, f"write {app.listen.rpc}")
        )
    if table is not None and not app.speaks_rpc:
        says = "[rpc] is on, and the description has HTTP alone"
        would = "a listener that nobody uses holds half of the connections"
        found.append(warning("contradiction", Role.OPERATOR, ("rpc",), says, would, "leave the table out"))
    if app.data_centre and config.settings.zone != app.data_centre:
        says = f"locality is {config.settings.zone!r}, and the data centre {app.data_centre!r}"
        path = ("settings", "locality")
        would = "the sidecar takes itself to be elsewhere"
        found.append(warning("contradiction", Role.PLATFORM, path, says, would, f"write {app.data_centre!r}"))
    if config.settings.asks_for_list != (app.fleet.discovery == "ask"):
        says = f"the description has {app.fleet.discovery!r}"
        would = "discovery is asked at other times than it allows for"
        path = ("settings", "discovery")
        found.append(
            warning("contradiction", Role.PLATFORM, path, says, would, f"write {app.fleet.discovery!r}")
        )
    return found


def _room(app: App, config: Config, table: RpcTable | None) -> list[Finding]:
    """Descriptors and memory, at the declared rate and burst."""
    found: list[Finding] = []
    need = sizing.need(app)
    least = need.descriptors
    if sizing.holds(config.sockets, app.speaks_rpc) < need.calls:
        says = f"{config.sockets} descriptors hold {sizing.holds(config.sockets, app.speaks_rpc)} connections"
        says += f" of the application, and {need.calls} calls can be in hand at once"
        would = "connections are closed or refused in a burst, and the calls on them are lost"
        path: Path = ("limits", "sockets")
        found.append(error("capacity", Role.PLATFORM, path, says, would, f"write {least} or more"))
    elif config.sockets > app.machine.descriptors:
        says = f"{config.sockets}, and the machine gives {app.machine.descriptors}"
        would = "the sidecar runs out of descriptors before its own bounds hold, and refuses connections"
        path = ("limits", "sockets")
        found.append(
            error("capacity", Role.PLATFORM, path, says, would, f"write {app.machine.descriptors} or less")
        )
    if app.machine.descriptors < least:
        says = f"the machine gives {app.machine.descriptors} descriptors, and the declared rate takes {least}"
        would = "connections are refused in a burst"
        path = ("machine", "descriptors")
        found.append(error("capacity", Role.APP, path, says, would, "give it more, or declare a lower rate"))
    memory = config.memory_mb
    if memory is not None and memory < need.memory_mb:
        says = f"{memory:g} MB, and the declared rate takes {need.memory_mb:g}"
        would = "the sidecar is killed for memory in a burst, with all calls in hand"
        path = ("limits", "memory_mb")
        found.append(error("capacity", Role.PLATFORM, path, says, would, f"write {need.memory_mb:g} or more"))
    if app.machine.memory_mb < need.memory_mb:
        says = (
            f"the machine gives {app.machine.memory_mb:g} MB, and the declared rate takes {need.memory_mb:g}"
        )
        would = "the sidecar is killed for memory in a burst, with all calls in hand"
        path = ("machine", "memory_mb")
        found.append(error("capacity", Role.APP, path, says, would, "give it more, or declare a lower rate"))
    burst = max(call.burst for call in app.calls)
    if table is not None and table.calls_in_hand < burst:
        says = f"{table.calls_in_hand}, and the application begins {burst} calls at once"
        would = "the rest of a burst waits unread on its connection"
        path = ("rpc", "calls_in_hand")
        found.append(warning("capacity", Role.OPERATOR, path, says, would, f"write {burst} or more"))
    if table is not None and app.speaks_rpc:
        unproven = [item for item in table.turned_away if item not in app.fleet.turned_away]
        if unproven and any(call.repeat != "free" for call in app.calls):
            says = f"{unproven[0]!r} is not among the errors that servers send only before a call runs"
            would = "a call that has run is answered so, counts as never run, and is sent again"
            mend = "leave it out, or have fleet.turned_away confirmed"
            path = ("rpc", "turned_away", table.turned_away.index(unproven[0]))
            found.append(error("turned-away", Role.OPERATOR, path, says, would, mend))
    return found


def _fleet(app: App, config: Config) -> list[Finding]:
    """Start-up limits and idle times, against the fleet that the application meets."""
    found: list[Finding] = []
    settings, fleet = config.settings, app.fleet
    if settings.limits.idle_ms > fleet.idle_ms:
        says = f"{settings.limits.idle_ms:g} ms, and servers close idle connections after {fleet.idle_ms:g}"
        would = (
            "calls go out on connections that have been closed: a sale on one fails, since it may have run"
        )
        path: Path = ("settings", "limits", "keepalive-ms")
        found.append(error("idle", Role.PLATFORM, path, says, would, f"write {fleet.idle_ms:g} or less"))
    if not app.sells or fleet.warm_up_ms <= 0:
        return found  # no start-up limit is owed
    would = (
        "a server that has just started is sent more than it can do, falls over, and takes its sales with it"
    )
    if 0 < settings.rules.cold_ms < fleet.warm_up_ms:
        says = f"{settings.rules.cold_ms:g} ms, and servers take {fleet.warm_up_ms:g} to warm up"
        path = ("settings", "rules", "cold-ms")
        found.append(error("cold-start", Role.PLATFORM, path, says, would, f"write {fleet.warm_up_ms:g}"))
    if fleet.cold_share < settings.rules.cold_from < 1.0:
        says = (
            f"{settings.rules.cold_from:g}, and servers start with {fleet.cold_share:g} of what they can do"
        )
        path = ("settings", "rules", "cold-from")
        found.append(error("cold-start", Role.PLATFORM, path, says, would, f"write {fleet.cold_share:g}"))
    if settings.peers < fleet.sidecars:
        says = f"{settings.peers} sidecars, and {fleet.sidecars} share the servers"
        would = (
            "each sidecar begins with the share of a smaller fleet: together they push starting servers over"
        )
        path = ("settings", "peers-total")
        found.append(error("cold-start", Role.PLATFORM, path, says, would, f"write {fleet.sidecars}"))
    return found
