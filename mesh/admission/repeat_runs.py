"""Which calls the upstream beside this sidecar makes in the run of a repeat. No I/O; times in milliseconds.

The rule counts a call that is made by a run which was itself a repeat as a repeat where it arrives. No header
tells who made a call, but it ends with the deadline of the request that it is made for: a call whose deadline
is that of a repeat which runs here is taken for one of its own. A client's request that ends at the same
moment is taken for one as well, which costs the budget and breaks nothing.
"""

from __future__ import annotations

from collections.abc import Hashable

# Between what the upstream is told is left and what it tells of its call: the way there, a connection that
# opens, rounding to whole milliseconds.
DEADLINE_TOLERANCE_MS = 25.0


class RepeatRuns:
    """Of one upstream. Bounded by the calls that may be at it."""

    def __init__(self) -> None:
        """None runs."""
        self._deadlines: dict[Hashable, float] = {}

    def __len__(self) -> int:
        """How many run."""
        return len(self._deadlines)

    def begin(self, run: Hashable, deadline: float) -> None:
        """The upstream begins a repeat, whose client waits until ``deadline``."""
        self._deadlines[run] = deadline

    def end(self, run: Hashable) -> None:
        """Of a run that is no repeat, too: that changes nothing."""
        self._deadlines.pop(run, None)

    def may_have_made(self, deadline: float) -> bool:
        """Whether a call with that deadline may have been made by one of them."""
        return any(abs(deadline - of_run) <= DEADLINE_TOLERANCE_MS for of_run in self._deadlines.values())
