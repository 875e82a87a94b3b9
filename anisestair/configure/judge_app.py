"""Checks the configuration of an application against its owner's description. No I/O.

The description states which calls must not run twice. So a sale that would be repeated is found under any
name, and whatever causes it: the effect of its class, the pattern that matches its method, or a server group
or time window that is wider than the servers' memory of keys.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from anisestair.configure import judge, known_fields, sizing
from anisestair.configure.description import App, Call, Fleet, Listen, Machine, parse_app
from anisestair.configure.effective import Config
from anisestair.configure.findings import FieldPath, Finding, Role, Severity, error, warning
from anisestair.configure.operator_tables import MethodTable, OperatorConfig, RpcTable
from anisestair.configure.source import Document
from anisestair.endpoints import address
from hareloom.interface import Effect, RequestClass

if TYPE_CHECKING:  # loaded only if there is an operator's file, which most applications do not have
    from anisestair.rpc.meaning import CallRules, Rule

# The standard names of an application's files; each application has its own folder.
PLATFORM_NAME, OPERATOR_NAME, APP_NAME = "config.json", "sidecar.toml", "app.toml"

EFFECT_BY_REPEAT = {"never": Effect.UNSAFE, "keyed": Effect.KEYED, "free": Effect.SAFE}
# The structs of each file, whose field names are suggested for misspelt ones.
APP_STRUCTS, OPERATOR_STRUCTS = (App, Call, Fleet, Listen, Machine), (OperatorConfig, RpcTable, MethodTable)

# A higher rank allows more repeats, or repeats at more servers.
REPEAT_RANK = {Effect.UNSAFE: 0, Effect.KEYED: 1, Effect.SAFE: 2}
GROUP_RANK = {"cell": 0, "zone": 1, "all": 2}


@dataclass(frozen=True, slots=True)
class Bundle:
    """The files of one application's configuration; None for those that do not exist."""

    name: str
    platform: Document | None = None
    operator: Document | None = None
    app: Document | None = None
    environment: Document | None = None

    def document(self, role: Role) -> Document | None:
        """The file with this role."""
        return {
            Role.PLATFORM: self.platform,
            Role.OPERATOR: self.operator,
            Role.APP: self.app,
            Role.ENVIRONMENT: self.environment,
        }[role]


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The findings, and the validated files; ``config`` is None if a sidecar would not start."""

    bundle: Bundle
    findings: tuple[Finding, ...]
    config: Config | None = None
    operator: OperatorConfig | None = None
    app: App | None = None

    @property
    def errors(self) -> list[Finding]:
        """The findings that are errors, not warnings."""
        return [item for item in self.findings if item.severity is Severity.ERROR]


def check_bundle(bundle: Bundle, environ: Mapping[str, str]) -> CheckResult:
    """Runs all checks of one configuration. ``environ``: the environment variables that a sidecar gets."""
    findings: list[Finding] = []
    config = operator = app = None
    if (environment := bundle.environment) is not None:
        if environment.failure is not None:
            consequence = "the variables after this line do not reach the sidecar"
            findings.append(
                error(
                    "unreadable",
                    Role.ENVIRONMENT,
                    (),
                    environment.failure.message,
                    consequence,
                    "correct the line",
                )
            )
        else:
            findings += judge.check_duplicate_keys(environment, Role.ENVIRONMENT)
            findings += _check_config_variable(environment, bundle.platform)
    if bundle.platform is not None:
        more, config = judge.check_platform(bundle.platform, environ)
        findings += more
    if bundle.operator is not None:
        more, operator = check_operator(bundle.operator)
        findings += more
    if bundle.app is not None:
        more, app = check_description(bundle.app)
        findings += more
    if config is not None and operator is not None and operator.rpc is not None:
        findings += check_rpc(config, operator.rpc, app)
    if config is not None and app is not None:
        findings = _drop_inapplicable(findings, app)
        findings += check_against_description(app, config, operator, environ)
    return CheckResult(bundle, tuple(_deduplicate(findings)), config, operator, app)


def _deduplicate(findings: list[Finding]) -> list[Finding]:
    """Keeps one finding per rule and field, since several checks may detect the same mistake."""
    kept: dict[tuple[str, Role, FieldPath], Finding] = {}
    for item in findings:
        kept.setdefault((item.rule, item.role, item.path), item)
    return list(kept.values())


def _drop_inapplicable(findings: list[Finding], app: App) -> list[Finding]:
    """Drops cold-start findings if the description shows that no start-up limit is required."""
    if app.has_unrepeatable_calls and app.fleet.warm_up_ms > 0 and app.fleet.cold_share < 1.0:
        return findings
    return [item for item in findings if item.rule != "cold-start"]


def _check_config_variable(environment: Document, platform: Document | None) -> list[Finding]:
    named = environment.data.get("BALANCER_CONFIG", "")
    if not named or platform is None:
        return []
    if named.replace("\\", "/").rpartition("/")[2] == platform.file.replace("\\", "/").rpartition("/")[2]:
        return []
    message = f"names {named!r}, but {platform.file!r} is checked"
    consequence = "the sidecar reads a different file than the checked one"
    remedy = "name the checked file, or check the named one"
    return [error("environment", Role.ENVIRONMENT, ("BALANCER_CONFIG",), message, consequence, remedy)]


def _validation_finding(
    document: Document,
    role: Role,
    fault: msgspec.ValidationError,
    consequence: str,
    structs: tuple[type, ...],
) -> Finding:
    """Converts an error of msgspec, "what - at `$.path[0].field`", to a finding."""
    known = _field_names(*structs)
    error_text, _, path_text = str(fault).partition(" - at `$")
    path: list[str | int] = []
    for part in path_text.rstrip("`").replace("[", ".[").split("."):
        if part.startswith("["):
            if part[1:-1].isdigit():
                path.append(int(part[1:-1]))
            elif part == "[...]":
                path += _failing_element(document, tuple(path), error_text)
        elif part:
            path.append("class" if part == "klass" else part)
    rule, remedy = "wrong-type", "write a value of the expected type"
    if error_text.startswith("Object contains unknown field"):
        name = error_text.split("`")[1]
        path.append(name)
        nearest_name = known_fields.nearest(name, known)
        rule, remedy = "unknown-field", f"write {nearest_name!r}" if nearest_name else "remove it"
        error_text = (
            f"unknown field; the nearest known one is {nearest_name!r}" if nearest_name else "unknown field"
        )
    elif "missing required" in error_text:
        rule, remedy = "refused-start", f"add {error_text.split('`')[1]!r}"
    elif "Invalid enum value" in error_text:
        rule, remedy = "unknown-value", "write one of the values that the schema lists"
    elif (
        "Expected `float` >" in error_text
        or "Expected `int` >" in error_text
        or "<= " in error_text
        or ">= " in error_text
    ):
        rule, remedy = "out-of-range", "write a value within the range"
    elif error_text and not error_text.startswith("Expected"):
        first = error_text.partition(":")[0]
        indexes = _call_index(document, error_text)
        if first.replace("_", "").isalpha() and first in known:
            path += [first, *indexes]
        rule, remedy = "contradiction", "make the values consistent"
    return error(rule, role, tuple(path), error_text, consequence, remedy)


def _call_index(document: Document, error_text: str) -> list[int]:
    """The index in `calls` of the call that an error of the description names."""
    if not error_text.startswith("calls: "):
        return []
    names = [call["name"] for call in document.data["calls"]]
    if error_text.endswith("share a name"):
        return [next(n for n, name in enumerate(names) if name in names[:n])]
    return [names.index(error_text.split()[1])]


def _failing_element(document: Document, path: FieldPath, error_text: str) -> list[int]:
    """The index of the invalid element: the first that fails validation by itself, since msgspec does not
    report the index in a tuple of variable length."""
    value = document.data
    for step in path:
        value = value[step]
    kind: type = Call if path == ("calls",) else MethodTable
    for number, item in enumerate(value):
        try:
            msgspec.convert(item, kind)
        except msgspec.ValidationError as fault:
            if str(fault).partition(" - at ")[0] == error_text:
                return [number]
    return []


def _field_names(*structs: type) -> list[str]:
    return [field.encode_name for struct in structs for field in msgspec.structs.fields(struct)]


def check_operator(document: Document) -> tuple[list[Finding], OperatorConfig | None]:
    """Validates the operator's file."""
    if document.failure is not None:
        return [
            error(
                "unreadable",
                Role.OPERATOR,
                (),
                document.failure.message,
                known_fields.START_REFUSED,
                "write it again",
            )
        ], None
    try:
        return [], msgspec.convert(document.data, OperatorConfig)
    except msgspec.ValidationError as fault:
        return [
            _validation_finding(document, Role.OPERATOR, fault, known_fields.START_REFUSED, OPERATOR_STRUCTS)
        ], None


