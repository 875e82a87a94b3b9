"""The balancer with one feature disabled, to measure what the feature contributes."""

from __future__ import annotations

from hareloom import Balancer


class NoLimit(Balancer):
    """No limit on attempts in flight; the choice of servers and the retry budget remain."""

    limit = property(lambda self: 1e9, lambda self, value: None)


class NoRetries(Balancer):
    """No retries: the retry budget is always empty."""

    budget = property(lambda self: 0.0, lambda self, value: None)
