"""What a check can find: the rules, and a finding against one. No I/O; light, for starting sidecars load it.

A finding is an error where service breaks by it (the tests show each rule so, against stand-ins), else a
warning.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

Path = tuple[str | int, ...]


class Severity(Enum):
    ERROR = "error"
    WARNING = "warning"


class Role(Enum):
    """Which of an application's texts a finding is about."""

    PLATFORM = "the platform's JSON"
    OPERATOR = "the operator's file"
    APP = "the application's description"
    ENVIRONMENT = "the environment"


# The rules by name: what each holds. The names are stable: scripts and SARIF readers hang on them.
RULES = {
    "unreadable": "a file can be read, within its bounds",
    "duplicate-key": "a key stands once in an object: the last one counts, whatever the first one says",
    "unknown-field": "a field has a name that is read",
    "wrong-type": "a field has the type that is read",
    "unknown-value": "a field has one of the values that are known",
    "out-of-range": "a number is finite and within the range that is read",
    "unit": "a number is of a size that its unit makes likely",
    "refused-start": "a sidecar takes the configuration and starts",
    "sale-repeats": "a call that may run once is never sent again once it may have run",
    "keyed-window": "a keyed call is sent again only while servers remember its key",
    "keyed-group": "a keyed call is sent again only to servers that know its key",
    "turned-away": "only an error that is sent before a call runs counts as turned away",
    "drain": "nothing new goes to a draining server later than 2 s after discovery has told of it",
    "cold-start": "a server that starts cold is sent no more than it can do while it warms up",
    "time-outs": "time-outs fit the deadlines that callers keep",
    "idle": "kept connections are given up before their servers close them",
    "capacity": "descriptors and memory are enough for the declared rate and burst",
    "contradiction": "the parts of a configuration agree",
    "uncovered-call": "every call of the application has a class, and a method has a pattern",
    "environment": "the environment leads to the configuration that is checked",
    "few-attempts": "a call that may be repeated is sent again",
    "drift": "applications of one kind are configured alike",
}


@dataclass(frozen=True, slots=True)
class Finding:
    """Against one rule, at one field. ``would``: what happens in service; ``mend``: what to write."""

    rule: str
    severity: Severity
    role: Role
    path: Path
    says: str
    would: str
    mend: str

    def line(self, file: str, line: int, column: int) -> str:
        """file:line:column, as editors and compilers have it, then what, why and how."""
        where = f"{file}:{line}:{column}: {self.severity.value}: {self.rule}: {dotted(self.path)}"
        return f"{where}: {self.says}; {self.would}; {self.mend}"


def error(rule: str, role: Role, path: Path, says: str, would: str, mend: str) -> Finding:
    assert rule in RULES, rule
    return Finding(rule, Severity.ERROR, role, path, says, would, mend)


def warning(rule: str, role: Role, path: Path, says: str, would: str, mend: str) -> Finding:
    assert rule in RULES, rule
    return Finding(rule, Severity.WARNING, role, path, says, would, mend)


def dotted(path: Path) -> str:
    """A path as people write it: settings.classes[0].window-ms."""
    text = ""
    for step in path:
        text += f"[{step}]" if isinstance(step, int) else f".{step}" if text else str(step)
    return text or "(the whole)"