def check_description(document: Document) -> tuple[list[Finding], App | None]:
    """Validates the application's description."""
    consequence = "no configuration can be generated from the description or checked against it"
    if document.failure is not None:
        return [
            error("unreadable", Role.APP, (), document.failure.message, consequence, "write it again")
        ], None
    try:
        app = parse_app(document.data)
    except msgspec.ValidationError as fault:
        return [_validation_finding(document, Role.APP, fault, consequence, APP_STRUCTS)], None
    findings = []
    for number, call in enumerate(app.calls):
        if call.repeat != "never" and any(judge.is_sale_name(name) for name in (call.name, *call.methods)):
            findings.append(
                error(
                    "sale-repeats",
                    Role.APP,
                    ("calls", number, "repeat"),
                    f"{call.name!r} is a sale by its name, but may be retried",
                    "a sale whose answer is lost is sold twice",
                    "write 'never', or rename it if it is not a sale",
                )
            )
    return findings, app


def _method_rule(item: MethodTable) -> Rule:
    from anisestair.rpc.meaning import Rule

    return Rule(item.pattern, item.klass, item.deadline_ms, item.key, item.id, item.deadline)


def call_rules(config: Config, table: RpcTable) -> CallRules:
    """The rules that a sidecar would build. Raises ValueError, as it does when the sidecar starts."""
    from anisestair.rpc.meaning import CallRules

    rules = tuple(map(_method_rule, table.methods))
    return CallRules(rules, table.turned_away, {item.name: item for item in config.settings.classes})


