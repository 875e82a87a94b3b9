"""The rules of the configuration check, and the findings that report a violation. No I/O.

A sidecar imports this module when it starts, so it has no costly imports. A finding is an error if the
configuration breaks service, which tests show for each rule against simulated servers; otherwise it is a
warning.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FieldPath = tuple[str | int, ...]


class Severity(Enum):
    """Whether a finding breaks service or is only suspicious."""

    ERROR = "error"
    WARNING = "warning"


class Role(Enum):
    """Which of an application's files, or the environment, a finding is about."""

    PLATFORM = "the platform's JSON"
    OPERATOR = "the operator's file"
    APP = "the application's description"
    ENVIRONMENT = "the environment"


# What each rule requires, by the rule's name. The names are stable, since scripts and SARIF readers use them.
RULES = {
    "unreadable": "a file can be read and is within the size limits",
    "duplicate-key": "a key occurs once in an object: only the last value of a duplicate key is used",
    "unknown-field": "a field has a known name",
    "wrong-type": "a field has the expected type",
    "unknown-value": "a field has one of its allowed values",
    "out-of-range": "a number is finite and within its range",
    "unit": "a number has a plausible size for its unit",
    "refused-start": "a sidecar accepts the configuration and starts",
    "sale-repeats": "a call that must not run twice is never retried once it may have run",
    "keyed-window": "a keyed call is retried only while servers remember its key",
    "keyed-group": "a keyed call is retried only at servers that know its key",
    "turned-away": "only errors that are sent before a call runs count as rejected before running",
    "drain": "a draining server gets no new calls from 2 s after discovery has reported the drain",
    "cold-start": "a server that starts cold is sent no more than it can serve while it warms up",
    "time-outs": "timeouts fit the callers' deadlines",
    "idle": "idle connections are closed before their servers close them",
    "capacity": "descriptors and memory are sufficient for the declared rate and burst",
    "contradiction": "the parts of a configuration agree",
    "uncovered-call": "every call of the application has a request class, and every method a pattern",
    "environment": "the environment variables select the configuration that is checked",
    "few-attempts": "a call that may be repeated is retried",
    "drift": "applications of the same kind have the same configuration",
}


@dataclass(frozen=True, slots=True)
class Finding:
    """A violation of one rule at one field. ``consequence``: the effect in service; ``remedy``: how to fix
    it."""

    rule: str
    severity: Severity
    role: Role
    path: FieldPath
    message: str
    consequence: str
    remedy: str

    def line(self, file: str, line: int, column: int) -> str:
        """One line: file:line:column as compilers print it, then the message, consequence and remedy."""
        where = f"{file}:{line}:{column}: {self.severity.value}: {self.rule}: {dotted(self.path)}"
        return f"{where}: {self.message}; {self.consequence}; {self.remedy}"


def error(rule: str, role: Role, path: FieldPath, message: str, consequence: str, remedy: str) -> Finding:
    """A finding that breaks service."""
    assert rule in RULES, rule
    return Finding(rule, Severity.ERROR, role, path, message, consequence, remedy)


def warning(rule: str, role: Role, path: FieldPath, message: str, consequence: str, remedy: str) -> Finding:
    """A finding that does not break service by itself."""
    assert rule in RULES, rule
    return Finding(rule, Severity.WARNING, role, path, message, consequence, remedy)


def dotted(path: FieldPath) -> str:
    """Returns a path in dotted notation: settings.classes[0].window-ms."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else str(step)
    return text or "(whole file)"
