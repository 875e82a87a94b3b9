"""A minimal process that reports when this machine stalled or starved it of CPU time, so that such stalls can
be told apart from a program's own.

    python -m rigs.soak.stall_probe

Writes one line for each stall: the time at which it ended (CLOCK_MONOTONIC, seconds) and its length.
"""

from __future__ import annotations

import time

INTERVAL_S = 0.02
STALL_S = 0.15
WORK_S, WORK_EVERY_S = 0.015, 0.5  # CPU time of one piece of work, and how often it runs
MAX_SLOWDOWN = 3.0  # work that takes longer by this factor counts as a stall


def measure_work_s() -> float:
    """Returns the elapsed time in which WORK_S of CPU time is used."""
    began, used = time.monotonic(), time.process_time()
    while time.process_time() - used < WORK_S:
        pass
    return time.monotonic() - began


def report(ended: float, length: float) -> None:
    """Writes one line."""
    print(ended, length, flush=True)


def main() -> None:
    """Runs until it is killed."""
    before = worked = time.monotonic()
    while True:
        time.sleep(INTERVAL_S)
        now = time.monotonic()
        if now - before > INTERVAL_S + STALL_S:
            report(now, now - before)
        if now - worked >= WORK_EVERY_S:
            if measure_work_s() > MAX_SLOWDOWN * WORK_S:
                report(time.monotonic(), time.monotonic() - worked)
            worked = time.monotonic()
        before = time.monotonic()


if __name__ == "__main__":
    main()
