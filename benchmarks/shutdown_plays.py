"""Simulated shutdowns of one or both of two sidecars in virtual time, by randomly drawn plans.

    python -m benchmarks.shutdown_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

With even seeds links are reset, too. Prints each violation, and the totals as JSON last. The exit code is 1
if a rule was violated.
"""

from __future__ import annotations

import sys
from collections import Counter

from benchmarks.drawn_plays import RunResult, measure_run, parse_arguments, run_seeds
from rigs.shutdown_world import draw_plan, run_plan

LONG_SHUTDOWN_S = 5.0  # only a wait until the end of the grace takes longer


def _run_seed(seed: int) -> tuple[list[str], Counter[str]]:
    result = run_plan(draw_plan(seed, link_resets=seed % 2 == 0))
    counts = Counter(
        {
            "requests": result.requests,
            "answered": result.answered,
            "refused": result.refused,
            "failed": result.failed,
            "crossed a close": result.crossed_close,
            "excused": result.excused,
            "long ends": int(result.shutdown_s > LONG_SHUTDOWN_S),
        }
    )
    return [f"{finding.rule} {finding.attempt}: {finding.evidence}" for finding in result.findings], counts


def run_timed(seed: int) -> RunResult:
    """Runs one seed, in a process of the pool."""
    return measure_run(seed, _run_seed)


if __name__ == "__main__":
    sys.exit(run_seeds("shutdown", run_timed, parse_arguments(str(__doc__))))
