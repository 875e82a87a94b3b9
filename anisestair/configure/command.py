"""`python -m anisestair config ...`: write, check, compare, explain and try configurations."""

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
    Judged,
    judge_bundle,
)

if TYPE_CHECKING:  # each subcommand loads its own: a check of one file is to be quick
    from anisestair.configure.derive import Derived
    from anisestair.configure.description import App
    from anisestair.configure.source import Document

GOOD, FOUND, UNREADABLE = 0, 1, 2

SAMPLE = Path(__file__).resolve().parent.parent.parent / "deploy" / "apps" / "stall.toml"


class Unusable(Exception):
    """One line for standard error, and exit 2."""


def main(arguments: Sequence[str]) -> int:
    words = argparse.ArgumentParser(prog="anisestair config", description=__doc__)
    each = words.add_subparsers(dest="what", required=True)
    one = each.add_parser("generate", help="write an application's configuration from its description")
    one.add_argument("app", type=Path, help="app.toml")
    one.add_argument("--out", type=Path, help="the folder to write to; the description's own where not given")
    one.add_argument("--anew", action="store_true", help="keep nothing of what stands there")
    one.set_defaults(run=generate)
    one = each.add_parser("check", help="judge configurations; exit 0: good, 1: errors, 2: cannot be read")
    one.add_argument("paths", type=Path, nargs="+", help="files, or folders to walk")
    one.add_argument("--format", choices=("text", "json", "sarif"), default="text")
    one.add_argument("--strict", action="store_true", help="warnings count as errors")
    one.set_defaults(run=check)
    one = each.add_parser("diff", help="what changes in behaviour from one configuration to another")
    one.add_argument("old", type=Path)
    one.add_argument("new", type=Path)
    one.set_defaults(run=diff)
    one = each.add_parser("explain", help="why a field has its value, or what a rule holds")
    one.add_argument("field", help="as settings.limits.max-attempts, a part of one, or a rule's name")
    one.add_argument(
        "app", type=Path, nargs="?", default=SAMPLE, help="app.toml; a sample stall where not given"
    )
    one.set_defaults(run=explain)
    one = each.add_parser("schema", help="the JSON Schema of app.toml, for editors")
    one.set_defaults(run=print_schema)
    one = each.add_parser("try", help="10 s of calls through a real sidecar, between stand-ins on loopback")
    one.add_argument("app", type=Path, help="app.toml; a config.json beside it is tried as it stands")
    one.add_argument("--seconds", type=float, default=10.0)
    one.add_argument("--seed", type=int, default=1)
    one.add_argument("--unsafe", action="store_true", help="try it in spite of errors, to see what they do")
    one.set_defaults(run=try_out)
    try:
        given = words.parse_args(arguments)
        code: int = given.run(given)
        return code
    except (Unusable, folder.NoSuchConfiguration) as fault:
        print(f"anisestair: {fault}", file=sys.stderr)
        return UNREADABLE
    except BrokenPipeError:  # the reader of a pipe has seen enough
        sys.stderr.close()
        return FOUND


def described(path: Path) -> tuple[App, Document]:
    """A description that can be used; raises Unusable with its first error."""
    document = folder.read(path)
    judged = judge_bundle(Bundle(str(path), app=document), {})
    if judged.app is None or judged.errors:
        raise Unusable(
            render.place(judged.bundle, judged.errors)[0].finding.line(
                str(path), *document.place(judged.errors[0].path)
            )
        )
    return judged.app, document


def generate(given: argparse.Namespace) -> int:
    from anisestair.configure.derive import keeping

    app, document = described(given.app)
    out: Path = given.out or given.app.parent
    older: list[Document | None] = [None, None]
    if not given.anew:
        older = [
            folder.read(out / name) if (out / name).exists() else None
            for name in (PLATFORM_NAME, OPERATOR_NAME)
        ]
    derived = keeping(app, document.text, older[0], older[1])
    judged = judge_derived(derived, document)
    for line in derived.kept:
        print(f"kept: {line}")
    for line in derived.dropped:
        print(f"not kept: {line}")
    if judged.errors:  # the description asks for what its machine cannot carry
        for item in render.place(judged.bundle, judged.errors):
            print(item.finding.line(item.file, item.line, item.column), file=sys.stderr)
        return FOUND
    try:
        out.mkdir(parents=True, exist_ok=True)
        for name, text in ((PLATFORM_NAME, derived.platform_text), (OPERATOR_NAME, derived.operator_text)):
            replace(out / name, text)
        if (out / APP_NAME).resolve() != given.app.resolve():
            replace(out / APP_NAME, document.text)
    except OSError as fault:
        raise Unusable(f"{out}: {fault.strerror}: nothing more was written") from None
    print(f"{app.name}: {PLATFORM_NAME} and {OPERATOR_NAME} written to {out}")
    return GOOD


