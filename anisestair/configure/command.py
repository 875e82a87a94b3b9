"""`python -m anisestair config ...`: generates, checks, compares, explains and tries configurations."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from anisestair.configure import folder, render
from anisestair.configure.findings import RULES, Severity, dotted
from anisestair.configure.judge_app import (
    APP_NAME,
    OPERATOR_NAME,
    PLATFORM_NAME,
    Bundle,
    CheckResult,
    check_bundle,
)

if TYPE_CHECKING:  # each subcommand imports only what it needs, so that checking one file is quick
    from anisestair.configure.derive import DerivedConfig
    from anisestair.configure.description import App
    from anisestair.configure.source import Document

EXIT_OK, EXIT_FINDINGS, EXIT_UNREADABLE = 0, 1, 2

SAMPLE_APP = Path(__file__).resolve().parent.parent.parent / "deploy" / "apps" / "stall.toml"


class CommandError(Exception):
    """The command cannot run: one line for standard error, and exit code 2."""


def main(arguments: Sequence[str]) -> int:
    """Runs the subcommand that the arguments name; returns the exit code."""
    parser = argparse.ArgumentParser(prog="anisestair config", description=__doc__)
    subparsers = parser.add_subparsers(dest="subcommand", required=True)
    subparser = subparsers.add_parser(
        "generate", help="write an application's configuration from its description"
    )
    subparser.add_argument("app", type=Path, help="app.toml")
    subparser.add_argument(
        "--out", type=Path, help="folder to write to; default: the folder of the description"
    )
    subparser.add_argument("--anew", action="store_true", help="keep no values of the existing files")
    subparser.set_defaults(run=generate)
    subparser = subparsers.add_parser(
        "check", help="check configurations; exit code 0: valid, 1: errors, 2: unreadable"
    )
    subparser.add_argument("paths", type=Path, nargs="+", help="files, or folders to search recursively")
    subparser.add_argument("--format", choices=("text", "json", "sarif"), default="text")
    subparser.add_argument("--strict", action="store_true", help="warnings count as errors")
    subparser.set_defaults(run=check)
    subparser = subparsers.add_parser(
        "diff", help="show how behaviour changes from one configuration to another"
    )
    subparser.add_argument("old", type=Path)
    subparser.add_argument("new", type=Path)
    subparser.set_defaults(run=diff)
    subparser = subparsers.add_parser("explain", help="why a field has its value, or what a rule requires")
    subparser.add_argument(
        "field", help="a field such as settings.limits.max-attempts, a part of one, or the name of a rule"
    )
    subparser.add_argument(
        "app", type=Path, nargs="?", default=SAMPLE_APP, help="app.toml; default: a sample application"
    )
    subparser.set_defaults(run=explain)
    subparser = subparsers.add_parser("schema", help="print the JSON Schema of app.toml, for editors")
    subparser.set_defaults(run=print_schema)
    subparser = subparsers.add_parser(
        "try", help="send 10 s of calls through a real sidecar to simulated servers on loopback"
    )
    subparser.add_argument("app", type=Path, help="app.toml; a config.json in its folder is used unchanged")
    subparser.add_argument("--seconds", type=float, default=10.0)
    subparser.add_argument("--seed", type=int, default=1)
    subparser.add_argument("--unsafe", action="store_true", help="run despite errors, to see their effect")
    subparser.set_defaults(run=try_configuration)
    try:
        options = parser.parse_args(arguments)
        code: int = options.run(options)
        return code
    except (CommandError, folder.ConfigurationNotFoundError) as fault:
        print(f"anisestair: {fault}", file=sys.stderr)
        return EXIT_UNREADABLE
    except BrokenPipeError:  # the reader of a pipe has closed it
        sys.stderr.close()
        return EXIT_FINDINGS


def load_description(path: Path) -> tuple[App, Document]:
    """Reads and validates a description; raises CommandError with its first error."""
    document = folder.read_document(path)
    result = check_bundle(Bundle(str(path), app=document), {})
    if result.app is None or result.errors:
        raise CommandError(
            render.locate(result.bundle, result.errors)[0].finding.line(
                str(path), *document.locate(result.errors[0].path)
            )
        )
    return result.app, document


def generate(options: argparse.Namespace) -> int:
    """Writes the configuration of an application, keeping valid edits of existing files."""
    from anisestair.configure.derive import derive_keeping_edits

    app, document = load_description(options.app)
    out: Path = options.out or options.app.parent
    existing: list[Document | None] = [None, None]
    if not options.anew:
        existing = [
            folder.read_document(out / name) if (out / name).exists() else None
            for name in (PLATFORM_NAME, OPERATOR_NAME)
        ]
    derived = derive_keeping_edits(app, document.text, existing[0], existing[1])
    result = check_generated(derived, document)
    for line in derived.kept:
        print(f"kept: {line}")
    for line in derived.dropped:
        print(f"not kept: {line}")
    if result.errors:  # the description asks for more than its machine can carry
        for item in render.locate(result.bundle, result.errors):
            print(item.finding.line(item.file, item.line, item.column), file=sys.stderr)
        return EXIT_FINDINGS
    try:
        out.mkdir(parents=True, exist_ok=True)
        for name, text in ((PLATFORM_NAME, derived.platform_text), (OPERATOR_NAME, derived.operator_text)):
            write_atomically(out / name, text)
        if (out / APP_NAME).resolve() != options.app.resolve():
            write_atomically(out / APP_NAME, document.text)
    except OSError as fault:
        raise CommandError(f"{out}: {fault.strerror}: no further file was written") from None
    print(f"{app.name}: {PLATFORM_NAME} and {OPERATOR_NAME} written to {out}")
    return EXIT_OK


def write_atomically(path: Path, text: str) -> None:
    """Replaces the file in one step, since a sidecar may read it at any time (SIGHUP)."""
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(text, encoding="utf-8")
    os.replace(temporary, path)


def check_generated(derived: DerivedConfig, document: Document) -> CheckResult:
    """Checks a derived configuration; findings about the description name its file."""
    from anisestair.configure.derive import check_derived

    result = check_derived(derived, document.text)
    assert result.bundle.app is not None
    result.bundle.app.file = document.file  # findings name the file that was read
    return result


def check(options: argparse.Namespace) -> int:
    """Checks files and folders and prints the findings."""
    results = [
        check_bundle(bundle, folder.sidecar_environ(bundle, os.environ))
        for bundle in folder.find_bundles(options.paths)
    ]
    drift_findings = {}
    if len(results) > 1:
        from anisestair.configure import judge_fleet

        drift_findings = judge_fleet.drift(results)
    located = []
    for item in results:
        located += render.locate(item.bundle, [*item.findings, *drift_findings.get(item.bundle.name, [])])
    if options.format == "json":
        print(render.as_json(located, len(results)))
    elif options.format == "sarif":
        print(render.as_sarif(located))
    else:
        for line in render.as_text(located, len(results)):
            print(line)
    if any(item.finding.rule == "unreadable" for item in located):
        return EXIT_UNREADABLE
    if options.strict and located or any(item.finding.severity is Severity.ERROR for item in located):
        return EXIT_FINDINGS
    return EXIT_OK


def load_effective(path: Path) -> CheckResult:
    """The effective configuration of a file or folder; raises CommandError if there is not exactly one."""
    bundles = list(folder.find_bundles([path]))
    if len(bundles) != 1 or bundles[0].platform is None:
        raise CommandError(
            f"{path}: not exactly one configuration: found {len(bundles)}, or no {PLATFORM_NAME}"
        )
    if bundles[0].platform.failure is not None:
        raise CommandError(f"{path}: {bundles[0].platform.failure.message}")
    return check_bundle(bundles[0], folder.sidecar_environ(bundles[0], {}))


def diff(options: argparse.Namespace) -> int:
    """Prints how behaviour changes from one configuration to another."""
    from anisestair.configure import behaviour

    changes = behaviour.describe_changes(load_effective(options.old), load_effective(options.new))
    for item in changes:
        print(f"{item.impact.value}: {item.message}")
    if not changes:
        print("no change in behaviour")
    return EXIT_FINDINGS if any(item.impact is behaviour.Impact.RISK for item in changes) else EXIT_OK


def explain(options: argparse.Namespace) -> int:
    """Prints the reason for a field's value, or what a rule requires."""
    from anisestair.configure.derive import derive

    if options.field in RULES:
        print(f"{options.field}: {RULES[options.field]}")
        return EXIT_OK
    if options.app is SAMPLE_APP and not SAMPLE_APP.exists():
        raise CommandError("explain: specify an app.toml: the sample application is not installed")
    app, _ = load_description(options.app)
    reasons = [item for item in derive(app).reasons if options.field in dotted(item.path)]
    exact = [item for item in reasons if dotted(item.path) == options.field]
    for item in exact or reasons:
        print(f"{dotted(item.path)} = {item.value!r} ({item.role.value}, {app.name}): {item.explanation}")
    if not reasons:
        raise CommandError(f"{options.field}: neither a generated field of {app.name} nor a rule")
    return EXIT_OK


