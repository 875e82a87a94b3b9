"""The outcomes of effectful calls that were open on a lost link, with and without queries for lost calls.

    python -m benchmarks.lost_calls [--plays 300] [--first 0]

Simulated runs in virtual time (`rigs/call_world.py`), separate ones for each group of faults. The upstreams
work for up to 150 ms and do not fail by themselves. The same seeds are used for `before` (first hops send no
incarnation, so lost calls are not queried, as in an earlier release) and `after`. Of the effectful calls that
were open on a link when its first hop lost it:

- `not_run`: those that no upstream had begun to execute by then; `good` is the number that ended in success
  or in a refusal as not executed, instead of 502, 504 or a closed connection. The target is a share of 0.95.
- `others`: those that had begun; also `good`, and `added_ms`, the time from the loss to a 502: `before`, all
  of these ended at the loss. The target is a quarter of the route's aim. Median, 95th percentile and maximum.

Calls whose own first hop was killed are left out, because their client is gone. The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections.abc import Sequence
from typing import Any

from rigs.call_world import AIM_MS, FAULT_KINDS, CallWorld, RecordedRequest

SHARE_AIM, ADDED_AIM_MS = 0.95, 0.25 * AIM_MS
FAULT_GROUPS: dict[str, Sequence[str]] = {
    "resets": ("reset before", "reset after", "all reset"),
    "silence": ("late", "cut", "cut one way"),
    "frozen": ("freeze here", "freeze there"),
    "killed": ("killed there",),
    "all": FAULT_KINDS,
}
GOOD_STATUSES = frozenset({200, 503})


def lost_requests(
    fault_kinds: Sequence[str], runs: int, first: int, queries_lost_calls: bool
) -> list[RecordedRequest]:
    lost: list[RecordedRequest] = []
    for seed in range(first, first + runs):
        world = CallWorld(seed, queries_lost_calls, fault_kinds, upstreams_fail=False)
        violations = world.find_violations()
        if violations and queries_lost_calls:  # without queries, a duplicate frame is executed twice
            raise SystemExit(f"run {seed} of {fault_kinds}: {violations}")
        lost += [
            request for request in world.requests if request.link_lost_at is not None and request.statuses
        ]
    return lost


def summary(requests: list[RecordedRequest]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for name, executed in (("not_run", False), ("others", True)):
        selected = [request for request in requests if request.executed_before_loss is executed]
        good = sum(request.statuses[0] in GOOD_STATUSES for request in selected)
        result[name] = {
            "calls": len(selected),
            "good": good,
            "share": round(good / len(selected), 3) if selected else None,
        }
        added_ms = sorted(
            (request.answered_at - (request.link_lost_at or 0.0)) * 1000.0
            for request in selected
            if request.statuses[0] == 502
        )
        if executed and added_ms:
            result[name]["added_ms"] = {
                "p50": round(statistics.median(added_ms), 1),
                "p95": round(added_ms[int(0.95 * (len(added_ms) - 1))], 1),
                "most": round(added_ms[-1], 1),
            }
    return result


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--plays", type=int, default=300)
    parser.add_argument("--first", type=int, default=0)
    arguments = parser.parse_args()
    totals: dict[str, Any] = {"plays": arguments.plays, "share_aim": SHARE_AIM, "added_aim_ms": ADDED_AIM_MS}
    for name, fault_kinds in FAULT_GROUPS.items():
        totals[name] = {
            version: summary(lost_requests(fault_kinds, arguments.plays, arguments.first, queries_lost_calls))
            for version, queries_lost_calls in (("before", False), ("after", True))
        }
        print(name, json.dumps(totals[name]), flush=True)
    print(json.dumps(totals))


if __name__ == "__main__":
    main()
