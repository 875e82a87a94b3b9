"""Measures the CPU time of decisions by kind of event, without faults and with failing servers.

    python -m benchmarks.event_kinds [--rates 300 1000 3000] [--seconds 8]

Simulates one busy sidecar (`lab/scenarios/busy.toml`) with 13 servers and no CPU budget, so that its
decisions are not limited. In the cells with errors, a third of the servers fails six of ten calls. Each cell
runs in its own process, with the Python source and, if it was built (`python -m hareloom.compile`), with the
compiled module. Prints microseconds per event and per call, and events per call. "wire" is the time in which
the simulator's host reads a request and its answer and writes the actions, without the time of the module.
The last line is JSON.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import time
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SCENARIO = ROOT / "lab" / "scenarios" / "busy.toml"
FAULT = {"kind": "errors", "at_ms": 500.0, "for_ms": 60_000.0, "share": 0.34, "size": 0.6}
CAPACITY = 3421.0  # calls per second that the servers of the scenario can handle


def measure_cell(rate: float, with_errors: bool, seconds: float) -> dict[str, Any]:
    from hareloom import Balancer
    from hareloom import interface as api
    from lab import scenario
    from lab.simulation import Simulation

    spent_us, counts = defaultdict[str, float](float), Counter[str]()

    class TimedBalancer:
        def __init__(self, settings: api.Settings, seed: int) -> None:
            self.module = Balancer(settings, seed)

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            started = time.perf_counter()
            actions = self.module.handle(now, event)
            elapsed_s = time.perf_counter() - started
            kind = type(event).__name__
            spent_us[kind] += elapsed_s * 1e6
            counts[kind] += 1
            counts["sends"] += sum(isinstance(action, api.Send) for action in actions)
            return actions

    changes: dict[str, Any] = {"load.share": rate / CAPACITY, "sidecars.cpu.per_s": 0.0, "seconds": seconds}
    if with_errors:
        changes["troubles"] = [FAULT]
    row = Simulation(scenario.load(SCENARIO).with_changes(changes).scenario_for(1), 1, TimedBalancer).run()
    calls = counts["Request"]
    kinds = {
        kind: {"us": round(spent_us[kind] / counts[kind], 2), "a_call": round(counts[kind] / calls, 3)}
        for kind in sorted(spent_us)
    }
    return {
        "us_a_call": round(sum(spent_us.values()) / calls, 2),
        "sends_a_call": round(counts["sends"] / calls, 3),
        "kinds": kinds,
        "service": round(row.service, 3),
    }


def measure_wire(requests: int = 20_000) -> float:
    """Returns the microseconds per request that the host uses in addition to the module."""
    from hareloom import Balancer
    from hareloom import interface as api
    from hareloom.host import Host
    from hareloom.wire import parse_settings as read_settings

    config = {
        "classes": [
            {"name": "check", "promise-ms": 120.0, "give-up-ms": 400.0, "idempotency": "free"},
            {"name": "submit", "promise-ms": 90.0, "give-up-ms": 400.0, "idempotency": "free"},
        ],
        "limits": {"max-attempts": 4},
    }
    host = Host()
    entries = [f"ITEM condition=Ready upstream=s{n} hall=a group={n} hw=fast" for n in range(13)]
    frames = ["FRAME now-ms=0", "FOR who=1", f"NEW_INSTANCE entropy=1 config={json.dumps(config)}"]
    frames += ["MANIFEST ref=1 entries=13", *entries, "FOR who=1", "SYNC kind=total index=1 ref=1", "END"]
    for line in frames:
        host.read_line(line)
    requests_sent = [(float(n), "check" if n % 2 else "submit") for n in range(requests)]
    started = time.perf_counter()
    for now, name in requests_sent:
        for line in (
            f"FRAME now-ms={now:.3f}",
            "FOR who=1",
            f"ASK msg-id=r{now:.0f} profile={name} not-after-ms={now + 400.0:.3f} is-retry=0",
            "END",
            f"FRAME now-ms={now + 0.5:.3f}",
            "FOR who=1",
            f"RETURNED msg-id=r{now:.0f} copy=0 status=ok took-ms=21.250 no-more=1",
            "END",
        ):
            host.read_line(line)
    host_s = time.perf_counter() - started
    module = Balancer(read_settings(json.dumps(config)), 1)
    server_entries = tuple(api.ServerEntry(f"s{n}", zone="a", cell=n, kind="fast") for n in range(13))
    module.handle(0.0, api.ServerList(api.ListKind.FULL, 1, server_entries))
    started = time.perf_counter()
    for now, name in requests_sent:
        module.handle(now, api.Request(f"r{now:.0f}", name, now + 400.0))
        module.handle(now + 0.5, api.AttemptEnded(f"r{now:.0f}", 0, api.Outcome.OK, 21.25, True))
    return (host_s - (time.perf_counter() - started)) / requests * 1e6


def run_process(plain: bool, *arguments: str) -> Any:
    env = os.environ | {"HARELOOM_PLAIN": "1" if plain else ""}
    command = [sys.executable, "-m", "benchmarks.event_kinds", *arguments]
    completed = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, check=True)
    return json.loads(completed.stdout.splitlines()[-1])


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rates", type=float, nargs="+", default=[300.0, 1000.0, 3000.0])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--one", nargs=2, type=float, help=argparse.SUPPRESS)
    parser.add_argument("--wire", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one or args.wire:
        print(
            json.dumps(
                measure_wire() if args.wire else measure_cell(args.one[0], bool(args.one[1]), args.seconds)
            )
        )
        return
    results: dict[str, Any] = {}
    for plain in (True, False):
        name = "source" if plain else "compiled"
        results[name] = {"wire_us": round(run_process(plain, "--wire"), 2)}
        print(name, results[name], flush=True)
        for rate in args.rates:
            for with_errors in (False, True):
                cell = f"{rate:.0f} a second, {'a third failing' if with_errors else 'calm'}"
                arguments = ("--one", str(rate), str(int(with_errors)), "--seconds", str(args.seconds))
                results[name][cell] = run_process(plain, *arguments)
                print(name, cell, results[name][cell], flush=True)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
