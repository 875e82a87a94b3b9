"""What a start costs with everything off, and with MessagePack-RPC on.

    python -m benchmarks.start [--against CHECKOUT] [--starts 20]

Milliseconds from the start of the process until it listens, CPU until then, and peak memory; medians over
starts that take turns.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.rpc import OPERATOR
from rigs import fleet

ROOT = Path(__file__).resolve().parent.parent


async def one_start(checkout: Path, *arguments: str) -> dict[str, float]:
    discovery, port = await fleet.serve_on_loopback(fleet.Discovery)
    fleet.Discovery.hosts = hosts = fleet.host_entries([9, 10, 11, 12])
    begun = time.perf_counter()
    async with fleet.run_sidecar(checkout, hosts, port, *arguments) as running:
        found = {"start_ms": (time.perf_counter() - begun) * 1000.0}
        found |= {"cpu_ms": running.cpu_s() * 1000.0, "peak_mb": running.peak_mb()}
    discovery.close()
    return found


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--against", type=Path, help="another checkout, started in turn with this one")
    words.add_argument("--starts", type=int, default=20)
    given = words.parse_args()
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(OPERATOR)
        file.flush()
        ways: dict[str, tuple[Path, tuple[str, ...]]] = {
            "off": (ROOT, ()),
            "rpc": (ROOT, ("--operator", file.name)),
        }
        if given.against:
            ways["against"] = (given.against.resolve(), ())
        found: dict[str, list[dict[str, float]]] = {name: [] for name in ways}
        for _ in range(given.starts):
            for name, (checkout, arguments) in ways.items():
                found[name].append(asyncio.run(one_start(checkout, *arguments)))
    result = {
        name: {key: round(statistics.median(row[key] for row in rows), 1) for key in rows[0]}
        for name, rows in found.items()
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
