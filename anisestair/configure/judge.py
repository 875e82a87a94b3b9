"""Checks on a sidecar's effective configuration alone: the platform's JSON, the environment over it. No I/O.

Light: a sidecar that starts runs them and prints what they find. What takes the application's description is
in judge_app.
"""

from __future__ import annotations

import re
from collections.abc import Mapping

from anisestair.configure import known_fields
from anisestair.configure.effective import Config, ConfigError, build_config
from anisestair.configure.findings import Finding, Path, Role, error, warning
from anisestair.configure.source import Document
from hareloom.interface import Effect, RequestClass

DRAIN_MS = 2000.0  # the operators' rule: nothing new to a draining server later than this
VARIABLES = {  # what stands in the environment wins over the JSON's field
    "BALANCER_NAME": ("name",),
    "BALANCER_LISTEN": ("listen",),
    "BALANCER_DISCOVERY": ("discovery",),
    "BALANCER_MGMT": ("mgmt",),
    "BALANCER_CONFIG": (),
    "BALANCER_INHERITED_FD": (),
}
# Whole word, in any of the spellings of names: sale, order.sale, sales-v2, but not wholesale.
SALE = re.compile(r"(?:^|[^a-z])sales?(?:$|[^a-z])", re.IGNORECASE)
# The module's own names of fields that its settings refuse, as the JSON has them.
JSON_NAMES = {
    "aim_ms": "promise-ms",
    "deadline_ms": "give-up-ms",
    "worth": "importance",
    "late_worth": "late-share",
    "window_ms": "window-ms",
    "idle_ms": "keepalive-ms",
}
TICK_SHARE = 0.25  # of the shortest promise: a tick above it makes most timers late


def names_a_sale(name: str) -> bool:
    return SALE.search(str(name)) is not None  # the loader takes a name that is a number


def platform(document: Document, environ: Mapping[str, str]) -> tuple[list[Finding], Config | None]:
    """What is found in the JSON as written and in what the loader makes of it with these variables; the
    configuration itself, where the loader takes it."""
    if document.flaw is not None:
        would = known_fields.REFUSED
        return [error("unreadable", Role.PLATFORM, (), document.flaw.says, would, "write it anew")], None
    found = repeated(document, Role.PLATFORM)
    found += known_fields.check(document.data)
    found += variables(environ)
    try:
        config = build_config(document.data, environ, 0.0)
    except ConfigError as fault:
        if not any(item.severity.value == "error" for item in found):
            role, path = _refused(str(fault), document, environ)
            says = " ".join(str(fault).split())
            found.append(error("refused-start", role, path, says, known_fields.REFUSED, "correct the field"))
        return found, None
    return found + rules(config), config


def repeated(document: Document, role: Role) -> list[Finding]:
    if not document.repeated:
        return []
    would = "the last one counts, and whoever reads the first one is misled"
    return [
        error("duplicate-key", role, path, f"{path[-1]!r} stands twice", would, "leave one")
        for path, _ in document.spots[1]
    ]


def variables(environ: Mapping[str, str]) -> list[Finding]:
    """Variables that are meant for a sidecar and misspelt."""
    found = []
    for name in sorted(environ):
        if name.startswith("BALANCER_") and name not in VARIABLES:
            near = known_fields.nearest(name, list(VARIABLES))
            if near and near not in environ:
                says, would = (
                    f"unknown variable; nearest is {near}",
                    "it is passed over, and the JSON's field counts",
                )
                found.append(error("environment", Role.ENVIRONMENT, (name,), says, would, f"write {near}"))
    return found


def origin(environ: Mapping[str, str], variable: str) -> tuple[Role, Path]:
    """Where the effective value of a field comes from that a variable can override."""
    if environ.get(variable):
        return Role.ENVIRONMENT, (variable,)
    return Role.PLATFORM, VARIABLES[variable]


def _refused(said: str, document: Document, environ: Mapping[str, str]) -> tuple[Role, Path]:
    """The field that a loader's line is about."""
    field, _, rest = said.partition(": ")
    if field in VARIABLES:
        return origin(environ, field)
    if field == "known":
        inner = re.match(r"hosts\[(\d+)\]\.(\w+)", rest)
        return Role.PLATFORM, ("known", "hosts", int(inner[1]), inner[2]) if inner else ("known",)
    if field == "settings":
        inner = re.search(r"(?:classes\[(.*)\]|(limits|rules))\.(\w+): ", rest)
        if inner is None:
            return Role.PLATFORM, ("settings", "classes") if "classes" in rest else ("settings",)
        name = JSON_NAMES.get(inner[3], inner[3].replace("_", "-"))
        if inner[2]:
            return Role.PLATFORM, ("settings", inner[2], name)
        names = [item.get("name") for item in document.data["settings"]["classes"]]
        return Role.PLATFORM, ("settings", "classes", names.index(inner[1]), name)
    return Role.PLATFORM, tuple(field.split("."))


