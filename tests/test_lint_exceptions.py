"""The list of exceptions from the newest linter rules is exact, and the violations only become fewer."""

import json
from collections import Counter
from functools import cache

import pytest

from benchmarks.lint_exceptions import (
    RULES,
    Violations,
    by_file,
    find_violations,
    format_list,
    read_list,
    rule_of,
)

# Violations when the rules were enabled. Lower a bound after fixing some; never raise one.
MAX_VIOLATIONS = {"ARG": 472, "C901": 37, "D1": 1254, "N": 17, "PLR0915": 15}


@cache
def current_violations() -> Violations:
    return find_violations()


def test_the_list_names_exactly_the_files_that_break_a_rule() -> None:
    """If this fails, run `python -m benchmarks.lint_exceptions --write`."""
    assert by_file(current_violations()) == read_list()


@pytest.mark.parametrize("rule", RULES)
def test_violations_only_become_fewer(rule: str) -> None:
    assert current_violations()[rule].total() <= MAX_VIOLATIONS[rule]


def test_a_code_belongs_to_its_rule_and_the_written_list_has_the_rules_of_a_file() -> None:
    assert [rule_of(code) for code in ("ARG002", "D103", "N818", "PLR0915", "C901")] == [
        *("ARG", "D1", "N", "PLR0915", "C901")
    ]
    violations: Violations = {rule: Counter() for rule in RULES}
    violations["D1"]["a/b.py"] = 2
    assert json.dumps(by_file(violations)["a/b.py"]) in format_list(by_file(violations))
