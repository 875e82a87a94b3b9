"""`config check`: every bad configuration of the corpus is rejected where it is bad, and no good one is."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import config_corpus as corpus
import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from anisestair.configure import command, folder, known_fields, source
from anisestair.configure.findings import RULES, Role, Severity
from anisestair.configure.judge_app import Judged, judge_bundle

ROOT = Path(__file__).parent.parent
BAD = list(corpus.bad())
GOOD = [(name, texts) for name, texts in corpus.hand_written()]


def judged(texts: corpus.Texts) -> Judged:
    bundle = texts.bundle()
    return judge_bundle(bundle, folder.environ_of(bundle, {}))


@pytest.mark.parametrize("bad", BAD, ids=[item.name for item in BAD])
def test_a_bad_one_is_rejected_at_its_line_and_field(bad: corpus.Bad) -> None:
    found = judged(bad.texts)
    told = [(item.rule, item.role, item.path) for item in found.errors]
    assert (bad.rule, bad.role, bad.path) in told, told
    document = found.bundle.document(bad.role)
    assert document is not None
    line, column = document.place(bad.path)
    if bad.line:
        assert line == bad.line
    if bad.path and document.flaw is None:
        text = document.text.splitlines()[line - 1][column - 1 :]
        steps = [step for step in bad.path if isinstance(step, str)]
        held = any(text.lstrip('"[{ ').startswith(step) for step in steps)
        assert held or isinstance(bad.path[-1], int), text
    for item in found.errors:
        assert item.says and item.would and item.mend
        assert "\n" not in item.line("f", 1, 1), "one line"


def test_the_corpus_is_large_and_has_each_rule_that_is_an_error() -> None:
    assert len(BAD) >= 150 and len({item.name for item in BAD}) == len(BAD)
    assert {item.rule for item in BAD} == set(RULES) - {"few-attempts", "drift"}


@pytest.mark.parametrize("texts", [texts for _, texts in GOOD], ids=[name for name, _ in GOOD])
def test_a_good_one_by_hand_is_not_rejected(texts: corpus.Texts) -> None:
    assert judged(texts).errors == []


@pytest.mark.parametrize("seed", range(60))
def test_a_good_one_from_any_description_is_not_rejected(seed: int) -> None:
    text = corpus.some_app(seed)
    platform, operator, _ = corpus.good(text)
    found = judged(corpus.texts_of(platform, operator, text))
    assert found.findings == (), found.findings


def test_an_application_of_listings_owes_no_start_up_limit() -> None:
    window = corpus.Maker("window")
    platform = corpus.put(window.platform, ("settings", "peers-total"), 1)
    assert "cold-ms" not in platform["settings"]["rules"]
    assert judged(corpus.texts_of(platform, None, window.app)).findings == ()
    assert judged(corpus.texts_of(platform)).findings == ()
    # And with a limit too weak for sales: still nothing.
    weak = corpus.put(platform, ("settings", "rules", "cold-ms"), 30)
    weak = corpus.put(weak, ("settings", "rules", "cold-from"), 1.0)
    cold = window.app.replace("warm_up_ms = 0 ", "warm_up_ms = 9000 ")
    assert cold != window.app
    assert judged(corpus.texts_of(weak, None, cold)).findings == ()


def test_what_the_description_calls_by_another_name_is_a_sale_all_the_same() -> None:
    stall = corpus.Maker("stall")
    app = stall.app.replace('name = "sale"', 'name = "handover"')
    platform = corpus.put(stall.platform, ("settings", "classes", 0, "name"), "handover")
    platform = corpus.put(platform, ("settings", "classes", 0, "idempotency"), "guarded")
    told = [(item.rule, item.path) for item in judged(corpus.texts_of(platform, None, app)).errors]
    assert ("sale-repeats", ("settings", "classes", 0, "idempotency")) in told
    assert judged(corpus.texts_of(platform)).errors == [], "without a description nothing says so"


def test_an_application_is_judged_with_the_variables_beside_it_and_else_with_the_callers(
    tmp_path: Path,
) -> None:
    stall = corpus.Maker("stall")
    corpus.texts_of(stall.platform, None, stall.app).write(tmp_path)
    own = {"BALANCER_DISCOVERY": "127.0.0.1:8599", "HOME": "/"}
    bundle = folder.of_folder(tmp_path)
    assert [item.rule for item in judge_bundle(bundle, folder.environ_of(bundle, own)).errors] == ["drain"]
    (tmp_path / "sidecar.env").write_text("BALANCER_NAME=stall-wool\n")
    bundle = folder.of_folder(tmp_path)
    assert judge_bundle(bundle, folder.environ_of(bundle, own)).errors == []


# The command


def check(*arguments: object, **environ: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "anisestair", "config", "check", *map(str, arguments)]
    clean = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return subprocess.run(command, cwd=ROOT, env=clean | environ, capture_output=True, text=True, timeout=60)


def test_a_folder_is_checked_in_one_call_and_the_exit_says_how_it_went(tmp_path: Path) -> None:
    stall = corpus.Maker("stall")
    for number in range(5):
        corpus.texts_of(stall.platform, None, stall.app).write(tmp_path / f"app-{number}")
    found = check(tmp_path)
    assert (found.returncode, found.stdout) == (0, "5 configurations: 0 errors, 0 warnings\n")
    bad = next(item for item in BAD if item.rule == "sale-repeats")
    bad.texts.write(tmp_path / "app-3")
    found = check(tmp_path)
    assert found.returncode == 1
    assert found.stdout.startswith(f"{tmp_path}/app-3/config.json:{bad.line}:"), found.stdout
    assert "5 configurations: 1 errors" in found.stdout
    (tmp_path / "app-4" / "config.json").write_text("{")
    found = check(tmp_path)
    assert found.returncode == 2 and "Traceback" not in found.stderr
    assert check(tmp_path / "missing" / "config.json").returncode == 2
    (tmp_path / "empty").mkdir()
    empty = check(tmp_path / "empty")
    assert empty.returncode == 2 and empty.stderr.count("\n") == 1


def test_sarif_and_json_say_the_same_as_the_text(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    bad = next(item for item in BAD if item.rule == "keyed-group")
    bad.texts.write(tmp_path)
    assert command.main(["check", str(tmp_path)]) == 1
    text = capsys.readouterr().out
    assert command.main(["check", str(tmp_path), "--format", "json"]) == 1
    found = json.loads(capsys.readouterr().out)["findings"][0]
    assert command.main(["check", str(tmp_path), "--format", "sarif"]) == 1
    run = json.loads(capsys.readouterr().out)["runs"][0]
    result = run["results"][0]
    region = result["locations"][0]["physicalLocation"]["region"]
    assert found["line"] == region["startLine"] == bad.line and found["column"] == region["startColumn"]
    assert run["tool"]["driver"]["rules"][result["ruleIndex"]]["id"] == found["rule"] == "keyed-group"
    assert text.startswith(
        f"{found['file']}:{found['line']}:{found['column']}: error: keyed-group: {found['field']}: "
    )


def test_warnings_count_only_where_they_are_asked_to(tmp_path: Path) -> None:
    stall = corpus.Maker("stall")
    corpus.texts_of(corpus.put(stall.platform, ("unheard-of",), 1), None, stall.app).write(tmp_path)
    assert command.main(["check", str(tmp_path)]) == 0
    assert command.main(["check", str(tmp_path), "--strict"]) == 1


def test_drift_names_the_one_that_differs_and_not_those_that_their_descriptions_explain(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stall = corpus.Maker("stall")
    for number in range(6):
        app = stall.app.replace("wanted_ms = 400", f"wanted_ms = {400 + number}")
        platform, _, _ = corpus.good(app)
        if number == 4:
            platform = corpus.put(platform, ("settings", "limits", "max-attempts"), 4)
        corpus.texts_of(platform, None, app).write(tmp_path / f"app-{number}")
    assert command.main(["check", str(tmp_path)]) == 0
    said = capsys.readouterr().out.splitlines()
    assert (
        len(said) == 2
        and "app-4" in said[0]
        and "drift: settings.limits.max-attempts: is 4; 5 of 6" in said[0]
    )


def test_a_file_of_100_mb_is_not_read_through(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    with file.open("wb") as huge:
        huge.truncate(100 * 1024 * 1024)
    found = check(file)
    assert found.returncode == 2 and found.stdout.count("\n") == 2 and "larger than" in found.stdout
    assert folder.read(file).text == ""


def test_a_pipe_or_folder_in_a_files_place_is_not_waited_for(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "config.json")
    assert "not an ordinary file" in check(tmp_path).stdout


# Places


@given(
    some.recursive(
        some.none() | some.booleans() | some.integers() | some.text(),
        lambda inner: some.lists(inner, max_size=4)
        | some.dictionaries(some.text(max_size=4), inner, max_size=4),
        max_leaves=20,
    )
)
@settings(max_examples=150, deadline=None)
def test_the_places_of_json_are_those_of_its_values(value: Any) -> None:
    for indent in (None, 1):
        document = source.read_json("x", json.dumps({"a": value}, indent=indent))
        assert document.flaw is None
        assert set(document.spots[0]) == set(paths({"a": value})) and document.spots[1] == []


def paths(value: Any, base: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    found = [base] if base else []
    if isinstance(value, dict):
        for key, item in value.items():
            found += paths(item, (*base, key))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            found += paths(item, (*base, number))
    return found


KEYS = some.text(some.sampled_from("ab-_ é.'\"\\#=[]"), min_size=1, max_size=4)
LEAVES = some.booleans() | some.integers(-5, 5) | some.text(some.sampled_from("a'\"\\#]},= é"), max_size=5)


def inline(value: Any, chance: Any) -> str:
    """A value as TOML, in one of the ways to write it."""
    if isinstance(value, dict):
        return (
            "{"
            + ", ".join(
                f"{json.dumps(key, ensure_ascii=False)} = {inline(item, chance)}"
                for key, item in value.items()
            )
            + "}"
        )
    if isinstance(value, list):
        gap = "\n # ]\n" if chance.random() < 0.5 else " "
        return "[" + gap + f",{gap}".join(inline(item, chance) for item in value) + gap + "]"
    if isinstance(value, str) and chance.random() < 0.5:
        escaped = value.replace("\\", "\\\\").replace('"', '\\"')
        return f'"""\n{escaped}"""'
    return json.dumps(value, ensure_ascii=False)


@given(
    some.dictionaries(
        KEYS,
        some.dictionaries(
            KEYS,
            some.recursive(
                LEAVES,
                lambda inner: some.lists(inner, max_size=3) | some.dictionaries(KEYS, inner, max_size=3),
                max_leaves=8,
            ),
            max_size=4,
        ),
        max_size=4,
    ),
    some.randoms(use_true_random=False),
)
@settings(max_examples=150, deadline=None)
def test_the_places_of_toml_are_those_of_its_values(tables: dict[str, dict[str, Any]], chance: Any) -> None:
    lines = []
    for name, table in tables.items():
        quoted = json.dumps(name, ensure_ascii=False)
        lines.append(f"[[{quoted}]] # [x]" if chance.random() < 0.5 else f"[ {quoted} ]")
        lines += [
            f"{json.dumps(key, ensure_ascii=False)} = {inline(item, chance)} # ="
            for key, item in table.items()
        ]
    text = "\n".join(lines)
    document = source.read_toml("x", text)
    assert document.flaw is None, (document.flaw, text)
    assert set(document.spots[0]) == set(paths(tomllib.loads(text))), text


@given(some.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_any_bytes_are_a_document_or_one_line(raw: bytes) -> None:
    for kind in ("json", "toml", "env"):
        document = source.decode("x", kind, raw)
        if document.flaw is not None:
            assert "\n" not in document.flaw.says
        document.place(("a", 0))


@given(
    some.recursive(
        some.none() | some.booleans() | some.floats() | some.text(max_size=8),
        lambda inner: some.lists(inner, max_size=3)
        | some.dictionaries(
            some.sampled_from(
                [
                    "settings",
                    "classes",
                    "limits",
                    "rules",
                    "name",
                    "known",
                    "promise-ms",
                    "max-attempts",
                    "sockets",
                    "x",
                ]
            ),
            inner,
            max_size=5,
        ),
        max_leaves=25,
    )
)
@settings(max_examples=300, deadline=None)
def test_a_check_of_anything_ends_in_findings(value: Any) -> None:
    texts = corpus.Texts({Role.PLATFORM: json.dumps(value).encode(), Role.APP: b'name = "a"'})
    assert judged(texts).errors


def test_what_the_fields_say_is_what_the_loader_reads() -> None:
    # A field that the loader reads and the table of fields does not know would be called a mistake.
    text = (ROOT / "hareloom" / "wire.py").read_text()
    read = text[text.index("def parse_settings(") :]
    known = {
        *known_fields.SETTINGS,
        *known_fields.CLASS,
        *known_fields.LIMITS,
        *known_fields.RULES,
        *("worst-class", "cross-zone"),
    }
    import re

    named = {*re.findall(r'(?:get\(|item\[|config\[)"([a-z-]+)"', read)}
    assert named and named <= known, named - known


def test_severities_are_as_the_rules_say() -> None:
    stall = corpus.Maker("stall")
    platform = corpus.put(stall.platform, ("settings", "limits", "max-attempts"), 1)
    found = judged(corpus.texts_of(platform, None, stall.app)).findings
    assert [(item.rule, item.severity) for item in found] == [("few-attempts", Severity.WARNING)]
