"""Runs a panel of randomly drawn deployments in the operators' simulator and compares with its built-in
policies on the same days.

    python -m benchmarks.panel --bench LBSIM --site A.toml --site B.toml [--count 12] [--seed 1]

Each deployment is a modified copy of one of the sites, drawn over the ranges of both and beyond: 2 to 60
sidecars, 3 to 60 servers, work of 2 to 500 ms, latency targets of 1.2 to 20 times the work, drain times of
200 ms to 5 s, request classes that are safe, keyed (by cell, zone or all) and unsafe, 1 to 6 attempts, with
and without probes, cancellation and retry advice; server lists pushed or queried. The score of a deployment
is the mean over its days; of the built-in policies the best one that kept the rules is used. --checkout runs
the decisions of another revision. The journal of the runs stays in a scratch folder. Not part of CI, as the
simulator belongs to the operators.
"""

from __future__ import annotations

import argparse
import json
import random
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).resolve().parent.parent
ROW = re.compile(
    r"^(?P<day>[a-z]+(?:-\d+)?) +(?P<troubles>\S+) +(?P<size>\d+x\d+) +(?P<G>-?[\d.]+) +(?P<score>-?[\d.]+)"
    r" +\S+ +(?P<random>-|-?[\d.]+) +(?P<textbook>-|-?[\d.]+ \(-?[\d.]+\)) +(?P<top>-?[\d.]+) *(?P<notes>.*)$"
)
EFFECTS = (
    {"effect": "safe"},
    {"effect": "unsafe"},
    {"effect": "keyed", "group": "zone"},
    {"effect": "keyed", "group": "cell"},
    {"effect": "keyed", "group": "all"},
)
SERVER_RATE_BOUNDS_S = (8.0, 250.0)  # bounds of the calls per second that one server handles at full load
MAX_TOTAL_RATE = 1500.0  # calls per second in total, so that a day completes in time


def draw_site(base: dict[str, Any], name: str, rng: random.Random, size_quantile: float) -> dict[str, Any]:
    """Draws a modified copy of a site. ``size_quantile``, 0 to 1, sets the number of servers in its range."""
    site: dict[str, Any] = json.loads(json.dumps(base))

    def log_uniform(low: float, high: float) -> float:
        return float(low * (high / low) ** rng.random())

    servers = round(3 * 20**size_quantile)
    sidecars = round(2 * 30 ** rng.random())
    work = log_uniform(2.0, 500.0)
    site["name"] = name
    site["scale"] = {
        "servers": [servers, servers],
        "balancers": [sidecars, sidecars],
        "big_servers": [round(1.3 * servers), round(1.6 * servers)],
        "big_balancers": [sidecars, round(1.5 * sidecars)],
        "twin_servers": servers,
        "twin_balancers": min(sidecars, 3),
    }
    cores = max(min(round(min(SERVER_RATE_BOUNDS_S[1], MAX_TOTAL_RATE / servers) * work / 1000.0), 32), 1)
    site["day"] |= {"length_s": [24, 28], "max_requests": 45000}
    tier = site["tier"][0]
    for kind in tier["kind"]:
        kind["cores"] = max(round(cores * log_uniform(0.7, 1.4)), 1)
    for request_class in site["class"]:
        for field in ("group", "window_ms"):
            request_class.pop(field, None)
        request_class |= rng.choice(EFFECTS)
        class_work = work * log_uniform(0.7, 1.6)
        request_class["work_ms"] = [0.75 * class_work, 1.3 * class_work]
        request_class["aim_ms"] = round(class_work * log_uniform(1.2, 20.0) + 10.0, 1)
        request_class["deadline_ms"] = round(request_class["aim_ms"] * log_uniform(1.8, 5.0), 1)
        if request_class["effect"] == "keyed":
            request_class["window_ms"] = round(request_class["deadline_ms"] * log_uniform(1.0, 3.0), 1)
    site["rules"] |= {"drain_grace_ms": round(log_uniform(200.0, 5000.0))}
    site["allow"] |= {
        "max_attempts": rng.randint(1, 6),
        "probes": rng.random() < 0.5,
        "cancel": rng.random() < 0.5,
        "retry_after": rng.random() < 0.6,
    }
    # From a separate generator, so that all other draws stay as they were before this one was added.
    site["discovery"]["mode"] = random.Random(f"{name}/list").choice(["push", "ask"])
    return site


