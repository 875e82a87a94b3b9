"""Loss of links under load between real sidecars on loopback, checked against a record of all calls.

    python -m benchmarks.lost_links [--seconds 600] [--proxies 6] [--connections 12] [--pause 0.02]
        [--large 0] [--seed 1] [--without GUARD ...] [--only TROUBLE ...] [--logs FOLDER]

For that time sidecars are frozen, killed, terminated, restarted and reused by another service; links between
them are reset, silent in one or both directions, slow or held; and upstreams sometimes answer incorrectly.
Clients keep sending. No effectful call may be executed twice, no promise broken, no answer sent on another
connection, no success reported that no upstream gave, and every call must end. ``--without`` disables guards
of the sidecars (``rigs/lost_links/hop.py``), which must be detected. The last line is JSON. The exit code is
1 if a rule was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from rigs.lost_links.hop import GUARDS
from rigs.lost_links.ledger import Call, Ledger, machine_of, percentile
from rigs.lost_links.play import FAULT_SCRIPT, FAULTS, LostLinksRun, RunSettings, cpu_s

OVERHEAD_S = 90.0  # beyond the time of the faults: for the start, the last calls and the stop
DEADLINE_TOLERANCE_S = 0.02
SUCCESSFUL_OUTCOMES = ("ok", "late", "twice", "stray", "ahead", "overlong")  # they include the correct answer
MAX_PRINTED = 5  # violations of each rule


def success_ms(ledger: Ledger, group: str) -> dict[str, Any]:
    """The times from sending a call to its success, with any wait for earlier calls of its connection."""
    lost = {lost_call.key for lost_call in ledger.lost_calls}

    def matches(key: str, call: Call) -> bool:
        return call.status == 200 and (key in lost) == (group == "lost")

    times_ms = [
        (call.ended_at - call.sent_at) * 1000.0 for key, call in ledger.calls.items() if matches(key, call)
    ]
    return {"calls": len(times_ms), "p50": percentile(times_ms, 0.5), "p99": percentile(times_ms, 0.99)}


def early_failures(ledger: Ledger) -> dict[str, int]:
    """Calls that failed before their deadline although no fault affected their machines: 504 with time left,
    and 502 although the only execution answered correctly and in time."""
    found: Counter[str] = Counter()
    for key, call in ledger.calls.items():
        executions = ledger.executions.get(key, [])
        machines = {call.machine, *(machine_of(execution.node) for execution in executions)}
        if call.status not in (502, 504) or ledger.disturbed(machines, call.sent_at, call.ended_at):
            continue
        too_early = (
            call.status == 504 and call.ended_at < call.sent_at + call.time_left_s - DEADLINE_TOLERANCE_S
        )
        answered = (
            call.status == 502 and len(executions) == 1 and executions[0].outcome in SUCCESSFUL_OUTCOMES
        )
        if too_early or answered and executions[0].ended_at < call.sent_at + call.time_left_s:
            found[str(call.status)] += 1
            if found[str(call.status)] <= MAX_PRINTED:
                print(f"failed early: {key}: {call} executions {executions}")
    return dict(found)


def summary(test_run: LostLinksRun, seconds: float, cpu: float, violations: Counter[str]) -> dict[str, Any]:
    ledger = test_run.ledger
    return {
        "seconds": round(seconds, 1),
        "calls": len(ledger.calls),
        "runs": sum(len(some) for some in ledger.executions.values()),
        "told": ledger.outcomes(),
        "lost_calls": len({lost_call.key for lost_call in ledger.lost_calls}),
        "asked_back": sum(lost_call.queried for lost_call in ledger.lost_calls),
        "lost_why": dict(Counter(lost_call.reason for lost_call in ledger.lost_calls).most_common(8)),
        "effectful_in_doubt": ledger.in_doubt(),
        "ended_sooner": early_failures(ledger),
        "success_ms": {group: success_ms(ledger, group) for group in ("lost", "other")},
        "troubles": dict(sorted(test_run.applied_faults.items())),
        "not_carried_out": test_run.failed_fault,
        "broken": dict(violations),
        "cores": round(cpu / seconds, 2),
        "load_average": round(os.getloadavg()[0], 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    defaults = RunSettings()
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--proxies", type=int, default=defaults.proxies)
    parser.add_argument("--connections", type=int, default=defaults.connections)
    parser.add_argument("--pause", type=float, default=defaults.pause_s, help="seconds between two batches")
    parser.add_argument("--large", type=float, default=defaults.large_share, help="share of bodies of 5 MiB")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--without", nargs="*", default=[], choices=sorted(GUARDS))
    parser.add_argument("--only", nargs="*", default=[], choices=sorted({*FAULTS, "half", "none"}))
    parser.add_argument("--logs", type=Path, help="folder for the logs of the sidecars")
    arguments = parser.parse_args()
    settings = RunSettings(
        arguments.proxies,
        arguments.connections,
        arguments.pause,
        large_share=arguments.large,
        disabled_guards=tuple(arguments.without),
    )
    started_at, cpu = time.monotonic(), cpu_s()
    with tempfile.TemporaryDirectory() as folder:

        async def run_all() -> LostLinksRun:
            test_run = LostLinksRun(Path(folder), settings, arguments.seed)
            await asyncio.wait_for(
                test_run.run(arguments.seconds, arguments.only or FAULT_SCRIPT),
                arguments.seconds + OVERHEAD_S,
            )
            return test_run

        test_run = asyncio.run(run_all())
        if arguments.logs is not None:
            arguments.logs.mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                shutil.copy(log, arguments.logs)
    violations: Counter[str] = Counter()
    for violation in test_run.ledger.violations():
        violations[violation.rule.value] += 1
        if violations[violation.rule.value] <= MAX_PRINTED:
            print(f"{violation.rule.value}: {violation.key}: {violation.evidence}")
    found = summary(test_run, time.monotonic() - started_at, cpu_s() - cpu, violations)
    for name, value in found.items():
        print(f"{name}: {value}")
    print(json.dumps(found))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
