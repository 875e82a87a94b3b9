"""`config check` rejects invalid configurations where they are invalid, and accepts valid ones."""

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
from hypothesis import strategies as st

from anisestair.configure import command, folder, known_fields, source
from anisestair.configure.findings import RULES, Role, Severity
from anisestair.configure.judge_app import CheckResult, check_bundle

ROOT = Path(__file__).parent.parent
CASES = list(corpus.invalid_cases())
VALID = [(name, files) for name, files in corpus.valid_by_hand()]


def check_files(files: corpus.ConfigFiles) -> CheckResult:
    bundle = files.bundle()
    return check_bundle(bundle, folder.sidecar_environ(bundle, {}))


@pytest.mark.parametrize("case", CASES, ids=[item.name for item in CASES])
def test_an_invalid_configuration_is_rejected_at_its_line_and_field(case: corpus.Case) -> None:
    result = check_files(case.files)
    reported = [(item.rule, item.role, item.path) for item in result.errors]
    assert (case.rule, case.role, case.path) in reported, reported
    document = result.bundle.document(case.role)
    assert document is not None
    line, column = document.locate(case.path)
    if case.line:
        assert line == case.line
    if case.path and document.failure is None:
        text = document.text.splitlines()[line - 1][column - 1 :]
        steps = [step for step in case.path if isinstance(step, str)]
        starts_with_key = any(text.lstrip('"[{ ').startswith(step) for step in steps)
        assert starts_with_key or isinstance(case.path[-1], int), text
    for item in result.errors:
        assert item.message and item.consequence and item.remedy
        assert "\n" not in item.line("f", 1, 1), "one line"


def test_the_corpus_is_large_and_has_each_rule_that_is_an_error() -> None:
    assert len(CASES) >= 150 and len({item.name for item in CASES}) == len(CASES)
    assert {item.rule for item in CASES} == set(RULES) - {"few-attempts", "drift"}


@pytest.mark.parametrize("files", [files for _, files in VALID], ids=[name for name, _ in VALID])
def test_a_valid_configuration_by_hand_is_not_rejected(files: corpus.ConfigFiles) -> None:
    assert check_files(files).errors == []


@pytest.mark.parametrize("seed", range(60))
def test_a_configuration_derived_from_a_random_description_is_not_rejected(seed: int) -> None:
    text = corpus.random_app(seed)
    platform, operator, _ = corpus.derived_files(text)
    result = check_files(corpus.config_files(platform, operator, text))
    assert result.findings == (), result.findings


def test_an_application_without_sales_needs_no_start_up_limit() -> None:
    window = corpus.CaseMaker("window")
    platform = corpus.with_value(window.platform, ("settings", "peers-total"), 1)
    assert "cold-ms" not in platform["settings"]["rules"]
    assert check_files(corpus.config_files(platform, None, window.app)).findings == ()
    assert check_files(corpus.config_files(platform)).findings == ()
    # A limit that would be too weak for sales is not reported either.
    weak = corpus.with_value(platform, ("settings", "rules", "cold-ms"), 30)
    weak = corpus.with_value(weak, ("settings", "rules", "cold-from"), 1.0)
    cold = window.app.replace("warm_up_ms = 0 ", "warm_up_ms = 9000 ")
    assert cold != window.app
    assert check_files(corpus.config_files(weak, None, cold)).findings == ()


def test_a_sale_is_recognized_by_its_description_under_any_name() -> None:
    stall = corpus.CaseMaker("stall")
    app = stall.app.replace('name = "sale"', 'name = "handover"')
    platform = corpus.with_value(stall.platform, ("settings", "classes", 0, "name"), "handover")
    platform = corpus.with_value(platform, ("settings", "classes", 0, "idempotency"), "guarded")
    reported = [
        (item.rule, item.path) for item in check_files(corpus.config_files(platform, None, app)).errors
    ]
    assert ("sale-repeats", ("settings", "classes", 0, "idempotency")) in reported
    assert check_files(corpus.config_files(platform)).errors == [], "its name is not that of a sale"