def class_path(config: Config, klass: RequestClass, field: str) -> Path:
    return ("settings", "classes", config.settings.classes.index(klass), field)


def rules(config: Config) -> list[Finding]:
    """What would break a rule in service, by the effective configuration alone."""
    return [*_addresses(config), *_classes(config), *_limits(config), *_cold(config)]


def _addresses(config: Config) -> list[Finding]:
    if config.listen != config.discovery:
        return []
    says = "discovery is the sidecar's own address: it would ask itself"
    would = "no drain is ever heard of, and a draining server goes on getting new calls"
    return [error("drain", Role.PLATFORM, ("discovery",), says, would, "write discovery's address")]


def _classes(config: Config) -> list[Finding]:
    found: list[Finding] = []
    settings = config.settings
    limits = settings.limits
    for klass in settings.classes:

        def at(field: str, klass: RequestClass = klass) -> Path:
            return class_path(config, klass, field)

        if names_a_sale(klass.name) and klass.effect is not Effect.UNSAFE:
            found.append(
                error(
                    "sale-repeats",
                    Role.PLATFORM,
                    at("idempotency"),
                    f"class {klass.name!r} is sent again after it may have run",
                    "a sale whose answer is lost is sold twice",
                    "write 'single_shot'",
                )
            )
        if klass.aim_ms > klass.deadline_ms:
            says = f"promise-ms {klass.aim_ms:g} is more than give-up-ms {klass.deadline_ms:g}"
            would = "callers go away before the time within which they are promised an answer"
            mend = f"write {klass.deadline_ms:g} or less"
            found.append(error("time-outs", Role.PLATFORM, at("promise-ms"), says, would, mend))
        least = limits.connect_timeout_ms + 2.0 * settings.tick_ms
        if klass.effect is Effect.KEYED and klass.window_ms <= least:
            says = f"window-ms {klass.window_ms:g} leaves no time for a second attempt"
            would = f"class {klass.name!r} is never sent again once it may have run, though its key allows it"
            mend = f"write what the servers keep to, more than {least:g}"
            found.append(warning("few-attempts", Role.PLATFORM, at("window-ms"), says, would, mend))
    return found


def _limits(config: Config) -> list[Finding]:
    found: list[Finding] = []
    settings, limits = config.settings, config.settings.limits
    shortest = min(klass.deadline_ms for klass in settings.classes)
    promise = min(klass.aim_ms for klass in settings.classes)
    if limits.connect_timeout_ms >= shortest:
        path: Path = ("settings", "limits", "connect-timeout-ms")
        says = f"{limits.connect_timeout_ms:g} ms is no less than the shortest give-up-ms, {shortest:g}"
        would = "a connection that does not come up takes a call's whole time; it is never tried elsewhere"
        mend = f"write {promise / 2:g} or less"
        found.append(error("time-outs", Role.PLATFORM, path, says, would, mend))
    if settings.tick_ms > TICK_SHARE * promise:
        path = ("settings", "tick-ms")
        says = f"{settings.tick_ms:g} ms is more than a quarter of the shortest promise-ms, {promise:g}"
        would = "calls are given up on a tick early, and short ones at once"
        found.append(error("time-outs", Role.PLATFORM, path, says, would, "write 1 to 5"))
    if limits.max_attempts == 1 and any(klass.effect is not Effect.UNSAFE for klass in settings.classes):
        path = ("settings", "limits", "max-attempts")
        would = "a call that could be served elsewhere fails with its first attempt"
        found.append(
            warning("few-attempts", Role.PLATFORM, path, "one attempt for each call", would, "write 3 or 4")
        )
    if settings.rules.drain_grace_ms > DRAIN_MS:
        path = ("settings", "rules", "drain-grace-ms")
        says = f"{settings.rules.drain_grace_ms:g} ms is more than the {DRAIN_MS:g} ms of the rule"
        would = "a draining server may be sent new calls after its 2 s, and ends with them"
        found.append(error("drain", Role.PLATFORM, path, says, would, f"write {DRAIN_MS:g}"))
    return found


def _cold(config: Config) -> list[Finding]:
    """Owed where something may run once only; a fleet that starts warm says so in a description."""
    if not any(klass.effect is Effect.UNSAFE for klass in config.settings.classes):
        return []
    rules = config.settings.rules
    would = "a server that has just started gets a warm one's share, falls over, and takes its sales with it"
    if rules.cold_ms <= 0:
        path: Path = ("settings", "rules", "cold-ms")
        says = "no start-up limit: servers count as warm at once"
        return [
            error("cold-start", Role.PLATFORM, path, says, would, "write how long servers take to warm up")
        ]
    if rules.cold_from >= 1.0:
        path = ("settings", "rules", "cold-from")
        return [
            error(
                "cold-start",
                Role.PLATFORM,
                path,
                "a start-up limit of nothing",
                would,
                "write the share, below 1",
            )
        ]
    return []
