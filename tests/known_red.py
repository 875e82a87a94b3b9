"""A run that passes over the tests of KNOWN-RED.txt, and over no other red one.

`pytest --known-red=FILE`: each line is `test, cause, issue`, the test by the id that pytest prints. Where
they are red they count as xfailed and are printed. Errors of the run are: a line that names no test of it
or is of another form, one whose test isn't red any more, and each line past the third. Without the file all
is as without the option.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

MOST = 3  # the operators'
# a test's parameters, in brackets, may hold commas, and so may the cause
LINE = re.compile(r"(?P<test>\S+?::[^,\[]+(?:\[.*?\])?),\s*(?P<cause>\S.*?),\s*(?P<issue>(?:issue )?#?\d+)")


@dataclass(frozen=True)
class Known:
    test: str
    cause: str
    issue: str


def read(text: str) -> tuple[dict[str, Known], list[str]]:
    """The lines by their tests, and what is wrong with the file."""
    known: dict[str, Known] = {}
    faults = []
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    for line in lines[:MOST]:
        found = LINE.fullmatch(line)
        if found is None:
            faults.append(
                f"{line!r} names no test: write 'test, cause, issue', as 'tests/test_a.py::test_b, why, 12'"
            )
        elif found["test"] in known:
            faults.append(f"{found['test']} stands there twice: take a line out")
        else:
            known[found["test"]] = Known(found["test"], found["cause"], found["issue"])
    faults += [f"{line!r} is more than {MOST} lines: mend one of them first" for line in lines[MOST:]]
    return known, faults


def stale(known: Iterable[str], ran: set[str], red: set[str]) -> list[str]:
    """What is wrong with the lines once all tests have run."""
    return [
        f"{test} isn't red any more: take its line out"
        if test in ran
        else f"{test} names no test of this run"
        for test in known
        if test not in red
    ]


class KnownRed:
    """In the process that hears of all tests; workers know nothing of it."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.known, self.faults = read(text)
        self.ran: set[str] = set()
        self.red: set[str] = set()

    @pytest.hookimpl(
        wrapper=True
    )  # a wrapper, since the session counts what failed before all others hear of it
    def pytest_runtest_logreport(self, report: pytest.TestReport) -> Iterable[None]:
        self.ran.add(report.nodeid)
        known = self.known.get(report.nodeid)
        if known is not None and report.failed:
            self.red.add(report.nodeid)
            report.outcome = "skipped"
            report.wasxfail = f"{known.cause}, {known.issue}"
        return (yield)

    def pytest_sessionfinish(self, session: pytest.Session, exitstatus: int) -> None:
        if exitstatus not in (pytest.ExitCode.OK, pytest.ExitCode.TESTS_FAILED):
            return  # broken off, or nothing ran: not a verdict on the lines
        for fault in self.faults + stale(self.known, self.ran, self.red):
            report = pytest.CollectReport(self.name, "failed", f"{self.name}: {fault}", [])
            session.config.hook.pytest_collectreport(report=report)
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        terminalreporter.section(self.name)
        for known in self.known.values():
            seen = "passed over" if known.test in self.red else "NOT RED"
            terminalreporter.line(f"{seen}: {known.test}, {known.cause}, {known.issue}")


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red", metavar="FILE", help="pass over exactly the tests of FILE, if there is one"
    )


def pytest_configure(config: pytest.Config) -> None:
    given = config.getoption("--known-red")
    if given is None or hasattr(config, "workerinput"):
        return
    path: Path = config.rootpath / given
    if path.exists():
        config.pluginmanager.register(KnownRed(path.name, path.read_text(encoding="utf-8")), "known-red")
