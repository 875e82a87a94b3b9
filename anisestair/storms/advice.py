"""When a refused client is to come back, while a storm forms, lasts or ends. No I/O.

One fixed advice brings all who were refused in the same moment back in the same moment. Out of calm it is
spread at random round the module's own, client by client and sidecar by sidecar. It is not made longer: a
line of booked returns, and twice the wait for a repeat, both cost worth in the fleet in virtual time, since
what comes back later has less time left and is served late or not at all (docs/design/storms.md).

Source: RFC 9110, section 10.2.3 (Retry-After).
"""

from __future__ import annotations

import random

from anisestair.storms.state import State

SPREAD = 0.5  # either way


class Advice:
    def __init__(self, most_ms: float, seed: int) -> None:
        """``most_ms``: the longest advice that clients follow; 0 where they follow none."""
        self._most_ms = most_ms
        self._random = random.Random(seed)

    def after(self, state: State, module_ms: float) -> float:
        """Milliseconds; ``module_ms`` is the module's own advice, which stands in calm. 0 means none."""
        if state is State.CALM or module_ms <= 0.0:
            return module_ms
        return min(module_ms * self._random.uniform(1.0 - SPREAD, 1.0 + SPREAD), self._most_ms)
