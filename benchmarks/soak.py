"""A seeded soak test of real processes on loopback, checked from outside.

    python -m benchmarks.soak [--seed 1] [--seeds 1] [--seconds 120] [--size small|machine] [--jobs 1]
        [--without FAULT ...] [--only PHASE ...] [--plan FILE] [--logs FOLDER] [--print] [--shrink N]

Configuration writes, signals, settings changes and link faults come in overlapping series, all drawn from the
seed, while clients reuse their connections until they end. ``--seeds``: runs that many consecutive seeds,
``--jobs`` of them at a time, each in its own process. ``--only``: phases of these kinds only. ``--without``:
disables safeguards in all processes. ``--plan``: runs a printed plan. ``--shrink``: repeats a failing plan up
to N times with events left out, and prints the smallest. The exit code is 1 if a rule was broken. The last
line of each seed is JSON.
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

from rigs.soak.plan import Plan, decode_plan
from rigs.soak.plan_generator import Phase, Size, generate_plan, mesh_size
from rigs.soak.runner import Result, Soak
from rigs.soak.seeded_faults import SEEDED_FAULTS
from rigs.soak.shrink import shrink

MAX_FINDINGS_SHOWN = 6
EXIT_FAILED = 1


def run_plan(plan: Plan, seeded_faults: list[str], logs: Path | None) -> Result:
    """Runs a plan in a temporary folder; copies its log files to the folder ``logs``, if given."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(Soak(plan, Path(folder), seeded_faults).run())
        finally:
            if logs is not None:
                logs.mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    shutil.copy(log, logs)


def print_result(plan: Plan, result: Result) -> None:
    """Prints the findings, and a line of JSON with the measured values."""
    for one in result.findings[:MAX_FINDINGS_SHOWN]:
        print(f"{one.rule}: {one.description}")
    values = msgspec.to_builtins(result)
    values["findings"] = len(result.findings)
    values["processes"] = plan.controllers + len(plan.services)
    values["seed"], values["relays"], values["events"] = plan.seed, plan.relays, len(plan.events)
    print(json.dumps(values), flush=True)


def run_seed(seed: int, options: argparse.Namespace) -> int:
    """Runs a seed in its own process and prints its output; returns its exit code."""
    command = [
        sys.executable,
        "-m",
        "benchmarks.soak",
        "--seed",
        str(seed),
        "--seconds",
        str(options.seconds),
    ]
    command += ["--size", options.size, *(["--without", *options.without] if options.without else [])]
    command += ["--only", *options.only] if options.only else []
    if options.logs is not None:
        command += ["--logs", str(options.logs / str(seed))]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    print(f"seed {seed}: exit code {done.returncode}\n{done.stdout}{done.stderr[-4000:]}", flush=True)
    return done.returncode


def parse_options() -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--size", choices=[one.value for one in Size], default=Size.SMALL.value)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--without", nargs="*", default=[], choices=sorted(SEEDED_FAULTS))
    parser.add_argument("--only", nargs="*", default=[], choices=[one.name.lower() for one in Phase])
    parser.add_argument("--shrink", type=int, default=0, metavar="N")
    parser.add_argument("--plan", type=Path)
    parser.add_argument("--logs", type=Path)
    parser.add_argument("--print", action="store_true", help="only print the plan, one event per line")
    return parser.parse_args()


def memory_mb() -> float:
    """Returns the physical memory of this machine."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 1e6


def plan_of(options: argparse.Namespace) -> Plan:
    """Returns the plan that the options select."""
    if options.plan:
        return decode_plan(options.plan.read_text())
    services, controllers = mesh_size(Size(options.size), os.cpu_count() or 1, memory_mb())
    phases = [Phase[name.upper()] for name in options.only] or list(Phase)
    return generate_plan(options.seed, options.seconds, services, controllers, phases)


def breaks_any(plan: Plan, rules: set[str], seeded_faults: list[str]) -> bool:
    """Whether a run of the plan breaks one of these rules."""
    return any(one.rule in rules for one in run_plan(plan, seeded_faults, None).findings)


def main() -> int:
    """Returns the exit code."""
    options = parse_options()
    if options.seeds > 1:
        with ThreadPoolExecutor(options.jobs) as pool:
            codes = list(
                pool.map(
                    lambda seed: run_seed(seed, options), range(options.seed, options.seed + options.seeds)
                )
            )
        print(
            json.dumps(
                {
                    "seeds": options.seeds,
                    "failed": [options.seed + at for at, code in enumerate(codes) if code],
                }
            )
        )
        return EXIT_FAILED if any(codes) else 0
    plan = plan_of(options)
    if options.print:
        print(plan.encode())
        return 0
    result = run_plan(plan, options.without, options.logs)
    print_result(plan, result)
    if result.findings and options.shrink:
        rules = {one.rule for one in result.findings}
        print(shrink(plan, lambda one: breaks_any(one, rules, options.without), options.shrink).encode())
    return EXIT_FAILED if result.findings else 0


if __name__ == "__main__":
    sys.exit(main())
