"""Drawn plays of two sidecars of which one or both are told to end, in virtual time.

    python -m benchmarks.shutdown_plays [--plays 20] [--from 0] [--at-once 1] [--seconds 3600] [--out FILE]

Of an even seed links are reset, too. Prints what was broken, and the total as JSON last. Ends with 1 where a
rule was broken.
"""

from __future__ import annotations

import sys
from collections import Counter

from benchmarks.drawn_plays import Played, arguments, run, timed
from rigs.shutdown_world import draw, play

LONG_END_S = 5.0  # an end that waited for something to the last


def _play(seed: int) -> tuple[list[str], Counter[str]]:
    result = play(draw(seed, troubles=seed % 2 == 0))
    counts = Counter(
        {
            "requests": result.sent,
            "answered": result.answered,
            "refused": result.refused,
            "failed": result.failed,
            "crossed a close": result.crossed,
            "excused": result.excused,
            "long ends": int(result.took_s > LONG_END_S),
        }
    )
    return [f"{one.rule} {one.attempt}: {one.told}" for one in result.findings], counts


def one(seed: int) -> Played:
    """Runs in a process of the pool."""
    return timed(seed, _play)


if __name__ == "__main__":
    sys.exit(run("shutdown", one, arguments(str(__doc__))))
