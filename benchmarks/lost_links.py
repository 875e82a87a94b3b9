"""Calls whose links are lost, under load, between real sidecars on loopback; judged from outside.

    python -m benchmarks.lost_links [--seconds 600] [--proxies 6] [--connections 12] [--pause 0.02]
        [--large 0] [--seed 1] [--without GUARD ...] [--only TROUBLE ...] [--logs FOLDER]

For so long sidecars are frozen, killed, ended and started again, given to another service, and the links
between them reset, silent one way or both, slow or held; the upstreams now and then answer as they should
not. Clients send on. No effectful call may be begun twice, no promise be broken, no answer reach another's
door, no success be told that its upstream did not give, and each call ends. ``--without`` runs the sidecars
without a guard (``rigs/lost_links/hop.py``): the judge has to see it. Exit code 1 where a rule was broken.
The last line is JSON.
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
from rigs.lost_links.ledger import Call, Ledger, place_of, share_of
from rigs.lost_links.play import SCRIPT, TROUBLES, Play, Size, cpu_s

ENDS_S = 90.0  # beyond the time of the troubles: start, the last calls' ends, the stop
EARLY_S = 0.02
WELL = ("ok", "late", "twice", "stray", "ahead", "overlong")  # the answer is there
SHOWN = 5  # faults of a rule that are printed


def took_ms(ledger: Ledger, which: str) -> dict[str, Any]:
    """From a call's sending to its success; behind others it waits for their turns too."""
    lost = {one.key for one in ledger.lost}

    def counts(key: str, call: Call) -> bool:
        return call.status == 200 and (key in lost) == (which == "lost")

    taken = [(call.at - call.sent) * 1000.0 for key, call in ledger.calls.items() if counts(key, call)]
    return {"calls": len(taken), "p50": share_of(taken, 0.5), "p99": share_of(taken, 0.99)}


def sooner(ledger: Ledger) -> dict[str, int]:
    """Calls that were given up on before their deadline though nothing had been done to the machines that
    they concerned: 504 with time left, and 502 though the one run of it ended well and in time."""
    found: Counter[str] = Counter()
    for key, call in ledger.calls.items():
        runs = ledger.runs.get(key, [])
        places = {call.place, *(place_of(run.node) for run in runs)}
        if call.status not in (502, 504) or ledger.troubled(places, call.sent, call.at):
            continue
        early = call.status == 504 and call.at < call.sent + call.left_s - EARLY_S
        answered = call.status == 502 and len(runs) == 1 and runs[0].told in WELL
        if early or answered and runs[0].ended < call.sent + call.left_s:
            found[str(call.status)] += 1
            if found[str(call.status)] <= SHOWN:
                print(f"ended sooner: {key}: {call} runs {runs}")
    return dict(found)


def result(play: Play, seconds: float, cpu: float, faults: Counter[str]) -> dict[str, Any]:
    ledger = play.ledger
    return {
        "seconds": round(seconds, 1),
        "calls": len(ledger.calls),
        "runs": sum(len(runs) for runs in ledger.runs.values()),
        "told": ledger.told(),
        "lost_calls": len({one.key for one in ledger.lost}),
        "asked_back": sum(one.asked for one in ledger.lost),
        "lost_why": dict(Counter(one.why for one in ledger.lost).most_common(8)),
        "effectful_in_doubt": ledger.in_doubt(),
        "ended_sooner": sooner(ledger),
        "success_ms": {which: took_ms(ledger, which) for which in ("lost", "other")},
        "troubles": dict(sorted(play.done.items())),
        "not_carried_out": play.faulted,
        "broken": dict(faults),
        "cores": round(cpu / seconds, 2),
        "load_average": round(os.getloadavg()[0], 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    usual = Size()
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--proxies", type=int, default=usual.proxies)
    parser.add_argument("--connections", type=int, default=usual.connections)
    parser.add_argument("--pause", type=float, default=usual.pause_s, help="seconds between two batches")
    parser.add_argument("--large", type=float, default=usual.large, help="share of bodies of 5 MiB")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--without", nargs="*", default=[], choices=sorted(GUARDS))
    parser.add_argument("--only", nargs="*", default=[], choices=sorted({*TROUBLES, "half", "none"}))
    parser.add_argument("--logs", type=Path, help="a folder for what the sidecars write")
    given = parser.parse_args()
    size = Size(
        given.proxies, given.connections, given.pause, large=given.large, without=tuple(given.without)
    )
    began, cpu = time.monotonic(), cpu_s()
    with tempfile.TemporaryDirectory() as folder:

        async def whole() -> Play:
            play = Play(Path(folder), size, given.seed)
            await asyncio.wait_for(play.run(given.seconds, given.only or SCRIPT), given.seconds + ENDS_S)
            return play

        play = asyncio.run(whole())
        if given.logs is not None:
            given.logs.mkdir(parents=True, exist_ok=True)
            for log in Path(folder).glob("*.log"):
                shutil.copy(log, given.logs)
    faults: Counter[str] = Counter()
    for fault in play.ledger.judge():
        faults[fault.rule.value] += 1
        if faults[fault.rule.value] <= SHOWN:
            print(f"{fault.rule.value}: {fault.key}: {fault.evidence}")
    found = result(play, time.monotonic() - began, cpu_s() - cpu, faults)
    for name, value in found.items():
        print(f"{name}: {value}")
    print(json.dumps(found))
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
