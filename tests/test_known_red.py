"""Made-up suites, run as ./test.sh runs its own: what KNOWN-RED.txt passes over, and what it does not."""

from __future__ import annotations

import os
import shlex
import subprocess
import sys
from pathlib import Path

import pytest
from known_red import read

ROOT = Path(__file__).resolve().parent.parent
SUITE = {
    "good": "def test_good(): pass",
    "bad": "def test_bad(): assert False",
    "some": "@pytest.mark.parametrize('of', ['a, b', 'c'])\ndef test_some(of): assert of == 'c'",
    "torn": "@pytest.fixture\ndef torn():\n    yield\n    assert 0\n\ndef test_torn(torn): pass",
    "unset": "@pytest.fixture\ndef unset(): assert 0\n\ndef test_unset(unset): pass",
    "left": "@pytest.mark.skip\ndef test_left(): pass",
}
BAD = "tests/test_it.py::test_bad, it has a fault, as seen, issue 7"
SOME = "tests/test_it.py::test_some[a, b], commas, #8"
TORN = "tests/test_it.py::test_torn, not torn down, 9"
UNSET = "tests/test_it.py::test_unset, not set up, 9"


def played(folder: Path, lines: list[str], only: str, serially: bool = True) -> tuple[int, str]:
    """The exit code of test.sh's own call of pytest over the tests that ``only`` names, what it printed."""
    call = next(
        line for line in (ROOT / "test.sh").read_text().splitlines() if line.startswith("python -m pytest")
    )
    (folder / "tests").mkdir()
    (folder / "tests/test_it.py").write_text(
        "\n\n".join(["import pytest", *(SUITE[name] for name in only.split())])
    )
    (folder / "tests/conftest.py").write_text("from known_red import pytest_addoption, pytest_configure\n")
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\naddopts = -q\n")
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    words = [sys.executable, *shlex.split(call)[1:], "-n", "0" if serially else "2"]
    env = {**os.environ, "PYTHONPATH": str(ROOT / "tests")}
    env = {key: value for key, value in env.items() if not key.startswith("PYTEST_")}
    done = subprocess.run(words, cwd=folder, env=env, capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("serially", [True, False])
def test_passes_over_exactly_these_and_prints_them(tmp_path: Path, serially: bool) -> None:
    code, out = played(tmp_path, [BAD, SOME], "good bad some", serially)
    assert code == 0, out
    assert "passed over: tests/test_it.py::test_bad, it has a fault, as seen, issue 7" in out
    assert "passed over: tests/test_it.py::test_some[a, b], commas, #8" in out
    assert out.splitlines()[-1].startswith("2 passed, 2 xfailed in "), out


def test_red_in_setup_or_teardown(tmp_path: Path) -> None:
    code, out = played(tmp_path, [TORN, UNSET], "good torn unset")
    assert code == 0, out
    assert out.count("passed over: ") == 2
    assert out.splitlines()[-1].startswith("2 passed, 2 xfailed in "), out


@pytest.mark.parametrize("serially", [True, False])
def test_any_other_red_test_fails(tmp_path: Path, serially: bool) -> None:
    code, out = played(tmp_path, [BAD], "good bad torn unset", serially)
    assert code == 1
    assert "ERROR tests/test_it.py::test_torn" in out and "ERROR tests/test_it.py::test_unset" in out
    assert out.splitlines()[-1].startswith("2 passed, 1 xfailed, 2 errors in "), out


def test_a_line_that_names_no_test_fails(tmp_path: Path) -> None:
    gone, no_test = "tests/test_it.py::test_gone, it was renamed, 7", "nothing of the kind"
    code, out = played(tmp_path, [BAD, gone, no_test], "good bad")
    assert code == 1
    assert "tests/test_it.py::test_gone names no test" in out and "'nothing of the kind' names no test" in out
    assert out.splitlines()[-1].startswith("1 passed, 1 xfailed, 2 errors in "), out


def test_several_tests_are_not_named_by_one_line(tmp_path: Path) -> None:
    code, out = played(tmp_path, ["tests/test_it.py::test_some, not one test but two, 7"], "some")
    assert (code, "tests/test_it.py::test_some names no test" in out) == (1, True)
    assert out.splitlines()[-1].startswith("1 failed, 1 passed, 1 error in "), out


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_it.py, the whole file, 7",
        "tests/test_it.py::test_good",
        "tests/test_it.py::test_good, no issue",
        "tests/test_it.py::test_good, , 7",
        "tests/test_it.py::test_good, no number, soon",
        "# tests/test_it.py::test_good, a remark, 7",
    ],
)
def test_a_line_of_another_form_is_a_fault(line: str) -> None:
    known, faults = read(f"{BAD}\n{line}\n")
    assert (list(known), len(faults)) == (["tests/test_it.py::test_bad"], 1)
    assert "names no test" in faults[0]


@pytest.mark.parametrize("serially", [True, False])
def test_a_test_that_passes_again_fails(tmp_path: Path, serially: bool) -> None:
    code, out = played(tmp_path, [BAD, "tests/test_it.py::test_good, mended, 7"], "good bad", serially)
    assert code == 1
    assert "tests/test_it.py::test_good isn't red any more" in out
    assert "NOT RED: tests/test_it.py::test_good, mended, 7" in out
    assert out.splitlines()[-1].startswith("1 passed, 1 xfailed, 1 error in "), out


def test_a_test_that_is_skipped_is_not_red(tmp_path: Path) -> None:
    code, out = played(tmp_path, ["tests/test_it.py::test_left, never run, 7"], "good left")
    assert (code, "test_left isn't red any more" in out) == (1, True)


def test_a_fourth_line_fails(tmp_path: Path) -> None:
    code, out = played(tmp_path, [BAD, SOME, TORN, UNSET], "good bad some torn unset")
    assert code == 1
    assert "more than 3 lines" in out and "ERROR tests/test_it.py::test_unset" in out
    assert out.splitlines()[-1].startswith("3 passed, 3 xfailed, 2 errors in "), out


def test_without_the_file_all_is_as_without_the_option(tmp_path: Path) -> None:
    code, out = played(tmp_path, [], "good bad")
    assert (code, "KNOWN-RED" in out) == (1, False)
    assert out.splitlines()[-1].startswith("1 failed, 1 passed in "), out


def test_a_test_named_twice_is_a_fault() -> None:
    known, faults = read(f"{BAD}\n\n{BAD}\n")
    assert (len(known), len(faults)) == (1, 1)
    assert "twice" in faults[0]
