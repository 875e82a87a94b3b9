"""A soak of real processes on loopback, seeded; judged from outside.

    python -m benchmarks.soak [--seed 1] [--seeds 1] [--seconds 120] [--size small|machine] [--jobs 1]
        [--without FAULT ...] [--only PHASE ...] [--plan FILE] [--logs FOLDER] [--print] [--shrink N]

Configuration writes, signals, settings and link troubles come in series that overlap, all drawn from the
seed, while clients use their connections to the last. ``--seeds``: that many seeds from the first on, some
at once by ``--jobs``, each in a process of its own. ``--only``: troubles of these kinds alone. ``--plan``
plays a plan that was printed. ``--shrink``: what fails is played up to N times more with events left out, and
what is left is printed. Exit code 1 where a rule was broken. The last line of each seed is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from rigs.soak.draw import Phase, Size, draw, sized
from rigs.soak.faults import FAULTS
from rigs.soak.plan import Plan, read
from rigs.soak.play import Result, Soak
from rigs.soak.shrink import shrink

SHOWN = 6
FAILED = 1


def play(plan: Plan, faults: list[str], logs: Path | None) -> Result:
    """Plays it in a folder of its own, whose logs are kept where ``logs`` says."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(Soak(plan, Path(folder), faults).run())
        finally:
            if logs is not None:
                logs.mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    shutil.copy(log, logs)


def tell(plan: Plan, result: Result) -> None:
    """The findings, and a line of figures."""
    for one in result.findings[:SHOWN]:
        print(f"{one.rule}: {one.told}")
    told = msgspec.to_builtins(result)
    told["findings"] = len(result.findings)
    told["processes"] = plan.controllers + len(plan.services)
    told["seed"], told["relays"], told["events"] = plan.seed, plan.relays, len(plan.events)
    print(json.dumps(told), flush=True)


def one_of_many(seed: int, given: argparse.Namespace) -> int:
    """A seed in a process of its own; its output is passed on whole."""
    words = [sys.executable, "-m", "benchmarks.soak", "--seed", str(seed), "--seconds", str(given.seconds)]
    words += ["--size", given.size, *(["--without", *given.without] if given.without else [])]
    words += ["--only", *given.only] if given.only else []
    if given.logs is not None:
        words += ["--logs", str(given.logs / str(seed))]
    done = subprocess.run(words, capture_output=True, text=True, check=False)
    print(f"seed {seed}: exit code {done.returncode}\n{done.stdout}{done.stderr[-4000:]}", flush=True)
    return done.returncode


def arguments() -> argparse.Namespace:
    """Of the command line."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--seeds", type=int, default=1)
    words.add_argument("--seconds", type=float, default=120.0)
    words.add_argument("--size", choices=[one.value for one in Size], default=Size.SMALL.value)
    words.add_argument("--jobs", type=int, default=1)
    words.add_argument("--without", nargs="*", default=[], choices=sorted(FAULTS))
    words.add_argument("--only", nargs="*", default=[], choices=[one.name.lower() for one in Phase])
    words.add_argument("--shrink", type=int, default=0, metavar="N")
    words.add_argument("--plan", type=Path)
    words.add_argument("--logs", type=Path)
    words.add_argument(
        "--print", action="store_true", help="the plan, an event a line, and nothing is played"
    )
    return words.parse_args()


def memory_mb() -> float:
    """Of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e6


def planned(given: argparse.Namespace) -> Plan:
    """The one that is to be played."""
    if given.plan:
        return read(given.plan.read_text())
    services, controllers = sized(Size(given.size), os.cpu_count() or 1, memory_mb())
    phases = [Phase[name.upper()] for name in given.only] or list(Phase)
    return draw(given.seed, given.seconds, services, controllers, phases)


def shows(plan: Plan, rules: set[str], faults: list[str]) -> bool:
    """Whether a play of it breaks one of these rules."""
    return any(one.rule in rules for one in play(plan, faults, None).findings)


def main() -> int:
    """The exit code."""
    given = arguments()
    if given.seeds > 1:
        with ThreadPoolExecutor(given.jobs) as pool:
            codes = list(
                pool.map(lambda seed: one_of_many(seed, given), range(given.seed, given.seed + given.seeds))
            )
        print(
            json.dumps(
                {"seeds": given.seeds, "failed": [given.seed + at for at, code in enumerate(codes) if code]}
            )
        )
        return FAILED if any(codes) else 0
    plan = planned(given)
    if given.print:
        print(plan.lines())
        return 0
    result = play(plan, given.without, given.logs)
    tell(plan, result)
    if result.findings and given.shrink:
        rules = {one.rule for one in result.findings}
        print(shrink(plan, lambda one: shows(one, rules, given.without), given.shrink).lines())
    return FAILED if result.findings else 0


if __name__ == "__main__":
    sys.exit(main())
