"""A panel of drawn deployments in the operators' simulator, beside its built-in policies on the same days.

    python -m benchmarks.panel --bench LBSIM --site A.toml --site B.toml [--count 12] [--seed 1]

Each deployment is a changed copy of one of the sites, drawn over the ranges of both and beyond: 2 to 60
sidecars, 3 to 60 servers, work of 2 to 500 ms, aims of 1.2 to 20 times the work, drains of 200 ms to 5 s,
classes safe, keyed by cell, zone and all, and unsafe, 1 to 6 attempts, with and without probes, cancel and
advice; lists pushed or asked. A deployment's figure is the mean over its days; of the built-in
policies the best that kept the rules. --checkout names another revision's decisions. The plays' journal stays
in a scratch folder. Not part of CI: the simulator is the operators'.
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
PER_SERVER_S = (8.0, 250.0)  # calls a second that one server carries at full load, held within these
MOST_RATE = 1500.0  # calls a second in all: a day has to be played in time


def drawn(base: dict[str, Any], name: str, chance: random.Random, even: float) -> dict[str, Any]:
    """A changed copy of a site; ``even`` in 0 to 1 spreads the sizes over their range, small to large."""
    site: dict[str, Any] = json.loads(json.dumps(base))

    def log(low: float, high: float) -> float:
        return float(low * (high / low) ** chance.random())

    servers = round(3 * 20**even)
    sidecars = round(2 * 30 ** chance.random())
    work = log(2.0, 500.0)
    site["name"] = name
    site["scale"] = {
        "servers": [servers, servers],
        "balancers": [sidecars, sidecars],
        "big_servers": [round(1.3 * servers), round(1.6 * servers)],
        "big_balancers": [sidecars, round(1.5 * sidecars)],
        "twin_servers": servers,
        "twin_balancers": min(sidecars, 3),
    }
    cores = max(min(round(min(PER_SERVER_S[1], MOST_RATE / servers) * work / 1000.0), 32), 1)
    site["day"] |= {"length_s": [24, 28], "max_requests": 45000}
    tier = site["tier"][0]
    for kind in tier["kind"]:
        kind["cores"] = max(round(cores * log(0.7, 1.4)), 1)
    for klass in site["class"]:
        for field in ("group", "window_ms"):
            klass.pop(field, None)
        klass |= chance.choice(EFFECTS)
        own = work * log(0.7, 1.6)
        klass["work_ms"] = [0.75 * own, 1.3 * own]
        klass["aim_ms"] = round(own * log(1.2, 20.0) + 10.0, 1)
        klass["deadline_ms"] = round(klass["aim_ms"] * log(1.8, 5.0), 1)
        if klass["effect"] == "keyed":
            klass["window_ms"] = round(klass["deadline_ms"] * log(1.0, 3.0), 1)
    site["rules"] |= {"drain_grace_ms": round(log(200.0, 5000.0))}
    site["allow"] |= {
        "max_attempts": chance.randint(1, 6),
        "probes": chance.random() < 0.5,
        "cancel": chance.random() < 0.5,
        "retry_after": chance.random() < 0.6,
    }
    # Drawn beside, so that the rest is as it was before lists were drawn as well.
    site["discovery"]["mode"] = random.Random(f"{name}/list").choice(["push", "ask"])
    return site


def play(bench: Path, checkout: Path, site: Path, jobs: int) -> list[dict[str, Any]]:
    """The rows of one site's quick days; RuntimeError, with the bench's last line, where there are none."""
    with tempfile.TemporaryDirectory() as folder:
        scratch = Path(folder)
        for part in ("hareloom", "deploy", ".compiled"):  # the last where that checkout has built it
            if (checkout / part).is_dir():
                shutil.copytree(checkout / part, scratch / part)
        subprocess.run(["git", "init", "-q", folder], check=True)
        words = [str(bench), "score", str(site), "--quick", "--no-build", "--jobs", str(jobs)]
        words += ["--why", f"Panel: {site.stem}", "--", sys.executable, "-m", "hareloom.wirehost"]
        run = subprocess.run(words, cwd=scratch, capture_output=True, text=True)
    rows = [found.groupdict() for line in run.stdout.splitlines() if (found := ROW.match(line.rstrip()))]
    if not rows:
        raise RuntimeError(f"{site.name}: {(run.stdout + run.stderr).strip().splitlines()[-1]}")
    days: list[dict[str, Any]] = []
    for row in rows:
        best = None if row["textbook"] == "-" else float(row["textbook"].split("(")[1].rstrip(")"))
        days.append(row | {"G": float(row["G"]), "score": float(row["score"]), "textbook": best})
    return days


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--bench", type=Path, required=True, help="the simulator's program")
    words.add_argument("--site", type=Path, action="append", required=True, help="a site file; twice or more")
    words.add_argument("--count", type=int, default=12)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--only", type=int, action="append", help="these numbers alone")
    words.add_argument("--checkout", type=Path, default=ROOT, help="whose decisions; this one's by default")
    words.add_argument("--jobs", type=int, default=1, help="days at once, of each deployment")
    words.add_argument("--at-once", type=int, default=2, help="deployments at once")
    words.add_argument("--keep", type=Path, help="a folder that the drawn site files are kept in")
    given = words.parse_args()
    bases = [(path, tomllib.loads(path.read_text())) for path in given.site]
    with tempfile.TemporaryDirectory() as folder:
        keep = given.keep or Path(folder)
        keep.mkdir(parents=True, exist_ok=True)
        sites = []
        for number in range(given.count):
            path, base = bases[number % len(bases)]
            chance = random.Random(f"panel/{given.seed}/{number}")
            site = drawn(base, f"panel-{given.seed}-{number}", chance, number / max(given.count - 1, 1))
            site["wire"] = str((path.parent / base["wire"]).resolve())
            made = keep / f"{site['name']}.toml"
            made.write_text(tomli_w.dumps(site))
            if not given.only or number in given.only:
                sites.append(made)

        def row(site: Path) -> dict[str, Any]:
            try:
                days = play(given.bench.resolve(), given.checkout.resolve(), site, given.jobs)
            except RuntimeError as fault:
                print(fault, flush=True)
                return {"site": site.stem, "fault": str(fault)}
            ours = statistics.mean(day["score"] for day in days)
            theirs = statistics.mean(day["textbook"] or 0.0 for day in days)
            for day in days:
                print(site.stem, {k: v for k, v in day.items() if k not in ("top", "random")}, flush=True)
            return {"site": site.stem, "score": round(ours, 3), "textbook": round(theirs, 3), "days": days}

        with ThreadPoolExecutor(given.at_once) as pool:
            rows = list(pool.map(row, sites))
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