def test_an_application_is_checked_with_its_environment_file_or_else_the_callers_environment(
    tmp_path: Path,
) -> None:
    stall = corpus.CaseMaker("stall")
    corpus.config_files(stall.platform, None, stall.app).write(tmp_path)
    callers = {"BALANCER_DISCOVERY": "127.0.0.1:8599", "HOME": "/"}
    bundle = folder.load_folder(tmp_path)
    assert [item.rule for item in check_bundle(bundle, folder.sidecar_environ(bundle, callers)).errors] == [
        "drain"
    ]
    (tmp_path / "sidecar.env").write_text("BALANCER_NAME=stall-wool\n")
    bundle = folder.load_folder(tmp_path)
    assert check_bundle(bundle, folder.sidecar_environ(bundle, callers)).errors == []


# The command


def check(*arguments: object, **environ: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "anisestair", "config", "check", *map(str, arguments)]
    clean = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return subprocess.run(command, cwd=ROOT, env=clean | environ, capture_output=True, text=True, timeout=60)


def test_a_folder_is_checked_in_one_call_and_the_exit_code_tells_the_result(tmp_path: Path) -> None:
    stall = corpus.CaseMaker("stall")
    for number in range(5):
        corpus.config_files(stall.platform, None, stall.app).write(tmp_path / f"app-{number}")
    result = check(tmp_path)
    assert (result.returncode, result.stdout) == (0, "5 configurations: 0 errors, 0 warnings\n")
    case = next(item for item in CASES if item.rule == "sale-repeats")
    case.files.write(tmp_path / "app-3")
    result = check(tmp_path)
    assert result.returncode == 1
    assert result.stdout.startswith(f"{tmp_path}/app-3/config.json:{case.line}:"), result.stdout
    assert "5 configurations: 1 errors" in result.stdout
    (tmp_path / "app-4" / "config.json").write_text("{")
    result = check(tmp_path)
    assert result.returncode == 2 and "Traceback" not in result.stderr
    assert check(tmp_path / "missing" / "config.json").returncode == 2
    (tmp_path / "empty").mkdir()
    empty = check(tmp_path / "empty")
    assert empty.returncode == 2 and empty.stderr.count("\n") == 1


def test_sarif_and_json_say_the_same_as_the_text(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    case = next(item for item in CASES if item.rule == "keyed-group")
    case.files.write(tmp_path)
    assert command.main(["check", str(tmp_path)]) == 1
    text = capsys.readouterr().out
    assert command.main(["check", str(tmp_path), "--format", "json"]) == 1
    finding = json.loads(capsys.readouterr().out)["findings"][0]
    assert command.main(["check", str(tmp_path), "--format", "sarif"]) == 1
    run = json.loads(capsys.readouterr().out)["runs"][0]
    result = run["results"][0]
    region = result["locations"][0]["physicalLocation"]["region"]
    assert finding["line"] == region["startLine"] == case.line and finding["column"] == region["startColumn"]
    assert run["tool"]["driver"]["rules"][result["ruleIndex"]]["id"] == finding["rule"] == "keyed-group"
    assert text.startswith(
        f"{finding['file']}:{finding['line']}:{finding['column']}: error: keyed-group: {finding['field']}: "
    )


def test_warnings_count_as_errors_only_with_strict(tmp_path: Path) -> None:
    stall = corpus.CaseMaker("stall")
    corpus.config_files(corpus.with_value(stall.platform, ("unheard-of",), 1), None, stall.app).write(
        tmp_path
    )
    assert command.main(["check", str(tmp_path)]) == 0
    assert command.main(["check", str(tmp_path), "--strict"]) == 1


def test_drift_is_reported_only_if_a_description_does_not_explain_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    stall = corpus.CaseMaker("stall")
    for number in range(6):
        app = stall.app.replace("wanted_ms = 400", f"wanted_ms = {400 + number}")
        platform, _, _ = corpus.derived_files(app)
        if number == 4:
            platform = corpus.with_value(platform, ("settings", "limits", "max-attempts"), 4)
        corpus.config_files(platform, None, app).write(tmp_path / f"app-{number}")
    assert command.main(["check", str(tmp_path)]) == 0
    output = capsys.readouterr().out.splitlines()
    assert (
        len(output) == 2
        and "app-4" in output[0]
        and "drift: settings.limits.max-attempts: is 4; 5 of 6" in output[0]
    )


def test_a_file_of_100_mb_is_not_read_completely(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    with file.open("wb") as huge:
        huge.truncate(100 * 1024 * 1024)
    result = check(file)
    assert result.returncode == 2 and result.stdout.count("\n") == 2 and "larger than" in result.stdout
    assert folder.read_document(file).text == ""


def test_a_named_pipe_in_place_of_a_file_does_not_block(tmp_path: Path) -> None:
    os.mkfifo(tmp_path / "config.json")
    assert "not a regular file" in check(tmp_path).stdout


# Positions


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(),
        lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=4), inner, max_size=4),
        max_leaves=20,
    )
)
@settings(max_examples=150, deadline=None)
def test_positions_in_json_cover_exactly_its_values(value: Any) -> None:
    for indent in (None, 1):
        document = source.read_json("x", json.dumps({"a": value}, indent=indent))
        assert document.failure is None
        assert set(document.positions[0]) == set(paths({"a": value})) and document.positions[1] == []


