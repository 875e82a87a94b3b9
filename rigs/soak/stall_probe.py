"""A bare process that tells when this machine let it stand still, or gave it little of a processor: told
apart from a program that does.

    python -m rigs.soak.stall_probe

Writes a line for each such time: the instant at which it ended (CLOCK_MONOTONIC, seconds) and its length.
"""

from __future__ import annotations

import time

LOOK_S = 0.02
STALL_S = 0.15
WORK_S, WORK_EVERY_S = 0.015, 0.5  # of a processor, so long and so often
SLOW_TIMES = 3.0  # work that takes so many times as long shows a machine that is late with everything


def works_s() -> float:
    """How long the work takes by the clock."""
    began, used = time.monotonic(), time.process_time()
    while time.process_time() - used < WORK_S:
        pass
    return time.monotonic() - began


def tell(ended: float, length: float) -> None:
    """A line."""
    print(ended, length, flush=True)


def main() -> None:
    """Until it is killed."""
    before = worked = time.monotonic()
    while True:
        time.sleep(LOOK_S)
        now = time.monotonic()
        if now - before > LOOK_S + STALL_S:
            tell(now, now - before)
        if now - worked >= WORK_EVERY_S:
            if works_s() > SLOW_TIMES * WORK_S:
                tell(time.monotonic(), time.monotonic() - worked)
            worked = time.monotonic()
        before = time.monotonic()


if __name__ == "__main__":
    main()
