"""Checks the configuration when a sidecar starts: lines for standard error with `config check`'s findings.

Only the loader decides whether a sidecar starts. The findings are just printed, and a failure of the check
itself costs one line, so the check never prevents a start.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from anisestair.configure.findings import Finding
from anisestair.configure.judge import check_platform
from anisestair.configure.source import Document, decode

MAX_LINES = 20  # findings in the log of a start; `config check` prints all


def finding_lines(environ: Mapping[str, str], operator: Path | None = None) -> list[str]:
    """One line for each finding; none if there is nothing to report. Never raises."""
    try:
        return _check(environ, operator)
    except Exception as fault:  # the sidecar has started and must go on, whatever fails here
        return [
            f"the configuration could not be checked: {type(fault).__name__}: {' '.join(str(fault).split())}"
        ]


def _check(environ: Mapping[str, str], operator: Path | None) -> list[str]:
    path = Path(environ["BALANCER_CONFIG"])
    document = decode(str(path), "json", path.read_bytes())
    findings, config = check_platform(document, environ)
    lines = [_line(document, item) for item in findings]
    if operator is not None and config is not None:
        from anisestair.configure import judge_app  # needs the libraries for an operator's file

        text = decode(str(operator), "toml", operator.read_bytes())
        more, tables = judge_app.check_operator(text)
        if tables is not None and tables.rpc is not None:
            more += judge_app.check_rpc(config, tables.rpc, None)
        lines += [_line(text, item) for item in more]
    if len(lines) > MAX_LINES:
        lines[MAX_LINES:] = [f"{len(lines) - MAX_LINES} more: python -m anisestair config check {path}"]
    return lines


def _line(document: Document, item: Finding) -> str:
    return item.line(document.file, *document.locate(item.path))
