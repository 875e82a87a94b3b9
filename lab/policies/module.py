"""The module with its limit on attempts taken out: what is left is its choice of server and its retry
budget."""

from __future__ import annotations

from hareloom import Balancer


class BudgetAlone(Balancer):
    """Nothing is held back."""

    limit = property(lambda self: 1e9, lambda self, value: None)
