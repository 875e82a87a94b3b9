"""Measures the configuration check: one configuration, a thousand, and the checks at a sidecar's start.

    python -m benchmarks.configure [--many 1000] [--rounds 5]

Times of complete processes in seconds, as medians over rounds. The thousand configurations come from as many
different descriptions, each in its own folder. `judge_ms` is the time to check one within a process,
`startup_ms` the time of the checks that a starting sidecar runs.
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
from anisestair.configure.description import parse_app
from anisestair.configure.judge_app import check_bundle
from anisestair.configure.source import read_toml

ROOT = Path(__file__).resolve().parent.parent
APP = ROOT / "deploy" / "apps" / "stall.toml"


def write_applications(root: Path, count: int) -> None:
    """Writes ``count`` applications, each in its own folder."""
    text = APP.read_text()
    for number in range(count):
        app = text.replace('"stall-wool"', f'"stall-{number}"').replace(
            "rate = 24", f"rate = {5 + number % 20}"
        )
        derived = derive(parse_app(read_toml("app.toml", app).data))
        application_folder = root / f"stall-{number}"
        application_folder.mkdir()
        (application_folder / "app.toml").write_text(app)
        (application_folder / "config.json").write_text(derived.platform_text)


def check_seconds(*arguments: str) -> float:
    """Duration of one `config check` process."""
    start = time.perf_counter()
    command = [sys.executable, "-m", "anisestair", "config", "check", *arguments]
    subprocess.run(command, cwd=ROOT, check=True, stdout=subprocess.DEVNULL, timeout=120)
    return time.perf_counter() - start


def main() -> None:
    """Runs the measurement and prints its results as one line of JSON."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--many", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        root = Path(name)
        write_applications(root, options.many)
        first_application = root / "stall-0"
        results = {
            "one_s": statistics.median(check_seconds(str(first_application)) for _ in range(options.rounds)),
            "many": options.many,
            "many_s": statistics.median(check_seconds(str(root)) for _ in range(options.rounds)),
        }
        check_ms = []
        for _ in range(options.rounds * 20):
            start = time.perf_counter()
            check_bundle(folder.load_folder(first_application), {})
            check_ms.append((time.perf_counter() - start) * 1000.0)
        results["judge_ms"] = statistics.median(check_ms)
        startup_ms = []
        for _ in range(options.rounds * 20):
            start = time.perf_counter()
            startup.finding_lines(os.environ | {"BALANCER_CONFIG": str(first_application / "config.json")})
            startup_ms.append((time.perf_counter() - start) * 1000.0)
        results["startup_ms"] = statistics.median(startup_ms)
    print(json.dumps({key: round(value, 3) for key, value in results.items()}))


if __name__ == "__main__":
    main()
