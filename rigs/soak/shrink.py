"""Leaves events out of a plan while it still fails, so that what is left can be read and held by a test."""

from __future__ import annotations

from collections.abc import Callable

from rigs.soak.plan import Plan


def shrink(plan: Plan, fails: Callable[[Plan], bool], most: int) -> Plan:
    """The smallest plan found in at most ``most`` plays. ``fails`` plays a plan, and says whether it shows
    the fault. Parts of the events are left out, halves first (Zeller and Hildebrandt, "Simplifying and
    Isolating Failure-Inducing Input", 2002)."""
    parts, played = 2, 0
    while len(plan.events) > 1:
        size = -(-len(plan.events) // parts)
        smaller = None
        for begin in range(0, len(plan.events), size):
            if played >= most:
                return plan
            played += 1
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
