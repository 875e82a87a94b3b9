"""Findings as text for people, JSON for scripts, and SARIF for what shows them beside the line. No I/O."""

from __future__ import annotations

import json
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from anisestair.configure.findings import RULES, Finding, Role, Severity, dotted
from anisestair.configure.judge_app import Bundle

SARIF = "https://json.schemastore.org/sarif-2.1.0.json"  # the OASIS standard, version 2.1.0


@dataclass(frozen=True, slots=True)
class Placed:
    """A finding with the file, line and column that it is about; lines and columns from 1."""

    file: str
    line: int
    column: int
    finding: Finding


def place(bundle: Bundle, found: Sequence[Finding]) -> list[Placed]:
    """In the order of files and lines. What is about a text that there is none of stands at the first."""
    placed = []
    for item in found:
        document = bundle.document(item.role)
        if document is not None:
            placed.append(Placed(document.file, *document.place(item.path), item))
            continue
        other = bundle.platform or bundle.app or bundle.operator or bundle.environment
        name = (
            f"({item.role.value})"
            if item.role is Role.ENVIRONMENT
            else other.file
            if other is not None
            else ""
        )
        placed.append(Placed(name, 1, 1, item))
    return sorted(placed, key=lambda item: (item.file, item.line, item.column, item.finding.rule))


def text(placed: Sequence[Placed], files: int) -> Iterator[str]:
    for item in placed:
        yield item.finding.line(item.file, item.line, item.column)
    errors = sum(item.finding.severity is Severity.ERROR for item in placed)
    yield f"{files} configurations: {errors} errors, {len(placed) - errors} warnings"


def as_json(placed: Sequence[Placed], files: int) -> str:
    found = [
        {
            "file": item.file,
            "line": item.line,
            "column": item.column,
            "severity": item.finding.severity.value,
            "rule": item.finding.rule,
            "field": dotted(item.finding.path),
            "says": item.finding.says,
            "would": item.finding.would,
            "mend": item.finding.mend,
        }
        for item in placed
    ]
    return json.dumps({"configurations": files, "findings": found}, indent=2, ensure_ascii=False)


def _message(item: Finding) -> str:
    return f"{dotted(item.path)}: {item.says}; {item.would}; {item.mend}"


def sarif(placed: Sequence[Placed]) -> str:
    """One run; rules by their stable names, results with a region of one point."""
    names = list(RULES)
    results: list[dict[str, Any]] = [
        {
            "ruleId": item.finding.rule,
            "ruleIndex": names.index(item.finding.rule),
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
        for item in placed
    ]
    rules = [{"id": name, "shortDescription": {"text": says}} for name, says in RULES.items()]
    driver = {"name": "anisestair config check", "rules": rules}
    run = {"tool": {"driver": driver}, "columnKind": "unicodeCodePoints", "results": results}
    return json.dumps({"$schema": SARIF, "version": "2.1.0", "runs": [run]}, indent=2, ensure_ascii=False)
