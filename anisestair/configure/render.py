"""Formats findings as text for people, JSON for scripts, and SARIF for editors and code review. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from anisestair.configure.findings import RULES, Finding, Role, Severity, dotted
from anisestair.configure.judge_app import Bundle

SARIF_SCHEMA_URL = "https://json.schemastore.org/sarif-2.1.0.json"  # OASIS standard, version 2.1.0


@dataclass(frozen=True, slots=True)
class LocatedFinding:
    """A finding with its file, line and column; lines and columns count from 1."""

    file: str
    line: int
    column: int
    finding: Finding


def locate(bundle: Bundle, findings: Sequence[Finding]) -> list[LocatedFinding]:
    """Locates findings, sorted by file and line. A finding about a file that does not exist is placed at the
    start of another file of the bundle."""
    located = []
    for item in findings:
        document = bundle.document(item.role)
        if document is not None:
            located.append(LocatedFinding(document.file, *document.locate(item.path), item))
            continue
        other = bundle.platform or bundle.app or bundle.operator or bundle.environment
        name = (
            f"({item.role.value})"
            if item.role is Role.ENVIRONMENT
            else other.file
            if other is not None
            else ""
        )
        located.append(LocatedFinding(name, 1, 1, item))
    return sorted(located, key=lambda item: (item.file, item.line, item.column, item.finding.rule))


def as_text(located: Sequence[LocatedFinding], count: int) -> Iterator[str]:
    """One line for each finding, then a summary."""
    for item in located:
        yield item.finding.line(item.file, item.line, item.column)
    errors = sum(item.finding.severity is Severity.ERROR for item in located)
    yield f"{count} configurations: {errors} errors, {len(located) - errors} warnings"


def as_json(located: Sequence[LocatedFinding], count: int) -> str:
    """The findings as a JSON object."""
    findings = [
        {
            "file": item.file,
            "line": item.line,
            "column": item.column,
            "severity": item.finding.severity.value,
            "rule": item.finding.rule,
            "field": dotted(item.finding.path),
            "says": item.finding.message,
            "would": item.finding.consequence,
            "mend": item.finding.remedy,
        }
        for item in located
    ]
    return json.dumps({"configurations": count, "findings": findings}, indent=2, ensure_ascii=False)


def _message(item: Finding) -> str:
    return f"{dotted(item.path)}: {item.message}; {item.consequence}; {item.remedy}"


def as_sarif(located: Sequence[LocatedFinding]) -> str:
    """One SARIF run. Rules have their stable names; the region of a result is a single position."""
    rule_names = list(RULES)
    results: list[dict[str, Any]] = [
        {
            "ruleId": item.finding.rule,
            "ruleIndex": rule_names.index(item.finding.rule),
            "level": item.finding.severity.value,
            "message": {"text": _message(item.finding)},
            "locations": [
                {
                    "physicalLocation": {
                        "artifactLocation": {"uri": item.file.replace("\\", "/")},
                        "region": {"startLine": item.line, "startColumn": item.column},
                    }
                }
            ],
        }
        for item in located
    ]
    rules = [{"id": name, "shortDescription": {"text": requirement}} for name, requirement in RULES.items()]
    driver = {"name": "anisestair config check", "rules": rules}
    run = {"tool": {"driver": driver}, "columnKind": "unicodeCodePoints", "results": results}
    return json.dumps(
        {"$schema": SARIF_SCHEMA_URL, "version": "2.1.0", "runs": [run]}, indent=2, ensure_ascii=False
    )