def check_rpc(config: Config, table: RpcTable, app: App | None) -> list[Finding]:
    """Checks the [rpc] table of the operator's file with the platform's settings."""
    findings: list[Finding] = []
    if (
        not table.listen.startswith("unix:")
        and address(table.listen, 0) == config.listen
        and config.listen[1]
    ):
        consequence = "the second listener cannot be opened, and the sidecar does not start"
        message = f"{table.listen} is also the address of the HTTP listener"
        findings.append(
            error(
                "contradiction", Role.OPERATOR, ("rpc", "listen"), message, consequence, "write another port"
            )
        )
    try:
        call_rules(config, table)
    except ValueError as fault:
        return [*findings, _rules_finding(str(fault), table)]
    classes = {item.name: item for item in config.settings.classes}
    for number, item in enumerate(table.methods):
        if judge.is_sale_name(item.pattern) and classes[item.klass].effect is not Effect.UNSAFE:
            message = f"{item.pattern!r} is a sale by its name, but class {item.klass!r} is retried"
            path: FieldPath = ("rpc", "methods", number, "class")
            consequence, remedy = "a sale whose answer is lost is sold twice", "name a single_shot class"
            findings.append(error("sale-repeats", Role.OPERATOR, path, message, consequence, remedy))
    if app is None and table.turned_away and any(item.effect is not Effect.SAFE for item in classes.values()):
        message = "no description confirms that servers send these errors only before a call runs"
        consequence = "if a server sends one of them after a call has run, the call is retried"
        remedy = "add app.toml with fleet.turned_away"
        findings.append(
            warning("turned-away", Role.OPERATOR, ("rpc", "turned_away"), message, consequence, remedy)
        )
    return findings