def paths(value: Any, base: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    result = [base] if base else []
    if isinstance(value, dict):
        for key, item in value.items():
            result += paths(item, (*base, key))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            result += paths(item, (*base, number))
    return result


KEYS = st.text(st.sampled_from("ab-_ é.'\"\\#=[]"), min_size=1, max_size=4)
LEAVES = st.booleans() | st.integers(-5, 5) | st.text(st.sampled_from("a'\"\\#]},= é"), max_size=5)


def inline(value: Any, rng: Any) -> str:
    """A value as TOML, in one of several notations."""
    if isinstance(value, dict):
        return (
            "{"
            + ", ".join(
                f"{json.dumps(key, ensure_ascii=False)} = {inline(item, rng)}" for key, item in value.items()
            )
            + "}"
        )
    if isinstance(value, list):
        gap = "\n # ]\n" if rng.random() < 0.5 else " "
        return "[" + gap + f",{gap}".join(inline(item, rng) for item in value) + gap + "]"
    if isinstance(value, str) and rng.random() < 0.5:
        escaped = value.replace("\\", "\\\\").replace('"', '\\"')
        return f'"""\n{escaped}"""'
    return json.dumps(value, ensure_ascii=False)


@given(
    st.dictionaries(
        KEYS,
        st.dictionaries(
            KEYS,
            st.recursive(
                LEAVES,
                lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=3),
                max_leaves=8,
            ),
            max_size=4,
        ),
        max_size=4,
    ),
    st.randoms(use_true_random=False),
)
@settings(max_examples=150, deadline=None)
def test_positions_in_toml_cover_exactly_its_values(tables: dict[str, dict[str, Any]], rng: Any) -> None:
    lines = []
    for name, table in tables.items():
        quoted = json.dumps(name, ensure_ascii=False)
        lines.append(f"[[{quoted}]] # [x]" if rng.random() < 0.5 else f"[ {quoted} ]")
        lines += [
            f"{json.dumps(key, ensure_ascii=False)} = {inline(item, rng)} # =" for key, item in table.items()
        ]
    text = "\n".join(lines)
    document = source.read_toml("x", text)
    assert document.failure is None, (document.failure, text)
    assert set(document.positions[0]) == set(paths(tomllib.loads(text))), text


@given(st.binary(max_size=200))
@settings(max_examples=200, deadline=None)
def test_any_bytes_give_a_document_or_a_failure_in_one_line(raw: bytes) -> None:
    for kind in ("json", "toml", "env"):
        document = source.decode("x", kind, raw)
        if document.failure is not None:
            assert "\n" not in document.failure.message
        document.locate(("a", 0))


@given(
    st.recursive(
        st.none() | st.booleans() | st.floats() | st.text(max_size=8),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
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
def test_a_check_of_any_json_value_ends_with_findings(value: Any) -> None:
    files = corpus.ConfigFiles({Role.PLATFORM: json.dumps(value).encode(), Role.APP: b'name = "a"'})
    assert check_files(files).errors


def test_known_fields_include_all_that_the_loader_reads() -> None:
    # A field that the loader reads but known_fields lacks would be reported as a mistake.
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


def test_a_violation_that_does_not_break_service_is_a_warning() -> None:
    stall = corpus.CaseMaker("stall")
    platform = corpus.with_value(stall.platform, ("settings", "limits", "max-attempts"), 1)
    result = check_files(corpus.config_files(platform, None, stall.app)).findings
    assert [(item.rule, item.severity) for item in result] == [("few-attempts", Severity.WARNING)]