def replace(path: Path, text: str) -> None:
    """Whole or not at all: a sidecar may read the file at any time (SIGHUP)."""
    beside = path.with_name(path.name + ".new")
    beside.write_text(text, encoding="utf-8")
    os.replace(beside, path)


def judge_derived(derived: Derived, document: Document) -> Judged:
    from anisestair.configure.derive import judge

    judged = judge(derived, document.text)
    assert judged.bundle.app is not None
    judged.bundle.app.file = document.file  # told where it really stands
    return judged


def check(given: argparse.Namespace) -> int:
    found = [judge_bundle(each, folder.environ_of(each, os.environ)) for each in folder.bundles(given.paths)]
    drifts = {}
    if len(found) > 1:
        from anisestair.configure import judge_fleet

        drifts = judge_fleet.drift(found)
    placed = []
    for item in found:
        placed += render.place(item.bundle, [*item.findings, *drifts.get(item.bundle.name, [])])
    if given.format == "json":
        print(render.as_json(placed, len(found)))
    elif given.format == "sarif":
        print(render.sarif(placed))
    else:
        for line in render.text(placed, len(found)):
            print(line)
    if any(item.finding.rule == "unreadable" for item in placed):
        return UNREADABLE
    if given.strict and placed or any(item.finding.severity is Severity.ERROR for item in placed):
        return FOUND
    return GOOD


def effective(path: Path) -> Judged:
    """What a file or folder comes to; raises Unusable where there is not one configuration."""
    found = list(folder.bundles([path]))
    if len(found) != 1 or found[0].platform is None:
        raise Unusable(
            f"{path}: not one application's configuration, but {len(found)} of them or no {PLATFORM_NAME}"
        )
    if found[0].platform.flaw is not None:
        raise Unusable(f"{path}: {found[0].platform.flaw.says}")
    return judge_bundle(found[0], folder.environ_of(found[0], {}))


def diff(given: argparse.Namespace) -> int:
    from anisestair.configure import behaviour

    found = behaviour.changes(effective(given.old), effective(given.new))
    for item in found:
        print(f"{item.turn.value}: {item.says}")
    if not found:
        print("nothing changes in behaviour")
    return FOUND if any(item.turn is behaviour.Turn.RISK for item in found) else GOOD


def explain(given: argparse.Namespace) -> int:
    from anisestair.configure.derive import derive

    if given.field in RULES:
        print(f"{given.field}: {RULES[given.field]}")
        return GOOD
    if given.app is SAMPLE and not SAMPLE.exists():
        raise Unusable("explain: name an app.toml: the sample is not installed")
    app, _ = described(given.app)
    reasons = [item for item in derive(app).reasons if given.field in dotted(item.path)]
    exact = [item for item in reasons if dotted(item.path) == given.field]
    for item in exact or reasons:
        print(f"{dotted(item.path)} = {item.value!r} ({item.role.value}, {app.name}): {item.figures}")
    if not reasons:
        raise Unusable(f"{given.field}: no field of what is derived for {app.name}, and no rule")
    return GOOD


def print_schema(given: argparse.Namespace) -> int:
    from anisestair.configure.description import schema

    print(json.dumps(schema(), indent=2))
    return GOOD


def try_out(given: argparse.Namespace) -> int:
    from anisestair.configure import trial  # loads the stand-ins
    from anisestair.configure.derive import Derived, derive

    if not 2.0 <= given.seconds <= trial.MOST_SECONDS:
        raise Unusable(f"--seconds: not within 2 to {trial.MOST_SECONDS:g}")
    app, document = described(given.app)
    beside = folder.of_folder(given.app.parent)
    if given.app.name == APP_NAME and beside.platform is not None:
        judged = judge_bundle(beside, folder.environ_of(beside, {}))
        if judged.config is None:
            raise Unusable(f"{beside.platform.file}: no sidecar starts with it: see config check")
        operator = (
            beside.operator.data if judged.operator is not None and beside.operator is not None else None
        )
        derived = Derived(beside.platform.data, operator if operator else None, ())
        print(f"trying {beside.platform.file} as it stands")
    else:
        derived = derive(app)
        judged = judge_derived(derived, document)
    for item in render.place(judged.bundle, judged.findings):
        print(item.finding.line(item.file, item.line, item.column), file=sys.stderr)
    if judged.errors and not given.unsafe:
        print("not tried: it has errors; --unsafe tries it all the same", file=sys.stderr)
        return FOUND
    return trial.run(app, derived, given.seconds, given.seed)
