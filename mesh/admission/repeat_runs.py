"""Detects calls that the upstream beside this sidecar makes while it processes a repeat. No I/O; times in
milliseconds.

The retry rule counts a call made on behalf of a repeat as a repeat where it arrives. No header names the
request that a call is made for, but both have the same deadline: a call with the deadline of a running repeat
is attributed to that repeat. A client's request that happens to have the same deadline is attributed to it as
well, which costs retry budget but is harmless.
"""

from __future__ import annotations

from collections.abc import Hashable

# Difference between the remaining times that the upstream receives and sends: transfer, the opening of a
# connection, and rounding to whole milliseconds.
DEADLINE_TOLERANCE_MS = 25.0


class RepeatRuns:
    """The running repeats of one upstream. Bounded by its concurrent calls."""

    def __init__(self) -> None:
        """No repeat is running."""
        self._deadlines: dict[Hashable, float] = {}

    def __len__(self) -> int:
        """The number of running repeats."""
        return len(self._deadlines)

    def begin(self, run: Hashable, deadline: float) -> None:
        """The upstream starts a repeat, whose client waits until ``deadline``."""
        self._deadlines[run] = deadline

    def end(self, run: Hashable) -> None:
        """A run has ended; without effect for a run that is not a repeat."""
        self._deadlines.pop(run, None)

    def may_have_made(self, deadline: float) -> bool:
        """Whether a call with this deadline may have been made by a running repeat."""
        return any(abs(deadline - running) <= DEADLINE_TOLERANCE_MS for running in self._deadlines.values())
