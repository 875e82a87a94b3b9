"""Checks a sidecar's effective configuration: the platform's JSON with the environment variables. No I/O.

A sidecar runs these checks when it starts, so this module has no costly imports. Checks that need the
application's description are in judge_app.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from anisestair.configure import known_fields
from anisestair.configure.effective import Config, ConfigError, build_config
from anisestair.configure.findings import FieldPath, Finding, Role, error, warning
from anisestair.configure.source import Document
from hareloom.interface import Effect, RequestClass

MAX_DRAIN_GRACE_MS = 2000.0  # the operators' rule: a draining server gets nothing new after this time
FIELD_BY_VARIABLE = {  # an environment variable overrides its field in the JSON
    "BALANCER_NAME": ("name",),
    "BALANCER_LISTEN": ("listen",),
    "BALANCER_DISCOVERY": ("discovery",),
    "BALANCER_MGMT": ("mgmt",),
    "BALANCER_CONFIG": (),
    "BALANCER_INHERITED_FD": (),
}
# Matches the word within a name: sale, order.sale, sales-v2, but not wholesale.
SALE_NAME = re.compile(r"(?:^|[^a-z])sales?(?:$|[^a-z])", re.IGNORECASE)
# Names in the JSON of the fields that errors of hareloom's settings mention.
JSON_FIELD_NAMES = {
    "aim_ms": "promise-ms",
    "deadline_ms": "give-up-ms",
    "worth": "importance",
    "late_worth": "late-share",
    "window_ms": "window-ms",
    "idle_ms": "keepalive-ms",
}
MAX_TICK_SHARE = 0.25  # of the shortest promise-ms; with a longer tick most timers are late


def is_sale_name(name: str) -> bool:
    """Whether a name of a class or method contains the word sale or sales."""
    return SALE_NAME.search(str(name)) is not None  # the loader also accepts a number as name


def check_platform(document: Document, environ: Mapping[str, str]) -> tuple[list[Finding], Config | None]:
    """Findings about the JSON as written and about the effective configuration, and that configuration, or
    None if the loader rejects it."""
    if document.failure is not None:
        consequence = known_fields.START_REFUSED
        return [
            error("unreadable", Role.PLATFORM, (), document.failure.message, consequence, "write it again")
        ], None
    findings = check_duplicate_keys(document, Role.PLATFORM)
    findings += known_fields.check(document.data)
    findings += check_variables(environ)
    try:
        config = build_config(document.data, environ, 0.0)
    except ConfigError as fault:
        if not any(item.severity.value == "error" for item in findings):
            role, path = _refused_field(str(fault), document, environ)
            message = " ".join(str(fault).split())
            findings.append(
                error("refused-start", role, path, message, known_fields.START_REFUSED, "correct the field")
            )
        return findings, None
    return findings + check_config(config), config


def check_duplicate_keys(document: Document, role: Role) -> list[Finding]:
    """An error for each duplicate key."""
    if not document.has_duplicates:
        return []
    consequence = "the last value is used, which a reader of the first one does not expect"
    return [
        error("duplicate-key", role, path, f"{path[-1]!r} occurs twice", consequence, "keep one")
        for path, _ in document.positions[1]
    ]


def check_variables(environ: Mapping[str, str]) -> list[Finding]:
    """Findings about misspelt variables of a sidecar."""
    findings = []
    for name in sorted(environ):
        if name.startswith("BALANCER_") and name not in FIELD_BY_VARIABLE:
            nearest_name = known_fields.nearest(name, list(FIELD_BY_VARIABLE))
            if nearest_name and nearest_name not in environ:
                message, consequence = (
                    f"unknown variable; the nearest known one is {nearest_name}",
                    "it is ignored, and the field in the JSON is used",
                )
                findings.append(
                    error(
                        "environment",
                        Role.ENVIRONMENT,
                        (name,),
                        message,
                        consequence,
                        f"write {nearest_name}",
                    )
                )
    return findings


def value_origin(environ: Mapping[str, str], variable: str) -> tuple[Role, FieldPath]:
    """Where the effective value of a field comes from that ``variable`` can override."""
    if environ.get(variable):
        return Role.ENVIRONMENT, (variable,)
    return Role.PLATFORM, FIELD_BY_VARIABLE[variable]


def _refused_field(error_text: str, document: Document, environ: Mapping[str, str]) -> tuple[Role, FieldPath]:
    """The field that an error of the loader is about."""
    field, _, rest = error_text.partition(": ")
    if field in FIELD_BY_VARIABLE:
        return value_origin(environ, field)
    if field == "known":
        match = re.match(r"hosts\[(\d+)\]\.(\w+)", rest)
        return Role.PLATFORM, ("known", "hosts", int(match[1]), match[2]) if match else ("known",)
    if field == "settings":
        match = re.search(r"(?:classes\[(.*)\]|(limits|rules))\.(\w+): ", rest)
        if match is None:
            return Role.PLATFORM, ("settings", "classes") if "classes" in rest else ("settings",)
        name = JSON_FIELD_NAMES.get(match[3], match[3].replace("_", "-"))
        if match[2]:
            return Role.PLATFORM, ("settings", match[2], name)
        names = [item.get("name") for item in document.data["settings"]["classes"]]
        return Role.PLATFORM, ("settings", "classes", names.index(match[1]), name)
    return Role.PLATFORM, tuple(field.split("."))


def class_path(config: Config, request_class: RequestClass, field: str) -> FieldPath:
    """The path of a request class's field in the platform's JSON."""
    return ("settings", "classes", config.settings.classes.index(request_class), field)


def check_config(config: Config) -> list[Finding]:
    """Violations of rules in service that need only the effective configuration."""
    return [
        *_check_addresses(config),
        *_check_classes(config),
        *_check_limits(config),
        *_check_cold_start(config),
    ]


def _check_addresses(config: Config) -> list[Finding]:
    if config.listen != config.discovery:
        return []
    message = "discovery is the sidecar's own address: the sidecar would query itself"
    consequence = "no drain is ever noticed, and a draining server still gets new calls"
    return [
        error("drain", Role.PLATFORM, ("discovery",), message, consequence, "write the address of discovery")
    ]


def _check_classes(config: Config) -> list[Finding]:
    findings: list[Finding] = []
    settings = config.settings
    limits = settings.limits
    for request_class in settings.classes:

        def at(field: str, request_class: RequestClass = request_class) -> FieldPath:
            return class_path(config, request_class, field)

        if is_sale_name(request_class.name) and request_class.effect is not Effect.UNSAFE:
            findings.append(
                error(
                    "sale-repeats",
                    Role.PLATFORM,
                    at("idempotency"),
                    f"class {request_class.name!r} is retried after it may have run",
                    "a sale whose answer is lost is sold twice",
                    "write 'single_shot'",
                )
            )
        if request_class.aim_ms > request_class.deadline_ms:
            message = (
                f"promise-ms {request_class.aim_ms:g} is more than give-up-ms {request_class.deadline_ms:g}"
            )
            consequence = "callers give up before the promised time of the answer"
            remedy = f"write {request_class.deadline_ms:g} or less"
            findings.append(error("time-outs", Role.PLATFORM, at("promise-ms"), message, consequence, remedy))
        least = limits.connect_timeout_ms + 2.0 * settings.tick_ms
        if request_class.effect is Effect.KEYED and request_class.window_ms <= least:
            message = f"window-ms {request_class.window_ms:g} leaves no time for a second attempt"
            consequence = (
                f"class {request_class.name!r} is never retried once it may have run, despite its key"
            )
            remedy = f"write how long the servers remember keys, more than {least:g}"
            findings.append(
                warning("few-attempts", Role.PLATFORM, at("window-ms"), message, consequence, remedy)
            )
    return findings


def _check_limits(config: Config) -> list[Finding]:
    findings: list[Finding] = []
    settings, limits = config.settings, config.settings.limits
    shortest = min(request_class.deadline_ms for request_class in settings.classes)
    promise = min(request_class.aim_ms for request_class in settings.classes)
    if limits.connect_timeout_ms >= shortest:
        path: FieldPath = ("settings", "limits", "connect-timeout-ms")
        message = f"{limits.connect_timeout_ms:g} ms is not below the shortest give-up-ms, {shortest:g}"
        consequence = (
            "one failed connection takes the whole time of a call, which is never tried at another server"
        )
        remedy = f"write {promise / 2:g} or less"
        findings.append(error("time-outs", Role.PLATFORM, path, message, consequence, remedy))
    if settings.tick_ms > MAX_TICK_SHARE * promise:
        path = ("settings", "tick-ms")
        message = f"{settings.tick_ms:g} ms is more than a quarter of the shortest promise-ms, {promise:g}"
        consequence = "calls are given up one tick early, and short ones at once"
        findings.append(error("time-outs", Role.PLATFORM, path, message, consequence, "write 1 to 5"))
    if limits.max_attempts == 1 and any(
        request_class.effect is not Effect.UNSAFE for request_class in settings.classes
    ):
        path = ("settings", "limits", "max-attempts")
        consequence = "a call that another server could serve fails with its first attempt"
        findings.append(
            warning("few-attempts", Role.PLATFORM, path, "one attempt per call", consequence, "write 3 or 4")
        )
    if settings.rules.drain_grace_ms > MAX_DRAIN_GRACE_MS:
        path = ("settings", "rules", "drain-grace-ms")
        message = f"{settings.rules.drain_grace_ms:g} ms is more than the allowed {MAX_DRAIN_GRACE_MS:g} ms"
        consequence = "a draining server may get new calls after 2 s, which are lost when it stops"
        findings.append(
            error("drain", Role.PLATFORM, path, message, consequence, f"write {MAX_DRAIN_GRACE_MS:g}")
        )
    return findings


def _check_cold_start(config: Config) -> list[Finding]:
    """A start-up limit is required if a class must not run twice. An application whose servers start warm
    states this in its description."""
    if not any(request_class.effect is Effect.UNSAFE for request_class in config.settings.classes):
        return []
    rules = config.settings.rules
    consequence = "a server that has just started gets the share of a warm one, fails, and its sales are lost"
    if rules.cold_ms <= 0:
        path: FieldPath = ("settings", "rules", "cold-ms")
        message = "no start-up limit: servers are treated as warm at once"
        return [
            error(
                "cold-start",
                Role.PLATFORM,
                path,
                message,
                consequence,
                "write how long servers take to warm up",
            )
        ]
    if rules.cold_from >= 1.0:
        path = ("settings", "rules", "cold-from")
        return [
            error(
                "cold-start",
                Role.PLATFORM,
                path,
                "a start-up limit without effect",
                consequence,
                "write the share, below 1",
            )
        ]
    return []
