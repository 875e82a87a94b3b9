"""A bare process that tells when this machine let it stand still: told apart from a program that does.

    python -m rigs.soak.stall_probe

Writes a line for each stall: the instant at which it ended (CLOCK_MONOTONIC, seconds) and its length.
"""

from __future__ import annotations

import time

LOOK_S = 0.02
STALL_S = 0.15


def main() -> None:
    """Until it is killed."""
    before = time.monotonic()
    while True:
        time.sleep(LOOK_S)
        now = time.monotonic()
        if now - before > LOOK_S + STALL_S:
            print(now, now - before, flush=True)
        before = now


if __name__ == "__main__":
    main()