def _rules_finding(error_text: str, table: RpcTable) -> Finding:
    """Converts an error of CallRules, "pattern: field: what", to a finding."""
    pattern, _, rest = error_text.partition(": ")
    field, _, what = rest.partition(": ")
    indexes = [n for n, item in enumerate(table.methods) if item.pattern == pattern]
    if not indexes:  # "pattern: the same start is given twice"
        seen: set[str] = set()
        for number, item in enumerate(table.methods):
            if item.pattern in seen:
                indexes, field = [number], "pattern"
            seen.add(item.pattern)
    number = indexes[-1] if field == "pattern" else indexes[0]
    path: FieldPath = ("rpc", "methods", number, field)
    return error(
        "refused-start", Role.OPERATOR, path, what or rest, known_fields.START_REFUSED, "correct the field"
    )


def check_against_description(
    app: App, config: Config, operator: OperatorConfig | None, environ: Mapping[str, str]
) -> list[Finding]:
    """Compares the effective configuration with the description."""
    table = operator.rpc if operator is not None else None
    findings = [
        *_check_identity(app, config, table, environ),
        *_check_capacity(app, config, table),
        *_check_fleet(app, config),
    ]
    classes = {item.name: item for item in config.settings.classes}
    rules = None
    if table is not None:
        try:
            rules = call_rules(config, table)
        except ValueError:
            return findings  # check_rpc reports it, and no sidecar would start
    for number, call in enumerate(app.calls):
        request_class = classes.get(call.name)
        if "http" in app.protocols:
            if request_class is None:
                message = f"the call {call.name!r} has no class in the settings"
                path: FieldPath = ("settings", "classes")
                consequence, remedy = (
                    "each such request is refused because its class is unknown",
                    f"add {call.name!r}",
                )
                findings.append(error("uncovered-call", Role.PLATFORM, path, message, consequence, remedy))
            else:
                findings += _check_call(call, config, request_class)
        if app.speaks_rpc and table is not None and rules is not None:
            findings += _check_methods(call, config, table, rules)
        elif app.speaks_rpc:
            message = f"{call.name!r} is called over MessagePack-RPC, but no operator's file has [rpc]"
            consequence, remedy = (
                "nothing listens where the application calls",
                "add [rpc] to the operator's file",
            )
            path = ("calls", number, "methods")
            findings.append(error("uncovered-call", Role.APP, path, message, consequence, remedy))
    return findings


def _check_effect(call: Call, request_class: RequestClass, role: Role, path: FieldPath) -> list[Finding]:
    """Compares the repeats that a class allows with those that its call allows."""
    allowed = EFFECT_BY_REPEAT[call.repeat]
    if REPEAT_RANK[request_class.effect] > REPEAT_RANK[allowed]:
        rule = "sale-repeats" if allowed is Effect.UNSAFE else "keyed-window"
        message = (
            f"the repeat of {call.name!r} is {call.repeat!r},"
            f" but class {request_class.name!r} is {request_class.effect.value}"
        )
        consequence = "a call whose answer is lost is retried and runs twice"
        required = {"never": "single_shot", "keyed": "guarded", "free": "free"}[call.repeat]
        remedy = f"write {required!r}" if role is Role.PLATFORM else f"name a class that is {required!r}"
        return [error(rule, role, path, message, consequence, remedy)]
    if REPEAT_RANK[request_class.effect] < REPEAT_RANK[allowed]:
        message = (
            f"the repeat of {call.name!r} is {call.repeat!r},"
            f" but class {request_class.name!r} is {request_class.effect.value}"
        )
        consequence = "it fails even if another server could serve it"
        return [
            warning("few-attempts", role, path, message, consequence, "allow retries, or correct app.toml")
        ]
    return []


def _check_call(call: Call, config: Config, request_class: RequestClass) -> list[Finding]:
    """Compares a call with its request class."""

    def at(field: str) -> FieldPath:
        return judge.class_path(config, request_class, field)

    return [
        *_check_effect(call, request_class, Role.PLATFORM, at("idempotency")),
        *_check_key_memory(call, config, request_class),
        *_check_deadline(call, request_class.deadline_ms, Role.PLATFORM, at("give-up-ms")),
    ]