def print_schema(options: argparse.Namespace) -> int:
    """Prints the JSON Schema of app.toml."""
    from anisestair.configure.description import schema

    print(json.dumps(schema(), indent=2))
    return EXIT_OK


def try_configuration(options: argparse.Namespace) -> int:
    """Runs a trial of the configuration in the description's folder, or of the derived one."""
    from anisestair.configure import trial  # imports the simulated servers
    from anisestair.configure.derive import DerivedConfig, derive

    if not 2.0 <= options.seconds <= trial.MAX_SECONDS:
        raise CommandError(f"--seconds: not from 2 to {trial.MAX_SECONDS:g}")
    app, document = load_description(options.app)
    bundle = folder.load_folder(options.app.parent)
    if options.app.name == APP_NAME and bundle.platform is not None:
        result = check_bundle(bundle, folder.sidecar_environ(bundle, {}))
        if result.config is None:
            raise CommandError(f"{bundle.platform.file}: a sidecar would not start with it: see config check")
        operator = (
            bundle.operator.data if result.operator is not None and bundle.operator is not None else None
        )
        derived = DerivedConfig(bundle.platform.data, operator if operator else None, ())
        print(f"trying {bundle.platform.file} unchanged")
    else:
        derived = derive(app)
        result = check_generated(derived, document)
    for item in render.locate(result.bundle, result.findings):
        print(item.finding.line(item.file, item.line, item.column), file=sys.stderr)
    if result.errors and not options.unsafe:
        print("not tried: the configuration has errors; --unsafe tries it anyway", file=sys.stderr)
        return EXIT_FINDINGS
    return trial.run(app, derived, options.seconds, options.seed)
