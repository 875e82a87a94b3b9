"""The retry delay of refused requests while a storm forms, lasts or recedes. No I/O.

Clients that are refused at the same time and given the same delay return at the same time. Outside the calm
state each sidecar therefore multiplies the balancer's delay by a random factor for each client. The delay is
not increased on average: assigning clients successive return times, and doubling the delay of retries, both
lowered the objective in simulations, since clients that return later have less time left and are served late
or not at all (docs/design/storms.md).

Source: RFC 9110, section 10.2.3 (Retry-After).
"""

from __future__ import annotations

import random

from anisestair.storms.state import State

SPREAD = 0.5  # the random factor is between 1 - SPREAD and 1 + SPREAD


class RetryDelay:
    """Randomizes the retry delays of the balancer."""

    def __init__(self, max_ms: float, seed: int) -> None:
        """``max_ms``: the longest delay that clients follow; 0 if they follow none."""
        self._max_ms = max_ms
        self._random = random.Random(seed)

    def delay_ms(self, state: State, balancer_delay_ms: float) -> float:
        """Return the delay to send to a client. In the calm state it is the balancer's; 0 means none."""
        if state is State.CALM or balancer_delay_ms <= 0.0:
            return balancer_delay_ms
        return min(balancer_delay_ms * self._random.uniform(1.0 - SPREAD, 1.0 + SPREAD), self._max_ms)
