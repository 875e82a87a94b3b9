"""Measures the cost of a start, with all optional features off and with MessagePack-RPC on.

    python -m benchmarks.start [--against CHECKOUT] [--starts 20]

Reports the milliseconds from the start of the process until it listens, the CPU time until then, and peak
memory, as medians over alternating starts.
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
    started = time.perf_counter()
    async with fleet.run_sidecar(checkout, hosts, port, *arguments) as running:
        found = {"start_ms": (time.perf_counter() - started) * 1000.0}
        found |= {"cpu_ms": running.cpu_s() * 1000.0, "peak_mb": running.peak_mb()}
    discovery.close()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--against", type=Path, help="another checkout, started alternately with this one")
    parser.add_argument("--starts", type=int, default=20)
    args = parser.parse_args()
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(OPERATOR)
        file.flush()
        variants: dict[str, tuple[Path, tuple[str, ...]]] = {
            "off": (ROOT, ()),
            "rpc": (ROOT, ("--operator", file.name)),
        }
        if args.against:
            variants["against"] = (args.against.resolve(), ())
        found: dict[str, list[dict[str, float]]] = {name: [] for name in variants}
        for _ in range(args.starts):
            for name, (checkout, arguments) in variants.items():
                found[name].append(asyncio.run(one_start(checkout, *arguments)))
    result = {
        name: {key: round(statistics.median(row[key] for row in rows), 1) for key in rows[0]}
        for name, rows in found.items()
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