def _check_key_memory(call: Call, config: Config, request_class: RequestClass) -> list[Finding]:
    """Compares a keyed class with the servers' memory of keys."""
    findings: list[Finding] = []
    if call.repeat != "keyed" or request_class.effect is not Effect.KEYED:
        return findings
    consequence = "a retry reaches a server that does not know the key, and the call runs twice"
    if GROUP_RANK[request_class.group.value] > GROUP_RANK[call.remembered_by]:
        message = (
            f"key-scope is {request_class.group.value!r}, but keys are remembered by {call.remembered_by!r}"
        )
        path = judge.class_path(config, request_class, "key-scope")
        remedy = f"write {call.remembered_by!r}"
        findings.append(error("keyed-group", Role.PLATFORM, path, message, consequence, remedy))
    if request_class.window_ms > call.remembers_ms:
        message = (
            f"window-ms {request_class.window_ms:g}, but servers remember a key for {call.remembers_ms:g} ms"
        )
        path = judge.class_path(config, request_class, "window-ms")
        remedy = f"write {call.remembers_ms:g} or less"
        findings.append(error("keyed-window", Role.PLATFORM, path, message, consequence, remedy))
    return findings


def _check_deadline(call: Call, effective_ms: float, role: Role, path: FieldPath) -> list[Finding]:
    if effective_ms > call.given_up_ms:
        message = f"{effective_ms:g} ms, but the callers of {call.name!r} give up after {call.given_up_ms:g}"
        consequence = "late answers reach no caller: those calls are lost, and may have run"
        return [error("time-outs", role, path, message, consequence, f"write {call.given_up_ms:g} or less")]
    if effective_ms < call.given_up_ms / 2:
        message = f"{effective_ms:g} ms, but the callers of {call.name!r} wait for {call.given_up_ms:g}"
        consequence = "calls are given up while their callers still wait"
        return [warning("time-outs", role, path, message, consequence, f"write {call.given_up_ms:g}")]
    return []


def _check_methods(call: Call, config: Config, table: RpcTable, rules: CallRules) -> list[Finding]:
    """Checks a call's methods with the patterns that match them: exact ones, then the longest prefix."""
    findings: list[Finding] = []
    classes = {item.name: item for item in config.settings.classes}
    patterns = [item.pattern for item in table.methods]
    for method in call.methods:
        prefix = method.removesuffix("*")
        rule = rules.rule(method.encode()) or rules.rule(prefix.encode())
        matching_rules = [rule] if rule is not None else []
        if method.endswith("*"):  # longer patterns match some of its methods
            matching_rules += [
                other for other in _rules_with_prefix(prefix, table) if other not in matching_rules
            ]
        if rule is None:
            message = f"no pattern matches the method {method!r} of {call.name!r}"
            consequence, remedy = "each such call is answered with unknown_method", "add a pattern for it"
            findings.append(
                error("uncovered-call", Role.OPERATOR, ("rpc", "methods"), message, consequence, remedy)
            )
        for item in matching_rules:
            path: FieldPath = ("rpc", "methods", patterns.index(item.pattern))
            request_class = classes[item.klass]
            findings += _check_effect(call, request_class, Role.OPERATOR, (*path, "class"))
            findings += _check_key_memory(call, config, request_class)
            effective_ms = item.deadline_ms or request_class.deadline_ms
            role, deadline_path = (
                (Role.OPERATOR, (*path, "deadline_ms"))
                if item.deadline_ms
                else (
                    Role.PLATFORM,
                    judge.class_path(config, request_class, "give-up-ms"),
                )
            )
            findings += _check_deadline(call, effective_ms, role, deadline_path)
            if call.repeat == "keyed" and item.key and item.key != call.key:
                message = f"key is {list(item.key)}, but {call.name!r} has it at {list(call.key)}"
                consequence, remedy = (
                    "each such call is answered with bad_call: no key is found",
                    f"write {list(call.key)}",
                )
                findings.append(
                    error("contradiction", Role.OPERATOR, (*path, "key"), message, consequence, remedy)
                )
            if call.id and item.id and item.id != call.id:
                message = f"id is {list(item.id)}, but {call.name!r} has it at {list(call.id)}"
                consequence, remedy = (
                    "each such call is answered with bad_call: no id is found",
                    f"write {list(call.id)}",
                )
                findings.append(
                    error("contradiction", Role.OPERATOR, (*path, "id"), message, consequence, remedy)
                )
    return findings


def _rules_with_prefix(prefix: str, table: RpcTable) -> list[Rule]:
    return [_method_rule(item) for item in table.methods if item.pattern.startswith(prefix)]


