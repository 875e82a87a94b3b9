"""Where decisions' CPU goes, by kind of event: the busy sidecar of the laboratory, calm and with errors.

    python -m benchmarks.event_kinds [--rates 300 1000 3000] [--seconds 8]

One sidecar with 13 servers and no budget, so that nothing is governed; in trouble a third of the servers
fails six calls of ten. Each cell is played in a process of its own, by the source and compiled ahead of time
where that was built (`python -m hareloom.compile`). Microseconds of this machine an event and a call, and
events a call. "wire" is the simulator's host reading a request and its answer and writing what the module
says, less the module's part.
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
BUSY = ROOT / "lab" / "scenarios" / "busy.toml"
TROUBLE = {"kind": "errors", "at_ms": 500.0, "for_ms": 60_000.0, "share": 0.34, "size": 0.6}
CAPACITY = 3421.0  # calls a second that the scenario's servers can do


def one(rate: float, trouble: bool, seconds: float) -> dict[str, Any]:
    from hareloom import Balancer
    from hareloom import interface as api
    from lab import scenario
    from lab.simulation import Simulation

    spent, count = defaultdict[str, float](float), Counter[str]()

    class Timed:
        def __init__(self, settings: api.Settings, seed: int) -> None:
            self.module = Balancer(settings, seed)

        def handle(self, now: float, event: api.Event) -> list[api.Action]:
            begun = time.perf_counter()
            actions = self.module.handle(now, event)
            took = time.perf_counter() - begun
            kind = type(event).__name__
            spent[kind] += took * 1e6
            count[kind] += 1
            count["sends"] += sum(isinstance(action, api.Send) for action in actions)
            return actions

    changes: dict[str, Any] = {"load.share": rate / CAPACITY, "sidecars.cpu.per_s": 0.0, "seconds": seconds}
    if trouble:
        changes["troubles"] = [TROUBLE]
    row = Simulation(scenario.load(BUSY).with_changes(changes).scenario_for(1), 1, Timed).run()
    calls = count["Request"]
    kinds = {
        kind: {"us": round(spent[kind] / count[kind], 2), "a_call": round(count[kind] / calls, 3)}
        for kind in sorted(spent)
    }
    return {
        "us_a_call": round(sum(spent.values()) / calls, 2),
        "sends_a_call": round(count["sends"] / calls, 3),
        "kinds": kinds,
        "service": round(row.service, 3),
    }


def wire(requests: int = 20_000) -> float:
    """Microseconds a request beyond the module's own."""
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
    asks = [(float(n), "check" if n % 2 else "submit") for n in range(requests)]
    begun = time.perf_counter()
    for now, name in asks:
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
    through = time.perf_counter() - begun
    module = Balancer(read_settings(json.dumps(config)), 1)
    entries_ = tuple(api.ServerEntry(f"s{n}", zone="a", cell=n, kind="fast") for n in range(13))
    module.handle(0.0, api.ServerList(api.ListKind.FULL, 1, entries_))
    begun = time.perf_counter()
    for now, name in asks:
        module.handle(now, api.Request(f"r{now:.0f}", name, now + 400.0))
        module.handle(now + 0.5, api.AttemptEnded(f"r{now:.0f}", 0, api.Outcome.OK, 21.25, True))
    return (through - (time.perf_counter() - begun)) / requests * 1e6


def cell(plain: bool, *words: str) -> Any:
    env = os.environ | {"HARELOOM_PLAIN": "1" if plain else ""}
    run = [sys.executable, "-m", "benchmarks.event_kinds", *words]
    done = subprocess.run(run, cwd=ROOT, env=env, capture_output=True, text=True, check=True)
    return json.loads(done.stdout.splitlines()[-1])


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--rates", type=float, nargs="+", default=[300.0, 1000.0, 3000.0])
    words.add_argument("--seconds", type=float, default=8.0)
    words.add_argument("--one", nargs=2, type=float, help=argparse.SUPPRESS)
    words.add_argument("--wire", action="store_true", help=argparse.SUPPRESS)
    given = words.parse_args()
    if given.one or given.wire:
        print(json.dumps(wire() if given.wire else one(given.one[0], bool(given.one[1]), given.seconds)))
        return
    found: dict[str, Any] = {}
    for plain in (True, False):
        name = "source" if plain else "compiled"
        found[name] = {"wire_us": round(cell(plain, "--wire"), 2)}
        print(name, found[name], flush=True)
        for rate in given.rates:
            for trouble in (False, True):
                place = f"{rate:.0f} a second, {'a third failing' if trouble else 'calm'}"
                more = ("--one", str(rate), str(int(trouble)), "--seconds", str(given.seconds))
                found[name][place] = cell(plain, *more)
                print(name, place, found[name][place], flush=True)
    print(json.dumps(found))


if __name__ == "__main__":
    main()
