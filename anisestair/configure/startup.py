"""What whoever starts a sidecar is told of its configuration: what `config check` finds, on standard error.

The rule: the loader alone decides whether a sidecar starts. What is found here is printed and nothing else;
a check that fails by itself costs one line. So no start that worked before is stopped.
"""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from anisestair.configure.findings import Finding
from anisestair.configure.judge import platform
from anisestair.configure.source import Document, decode

MAX_LINES = 20  # of findings at a start: the rest is for `config check`, and the log is for the service


def finding_lines(environ: Mapping[str, str], operator: Path | None = None) -> list[str]:
    """One line for each finding, for standard error; none where there is nothing to say. Never raises."""
    try:
        return _lines(environ, operator)
    except Exception as fault:  # whatever it is, the sidecar has started and goes on
        return [
            f"the configuration could not be judged: {type(fault).__name__}: {' '.join(str(fault).split())}"
        ]


def _lines(environ: Mapping[str, str], operator: Path | None) -> list[str]:
    path = Path(environ["BALANCER_CONFIG"])
    document = decode(str(path), "json", path.read_bytes())
    found, config = platform(document, environ)
    said = [_line(document, item) for item in found]
    if operator is not None and config is not None:
        from anisestair.configure import judge_app  # needs what an operator's file needs

        text = decode(str(operator), "toml", operator.read_bytes())
        more, tables = judge_app.operator_file(text)
        if tables is not None and tables.rpc is not None:
            more += judge_app.rpc(config, tables.rpc, None)
        said += [_line(text, item) for item in more]
    if len(said) > MAX_LINES:
        said[MAX_LINES:] = [f"{len(said) - MAX_LINES} more: python -m anisestair config check {path}"]
    return said


def _line(document: Document, item: Finding) -> str:
    return item.line(document.file, *document.place(item.path))
