"""The list of files that break the newest linter rules names just those that do, and only shrinks."""

import json
from collections import Counter
from functools import cache

import pytest

from benchmarks.lint_exceptions import RULES, Violations, by_file, listed, rule_of, violations, written

# Violations when the rules were switched on. Lower a bound when you have mended some; never raise one.
MOST_VIOLATIONS = {"ARG": 472, "C901": 37, "D1": 1254, "N": 17, "PLR0915": 15}


@cache
def broken() -> Violations:
    return violations()


def test_the_list_names_the_files_that_break_a_rule_and_no_other() -> None:
    """Where this fails, `python -m benchmarks.lint_exceptions --write` writes the list anew."""
    assert by_file(broken()) == listed()


@pytest.mark.parametrize("rule", RULES)
def test_violations_only_become_fewer(rule: str) -> None:
    assert broken()[rule].total() <= MOST_VIOLATIONS[rule]


def test_a_code_belongs_to_its_rule_and_the_list_reads_back() -> None:
    assert [rule_of(code) for code in ("ARG002", "D103", "N818", "PLR0915", "C901")] == [
        *("ARG", "D1", "N", "PLR0915", "C901")
    ]
    found: Violations = {rule: Counter() for rule in RULES}
    found["D1"]["a/b.py"] = 2
    assert json.dumps(by_file(found)["a/b.py"]) in written(by_file(found))
