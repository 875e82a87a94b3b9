"""Removes events from a plan while it still fails, so that the rest can be read and kept as a test."""

from __future__ import annotations

from collections.abc import Callable

from rigs.soak.plan import Plan


def shrink(plan: Plan, fails: Callable[[Plan], bool], max_runs: int) -> Plan:
    """Returns the smallest plan found in at most ``max_runs`` runs. ``fails`` runs a plan and returns whether
    it shows the fault. Subsets of the events are left out, halves first (Zeller and Hildebrandt, "Simplifying
    and Isolating Failure-Inducing Input", 2002)."""
    parts, runs = 2, 0
    while len(plan.events) > 1:
        size = -(-len(plan.events) // parts)
        smaller = None
        for begin in range(0, len(plan.events), size):
            if runs >= max_runs:
                return plan
            runs += 1
            without = plan.without(frozenset(range(begin, begin + size)))
            if fails(without):
                smaller = without
                break
        if smaller is not None:
            plan, parts = smaller, max(parts - 1, 2)
        elif size == 1:
            return plan
        else:
            parts = min(2 * parts, len(plan.events))
    return plan
