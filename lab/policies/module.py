"""The module with one thing taken out: how much that thing is worth."""

from __future__ import annotations

from hareloom import Balancer


class NoLimit(Balancer):
    """Nothing is held back: what is left is its choice of server and its retry budget."""

    limit = property(lambda self: 1e9, lambda self, value: None)


class NoRetries(Balancer):
    """Nothing is tried again."""

    budget = property(lambda self: 0.0, lambda self, value: None)