def score_site(bench: Path, checkout: Path, site: Path, jobs: int) -> list[dict[str, Any]]:
    """Returns the rows of the quick days of one site. Raises RuntimeError with the simulator's last line if
    there are none."""
    with tempfile.TemporaryDirectory() as folder:
        scratch = Path(folder)
        for part in ("hareloom", "deploy", ".compiled"):  # .compiled only if that checkout has built it
            if (checkout / part).is_dir():
                shutil.copytree(checkout / part, scratch / part)
        subprocess.run(["git", "init", "-q", folder], check=True)
        command = [str(bench), "score", str(site), "--quick", "--no-build", "--jobs", str(jobs)]
        command += ["--why", f"Panel: {site.stem}", "--", sys.executable, "-m", "hareloom.wirehost"]
        run = subprocess.run(command, cwd=scratch, capture_output=True, text=True)
    rows = [found.groupdict() for line in run.stdout.splitlines() if (found := ROW.match(line.rstrip()))]
    if not rows:
        raise RuntimeError(f"{site.name}: {(run.stdout + run.stderr).strip().splitlines()[-1]}")
    days: list[dict[str, Any]] = []
    for row in rows:
        best = None if row["textbook"] == "-" else float(row["textbook"].split("(")[1].rstrip(")"))
        days.append(row | {"G": float(row["G"]), "score": float(row["score"]), "textbook": best})
    return days


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bench", type=Path, required=True, help="the simulator's program")
    parser.add_argument(
        "--site", type=Path, action="append", required=True, help="a site file; may be given several times"
    )
    parser.add_argument("--count", type=int, default=12)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--only",
        type=int,
        action="append",
        help="only the deployment with this number; may be given several times",
    )
    parser.add_argument(
        "--checkout", type=Path, default=ROOT, help="checkout whose decisions are used (default: this one)"
    )
    parser.add_argument("--jobs", type=int, default=1, help="concurrent days per deployment")
    parser.add_argument("--at-once", type=int, default=2, help="concurrent deployments")
    parser.add_argument("--keep", type=Path, help="folder in which the drawn site files are kept")
    args = parser.parse_args()
    bases = [(path, tomllib.loads(path.read_text())) for path in args.site]
    with tempfile.TemporaryDirectory() as folder:
        keep = args.keep or Path(folder)
        keep.mkdir(parents=True, exist_ok=True)
        sites = []
        for number in range(args.count):
            path, base = bases[number % len(bases)]
            rng = random.Random(f"panel/{args.seed}/{number}")
            site = draw_site(base, f"panel-{args.seed}-{number}", rng, number / max(args.count - 1, 1))
            site["wire"] = str((path.parent / base["wire"]).resolve())
            made = keep / f"{site['name']}.toml"
            made.write_text(tomli_w.dumps(site))
            if not args.only or number in args.only:
                sites.append(made)

        def row(site: Path) -> dict[str, Any]:
            try:
                days = score_site(args.bench.resolve(), args.checkout.resolve(), site, args.jobs)
            except RuntimeError as fault:
                print(fault, flush=True)
                return {"site": site.stem, "fault": str(fault)}
            ours = statistics.mean(day["score"] for day in days)
            theirs = statistics.mean(day["textbook"] or 0.0 for day in days)
            for day in days:
                print(site.stem, {k: v for k, v in day.items() if k not in ("top", "random")}, flush=True)
            return {"site": site.stem, "score": round(ours, 3), "textbook": round(theirs, 3), "days": days}

        with ThreadPoolExecutor(args.at_once) as pool:
            rows = list(pool.map(row, sites))
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