def _check_identity(
    app: App, config: Config, table: RpcTable | None, environ: Mapping[str, str]
) -> list[Finding]:
    """Compares names, addresses and location with the description."""
    findings: list[Finding] = []
    if config.name != app.name:
        role, path = judge.value_origin(environ, "BALANCER_NAME")
        message = f"the name is {config.name!r}, but the application's is {app.name!r}"
        findings.append(
            warning(
                "contradiction",
                role,
                path,
                message,
                "its log seems to belong to another application",
                f"write {app.name!r}",
            )
        )
    for variable, given, described in (
        ("BALANCER_LISTEN", config.listen, app.listen.http),
        ("BALANCER_DISCOVERY", config.discovery, app.listen.discovery),
    ):
        if f"{given[0]}:{given[1]}" == described.replace("[", "").replace("]", ""):
            continue
        role, path = judge.value_origin(environ, variable)
        message = f"{given[0]}:{given[1]}, but the description has {described}"
        if variable == "BALANCER_LISTEN":
            consequence = "the application connects where nothing listens"
            findings.append(error("contradiction", role, path, message, consequence, f"write {described}"))
        else:
            consequence = "discovery is not reached: no drain is noticed within 2 s"
            findings.append(error("drain", role, path, message, consequence, f"write {described}"))
    if table is not None and app.speaks_rpc and table.listen != app.listen.rpc:
        message = f"{table.listen}, but the description has {app.listen.rpc}"
        consequence = "the application connects where nothing listens"
        findings.append(
            error(
                "contradiction",
                Role.OPERATOR,
                ("rpc", "listen"),
                message,
                consequence,
                f"write {app.listen.rpc}",
            )
        )
    if table is not None and not app.speaks_rpc:
        message = "[rpc] is enabled, but the description has only HTTP"
        consequence = "an unused listener gets half of the connections"
        findings.append(
            warning("contradiction", Role.OPERATOR, ("rpc",), message, consequence, "remove the table")
        )
    if app.data_centre and config.settings.zone != app.data_centre:
        message = f"locality is {config.settings.zone!r}, but the data centre is {app.data_centre!r}"
        path = ("settings", "locality")
        consequence = "the sidecar assumes a wrong location"
        findings.append(
            warning("contradiction", Role.PLATFORM, path, message, consequence, f"write {app.data_centre!r}")
        )
    if config.settings.asks_for_list != (app.fleet.discovery == "ask"):
        message = f"the description has {app.fleet.discovery!r}"
        consequence = "discovery is queried at times that it does not expect"
        path = ("settings", "discovery")
        findings.append(
            warning(
                "contradiction", Role.PLATFORM, path, message, consequence, f"write {app.fleet.discovery!r}"
            )
        )
    return findings


