"""How long the checks take: one configuration, a thousand, and the part that each start pays for.

    python -m benchmarks.configure [--many 1000] [--rounds 5]

Whole processes, from start to end, in seconds; medians over rounds. The thousand are of as many different
descriptions of stalls, each in a folder of its own. `judge_ms` is the time within the process for one,
`startup_ms` that of what a starting sidecar runs.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from anisestair.configure import folder, startup
from anisestair.configure.derive import derive
from anisestair.configure.description import convert
from anisestair.configure.judge_app import judge_bundle
from anisestair.configure.source import read_toml

ROOT = Path(__file__).resolve().parent.parent
APP = ROOT / "deploy" / "apps" / "stall.toml"


def write(root: Path, count: int) -> None:
    text = APP.read_text()
    for number in range(count):
        app = text.replace('"stall-wool"', f'"stall-{number}"').replace(
            "rate = 24", f"rate = {5 + number % 20}"
        )
        derived = derive(convert(read_toml("app.toml", app).data))
        place = root / f"stall-{number}"
        place.mkdir()
        (place / "app.toml").write_text(app)
        (place / "config.json").write_text(derived.platform_text)


def seconds(*arguments: str) -> float:
    start = time.perf_counter()
    command = [sys.executable, "-m", "anisestair", "config", "check", *arguments]
    subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL, timeout=120)
    return time.perf_counter() - start


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--many", type=int, default=1000)
    words.add_argument("--rounds", type=int, default=5)
    given = words.parse_args()
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        write(root, given.many)
        one = root / "stall-0"
        found = {
            "one_s": statistics.median(seconds(str(one)) for _ in range(given.rounds)),
            "many": given.many,
            "many_s": statistics.median(seconds(str(root)) for _ in range(given.rounds)),
        }
        within = []
        for _ in range(given.rounds * 20):
            start = time.perf_counter()
            judge_bundle(folder.of_folder(one), {})
            within.append((time.perf_counter() - start) * 1000.0)
        found["judge_ms"] = statistics.median(within)
        started = []
        for _ in range(given.rounds * 20):
            start = time.perf_counter()
            startup.finding_lines(os.environ | {"BALANCER_CONFIG": str(one / "config.json")})
            started.append((time.perf_counter() - start) * 1000.0)
        found["startup_ms"] = statistics.median(started)
    print(json.dumps({key: round(value, 3) for key, value in found.items()}))


if __name__ == "__main__":
    main()
