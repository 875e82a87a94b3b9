"""Real sidecars that are told to end at any moment, again and again, under load; judged from outside.

    python -m benchmarks.shutdown_processes [--seconds 60] [--proxies 4] [--seed 1]

Three control processes and so many sidecars on loopback. No request that ran may be cut off but where the
operators' rule excuses it, none that is effectful may run twice or behind a promise. Exit code 1 where a rule
was broken. The last line is JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys

from rigs.shutdown_world.processes import attack

SHOWN = 10


def main() -> int:
    """The exit code."""
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seconds", type=float, default=60.0, help="in which lives begin")
    words.add_argument("--proxies", type=int, default=4)
    words.add_argument("--seed", type=int, default=1)
    given = words.parse_args()
    tally = asyncio.run(attack(given.seconds, given.proxies, given.seed))
    for one in tally.findings[:SHOWN]:
        print(f"{one.rule} {one.attempt}: {one.told}")
    told = {
        "lives": tally.lives,
        "requests": tally.sent,
        "outcomes": dict(sorted(tally.counts.items())),
        "long_ends": tally.long,
        "exit_statuses": sorted(set(tally.statuses)),
        "findings": len(tally.findings),
    }
    print(json.dumps(told))
    return 1 if tally.findings or any(tally.statuses) else 0


if __name__ == "__main__":
    sys.exit(main())
