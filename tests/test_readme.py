"""The README's example runs as it stands."""

import re
from pathlib import Path

import pytest

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_the_example_sends_one_attempt_and_needs_nothing_more(capsys: pytest.CaptureFixture[str]) -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README, re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})
    printed = capsys.readouterr().out.splitlines()
    assert [line.split("(")[0] for line in printed] == ["Send", "SetTimer"]


def test_the_test_command_is_the_one_that_ci_runs() -> None:
    assert "\n    ./test.sh\n" in README
    assert "./test.sh" in (Path(__file__).parent.parent / ".ci" / "run").read_text()