def _check_capacity(app: App, config: Config, table: RpcTable | None) -> list[Finding]:
    """Compares descriptors and memory with the need of the declared rate and burst."""
    findings: list[Finding] = []
    required = sizing.requirements(app)
    least = required.descriptors
    if sizing.client_connections(config.sockets, app.speaks_rpc) < required.calls:
        message = (
            f"{config.sockets} descriptors are enough for"
            f" {sizing.client_connections(config.sockets, app.speaks_rpc)} connections"
        )
        message += f" of the application, but {required.calls} calls can be in flight"
        consequence = "connections are closed or refused in a burst, and the calls on them are lost"
        path: FieldPath = ("limits", "sockets")
        findings.append(
            error("capacity", Role.PLATFORM, path, message, consequence, f"write {least} or more")
        )
    elif config.sockets > app.machine.descriptors:
        message = f"{config.sockets}, but the machine allows {app.machine.descriptors}"
        consequence = (
            "the sidecar runs out of descriptors before it reaches its own limits, and refuses connections"
        )
        path = ("limits", "sockets")
        findings.append(
            error(
                "capacity",
                Role.PLATFORM,
                path,
                message,
                consequence,
                f"write {app.machine.descriptors} or less",
            )
        )
    if app.machine.descriptors < least:
        message = (
            f"the machine allows {app.machine.descriptors} descriptors, but the declared rate needs {least}"
        )
        consequence = "connections are refused in a burst"
        path = ("machine", "descriptors")
        findings.append(
            error("capacity", Role.APP, path, message, consequence, "allow more, or declare a lower rate")
        )
    memory = config.memory_mb
    if memory is not None and memory < required.memory_mb:
        message = f"{memory:g} MB, but the declared rate needs {required.memory_mb:g}"
        consequence = "the sidecar is killed for its memory use in a burst, with all calls in flight"
        path = ("limits", "memory_mb")
        findings.append(
            error(
                "capacity", Role.PLATFORM, path, message, consequence, f"write {required.memory_mb:g} or more"
            )
        )
    if app.machine.memory_mb < required.memory_mb:
        message = (
            f"the machine allows {app.machine.memory_mb:g} MB,"
            f" but the declared rate needs {required.memory_mb:g}"
        )
        consequence = "the sidecar is killed for its memory use in a burst, with all calls in flight"
        path = ("machine", "memory_mb")
        findings.append(
            error("capacity", Role.APP, path, message, consequence, "allow more, or declare a lower rate")
        )
    burst = max(call.burst for call in app.calls)
    if table is not None and table.calls_in_hand < burst:
        message = f"{table.calls_in_hand}, but the application starts {burst} calls at once"
        consequence = "the rest of a burst waits unread on its connection"
        path = ("rpc", "calls_in_hand")
        findings.append(
            warning("capacity", Role.OPERATOR, path, message, consequence, f"write {burst} or more")
        )
    if table is not None and app.speaks_rpc:
        unproven = [item for item in table.turned_away if item not in app.fleet.turned_away]
        if unproven and any(call.repeat != "free" for call in app.calls):
            message = f"{unproven[0]!r} is not among the errors that servers send only before a call runs"
            consequence = "a call that has run and gets this error is treated as not run, and is retried"
            remedy = "remove it, or add it to fleet.turned_away once confirmed"
            path = ("rpc", "turned_away", table.turned_away.index(unproven[0]))
            findings.append(error("turned-away", Role.OPERATOR, path, message, consequence, remedy))
    return findings


def _check_fleet(app: App, config: Config) -> list[Finding]:
    """Compares start-up limits and idle times with the described fleet of servers."""
    findings: list[Finding] = []
    settings, fleet = config.settings, app.fleet
    if settings.limits.idle_ms > fleet.idle_ms:
        message = (
            f"{settings.limits.idle_ms:g} ms, but servers close idle connections after {fleet.idle_ms:g}"
        )
        consequence = "calls are sent on closed connections: a sale sent on one fails, since it may have run"
        path: FieldPath = ("settings", "limits", "keepalive-ms")
        findings.append(
            error("idle", Role.PLATFORM, path, message, consequence, f"write {fleet.idle_ms:g} or less")
        )
    if not app.has_unrepeatable_calls or fleet.warm_up_ms <= 0:
        return findings  # no start-up limit is required
    consequence = (
        "a server that has just started is sent more than it can serve, fails, and its sales are lost"
    )
    if 0 < settings.rules.cold_ms < fleet.warm_up_ms:
        message = f"{settings.rules.cold_ms:g} ms, but servers take {fleet.warm_up_ms:g} to warm up"
        path = ("settings", "rules", "cold-ms")
        findings.append(
            error("cold-start", Role.PLATFORM, path, message, consequence, f"write {fleet.warm_up_ms:g}")
        )
    if fleet.cold_share < settings.rules.cold_from < 1.0:
        message = (
            f"{settings.rules.cold_from:g}, but servers start with {fleet.cold_share:g} of their capacity"
        )
        path = ("settings", "rules", "cold-from")
        findings.append(
            error("cold-start", Role.PLATFORM, path, message, consequence, f"write {fleet.cold_share:g}")
        )
    if settings.peers < fleet.sidecars:
        message = f"{settings.peers} sidecars, but {fleet.sidecars} share the servers"
        consequence = (
            "each sidecar starts with the share of a smaller fleet: together they overload starting servers"
        )
        path = ("settings", "peers-total")
        findings.append(
            error("cold-start", Role.PLATFORM, path, message, consequence, f"write {fleet.sidecars}")
        )
    return findings
